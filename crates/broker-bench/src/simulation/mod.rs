//! Runs a plan in virtual time, as a discrete-event simulation.
//!
//! Brokers take the product's routing decisions, with its unmodified code, or those of a baseline. Nodes are models,
//! the endpoint list has the delay of discovery, and faults are scheduled. Invariants are checked on the messages
//! that nodes and clients receive, not on reports of the brokers. There is one thread and one event queue, so that
//! the same plan and seed give byte-identical decisions.

mod brokers;
mod clients;
mod config;
pub mod deployment;
mod event;
mod faults;
mod nodes;
mod runner;
pub mod settings_text;

pub use config::{FaultSchedule, RoutingPolicy, SimulationConfig};
pub use runner::Simulation;

#[cfg(test)]
pub(crate) mod tests;
