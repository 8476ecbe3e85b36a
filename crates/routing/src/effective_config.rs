//! Configuration together with the values that are derived from it once.

use crate::config::{BrokerConfig, Idempotency, RequestClass, RetryBudget};
use crate::ids::ClassId;
use crate::time::TimeSpan;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Request class with the derived values that decisions use.
#[derive(Debug)]
pub(crate) struct ClassPolicy {
    /// Latency objective, capped at the deadline.
    pub(crate) latency_objective: TimeSpan,
    pub(crate) objective_stretch: f64,
    pub(crate) deadline: TimeSpan,
    /// Time after the objective during which a response still has value.
    pub(crate) useful_after_objective: TimeSpan,
    /// Fraction of the priority weight that remains for a response after the objective.
    pub(crate) late_weight_share: f64,
    pub(crate) min_coverage: f64,
    pub(crate) complete_coverage: f64,
    pub(crate) has_second_phase: bool,
    pub(crate) idempotency: Idempotency,
    pub(crate) dedup_window: TimeSpan,
    pub(crate) priority_weight: f64,
}

impl ClassPolicy {
    fn of(class: &RequestClass) -> ClassPolicy {
        let after_objective = (class.deadline - class.latency_objective).max(TimeSpan::ZERO);
        ClassPolicy {
            latency_objective: class.latency_objective.min(class.deadline),
            objective_stretch: class.objective_stretch,
            deadline: class.deadline,
            useful_after_objective: after_objective.mul_f64(class.late_weight_share),
            late_weight_share: class.late_weight_share,
            min_coverage: class.min_coverage.min(class.complete_coverage),
            complete_coverage: class.complete_coverage,
            has_second_phase: class.second_phase_shard_requests > 0,
            idempotency: class.idempotency,
            dedup_window: class.dedup_window,
            priority_weight: class.priority_weight,
        }
    }
}

/// Configuration of a broker and the values derived from it.
#[derive(Debug, Default)]
pub(crate) struct EffectiveConfig {
    pub(crate) broker: BrokerConfig,
    pub(crate) classes: BTreeMap<ClassId, Arc<ClassPolicy>>,
    /// Configured retry budget, or the default one if none is configured.
    pub(crate) retry_budget: RetryBudget,
    /// Shortest latency objective of all classes.
    pub(crate) shortest_objective: TimeSpan,
    /// Maximum number of replicas of one placement group among which the broker chooses.
    pub(crate) max_group_replicas: usize,
}

impl EffectiveConfig {
    /// Derives the effective configuration. `default_budget` applies if `broker` has no retry budget, and
    /// `default_objective` if it has no class.
    pub(crate) fn derive(
        broker: BrokerConfig,
        default_budget: RetryBudget,
        default_objective: TimeSpan,
        max_group_replicas: usize,
    ) -> EffectiveConfig {
        let policies = broker.classes.iter().map(|(id, class)| (*id, Arc::new(ClassPolicy::of(class))));
        let classes: BTreeMap<ClassId, Arc<ClassPolicy>> = policies.collect();
        let shortest = classes.values().map(|policy| policy.latency_objective).min();
        EffectiveConfig {
            classes,
            retry_budget: broker.rules.retry_budget.clone().unwrap_or(default_budget),
            shortest_objective: shortest.unwrap_or(default_objective),
            max_group_replicas,
            broker,
        }
    }
}
