//! Configuration service on loopback for tests and simulations. It serves versions by number over xDS and injects the
//! faults of real services, drawn from a seed: it drops streams, delays, repeats, reorders and corrupts responses,
//! stops, and restarts with a different history.
//!
//! The server runs on a thread of its own, so that it and a broker under test cannot delay each other.

#![warn(missing_docs)]

mod discovery_service;
mod fault_plan;
mod history;
mod server;

pub use fault_plan::FaultPlan;
pub use history::RecordedRequest;
pub use server::XdsTestServer;
