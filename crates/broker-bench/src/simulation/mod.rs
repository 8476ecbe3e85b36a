//! Plays a plan in virtual time: brokers with the product's own routing decisions, unchanged, or a baseline;
//! model nodes; an endpoint list that is late as discovery is; and scheduled faults. The rules are checked by
//! what nodes and clients got, not by what brokers say. One thread and one event queue: the same plan and
//! seed give the same decisions, to the byte.

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
