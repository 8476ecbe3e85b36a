//! The engine's clock: converts between the runtime's instants and the times of the routing decisions.

use crate::limits::to_duration;
use routing::{TimeSpan, Timestamp, WallClockTime};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The length of one tenth of a millisecond, the unit of [`TimeSpan`].
const MICROS_PER_TENTH: u128 = 100;

/// Counts from one reading of the system's wall clock by the monotonic clock: the time never goes back or jumps, however
/// the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokerClock {
    /// When it was started, by the runtime's clock.
    started: Instant,
    /// The same moment as a time of the routing decisions: what the wall clock showed then, in Unix time.
    started_at: Timestamp,
    /// A simulation has set the start; the system's wall clock is not read.
    is_simulated: bool,
}

impl BrokerClock {
    /// Starts at `started_at`, or at the system's time where there is none.
    pub(super) fn start(started_at: Option<Timestamp>) -> BrokerClock {
        BrokerClock {
            started: Instant::now(),
            started_at: started_at.unwrap_or_else(|| Timestamp(system_time().0)),
            is_simulated: started_at.is_some(),
        }
    }

    /// What the system's wall clock shows now. Nodes' start times are given by wall clocks; no span is measured by one.
    pub(super) fn wall_clock(self) -> WallClockTime {
        match self.is_simulated {
            true => WallClockTime(self.now().0),
            false => system_time(),
        }
    }

    /// The time at which the clock was started.
    pub(super) fn start_time(self) -> Timestamp {
        self.started_at
    }

    /// The present time.
    pub(super) fn now(self) -> Timestamp {
        self.to_timestamp(Instant::now())
    }

    /// An instant as a time of the routing decisions; one before the start counts as the start.
    pub(super) fn to_timestamp(self, at: Instant) -> Timestamp {
        let elapsed = at.saturating_duration_since(self.started);
        self.started_at + TimeSpan((elapsed.as_micros() / MICROS_PER_TENTH) as i64)
    }

    /// A time of the routing decisions as an instant; one before the start counts as the start.
    pub(super) fn to_instant(self, at: Timestamp) -> Instant {
        self.started + to_duration(at - self.started_at)
    }
}

/// The system's wall clock, in Unix time; a time before 1970 counts as 1970.
fn system_time() -> WallClockTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClockTime((since_epoch.as_micros() / MICROS_PER_TENTH) as i64)
}
