//! Routing decisions of a broker that reads many shards for one query: which replica receives a shard request,
//! when to retry or hedge it, which shard requests to skip under pressure, which queries to reject, and when to
//! respond.
//!
//! A front end (a server that owns sockets, or a simulator adapter) creates a [`Broker`] from a
//! [`BrokerConfig`], a seed and the current time. It passes all new inputs to [`Broker::turn`] and carries out
//! the returned [`Effect`]s in order. The library performs no I/O and reads no clock, and all its random numbers
//! derive from the seed, so the same inputs always produce the same effects.
//!
//! ```
//! use routing::{Broker, BrokerConfig, Input, Timestamp};
//!
//! let mut broker = Broker::start(BrokerConfig::default(), 7, Timestamp(0));
//! assert!(broker.turn(Timestamp(50), &[Input::Woken]).is_empty());
//! ```
//!
//! # Modules
//!
//! - `policy` contains the decisions, one file per rule. `policy/query_lifecycle.rs` defines the state machine of a
//!   query.
//! - `broker` is the event loop: it collects the inputs of the rules and calls them.
//! - `state` holds the data that a broker keeps between turns.

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
