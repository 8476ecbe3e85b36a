//! Statistics over time, without decisions: what is counted, and over which span, is for whoever counts.

use crate::time::{TimeSpan, Timestamp};

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCounter {
    /// The count as it was at `updated_at`.
    pub(crate) count: f64,
    /// When something was last added.
    pub(crate) updated_at: Timestamp,
}

impl DecayingCounter {
    /// The count now, decayed by a factor of e for each `span` that has passed.
    pub(crate) fn read(&self, now: Timestamp, span: TimeSpan) -> f64 {
        self.count * (-(now - self.updated_at).ratio_to(span)).exp()
    }

    /// Adds to the count.
    pub(crate) fn add(&mut self, now: Timestamp, span: TimeSpan, amount: f64) {
        self.count = self.read(now, span) + amount;
        self.updated_at = now;
    }
}

/// What one slice of a [`SlidingWindow`] has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowCounts {
    /// Events of the kind that is watched for.
    pub marked: f64,
    /// All events.
    pub total: f64,
}

/// A share of events within a span, counted in `SLICES` slices of it: what a slice holds is forgotten when
/// the span has passed it. A quotient of two exponentially decaying counts would not decay while few events
/// come in, so a burst would keep it high long after its end; a window forgets the burst.
#[derive(Clone, Copy, Debug)]
pub struct SlidingWindow<const SLICES: usize> {
    slices: [WindowCounts; SLICES],
    newest: usize,
    newest_began_at: Timestamp,
}

impl<const SLICES: usize> Default for SlidingWindow<SLICES> {
    fn default() -> SlidingWindow<SLICES> {
        SlidingWindow {
            slices: [WindowCounts::default(); SLICES],
            newest: 0,
            newest_began_at: Timestamp::ZERO,
        }
    }
}

impl<const SLICES: usize> SlidingWindow<SLICES> {
    /// Moves on to the slice of `now`, clearing those that the span has passed.
    fn advance(&mut self, now: Timestamp, span: TimeSpan) {
        let slice = TimeSpan((span.0 / SLICES as i64).max(1));
        let steps = ((now - self.newest_began_at).0 / slice.0).clamp(0, SLICES as i64) as usize;
        for _ in 0..steps {
            self.newest = (self.newest + 1) % SLICES;
            self.slices[self.newest] = WindowCounts::default();
        }
        if steps > 0 {
            self.newest_began_at = Timestamp(now.0 - (now.0 - self.newest_began_at.0) % slice.0);
        }
    }

    /// Counts events: `marked` of the kind that is watched for, `total` of any.
    pub fn count(&mut self, now: Timestamp, span: TimeSpan, marked: f64, total: f64) {
        self.advance(now, span);
        let slice = &mut self.slices[self.newest];
        slice.marked += marked;
        slice.total += total;
    }

    /// The marked share of all events, or of `min_total` where fewer were counted.
    pub fn share(&self, now: Timestamp, span: TimeSpan, min_total: f64) -> f64 {
        let sums = self.sums(now, span);
        sums.marked / f64::max(sums.total, min_total)
    }

    /// What was counted within the span.
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

/// The share of losses of late, by exponentially decaying counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LossRatio {
    lost: DecayingCounter,
    total: DecayingCounter,
}

impl LossRatio {
    /// Counts `lost` losses out of `total` events.
    pub(crate) fn count(&mut self, now: Timestamp, span: TimeSpan, lost: f64, total: f64) {
        self.lost.add(now, span, lost);
        self.total.add(now, span, total);
    }

    /// The lost share of all, or of `min_total` where fewer were counted.
    pub(crate) fn share(&self, now: Timestamp, span: TimeSpan, min_total: f64) -> f64 {
        self.lost.read(now, span) / self.total.read(now, span).max(min_total)
    }
}

/// How long something takes when nothing slows it: the lowest that its running mean ever was.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineLatency {
    samples: f64,
    mean: f64,
    /// None until enough samples were taken.
    pub(crate) lowest_mean: Option<TimeSpan>,
}

impl BaselineLatency {
    /// Takes in a latency; the mean counts once `min_samples` were taken, and is over as many.
    pub(crate) fn record(&mut self, latency: TimeSpan, min_samples: f64) {
        self.samples = (self.samples + 1.0).min(min_samples);
        self.mean += (latency.0 as f64 - self.mean) / self.samples;
        if self.samples >= min_samples {
            let mean = TimeSpan(self.mean as i64);
            self.lowest_mean = Some(self.lowest_mean.map_or(mean, |lowest| lowest.min(mean)));
        }
    }
}
