//! The settings text, turned into the library's configuration and what a front needs beside it. Decides
//! nothing about queries.
//!
//! - [`read`] takes the text of one start, as the platform gives it: keys it does not know are skipped.
//! - [`Document`] is a whole text of an installation, to be checked: [`check`] lists every mistake in it.
//! - [`revise`] turns a document into what a running broker takes over, or lists why it can't be.
//!
//! ```
//! let document = settings::Document::parse(br#"{"PeriodMs": 5.0, "Rulez": {}}"#, 1 << 20).unwrap();
//! let mistakes = settings::check(&document);
//! assert!(mistakes.iter().any(|m| m.to_string() == "`Rulez` is unknown: `Rules` is the nearest key"));
//! ```

mod catalogue;
mod check;
mod document;
mod fields;
mod revise;
mod text;

pub use catalogue::NameRegistry;
pub use check::{Mistake, check};
pub use document::{Document, Unreadable};
pub use fields::{Applies, FIELDS, Field, Form};
pub use revise::{Change, Revised, compare, revise};

use routing::{
    BrokerConfig, Idempotency, LoadMetric, RequestClass, RequestLimits, RetryBudget, SafetyRules,
    ShardLayout, Tenant, Tenths, ZoneId,
};
use text::Text;

/// What a settings text holds for one broker.
#[derive(Clone, Debug, Default)]
pub struct BrokerSettings {
    pub broker_config: BrokerConfig,
    pub names: NameRegistry,
    pub zones: Vec<String>,
    pub lines: Lines,
    /// What the values of a load report are, in their order.
    pub report: Vec<LoadMetric>,
}

/// What holds for a connection to a node; none where the text is silent.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    /// A node closes a connection that was idle for so long.
    pub idle: Option<Tenths>,
    /// One that is not up by then never comes up.
    pub connect: Option<Tenths>,
    /// The shard requests that one carries at a time.
    pub shard_requests: Option<u32>,
}

/// Reads a settings text, or says which key is amiss. Numbers go by the order in the text.
pub fn read(text: &[u8]) -> Result<BrokerSettings, String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let names = NameRegistry::in_order(
        text.services.iter().map(|service| &service.name[..]),
        text.tenants.iter().map(|tenant| &tenant.name[..]),
    );
    prescribe(&text, names, |at, _| at, |at, _| at)
}

/// Makes the configuration, with the numbers that these give to classes and tenants.
fn prescribe(
    text: &Text,
    names: NameRegistry,
    class_no: impl Fn(usize, &str) -> usize,
    tenant_no: impl Fn(usize, &str) -> usize,
) -> Result<BrokerSettings, String> {
    let lines = Lines {
        idle: text.limits.conn_idle_ms.map(Tenths::from_ms),
        connect: text.limits.connect_timeout_ms.map(Tenths::from_ms),
        shard_requests: text.limits.streams_per_conn,
    };
    let classes = text.services.iter().enumerate().map(|(at, service)| {
        let least = text.domain.min_share.get(at).ok_or("settings: `MinShare` is too short")?;
        let whole = text.domain.complete_from.get(at).ok_or("settings: `CompleteFrom` is too short")?;
        let class = RequestClass {
            latency_objective: Tenths::from_ms(service.on_time_ms),
            objective_stretch: service.aim_stretch,
            deadline: Tenths::from_ms(service.deadline_ms),
            priority_weight: service.worth,
            late_weight_share: service.late_weight_share,
            min_coverage: *least,
            complete_coverage: *whole,
            second_parts: text.domain.fetch_parts.get(at).copied().unwrap_or(0),
            effect: match service.effect.as_str() {
                "idempotent" => Idempotency::Idempotent,
                "deduplicated" => Idempotency::IdempotencyKey,
                "at_most_once" => Idempotency::AtMostOnce,
                other => return Err(format!("settings: `Effect` is `{other}`")),
            },
            dedup_window: Tenths::from_ms(service.dedup_window_ms),
        };
        let no = u16::try_from(class_no(at, &service.name));
        Ok((routing::ClassId(no.map_err(|_| "settings: too many categories")?), class))
    });
    let tenants = text.tenants.iter().enumerate().map(|(at, tenant)| {
        let no = routing::TenantId(tenant_no(at, &tenant.name) as u32);
        (no, Tenant { quota_per_s: tenant.quota_rps })
    });
    let rules = &text.rules;
    let broker_config = BrokerConfig {
        brokers: text.instances,
        zone: ZoneId(text.zone),
        period: Tenths::from_ms(text.period_ms),
        send_lag: Tenths::ZERO,
        classes: classes.collect::<Result<_, String>>()?,
        tenants: tenants.collect(),
        over_quota_weight: text.over_share_worth,
        layout: ShardLayout {
            placement_groups: text.domain.cells,
            replica_groups: text.domain.reach,
            shards: text.domain.ranges,
            max_batch_size: text.domain.per_call.max(1),
        },
        limits: RequestLimits {
            max_open: text.limits.max_open,
            max_attempts: text.limits.max_attempts,
            allow_hedging: text.limits.second_copies,
            allow_cancel: text.limits.may_cancel,
            retry_after: text.limits.retry_after,
            max_retry_after: Tenths::from_ms(text.limits.max_retry_after_ms),
        },
        rules: SafetyRules {
            initial_capacity_share: rules.cold_from,
            warm_up_period: Tenths::from_ms(rules.warm_up_ms),
            overload_factor: rules.overload_factor,
            overload_window: Tenths::from_ms(rules.overload_for_ms),
            endpoint_list_max_age: Tenths::from_ms(rules.ask_within_ms),
            drain_grace: Tenths::from_ms(rules.stop_sending_within_ms),
            retry_budget: rules.budget_window_ms.map(|window| RetryBudget {
                floor: rules.extra_floor.unwrap_or(0.0),
                share: rules.resend_ratio.unwrap_or(0.0),
                window: Tenths::from_ms(window),
            }),
        },
        watch_on_request: text.registry_mode == "subscribe",
        load_by_probe: text.limits.probes && text.stats.via == "pull",
        late_failure_cost: text.prices.late_fail,
    };
    let report = text.stats.fields.iter().map(|name| load_metric(name)).collect();
    Ok(BrokerSettings { broker_config, names, zones: text.areas.clone(), lines, report })
}

/// What a value of a load report is, by its name.
pub fn load_metric(name: &str) -> LoadMetric {
    match name {
        "queue" => LoadMetric::QueueLength,
        "qps" => LoadMetric::ServiceRate,
        _ => LoadMetric::Ignored,
    }
}

#[cfg(test)]
mod tests;
