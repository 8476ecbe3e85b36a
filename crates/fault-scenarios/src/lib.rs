//! Scripted fault scenarios for nodes, zones, discovery, clients and brokers. The crate does no I/O and reads
//! no clock; random choices are derived from a seed.
//!
//! [`Scenario::parse`] parses an INI file, or reports every error in it with its line and key.
//! [`Scenario::schedule`] expands a scenario into timed actions for a cluster of a given size. [`ActiveFaults`]
//! tracks the overlapping faults of one node; its transition table alone defines how they combine.
//! [`LIBRARY`] contains the built-in scenarios.
//!
//! ```
//! use fault_scenarios::{ClusterSize, Scenario};
//!
//! let text = "[scenario]\nabout = a zone is lost\n[north]\nwhat = lose\nhall = 0\nat = 10\nfor = 5\n";
//! let scenario = Scenario::parse("north-lost", text).unwrap();
//! let cluster = ClusterSize { nodes: 6, zones: 3, placement_groups: 3, brokers: 2 };
//! assert_eq!(scenario.schedule(&cluster, 1).len(), 4); // two nodes crash and restart
//! ```

#![warn(missing_docs)]

mod active_faults;
mod fault;
mod library;
mod parser;
mod scenario;
mod scenario_error;
mod schedule;

pub use active_faults::{ActiveFaults, NodeCondition, NodeTransition, PauseCycle};
pub use fault::{Direction, Fault, FaultKind, FaultTarget};
pub use library::{LIBRARY, LibraryScenario, find_in_library};
pub use scenario::{CancelBehavior, ClientBehavior, Scenario};
pub use scenario_error::ScenarioError;
pub use schedule::{ClusterSize, FaultAction, ScheduledAction};
