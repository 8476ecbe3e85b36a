//! Probation of a version: detects whether a newly applied version makes queries fail.
//!
//! The share of queries that fail under the version is compared with the share before it. Wilson score intervals
//! account for noise. While nodes are failing no verdict is reached, because the loss of a zone in the same minute
//! makes queries fail just as a bad version does.
//!
//! The probation cannot detect a version that brings nodes down, because this looks like failing nodes. It cannot
//! distinguish a bad version from a fault of tenants, or of the network to them, that began in the same period. It
//! misses failures that are too rare for the traffic during the probation.

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
    /// Nodes are about as healthy as before the version was applied.
    Stable,
    /// Nodes are failing, and the probation is paused.
    NodesFailing,
}

/// Nodes are considered to be failing if the number of ready nodes falls below this fraction of the number before the
/// version was applied.
const MIN_READY_RATIO: f64 = 0.9;
/// Baseline failure ratio that is assumed if too few queries ended before the version was applied.
const DEFAULT_BASELINE_RATIO: f64 = 0.5;

/// The counts at one evaluation of the probation.
struct Observation {
    now: Timestamp,
    /// Counts since `Probation::count_start`.
    sample: Sample,
}

type Guard = fn(&Probation, &Observation) -> bool;
type Action = fn(&mut Probation, &Observation) -> Verdict;

/// A row of the transition table, which applies if the condition matches and the guard holds. The action returns the
/// verdict.
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

/// The transition table. The first matching row is taken.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  condition     guard                         next          action
    row(Stable,       Probation::are_nodes_failing, NodesFailing, Probation::pause),
    row(Stable,       Probation::has_timed_out,     Stable,       Probation::end_unproven),
    row(NodesFailing, Probation::has_timed_out,     Stable,       Probation::end_with_nodes_failing),
    row(NodesFailing, Probation::are_nodes_failing, NodesFailing, Probation::continue_pending),
    row(NodesFailing, Probation::always,            Stable,       Probation::continue_pending),
    row(Stable,       Probation::exceeds_baseline,  Stable,       Probation::fail),
    row(Stable,       Probation::is_proven,         Stable,       Probation::prove),
    row(Stable,       Probation::always,            Stable,       Probation::continue_pending),
];

/// The time at which counting began, and the cumulative counts at that time.
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
    /// The start of counting: the time at which the version was applied, or at which nodes were last seen failing.
    count_start: CountStart,
    condition: ProbationCondition,
}

impl Probation {
    /// Starts the probation of a version that is applied now. `outcomes` are the outcomes before it, which serve as
    /// the baseline.
    pub fn new(policy: RolloutPolicy, outcomes: &OutcomeWindow, now: Timestamp) -> Probation {
        let count_start = CountStart { at: now, sample: Sample::default() };
        Probation { policy, baseline: outcomes.baseline(), started: now, count_start, condition: Stable }
    }

    /// Returns whether nodes are failing.
    pub fn condition(&self) -> ProbationCondition {
        self.condition
    }

    /// Takes the first matching transition and returns its verdict. `sample` holds cumulative counts since the
    /// version was applied.
    pub fn judge(&mut self, now: Timestamp, sample: Sample) -> Verdict {
        let observation = Observation { now, sample: sample.since(self.count_start.sample) };
        let transition =
            TRANSITIONS.iter().find(|row| row.condition == self.condition && (row.guard)(self, &observation));
        let Some(transition) = transition else { return Verdict::Pending };
        self.condition = transition.next;
        if self.condition == NodesFailing {
            // Neither time nor queries count toward the probation while nodes are failing.
            self.count_start = CountStart { at: now, sample };
        }
        (transition.action)(self, &observation)
    }

    /// Returns the upper bound of the share of queries that failed on healthy nodes before the version was applied.
    fn baseline_failure_ratio(&self) -> f64 {
        let min_ended = self.policy.min_ended_queries;
        self.baseline.upper_bound(min_ended, Sample::failed_on_healthy_nodes, DEFAULT_BASELINE_RATIO)
    }

    // Guards of the transition table.

    fn always(&self, _: &Observation) -> bool {
        true
    }

    /// Returns whether too few of the earlier nodes are ready, or the share of queries that found a node down exceeds
    /// the baseline by more than noise and the margin.
    fn are_nodes_failing(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, .. } = self.policy;
        let Sample { ended, failed_on_nodes, ready_nodes, .. } = observation.sample;
        let baseline_ratio =
            self.baseline.upper_bound(min_ended_queries, |sample| sample.failed_on_nodes, 0.0);
        let lower = score_interval(failed_on_nodes, ended).lower;
        (ready_nodes as f64) < self.baseline.ready_nodes as f64 * MIN_READY_RATIO
            || lower > baseline_ratio + failure_ratio_margin
    }

    fn has_timed_out(&self, observation: &Observation) -> bool {
        observation.now - self.started >= self.policy.max_probation_duration
    }

    /// Returns whether the share of queries that failed on healthy nodes exceeds the baseline by more than noise and
    /// the margin.
    fn exceeds_baseline(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, .. } = self.policy;
        let sample = observation.sample;
        let lower = score_interval(sample.failed_on_healthy_nodes(), sample.ended).lower;
        sample.ended >= min_ended_queries && lower > self.baseline_failure_ratio() + failure_ratio_margin
    }

    /// Returns whether enough time has passed, enough queries have ended, and the share that failed does not exceed
    /// the baseline by more than the margin. A version with a larger share that is still within noise stays on
    /// probation.
    fn is_proven(&self, observation: &Observation) -> bool {
        let RolloutPolicy { min_ended_queries, failure_ratio_margin, probation_duration, .. } = self.policy;
        let sample = observation.sample;
        let max_failed = (self.baseline_failure_ratio() + failure_ratio_margin) * sample.ended as f64;
        let is_above_baseline = sample.failed_on_healthy_nodes() as f64 > max_failed;
        observation.now - self.count_start.at >= probation_duration
            && sample.ended >= min_ended_queries
            && !is_above_baseline
    }

    // Actions of the transition table.

    fn continue_pending(&mut self, _: &Observation) -> Verdict {
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

    fn end_with_nodes_failing(&mut self, _: &Observation) -> Verdict {
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
