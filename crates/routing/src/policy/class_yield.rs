//! Yields: what a class is worth for each shard request that it sends. Under overload capacity goes to the
//! classes that yield most (`concurrency_limit`), and so do retries (`attempt_limit`).

use crate::ids::ClassId;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A new sample counts for this share of a class's smoothed yield.
const SAMPLE_SHARE: f64 = 0.25;

/// Priority weight for each shard request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassYield {
    /// Where only the minimum coverage is sent.
    pub(crate) at_min_coverage: f64,
    /// Where all is sent.
    pub(crate) at_full_coverage: f64,
}

impl ClassYield {
    /// The yield of a query with this priority weight, of whose shard requests the minimum coverage needs
    /// `needed`.
    pub(crate) fn of(
        priority_weight: f64,
        min_coverage: f64,
        needed: usize,
        shard_requests: usize,
    ) -> ClassYield {
        ClassYield {
            at_min_coverage: priority_weight * min_coverage / needed.max(1) as f64,
            at_full_coverage: priority_weight / shard_requests.max(1) as f64,
        }
    }
}

/// The smoothed yields of the classes of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassYields(BTreeMap<ClassId, ClassYield>);

impl ClassYields {
    /// Smooths in the yield of a query.
    pub(crate) fn record(&mut self, class: ClassId, new: ClassYield) {
        let smoothed = self.0.entry(class).or_insert(new);
        smoothed.at_min_coverage += (new.at_min_coverage - smoothed.at_min_coverage) * SAMPLE_SHARE;
        smoothed.at_full_coverage += (new.at_full_coverage - smoothed.at_full_coverage) * SAMPLE_SHARE;
    }

    /// The best yield of any class at its minimum coverage, at least `own`.
    pub(crate) fn best_at_min_coverage(&self, own: f64) -> f64 {
        self.best(own, |class_yield| class_yield.at_min_coverage)
    }

    /// The best yield of any class at full coverage, at least `own`.
    pub(crate) fn best_at_full_coverage(&self, own: f64) -> f64 {
        self.best(own, |class_yield| class_yield.at_full_coverage)
    }

    fn best(&self, own: f64, kind: impl Fn(&ClassYield) -> f64) -> f64 {
        self.0.values().map(kind).fold(own, f64::max).max(f64::MIN_POSITIVE)
    }

    /// Keeps the classes that `is_kept` says.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(ClassId) -> bool) {
        self.0.retain(|class, _| is_kept(*class));
    }
}
