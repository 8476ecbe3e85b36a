//! A configuration service on loopback for tests and simulations: it serves numbered versions over xDS, and
//! has the faults of real services, drawn by seed: it drops streams, responds late, repeats responses, sends
//! an older version first, sends unreadable ones, stops, and comes back with another history.
//!
//! It runs on a thread of its own, so that it and a broker under test can't delay each other.

#![warn(missing_docs)]

mod discovery_service;
mod fault_plan;
mod history;
mod server;

pub use fault_plan::FaultPlan;
pub use history::RecordedRequest;
pub use server::XdsTestServer;
