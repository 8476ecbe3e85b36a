//! The routing decisions of a broker that reads many shards for one query: which replica gets a shard
//! request, whether to retry or hedge it, what to leave unsent under pressure, what to reject, when to
//! respond.
//!
//! A front end (a program that owns sockets, or a simulator's wire) makes one [`Broker`] from a
//! [`BrokerConfig`], a seed and the time, then hands it all that has come in with [`Broker::turn`] and
//! carries out the [`Effect`]s that come back, in their order. The library does no I/O and reads no clock;
//! chance comes from the seed alone.
//!
//! ```
//! use routing::{Broker, BrokerConfig, Input, Timestamp};
//!
//! let mut broker = Broker::start(BrokerConfig::default(), 7, Timestamp(0));
//! assert!(broker.turn(Timestamp(50), &[Input::Woken]).is_empty());
//! ```
//!
//! Where to read: `policy` has every decision, a file for each rule; `policy/query_lifecycle.rs` the states of a
//! query and what moves it from one to the next. `broker` is the event loop that gathers the rules' inputs and
//! calls them; `state` is what a broker remembers.

#![warn(missing_docs)]

mod broker;
mod config;
mod effective_config;
mod effects;
mod ids;
mod inputs;
mod log_event;
mod policy;
mod state;
mod statistics;
mod time;

pub use broker::Broker;
pub use config::*;
pub use effects::Effect;
pub use ids::*;
pub use inputs::*;
pub use log_event::LogEvent;
pub use policy::{discovery_backoff, shutdown_deadline};
pub use statistics::{SlidingWindow, WindowCounts};
pub use time::{TimeSpan, Timestamp, WallClockTime};
