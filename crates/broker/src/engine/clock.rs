//! The engine's clock, which converts between Tokio instants and timestamps of the routing logic.

use crate::limits::to_duration;
use routing::{TimeSpan, Timestamp, WallClockTime};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds in a tenth of a millisecond, the unit of [`TimeSpan`].
const MICROS_PER_TENTH: u128 = 100;

/// A monotonic clock that starts at the wall clock's Unix time. It reads the wall clock once, so it does not jump or
/// go back when the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokerClock {
    /// The Tokio instant at which the clock was started.
    started: Instant,
    /// The Unix time at which the clock was started.
    started_at: Timestamp,
    /// Whether a simulation has set the start time. If so, the system's wall clock is never read.
    is_simulated: bool,
}

impl BrokerClock {
    /// Starts a clock at `started_at`, or at the system time if that is `None`.
    pub(super) fn start(started_at: Option<Timestamp>) -> BrokerClock {
        BrokerClock {
            started: Instant::now(),
            started_at: started_at.unwrap_or_else(|| Timestamp(system_time().0)),
            is_simulated: started_at.is_some(),
        }
    }

    /// Returns the current wall clock time, which is comparable with the start times that nodes report. Durations
    /// must not be measured with it.
    pub(super) fn wall_clock(self) -> WallClockTime {
        match self.is_simulated {
            true => WallClockTime(self.now().0),
            false => system_time(),
        }
    }

    /// Returns the time at which the clock was started.
    pub(super) fn start_time(self) -> Timestamp {
        self.started_at
    }

    /// Returns the current time.
    pub(super) fn now(self) -> Timestamp {
        self.to_timestamp(Instant::now())
    }

    /// Converts an instant to a timestamp. Instants before the start are clamped to the start.
    pub(super) fn to_timestamp(self, at: Instant) -> Timestamp {
        let elapsed = at.saturating_duration_since(self.started);
        self.started_at + TimeSpan((elapsed.as_micros() / MICROS_PER_TENTH) as i64)
    }

    /// Converts a timestamp to an instant. Timestamps before the start are clamped to the start.
    pub(super) fn to_instant(self, at: Timestamp) -> Instant {
        self.started + to_duration(at - self.started_at)
    }
}

/// Reads the system's wall clock as Unix time. Times before 1970 are clamped to 1970.
fn system_time() -> WallClockTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClockTime((since_epoch.as_micros() / MICROS_PER_TENTH) as i64)
}
