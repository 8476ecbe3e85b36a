//! Configurations that replace one another while queries are open.

use super::*;

/// Where no budget is stated, retries stay under this share of what was accepted in `SMOOTHING_SPAN`.
const DEFAULT_RETRY_SHARE: f64 = 0.25;

/// A broker restrains itself where no budget is stated: one node's outage must not double the load.
pub(crate) fn derive_config(config: BrokerConfig) -> EffectiveConfig {
    let floor = config.limits.max_attempts.into();
    let own = RetryBudget { floor, share: DEFAULT_RETRY_SHARE, window: SMOOTHING_SPAN };
    let max_group_replicas = max_group_replicas(&config.layout);
    EffectiveConfig::derive(config, own, SMOOTHING_SPAN, max_group_replicas)
}

impl Broker {
    /// What outlives the old configuration goes by what it means: rates by tenant, yields by class, attempts
    /// by time. The old one binds on, beside the new, for as long as a window of its rules reaches back.
    /// Guards against a change that would let twice the budget through in one window.
    pub(crate) fn reconfigure(&mut self, config: BrokerConfig) {
        let old = std::mem::replace(&mut self.config, Arc::new(derive_config(config)));
        let rules = &old.broker.rules;
        let retry_window = old.retry_budget.window + self.send_delay();
        let longest_window = retry_window.max(rules.warm_up_period).max(rules.overload_window);
        let now = self.state.now;
        let (state, new) = (&mut self.state, &self.config);
        let max_open = f64::from(new.broker.limits.max_open.max(1));
        state.concurrency_limit = state.concurrency_limit.min(max_open);
        let value = |policy: &Arc<ClassPolicy>| (policy.priority_weight, policy.min_coverage);
        state.yields.retain(|class, _| {
            let (before, after) = (old.classes.get(class).map(value), new.classes.get(class).map(value));
            before.is_some() && before == after
        });
        state.tenant_rates.retain(|tenant, rate| {
            new.broker.tenants.contains_key(tenant) || rate.read(now, SMOOTHING_SPAN) >= PRESSURE_THRESHOLD
        });
        state.superseded_configs.push(SupersededConfig { binds_until: now + longest_window, config: old });
    }
}
