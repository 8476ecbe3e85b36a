//! Outcomes of queries before a version was applied, which are the baseline of its probation.

use crate::sample::Sample;
use crate::wilson::score_interval;
use routing::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Number of parts into which the window is divided. The worst part determines the baseline, so that a version does
/// not fail because of a fault that began shortly before it was applied.
const WINDOW_PARTS: usize = 4;

/// A sample with the time at which it was taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedSample {
    pub(crate) at: Timestamp,
    pub(crate) sample: Sample,
}

/// Sliding window of query outcomes, with one sample for each interval.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    samples: VecDeque<TimedSample>,
}

impl OutcomeWindow {
    /// Adds the outcomes since the last sample, and drops samples that are at least as old as `span`.
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
        let part = |index: usize| sum(count * index / WINDOW_PARTS, count * (index + 1) / WINDOW_PARTS);
        let total = sum(0, count);
        Baseline { ready_nodes: total.ready_nodes, total, parts: (0..WINDOW_PARTS).map(part).collect() }
    }
}

/// Outcomes of queries before a version was applied.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    pub(crate) ready_nodes: u64,
    pub(crate) total: Sample,
    parts: Vec<Sample>,
}

impl Baseline {
    /// Returns the upper bound of the share of queries selected by `count`, in the worst part of the window. Returns
    /// `default` if no part has at least `min_ended` queries.
    pub(crate) fn upper_bound(&self, min_ended: u64, count: fn(Sample) -> u64, default: f64) -> f64 {
        let known = self.parts.iter().chain([&self.total]).filter(|part| part.ended >= min_ended);
        let bounds = known.map(|part| score_interval(count(*part), part.ended).upper);
        let largest = bounds.fold(f64::NAN, f64::max);
        if largest.is_nan() { default } else { largest }
    }
}

#[cfg(test)]
mod tests;
