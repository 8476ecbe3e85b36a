//! Statements that change the configuration.

use crate::runner::ScenarioRunner;
use crate::words::{Words, span, value};
use routing::{
    ClassId, Idempotency, Input, RequestClass, RetryBudget, ShardLayout, Tenant, TenantId, TimeSpan,
};

/// Returns the configuration of a scenario without configuration statements.
pub fn default_config() -> routing::BrokerConfig {
    let mut config =
        routing::BrokerConfig { brokers: 1, period: TimeSpan(50), ..routing::BrokerConfig::default() };
    config.layout = ShardLayout { placement_groups: 1, replica_groups: 1, shards: 1, max_batch_size: 1 };
    config.limits.max_open = 1000;
    config.limits.max_attempts = 3;
    config
}

impl ScenarioRunner {
    /// Applies a configuration statement; returns false if the statement is of another kind.
    pub fn configure(&mut self, words: &Words) -> bool {
        match words[0] {
            "send-lag" => self.config.send_lag = TimeSpan::from_ms(words[1].parse().unwrap()),
            "brokers" => self.config.brokers = words[1].parse().unwrap(),
            "class" => self.add_class(words),
            "remove-class" => {
                let class = self.class(words[1]).unwrap();
                self.config.classes.remove(&class);
            }
            "tenant" => self.add_tenant(words),
            "remove-tenant" => _ = self.config.tenants.remove(&TenantId(words[1].parse().unwrap())),
            "layout" => self.set_layout(words),
            "limits" => self.set_limits(words),
            "rules" => self.set_rules(words),
            "retry-budget" => self.set_retry_budget(words),
            // The configuration statements since the last `configure` take effect from here on.
            "configure" => {
                self.effects.clear();
                self.inputs.push(Input::Config(Box::new(self.config.clone())));
            }
            _ => return false,
        }
        true
    }

    /// Returns the id of the class with this name, if it has ever been configured.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let position = self.class_names.iter().position(|known| known == name)?;
        Some(ClassId(position as u16))
    }

    fn add_class(&mut self, words: &Words) {
        let id = self.class(words[1]).unwrap_or_else(|| {
            self.class_names.push(words[1].to_owned());
            ClassId((self.class_names.len() - 1) as u16)
        });
        let class = RequestClass {
            latency_objective: span(words, "objective", 1000.0),
            objective_stretch: value(words, "stretch", 0.0),
            deadline: span(words, "deadline", 3000.0),
            priority_weight: value(words, "priority", 1.0),
            late_weight_share: value(words, "late-share", 0.0),
            min_coverage: value(words, "min-coverage", 1.0),
            complete_coverage: value(words, "complete-coverage", 1.0),
            second_phase_shard_requests: value(words, "second-phase", 0),
            idempotency: match value(words, "idempotency", String::new()).as_str() {
                "key" => Idempotency::IdempotencyKey,
                "at-most-once" => Idempotency::AtMostOnce,
                _ => Idempotency::Idempotent,
            },
            dedup_window: span(words, "dedup-window", 0.0),
        };
        self.config.classes.insert(id, class);
    }

    fn add_tenant(&mut self, words: &Words) {
        let id = value(words, "id", self.config.tenants.len() as u32);
        let tenant = Tenant { quota_per_s: words[1].parse().unwrap() };
        self.config.tenants.insert(TenantId(id), tenant);
    }

    fn set_layout(&mut self, words: &Words) {
        self.config.layout = ShardLayout {
            placement_groups: value(words, "groups", 1),
            replica_groups: value(words, "replica-groups", 1),
            shards: value(words, "shards", 1),
            max_batch_size: value(words, "max-batch", 1),
        };
    }

    fn set_limits(&mut self, words: &Words) {
        let limits = &mut self.config.limits;
        limits.max_attempts = value(words, "attempts", 3);
        limits.max_open = value(words, "open", 1000);
        limits.allow_hedging = words.contains(&"hedging");
        limits.allow_cancel = words.contains(&"cancel");
    }

    fn set_rules(&mut self, words: &Words) {
        let rules = &mut self.config.rules;
        rules.initial_capacity_share = value(words, "initial-capacity", 0.2);
        rules.warm_up_period = span(words, "warm-up", 10_000.0);
        rules.overload_factor = value(words, "overload-factor", 3.0);
        rules.overload_window = span(words, "overload-window", 1000.0);
        rules.endpoint_list_max_age = span(words, "list-max-age", 10_000.0);
        self.config.watch_on_request = words.contains(&"watch-on-request");
        self.config.load_by_probe = words.contains(&"load-by-probe");
        self.config.late_failure_cost = value(words, "late-failure", 0.05);
    }

    fn set_retry_budget(&mut self, words: &Words) {
        let budget = RetryBudget {
            min_retries: value(words, "floor", 0.0),
            ratio: value(words, "ratio", 0.0),
            window: span(words, "window", 1000.0),
        };
        self.config.rules.retry_budget = Some(budget);
    }
}
