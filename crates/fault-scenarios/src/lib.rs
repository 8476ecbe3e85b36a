//! Scripted faults: what goes wrong with nodes, zones, discovery, clients and brokers, and when. No I/O and
//! no clock; random choices follow a seed.
//!
//! [`Scenario::parse`] reads an INI text, or lists every error in it with line and key.
//! [`Scenario::schedule`] turns it into a list of actions for a cluster of a given size. [`ActiveFaults`]
//! holds the overlapping faults of one node; its table of transitions is the one place that decides what they
//! add up to. [`LIBRARY`] has the scenarios that come with the product.
//!
//! ```
//! use fault_scenarios::{ClusterSize, Scenario};
//!
//! let text = "[scenario]\nabout = a zone is lost\n[north]\nwhat = lose\nhall = 0\nat = 10\nfor = 5\n";
//! let scenario = Scenario::parse("north-lost", text).unwrap();
//! let cluster = ClusterSize { nodes: 6, zones: 3, placement_groups: 3, brokers: 2 };
//! assert_eq!(scenario.schedule(&cluster, 1).len(), 4); // two nodes are lost, and come back
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
