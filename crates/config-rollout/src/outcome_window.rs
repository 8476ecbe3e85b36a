//! How queries ended before a version was applied: what its probation compares with.

use crate::sample::Sample;
use crate::wilson::score_interval;
use routing::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// The window is compared in this many parts, of which the worst counts, so that a version does not fail for a
/// fault which began shortly before it.
const PARTS: usize = 4;

/// What was counted up to a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedSample {
    pub(crate) at: Timestamp,
    pub(crate) sample: Sample,
}

/// How queries ended within a span, one sample for each count.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    samples: VecDeque<TimedSample>,
}

impl OutcomeWindow {
    /// Adds what ended since the last count, and drops what is older than `span`.
    pub fn record(&mut self, now: Timestamp, since_last: Sample, span: TimeSpan) {
        self.samples.push_back(TimedSample { at: now, sample: since_last });
        while self.samples.front().is_some_and(|oldest| oldest.at <= now - span) {
            self.samples.pop_front();
        }
    }

    pub(crate) fn baseline(&self) -> Baseline {
        let count = self.samples.len();
        let sum = |from: usize, to: usize| {
            let samples = self.samples.range(from..to).map(|timed| timed.sample);
            samples.fold(Sample::default(), Sample::merge)
        };
        let part = |index: usize| sum(count * index / PARTS, count * (index + 1) / PARTS);
        let total = sum(0, count);
        Baseline { ready_nodes: total.ready_nodes, total, parts: (0..PARTS).map(part).collect() }
    }
}

/// How queries ended before the version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    pub(crate) ready_nodes: u64,
    pub(crate) total: Sample,
    parts: Vec<Sample>,
}

impl Baseline {
    /// The upper bound of the share of queries that `count` counts; the worst part decides. `unknown` where
    /// no part has `min_ended` queries.
    pub(crate) fn upper_bound(&self, min_ended: u64, count: fn(Sample) -> u64, unknown: f64) -> f64 {
        let known = self.parts.iter().chain([&self.total]).filter(|part| part.ended >= min_ended);
        let bounds = known.map(|part| score_interval(count(*part), part.ended).upper);
        let largest = bounds.fold(f64::NAN, f64::max);
        if largest.is_nan() { unknown } else { largest }
    }
}

#[cfg(test)]
mod tests;
