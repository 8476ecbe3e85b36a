//! The decisions of a broker that reads many shards for one query.
//!
//! A front (a program that owns sockets or a simulator's wire) makes one [`Broker`] from a
//! [`BrokerConfig`], a seed and the time, then hands it everything heard in [`Broker::turn`]
//! and carries out the [`Effect`]s that come back, in their order. The library does no I/O
//! and reads no clock.
//!
//! ```
//! use routing::{Broker, Input, BrokerConfig, Tenths};
//!
//! let mut broker = Broker::start(BrokerConfig::default(), 7, Tenths(0));
//! assert!(broker.turn(Tenths(50), &[Input::Woken]).is_empty());
//! ```

mod broker;
mod config;
mod effective_config;
mod effects;
mod ids;
mod inputs;
mod policy;
mod state;
mod statistics;
mod time;

pub use broker::Broker;
pub use config::*;
pub use effects::Effect;
pub use ids::*;
pub use inputs::*;
pub use statistics::{SlidingWindow, WindowCounts};
pub use time::Tenths;
