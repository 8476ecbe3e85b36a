//! The door before one broker's module: who gets in when there is not room for all.
//!
//! A front makes a [`Door`] from an [`Allowance`] and the broker's [`BrokerConfig`], and puts it with the
//! module in a [`Gated`]; it then calls [`Gated::turn`] where it called [`Broker::turn`]. The door sees every
//! input before the module does and every effect after. It holds nothing back: each query is passed on
//! or rejected in the same turn, with the time to come back where the configuration allows one. No I/O, no
//! clock: time comes in with each turn.
//!
//! The door is open until the design's pressure (shard requests refused as full or timed out), or the module's own
//! rejects, pass the allowance's level; then it is crowded, and lets in a rate of shard requests that it lowers while
//! that lasts and raises while it does not, shared between tenants by max-min fairness, each with a bucket.
//! Retries while crowded have a budget by tenant. `docs/admission.md` tells why; the tables stand in
//! `door.rs`.
//!
//! ```
//! use admission_control::{Allowance, Door, Gated};
//! use routing::{Broker, Input, BrokerConfig, Tenths};
//!
//! let configuration = BrokerConfig::default();
//! let door = Door::new(Allowance::default(), &configuration).expect("the defaults are sound");
//! let mut gated = Gated::new(door, Broker::start(configuration, 7, Tenths(0)));
//! assert!(gated.turn(Tenths(50), &[Input::Woken]).is_empty());
//! ```
//!
//! [`Broker::turn`]: routing::Broker::turn
//! [`BrokerConfig`]: routing::BrokerConfig

mod allowance;
mod door;
mod gated;
mod state;

pub use allowance::{Allowance, Wrong};
pub use door::{Door, Mode, Told};
pub use gated::Gated;
