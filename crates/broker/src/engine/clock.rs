//! The engine's clock: converts between the runtime's instants and the times of the routing decisions.

use crate::limits::to_duration;
use routing::Tenths;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The length of one tenth of a millisecond, the unit of [`Tenths`].
const MICROS_PER_TENTH: u128 = 100;

/// Counts from one reading of the system's wall clock by the monotonic clock: the time never goes back or jumps, however
/// the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokerClock {
    /// When it was started, by the runtime's clock.
    started: Instant,
    /// The same moment in Unix time.
    started_unix: Tenths,
    /// A simulation has set the start; the system's wall clock is not read.
    is_simulated: bool,
}

impl BrokerClock {
    /// Starts at `started_unix`, or at the system's time where there is none.
    pub(super) fn start(started_unix: Option<Tenths>) -> BrokerClock {
        BrokerClock {
            started: Instant::now(),
            started_unix: started_unix.unwrap_or_else(system_time),
            is_simulated: started_unix.is_some(),
        }
    }

    /// What the system's wall clock shows now. Nodes' start times are given by wall clocks; no span is measured by one.
    pub(super) fn wall_clock(self) -> Tenths {
        match self.is_simulated {
            true => self.now(),
            false => system_time(),
        }
    }

    /// The time at which the clock was started.
    pub(super) fn start_time(self) -> Tenths {
        self.started_unix
    }

    /// The present time.
    pub(super) fn now(self) -> Tenths {
        self.to_tenths(Instant::now())
    }

    /// An instant as a time of the routing decisions; one before the start counts as the start.
    pub(super) fn to_tenths(self, at: Instant) -> Tenths {
        let elapsed = at.saturating_duration_since(self.started);
        self.started_unix + Tenths((elapsed.as_micros() / MICROS_PER_TENTH) as i64)
    }

    /// A time of the routing decisions as an instant; one before the start counts as the start.
    pub(super) fn to_instant(self, at: Tenths) -> Instant {
        self.started + to_duration(at - self.started_unix)
    }
}

/// The system's wall clock, in Unix time; a time before 1970 counts as 1970.
fn system_time() -> Tenths {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Tenths((since_epoch.as_micros() / MICROS_PER_TENTH) as i64)
}
