//! Configurations that replace one another while queries are open.
//!
//! A query keeps the configuration under which it was accepted. What outlives a configuration goes by what it
//! means: rates by tenant, yields by class, attempts by time.

use super::replica_subset::max_group_replicas;
use super::retry_budget::default_budget;
use crate::config::BrokerConfig;
use crate::effective_config::{ClassPolicy, EffectiveConfig};
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The shortest latency objective of a configuration without classes.
const DEFAULT_OBJECTIVE: TimeSpan = TimeSpan::from_secs(5);

/// A configuration with what decisions read of it.
pub(crate) fn derive_config(config: BrokerConfig) -> EffectiveConfig {
    let budget = default_budget(&config.limits);
    let max_group_replicas = max_group_replicas(&config.layout);
    EffectiveConfig::derive(config, budget, DEFAULT_OBJECTIVE, max_group_replicas)
}

/// How long a configuration binds beside the one that replaces it: as long as a window of its rules reaches
/// back. Without that, a change would let twice the retry budget, or twice what a warming node bears, through
/// in one window. One period, the longest, serves all rules: simpler than one each, at the cost that a higher
/// retry budget waits for the warm-up period.
pub(crate) fn binding_period(old: &EffectiveConfig, send_delay: TimeSpan) -> TimeSpan {
    let rules = &old.broker.rules;
    let retry_window = old.retry_budget.window + send_delay;
    retry_window.max(rules.warm_up_period).max(rules.overload_window)
}

/// Whether a class's smoothed yield outlives a change: every yield is measured against the best, so one that
/// is no longer earned would hold back all others.
pub(crate) fn keeps_yield(old: Option<&ClassPolicy>, new: Option<&ClassPolicy>) -> bool {
    let figures = |policy: &ClassPolicy| (policy.priority_weight, policy.min_coverage);
    old.is_some() && old.map(figures) == new.map(figures)
}
