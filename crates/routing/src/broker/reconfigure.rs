//! Configuration changes while queries are open.

use super::Broker;
use crate::config::BrokerConfig;
use crate::policy::reconfiguration::{binding_period, derive_config, keeps_yield};
use crate::state::SupersededConfig;
use std::sync::Arc;

impl Broker {
    /// Applies a configuration to queries that are accepted from now on. The rules of the previous configuration
    /// also apply until its binding period ends.
    pub(super) fn reconfigure(&mut self, config: BrokerConfig) {
        let old = std::mem::replace(&mut self.config, Arc::new(derive_config(config)));
        let now = self.state.now;
        let binds_until = now + binding_period(&old, self.max_send_delay());
        let new = &self.config;
        self.state.concurrency_limit.lower_to(new.broker.limits.max_open);
        self.state.class_yields.retain(|class| {
            let (before, after) = (old.classes.get(&class), new.classes.get(&class));
            keeps_yield(before.map(Arc::as_ref), after.map(Arc::as_ref))
        });
        self.state.tenant_rates.remove_idle(now, |tenant| new.broker.tenants.contains_key(&tenant));
        self.state.superseded_configs.push(SupersededConfig { binds_until, config: old });
    }
}
