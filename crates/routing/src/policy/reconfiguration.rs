//! Configuration changes while queries are open.
//!
//! A query keeps the configuration under which it was accepted. State that outlives a configuration is keyed
//! by what it describes: rates by tenant, yields by class, attempts by time.

use super::replica_subset::max_group_replicas;
use super::retry_budget::default_budget;
use crate::config::BrokerConfig;
use crate::effective_config::{ClassPolicy, EffectiveConfig};
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The shortest latency objective assumed for a configuration without classes.
const DEFAULT_OBJECTIVE: TimeSpan = TimeSpan::from_secs(5);

/// Returns the configuration together with the values that policies derive from it.
pub(crate) fn derive_config(config: BrokerConfig) -> EffectiveConfig {
    let budget = default_budget(&config.limits);
    let max_group_replicas = max_group_replicas(&config.layout);
    EffectiveConfig::derive(config, budget, DEFAULT_OBJECTIVE, max_group_replicas)
}

/// Returns how long a configuration stays binding after it has been replaced: as long as the longest window
/// of its rules. Otherwise a change could admit twice the retry budget, or twice the load that a warming node
/// can handle, within one window. A single period, the longest, is used for all rules. This is simpler than
/// one period per rule, at the cost that a higher retry budget only takes effect after the warm-up period.
pub(crate) fn binding_period(old: &EffectiveConfig, send_delay: TimeSpan) -> TimeSpan {
    let rules = &old.broker.rules;
    let retry_window = old.retry_budget.window + send_delay;
    retry_window.max(rules.warm_up_period).max(rules.overload_window)
}

/// Returns whether the smoothed yield of a class is kept across a configuration change. Every yield is
/// compared with the best one, so an outdated yield would hold back all other classes.
pub(crate) fn keeps_yield(old: Option<&ClassPolicy>, new: Option<&ClassPolicy>) -> bool {
    let figures = |policy: &ClassPolicy| (policy.priority_weight, policy.min_coverage);
    old.is_some() && old.map(figures) == new.map(figures)
}
