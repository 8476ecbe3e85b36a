//! The clock of the rollout: Unix time at the start, and monotonic from there on.

use routing::{TimeSpan, Timestamp};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds in a tenth of a millisecond.
const MICROS_PER_TENTH: u64 = 100;

/// Unix time that never goes back, though the wall clock may be set.
pub(crate) struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// A clock that agrees with the wall clock now.
    pub(crate) fn start() -> Clock {
        Clock { started: Instant::now(), started_at: unix_now() }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Timestamp {
        let elapsed = self.started.elapsed().as_micros() / u128::from(MICROS_PER_TENTH);
        self.started_at + TimeSpan(elapsed as i64)
    }

    /// The instant of a time; a time before the start is the start.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        let tenths = u64::try_from((at - self.started_at).0).unwrap_or(0);
        self.started + Duration::from_micros(tenths.saturating_mul(MICROS_PER_TENTH))
    }
}

/// The Unix time now.
pub(crate) fn unix_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp((since_epoch.as_micros() / u128::from(MICROS_PER_TENTH)) as i64)
}

/// A bound in tenths as a `Duration`, at least one tenth.
pub(crate) fn duration_of(tenths: TimeSpan) -> Duration {
    Duration::from_micros(tenths.0.max(1) as u64 * MICROS_PER_TENTH)
}
