//! All sizes, counts and times of the broker on sockets, derived once at the start from the machine and the
//! settings, and handed down.
//!
//! One type for each concern has its fields, how they are derived, and the constants behind them: [`ClientLimits`],
//! [`RequestLimits`], [`NodeLimits`] and [`DiscoveryLimits`]. What the machine gives, and how it is divided among
//! them, is in `machine`. Counts of bytes end in `_bytes`; times are [`Duration`]s, or [`TimeSpan`] where the routing
//! decisions take them.

mod client_limits;
mod discovery_limits;
mod machine;
mod node_limits;
mod request_limits;

pub use client_limits::ClientLimits;
pub use discovery_limits::DiscoveryLimits;
pub use machine::{LimitsError, Machine};
pub use node_limits::NodeLimits;
pub use request_limits::RequestLimits;

use machine::Capacity;
use routing::TimeSpan;
use settings::BrokerSettings;
use std::time::Duration;

/// The limits of one broker.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients.
    pub clients: ClientLimits,
    /// Requests of clients and their responses.
    pub requests: RequestLimits,
    /// Connections to nodes.
    pub nodes: NodeLimits,
    /// Requests to discovery.
    pub discovery: DiscoveryLimits,
    /// Bytes of queries and responses held at once.
    pub max_held_bytes: usize,
    /// The least time between two turns of the routing decisions.
    pub turn_period: TimeSpan,
}

impl Limits {
    /// Derives the limits of a broker on this machine with these settings.
    ///
    /// # Errors
    ///
    /// The machine has too few file descriptors or too little memory.
    pub fn new(machine: Machine, broker_settings: &BrokerSettings) -> Result<Limits, LimitsError> {
        let capacity = Capacity::new(machine)?;
        let config = &broker_settings.broker_config;
        Ok(Limits {
            clients: ClientLimits::new(&capacity),
            requests: RequestLimits::default(),
            nodes: NodeLimits::new(&capacity, broker_settings),
            discovery: DiscoveryLimits::new(&capacity, config),
            max_held_bytes: capacity.held_bytes,
            turn_period: config.period,
        })
    }
}

/// Microseconds in a tenth of a millisecond, the unit of [`TimeSpan`].
const MICROS_PER_TENTH: u64 = 100;

/// A time of the routing decisions as one of the runtime; a negative one is zero.
pub fn to_duration(tenths: TimeSpan) -> Duration {
    Duration::from_micros(u64::try_from(tenths.0).unwrap_or(0).saturating_mul(MICROS_PER_TENTH))
}
