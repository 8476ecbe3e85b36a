//! Clock of the rollout, which starts at the Unix time and is monotonic from then on.

use routing::{TimeSpan, Timestamp};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Number of microseconds in 0.1 ms, the unit of [`Timestamp`] and [`TimeSpan`].
const MICROS_PER_UNIT: u64 = 100;

/// A clock that returns Unix time and never goes back, even if the wall clock is set back.
pub(crate) struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// Creates a clock that is synchronized with the wall clock once, when it is created.
    pub(crate) fn start() -> Clock {
        Clock { started: Instant::now(), started_at: unix_now() }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        let elapsed = self.started.elapsed().as_micros() / u128::from(MICROS_PER_UNIT);
        self.started_at + TimeSpan(elapsed as i64)
    }

    /// Converts a time to an instant. A time before the start of the clock is converted to the start.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        let units = u64::try_from((at - self.started_at).0).unwrap_or(0);
        self.started + Duration::from_micros(units.saturating_mul(MICROS_PER_UNIT))
    }
}

/// Returns the current Unix time according to the wall clock.
pub(crate) fn unix_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp((since_epoch.as_micros() / u128::from(MICROS_PER_UNIT)) as i64)
}

/// Converts a time span to a `Duration` of at least one unit (0.1 ms).
pub(crate) fn duration_of(span: TimeSpan) -> Duration {
    Duration::from_micros(span.0.max(1) as u64 * MICROS_PER_UNIT)
}
