//! Scripted incidents: what befalls hosts, halls, discovery, clients and brokers, and when. Decisions only,
//! no I/O, no clock; chance by seed.
//!
//! [`Scenario::read`] reads an INI text, or lists every mistake in it with line and key. [`Scenario::script`]
//! makes it a list of moments for a fleet of a size. [`Book`] tells what a host's overlapping troubles come
//! to together; its table is the one place where that is decided. [`LIBRARY`] has the scenarios that come
//! with the product.
//!
//! ```
//! use fault_scenarios::{Fleet, Scenario};
//!
//! let text = "[scenario]\nabout = a hall is lost\n[north]\nwhat = lose\nhall = 0\nat = 10\nfor = 5\n";
//! let scenario = Scenario::read("north-lost", text).unwrap();
//! let script = scenario.script(&Fleet { hosts: 6, halls: 3, cells: 3, brokers: 2 }, 1);
//! assert_eq!(script.len(), 4); // two hosts are lost, and come back
//! ```

mod book;
mod library;
mod scenario;
mod script;

pub use book::{Book, Change, Standing};
pub use library::{LIBRARY, find};
pub use scenario::{Cancel, Clients, Mistake, On, Scenario, Trouble, What};
pub use script::{Act, Fleet, Moment};
