//! Limits on sizes, counts and times, which are derived from the machine and the settings when the broker starts.
//!
//! [`ClientLimits`], [`RequestLimits`], [`NodeLimits`] and [`DiscoveryLimits`] each cover one part of the broker.
//! Their modules also have the constants from which the limits are derived. `machine` divides the resources of the
//! machine among them, and `memory` counts what each connection may hold. Sizes in bytes have names that end in `_bytes`. Times are [`Duration`]s, or [`TimeSpan`]s if
//! the routing logic uses them.

mod client_limits;
mod discovery_limits;
mod machine;
mod memory;
mod node_limits;
mod request_limits;

pub use client_limits::ClientLimits;
pub use discovery_limits::DiscoveryLimits;
pub use machine::{LimitsError, Machine};
pub use memory::ReadSizes;
pub use node_limits::NodeLimits;
pub use request_limits::RequestLimits;

use machine::Capacity;
use routing::TimeSpan;
use settings::BrokerSettings;
use std::time::Duration;

/// The limits of a broker.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The limits of client connections.
    pub clients: ClientLimits,
    /// The limits of client requests and their responses.
    pub requests: RequestLimits,
    /// The limits of connections to nodes.
    pub nodes: NodeLimits,
    /// The limits of requests to discovery.
    pub discovery: DiscoveryLimits,
    /// The memory that the process may use.
    pub memory_bytes: usize,
    /// The memory that queries, clients and nodes share beyond the buffers of their connections.
    pub max_held_bytes: usize,
    /// The minimum time between two turns of the routing logic.
    pub turn_period: TimeSpan,
}

impl Limits {
    /// Derives the limits from the resources of the machine and the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the machine has too few file descriptors or too little memory.
    pub fn new(machine: Machine, broker_settings: &BrokerSettings) -> Result<Limits, LimitsError> {
        let capacity = Capacity::new(machine)?;
        let config = &broker_settings.broker_config;
        Ok(Limits {
            clients: ClientLimits::new(&capacity),
            requests: RequestLimits::default(),
            nodes: NodeLimits::new(&capacity, broker_settings),
            discovery: DiscoveryLimits::new(&capacity, config),
            memory_bytes: machine.memory_bytes(),
            max_held_bytes: capacity.shared_bytes,
            turn_period: config.period,
        })
    }
}

/// Microseconds in a tenth of a millisecond, the unit of [`TimeSpan`].
const MICROS_PER_TENTH: u64 = 100;

/// Converts a duration to a time span of the routing logic, rounded down to tenths of a millisecond.
pub fn to_time_span(duration: Duration) -> TimeSpan {
    TimeSpan((duration.as_micros() / u128::from(MICROS_PER_TENTH)) as i64)
}

/// Converts a time span of the routing logic, in tenths of a millisecond, to a [`Duration`]. Negative spans become
/// zero.
pub fn to_duration(span: TimeSpan) -> Duration {
    Duration::from_micros(u64::try_from(span.0).unwrap_or(0).saturating_mul(MICROS_PER_TENTH))
}
