//! Whether a version on probation makes queries fail. The share of queries that failed under it is compared
//! with the share before, beyond noise (Wilson's score interval); while nodes are failing there is no
//! verdict, because a zone that is lost in the same minute makes queries fail just as a bad version does.
//!
//! What it can't tell: a version that brings nodes down (it looks like failing nodes); a fault of tenants, or
//! of the network to them, that began in the same span as the version; failures that are too rare for the
//! traffic during the probation.

use crate::outcome_window::Baseline;
pub use crate::outcome_window::OutcomeWindow;
use crate::policy::RolloutPolicy;
use crate::sample::Sample;
use crate::verdict::{NodeLoss, ProbationFailure, UnprovenReason, Verdict};
use crate::wilson::score_interval;
use ProbationCondition::{NodesFailing, Stable};
use routing::Timestamp;

/// Whether nodes are failing while a version is on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbationCondition {
    /// Nodes are as they were before the version.
    Stable,
    /// Nodes are failing; the probation is paused.
    NodesFailing,
}

/// If fewer than this share of the nodes ready before are left, nodes are failing.
const MIN_READY_RATIO: f64 = 0.9;
/// Where too few queries ended before to compare with, this share failing is taken for usual.
const UNKNOWN_FAILURE_RATIO: f64 = 0.5;

/// What one look at the counts shows.
struct Observation {
    now: Timestamp,
    /// Since counting last began, see `Probation::count_start`.
    sample: Sample,
}

type Guard = fn(&Probation, &Observation) -> bool;
type Action = fn(&mut Probation, &Observation) -> Verdict;

/// In a condition, if the guard holds: the next condition, and the action that gives the verdict.
struct Transition {
    condition: ProbationCondition,
    guard: Guard,
    next: ProbationCondition,
    action: Action,
}

const fn row(
    condition: ProbationCondition,
    guard: Guard,
    next: ProbationCondition,
    action: Action,
) -> Transition {
    Transition { condition, guard, next, action }
}

/// The first row that fits is taken.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  condition     guard                     next          action
    row(Stable,       Probation::loses_nodes,   NodesFailing, Probation::pause),
    row(Stable,       Probation::is_too_long,   Stable,       Probation::end_unproven),
    row(NodesFailing, Probation::is_too_long,   Stable,       Probation::end_while_nodes_fail),
    row(NodesFailing, Probation::loses_nodes,   NodesFailing, Probation::stay_pending),
    row(NodesFailing, Probation::always,        Stable,       Probation::stay_pending),
    row(Stable,       Probation::is_worse,      Stable,       Probation::fail),
    row(Stable,       Probation::is_over,       Stable,       Probation::prove),
    row(Stable,       Probation::always,        Stable,       Probation::stay_pending),
];

/// When counting began, and the counts at that time.
#[derive(Clone, Copy, Debug)]
struct CountStart {
    at: Timestamp,
    sample: Sample,
}

/// The probation of one version.
#[derive(Debug)]
pub struct Probation {
    policy: RolloutPolicy,
    baseline: Baseline,
    started: Timestamp,
    /// When counting last began: when the version was applied, or when nodes were last seen failing.
    count_start: CountStart,
    condition: ProbationCondition,
}

impl Probation {
    /// The probation of a version that is applied now, compared with these outcomes before it.
    pub fn new(policy: RolloutPolicy, outcomes: &OutcomeWindow, now: Timestamp) -> Probation {
        let count_start = CountStart { at: now, sample: Sample::default() };
        Probation { policy, baseline: outcomes.baseline(), started: now, count_start, condition: Stable }
    }

    /// Whether nodes are failing.
    pub fn condition(&self) -> ProbationCondition {
        self.condition
    }

    /// Takes the first row of `TRANSITIONS` that fits; `sample` counts since the version was applied.
    pub fn judge(&mut self, now: Timestamp, sample: Sample) -> Verdict {
        let observation = Observation { now, sample: sample.since(self.count_start.sample) };
        let transition =
            TRANSITIONS.iter().find(|row| row.condition == self.condition && (row.guard)(self, &observation));
        let Some(transition) = transition else { return Verdict::Pending };
        self.condition = transition.next;
        if self.condition == NodesFailing {
            // Neither queries nor time count while nodes are failing.
            self.count_start = CountStart { at: now, sample };
        }
        (transition.action)(self, &observation)
    }

    /// The largest share of queries failing on healthy nodes that is usual.
    fn usual_failure_ratio(&self) -> f64 {
        let min_ended = self.policy.min_ended_queries;
        self.baseline.upper_bound(min_ended, Sample::failed_on_healthy_nodes, UNKNOWN_FAILURE_RATIO)
    }

    // ---- guards

    fn always(&self, _: &Observation) -> bool {
        true
    }

    /// Fewer nodes than before, or more queries that found theirs down.
    fn loses_nodes(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, .. } = self.policy;
        let Sample { ended, failed_on_nodes, ready_nodes, .. } = observation.sample;
        let usual = self.baseline.upper_bound(min_ended_queries, |sample| sample.failed_on_nodes, 0.0);
        let lower = score_interval(failed_on_nodes, ended).lower;
        (ready_nodes as f64) < self.baseline.ready_nodes as f64 * MIN_READY_RATIO
            || lower > usual + failure_ratio_margin
    }

    fn is_too_long(&self, observation: &Observation) -> bool {
        observation.now - self.started >= self.policy.max_probation_duration
    }

    /// The share that failed on healthy nodes exceeds the usual one by more than noise and the margin.
    fn is_worse(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, .. } = self.policy;
        let sample = observation.sample;
        let lower = score_interval(sample.failed_on_healthy_nodes(), sample.ended).lower;
        sample.ended >= min_ended_queries && lower > self.usual_failure_ratio() + failure_ratio_margin
    }

    /// There was enough time and there were enough queries, and no larger share failed than usual. While a
    /// larger share failed, though not beyond noise, the version stays on probation.
    fn is_over(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, probation_duration, .. } = self.policy;
        let sample = observation.sample;
        let tolerated = (self.usual_failure_ratio() + failure_ratio_margin) * sample.ended as f64;
        let looks_worse = sample.failed_on_healthy_nodes() as f64 > tolerated;
        observation.now - self.count_start.at >= probation_duration
            && sample.ended >= min_ended_queries
            && !looks_worse
    }

    // ---- actions

    fn stay_pending(&mut self, _: &Observation) -> Verdict {
        Verdict::Pending
    }

    fn pause(&mut self, observation: &Observation) -> Verdict {
        let Sample { ended, failed_on_nodes, ready_nodes, .. } = observation.sample;
        let ready_before = self.baseline.ready_nodes;
        Verdict::Paused(NodeLoss { ready: ready_nodes, ready_before, failed_on_nodes, ended })
    }

    fn end_unproven(&mut self, observation: &Observation) -> Verdict {
        let (ended, required) = (observation.sample.ended, self.policy.min_ended_queries);
        Verdict::Unproven(match ended < required {
            true => UnprovenReason::TooFewQueries { ended, required },
            false => UnprovenReason::Inconclusive,
        })
    }

    fn end_while_nodes_fail(&mut self, _: &Observation) -> Verdict {
        Verdict::Unproven(UnprovenReason::NodesFailing)
    }

    fn prove(&mut self, _: &Observation) -> Verdict {
        Verdict::Proven
    }

    fn fail(&mut self, observation: &Observation) -> Verdict {
        let (sample, before) = (observation.sample, self.baseline.total);
        Verdict::Failed(ProbationFailure {
            failed: sample.failed_on_healthy_nodes(),
            ended: sample.ended,
            observed: observation.now - self.count_start.at,
            failed_before: before.failed_on_healthy_nodes(),
            ended_before: before.ended,
        })
    }
}

#[cfg(test)]
mod tests;
