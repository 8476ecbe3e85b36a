//! Turns a settings text into a broker's configuration: the one place where the words of the settings keys
//! become the terms of the code. The keys stay as the platform gives them
//! ([`SettingsText`](crate::settings_text) has their names); everything past this module has the code's terms.
//!
//! | key | code |
//! | --- | --- |
//! | `Instances` | brokers |
//! | `Services`, `Worth`, `OnTimeMs`, `AimStretch` | request classes, priority weight, latency objective, its stretch |
//! | `Effect`, `DedupWindowMs` | idempotency, deduplication window |
//! | `Domain.Cells`, `Reach`, `Ranges`, `PerCall` | placement groups, replica groups, shards, batch size |
//! | `Domain.MinShare`, `CompleteFrom`, `FetchParts` | minimum coverage, complete coverage, shard requests of the second phase |
//! | `OverShareWorth` | weight of queries beyond their tenant's quota |
//! | `Limits.SecondCopies`, `MayCancel` | hedging, cancelling |
//! | `Rules.ColdFrom`, `WarmUpMs` | initial capacity share and period of slow start |
//! | `Rules.AskWithinMs`, `StopSendingWithinMs` | maximal age of the endpoint list, drain grace |
//! | `Rules.ExtraFloor`, `ResendRatio`, `BudgetWindowMs` | floor, share and window of the retry budget |
//! | `Areas`, `Zone` | zones |

use crate::settings_text::{ClassText, LimitsText, RulesText, SettingsText};
use crate::{NameRegistry, SettingsError};
use routing::{
    BrokerConfig, ClassId, Idempotency, LoadMetric, RequestClass, RequestLimits, RetryBudget, SafetyRules,
    ShardLayout, Tenant, TenantId, TimeSpan, ZoneId,
};
use std::collections::BTreeMap;

/// What a settings text holds for one broker.
#[derive(Clone, Debug, Default)]
pub struct BrokerSettings {
    /// The configuration of the routing decisions.
    pub broker_config: BrokerConfig,
    /// Which ids the names of request classes and tenants have.
    pub names: NameRegistry,
    /// The zones' names, by zone id.
    pub zones: Vec<String>,
    /// Limits of a connection to a node.
    pub connections: ConnectionSettings,
    /// What each value of a load report is, in their order.
    pub load_report: Vec<LoadMetric>,
}

/// Limits of a connection to a node; `None` where the text does not state them.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSettings {
    /// A node closes a connection that was idle for this long.
    pub idle_timeout: Option<TimeSpan>,
    /// A connection that is not established within this time never will be.
    pub connect_timeout: Option<TimeSpan>,
    /// The shard requests that one connection carries at a time.
    pub max_shard_requests: Option<u32>,
}

/// The numbers of a text's request classes and tenants, in the text's order.
pub(crate) struct AssignedNumbers {
    pub classes: Vec<usize>,
    pub tenants: Vec<usize>,
}

/// Reads a settings text; unknown keys are skipped. Ids go by the order in the text.
///
/// # Errors
/// The first thing that is wrong: no JSON, a missing key, a value of the wrong type or kind.
pub fn read(text: &[u8]) -> Result<BrokerSettings, SettingsError> {
    let text: SettingsText = serde_json::from_slice(text).map_err(SettingsError::Syntax)?;
    let names = NameRegistry::in_order(text.class_names(), text.tenant_names());
    let numbers = AssignedNumbers {
        classes: (0..text.services.len()).collect(),
        tenants: (0..text.tenants.len()).collect(),
    };
    BrokerSettings::from_text(&text, names, &numbers)
}

/// What a value of a load report is, by its name.
pub fn load_metric(name: &str) -> LoadMetric {
    match name {
        "queue" => LoadMetric::QueueLength,
        "qps" => LoadMetric::ServiceRate,
        _ => LoadMetric::Ignored,
    }
}

impl BrokerSettings {
    /// The configuration that a text states, with these ids for its request classes and tenants.
    pub(crate) fn from_text(
        text: &SettingsText,
        names: NameRegistry,
        numbers: &AssignedNumbers,
    ) -> Result<BrokerSettings, SettingsError> {
        Ok(BrokerSettings {
            broker_config: broker_config(text, numbers)?,
            names,
            zones: text.areas.clone(),
            connections: connection_settings(&text.limits),
            load_report: text.stats.fields.iter().map(|name| load_metric(name)).collect(),
        })
    }
}

fn broker_config(text: &SettingsText, numbers: &AssignedNumbers) -> Result<BrokerConfig, SettingsError> {
    Ok(BrokerConfig {
        brokers: text.instances,
        zone: ZoneId(text.zone),
        period: TimeSpan::from_ms(text.period_ms),
        send_lag: TimeSpan::ZERO,
        classes: request_classes(text, &numbers.classes)?,
        tenants: tenants(text, &numbers.tenants),
        over_quota_weight: text.over_share_worth,
        layout: shard_layout(text),
        limits: request_limits(&text.limits),
        rules: safety_rules(&text.rules),
        watch_on_request: text.registry_mode == "subscribe",
        load_by_probe: text.limits.probes && text.stats.via == "pull",
        late_failure_cost: text.prices.late_fail,
    })
}

fn request_classes(
    text: &SettingsText,
    numbers: &[usize],
) -> Result<BTreeMap<ClassId, RequestClass>, SettingsError> {
    let classes = text.services.iter().zip(numbers).enumerate().map(|(index, (service, number))| {
        let class = request_class(text, index, service)?;
        let id = u16::try_from(*number).map_err(|_| SettingsError::TooManyClasses)?;
        Ok((ClassId(id), class))
    });
    classes.collect()
}

fn request_class(
    text: &SettingsText,
    index: usize,
    service: &ClassText,
) -> Result<RequestClass, SettingsError> {
    let share = |shares: &[f64], key: &'static str| {
        shares.get(index).copied().ok_or(SettingsError::ListTooShort { key })
    };
    Ok(RequestClass {
        latency_objective: TimeSpan::from_ms(service.on_time_ms),
        objective_stretch: service.aim_stretch,
        deadline: TimeSpan::from_ms(service.deadline_ms),
        priority_weight: service.worth,
        late_weight_share: service.late_share,
        min_coverage: share(&text.domain.min_share, "MinShare")?,
        complete_coverage: share(&text.domain.complete_from, "CompleteFrom")?,
        second_phase_shard_requests: text.domain.fetch_parts.get(index).copied().unwrap_or(0),
        idempotency: idempotency(&service.effect)?,
        dedup_window: TimeSpan::from_ms(service.dedup_window_ms),
    })
}

fn idempotency(effect: &str) -> Result<Idempotency, SettingsError> {
    match effect {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::IdempotencyKey),
        "at_most_once" => Ok(Idempotency::AtMostOnce),
        other => Err(SettingsError::UnknownEffect { effect: other.to_owned() }),
    }
}

fn tenants(text: &SettingsText, numbers: &[usize]) -> BTreeMap<TenantId, Tenant> {
    let tenants = text.tenants.iter().zip(numbers);
    let rows =
        tenants.map(|(tenant, number)| (TenantId(*number as u32), Tenant { quota_per_s: tenant.quota_rps }));
    rows.collect()
}

fn shard_layout(text: &SettingsText) -> ShardLayout {
    ShardLayout {
        placement_groups: text.domain.cells,
        replica_groups: text.domain.reach,
        shards: text.domain.ranges,
        max_batch_size: text.domain.per_call.max(1),
    }
}

fn request_limits(limits: &LimitsText) -> RequestLimits {
    RequestLimits {
        max_open: limits.max_open,
        max_attempts: limits.max_attempts,
        allow_hedging: limits.second_copies,
        allow_cancel: limits.may_cancel,
        send_retry_after: limits.retry_after,
        max_retry_after: TimeSpan::from_ms(limits.max_retry_after_ms),
    }
}

fn safety_rules(rules: &RulesText) -> SafetyRules {
    SafetyRules {
        initial_capacity_share: rules.cold_from,
        warm_up_period: TimeSpan::from_ms(rules.warm_up_ms),
        overload_factor: rules.overload_factor,
        overload_window: TimeSpan::from_ms(rules.overload_for_ms),
        endpoint_list_max_age: TimeSpan::from_ms(rules.ask_within_ms),
        drain_grace: TimeSpan::from_ms(rules.stop_sending_within_ms),
        retry_budget: rules.budget_window_ms.map(|window_ms| RetryBudget {
            min_retries: rules.extra_floor.unwrap_or(0.0),
            ratio: rules.resend_ratio.unwrap_or(0.0),
            window: TimeSpan::from_ms(window_ms),
        }),
    }
}

fn connection_settings(limits: &LimitsText) -> ConnectionSettings {
    ConnectionSettings {
        idle_timeout: limits.conn_idle_ms.map(TimeSpan::from_ms),
        connect_timeout: limits.connect_timeout_ms.map(TimeSpan::from_ms),
        max_shard_requests: limits.streams_per_conn,
    }
}
