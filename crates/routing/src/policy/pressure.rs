//! Pressure: the share of recent shard requests that overload has cost.
//!
//! Inputs: attempts that nodes refused as overloaded or that timed out, and shard requests that this broker
//! rejected itself, out of all of them within [`WINDOW`]. The design's cutoff reads it (see `cutoff`); it
//! shows in the log with the events `CutoffActivated` and `CutoffDeactivated`.
//!
//! Why a sliding window: under exponentially decaying counts the many events of a burst outweigh for many
//! windows the fewer events that follow, so pressure stays high, queries stay trimmed, and the overload seems
//! to feed itself after its cause is over. A window forgets a burst entirely once it has passed. The cost is
//! a small array for each count.

use crate::statistics::SlidingWindow;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The span over which pressure is measured.
pub(crate) const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Slices of the window: what the oldest slice holds is forgotten at once.
const SLICES: usize = 10;

/// Fewer shard requests than this count as this many, so that one overloaded attempt alone does not pass the
/// cutoff's threshold.
const MIN_SHARD_REQUESTS: f64 = 10.0;

/// The pressure over all shard requests, and over those of tenants within their quota.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    all: SlidingWindow<SLICES>,
    within_quota: SlidingWindow<SLICES>,
}

impl Pressure {
    /// Counts `total` shard requests, of which overload has cost `overloaded`.
    pub(crate) fn record(&mut self, now: Timestamp, within_quota: bool, overloaded: f64, total: f64) {
        self.all.count(now, WINDOW, overloaded, total);
        if within_quota {
            self.within_quota.count(now, WINDOW, overloaded, total);
        }
    }

    /// The pressure that a query is trimmed by, from 0 to 1. A tenant within its quota is not judged by the
    /// overload of those beyond theirs: one tenant's storm would else trim the responses of all.
    pub(crate) fn for_query(&self, now: Timestamp, within_quota: bool) -> f64 {
        let all = self.all.share(now, WINDOW, MIN_SHARD_REQUESTS);
        let within = self.within_quota.share(now, WINDOW, MIN_SHARD_REQUESTS);
        if within_quota { within } else { within.max(all) }
    }
}
