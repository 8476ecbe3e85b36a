//! Statistics over time. Callers choose the events and the time span; this module makes no decisions.

use crate::time::{TimeSpan, Timestamp};

/// Exponentially decaying counter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCounter {
    /// Count at the time `updated_at`.
    pub(crate) count: f64,
    /// Time of the last addition.
    pub(crate) updated_at: Timestamp,
}

impl DecayingCounter {
    /// Returns the count at `now`, decayed by a factor of e for each `span` since the last addition.
    pub(crate) fn read(&self, now: Timestamp, span: TimeSpan) -> f64 {
        self.count * (-(now - self.updated_at).ratio_to(span)).exp()
    }

    /// Adds `amount` to the count after decaying it to `now`.
    pub(crate) fn add(&mut self, now: Timestamp, span: TimeSpan, amount: f64) {
        self.count = self.read(now, span) + amount;
        self.updated_at = now;
    }
}

/// Event counts of a [`SlidingWindow`] or of one of its slices.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowCounts {
    /// Number of events of the kind that the window measures.
    pub marked: f64,
    /// Number of all events, including the marked ones.
    pub total: f64,
}

/// Fraction of marked events within a time span that is divided into `SLICES` slices. The counts of a slice are
/// dropped once the span has passed it.
///
/// The ratio of two exponentially decaying counters does not decay while few events arrive, so it stays high long
/// after a burst has ended. A sliding window drops the burst.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow<const SLICES: usize> {
    slices: [WindowCounts; SLICES],
    newest: usize,
    newest_started_at: Timestamp,
}

impl<const SLICES: usize> Default for SlidingWindow<SLICES> {
    fn default() -> SlidingWindow<SLICES> {
        SlidingWindow {
            slices: [WindowCounts::default(); SLICES],
            newest: 0,
            newest_started_at: Timestamp::ZERO,
        }
    }
}

impl<const SLICES: usize> SlidingWindow<SLICES> {
    /// Advances to the slice that contains `now` and clears the slices that the span has passed.
    fn advance(&mut self, now: Timestamp, span: TimeSpan) {
        let slice = TimeSpan((span.0 / SLICES as i64).max(1));
        let steps = ((now - self.newest_started_at).0 / slice.0).clamp(0, SLICES as i64) as usize;
        for _ in 0..steps {
            self.newest = (self.newest + 1) % SLICES;
            self.slices[self.newest] = WindowCounts::default();
        }
        if steps > 0 {
            self.newest_started_at = Timestamp(now.0 - (now.0 - self.newest_started_at.0) % slice.0);
        }
    }

    /// Counts `total` events, of which `marked` are marked.
    pub fn count(&mut self, now: Timestamp, span: TimeSpan, marked: f64, total: f64) {
        self.advance(now, span);
        let slice = &mut self.slices[self.newest];
        slice.marked += marked;
        slice.total += total;
    }

    /// Returns the number of marked events divided by that of all events, or by `min_total` if that is larger.
    pub fn share(&self, now: Timestamp, span: TimeSpan, min_total: f64) -> f64 {
        let sums = self.sums(now, span);
        sums.marked / f64::max(sums.total, min_total)
    }

    /// Returns the counts within the span before `now`.
    pub fn sums(&self, now: Timestamp, span: TimeSpan) -> WindowCounts {
        let mut window = *self;
        window.advance(now, span);
        let add = |sums: WindowCounts, slice: &WindowCounts| WindowCounts {
            marked: sums.marked + slice.marked,
            total: sums.total + slice.total,
        };
        window.slices.iter().fold(WindowCounts::default(), add)
    }
}

/// Recent fraction of losses, measured with two exponentially decaying counters.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LossRatio {
    lost: DecayingCounter,
    total: DecayingCounter,
}

impl LossRatio {
    /// Counts `total` events, of which `lost` were losses.
    pub(crate) fn count(&mut self, now: Timestamp, span: TimeSpan, lost: f64, total: f64) {
        self.lost.add(now, span, lost);
        self.total.add(now, span, total);
    }

    /// Returns the number of losses divided by the number of events, or by `min_total` if that is larger.
    pub(crate) fn share(&self, now: Timestamp, span: TimeSpan, min_total: f64) -> f64 {
        self.lost.read(now, span) / self.total.read(now, span).max(min_total)
    }
}

/// Latency without queueing, estimated as the lowest value of the running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineLatency {
    samples: f64,
    mean: f64,
    /// Lowest running mean so far, or `None` until `min_samples` samples have been recorded.
    pub(crate) lowest_mean: Option<TimeSpan>,
}

impl BaselineLatency {
    /// Records a latency. The running mean covers about `min_samples` samples and is used from that number on.
    pub(crate) fn record(&mut self, latency: TimeSpan, min_samples: f64) {
        self.samples = (self.samples + 1.0).min(min_samples);
        self.mean += (latency.0 as f64 - self.mean) / self.samples;
        if self.samples >= min_samples {
            let mean = TimeSpan(self.mean as i64);
            self.lowest_mean = Some(self.lowest_mean.map_or(mean, |lowest| lowest.min(mean)));
        }
    }
}
