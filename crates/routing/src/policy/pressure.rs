//! Pressure: the share of recent shard requests that failed because of overload or were rejected.
//!
//! Pressure counts attempts that nodes rejected as overloaded or that timed out, and shard requests that this
//! broker rejected itself, relative to all shard requests within [`WINDOW`]. The cutoff of the design depends
//! on it (see `cutoff`); its effect is logged by the events `CutoffActivated` and `CutoffDeactivated`.
//!
//! Pressure uses a sliding window because with exponentially decaying counts, the many events of a burst
//! outweigh the fewer events after it for many windows: pressure stays high, queries stay reduced, and the
//! overload appears to sustain itself after its cause has ended. A sliding window drops a burst entirely once
//! it has passed. The cost is a small array for each count.

use crate::statistics::SlidingWindow;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The window over which pressure is measured.
pub(crate) const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// The number of slices of the window; the contents of the oldest slice expire together.
const SLICES: usize = 10;

/// The minimum number of shard requests that pressure is based on; fewer count as this many, so that a single
/// overloaded attempt does not exceed the threshold of the cutoff.
const MIN_SHARD_REQUESTS: f64 = 10.0;

/// The pressure over all shard requests, and over those of tenants within their quota.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    all: SlidingWindow<SLICES>,
    within_quota: SlidingWindow<SLICES>,
}

impl Pressure {
    /// Records `total` shard requests, of which `overloaded` failed because of overload or were rejected.
    pub(crate) fn record(&mut self, now: Timestamp, within_quota: bool, overloaded: f64, total: f64) {
        self.all.count(now, WINDOW, overloaded, total);
        if within_quota {
            self.within_quota.count(now, WINDOW, overloaded, total);
        }
    }

    /// Returns the pressure that applies to a query, from 0 to 1. A tenant within its quota is not affected
    /// by overload from tenants beyond theirs; otherwise a burst of one tenant would reduce the responses of
    /// all.
    pub(crate) fn for_query(&self, now: Timestamp, within_quota: bool) -> f64 {
        let all = self.all.share(now, WINDOW, MIN_SHARD_REQUESTS);
        let within = self.within_quota.share(now, WINDOW, MIN_SHARD_REQUESTS);
        if within_quota { within } else { within.max(all) }
    }
}
