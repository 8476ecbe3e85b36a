//! Yields: the priority weight that a class earns per shard request. Under overload, classes with a higher
//! yield get more of the capacity (`concurrency_limit`) and more retries (`attempt_limit`).

use crate::ids::ClassId;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The weight of a new sample in a class's smoothed yield.
const NEW_SAMPLE_WEIGHT: f64 = 0.25;

/// The priority weight per shard request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClassYield {
    /// The yield if only the minimum coverage is sent.
    pub(crate) at_min_coverage: f64,
    /// The yield if all shard requests are sent.
    pub(crate) at_full_coverage: f64,
}

impl ClassYield {
    /// Returns the yield of a query with this priority weight. `needed` is the number of its shard requests
    /// that the minimum coverage needs.
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

/// The smoothed recent yields of the classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassYields(BTreeMap<ClassId, ClassYield>);

impl ClassYields {
    /// Adds the yield of a query to the smoothed yield of its class.
    pub(crate) fn record(&mut self, class: ClassId, new: ClassYield) {
        let smoothed = self.0.entry(class).or_insert(new);
        smoothed.at_min_coverage += (new.at_min_coverage - smoothed.at_min_coverage) * NEW_SAMPLE_WEIGHT;
        smoothed.at_full_coverage += (new.at_full_coverage - smoothed.at_full_coverage) * NEW_SAMPLE_WEIGHT;
    }

    /// Returns the highest yield of any class at its minimum coverage, at least `own`.
    pub(crate) fn best_at_min_coverage(&self, own: f64) -> f64 {
        self.best(own, |class_yield| class_yield.at_min_coverage)
    }

    /// Returns the highest yield of any class at full coverage, at least `own`.
    pub(crate) fn best_at_full_coverage(&self, own: f64) -> f64 {
        self.best(own, |class_yield| class_yield.at_full_coverage)
    }

    fn best(&self, own: f64, kind: impl Fn(&ClassYield) -> f64) -> f64 {
        self.0.values().map(kind).fold(own, f64::max).max(f64::MIN_POSITIVE)
    }

    /// Removes the yields of the classes for which `is_kept` returns false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(ClassId) -> bool) {
        self.0.retain(|class, _| is_kept(*class));
    }
}
