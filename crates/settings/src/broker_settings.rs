//! Converts settings to the configuration of a broker. This is the only module that maps the names of the settings
//! keys, which the platform defines, to the terms of the code. [`SettingsText`](crate::settings_text) has the names
//! of the keys.
//!
//! | keys | terms in the code |
//! | --- | --- |
//! | `Instances` | brokers |
//! | `Services`, `Worth` | request classes, priority weight |
//! | `OnTimeMs`, `AimStretch` | latency objective, objective stretch |
//! | `Effect`, `DedupWindowMs` | idempotency, deduplication window |
//! | `Domain.Cells`, `Reach`, `Ranges`, `PerCall` | placement groups, replica groups, shards, batch size |
//! | `Domain.MinShare`, `CompleteFrom` | minimum coverage, complete coverage |
//! | `Domain.FetchParts` | shard requests of the second phase |
//! | `OverShareWorth` | weight of queries beyond their tenant's quota |
//! | `Limits.SecondCopies`, `MayCancel` | hedging, cancellation |
//! | `Rules.ColdFrom`, `WarmUpMs` | initial capacity share and warm-up period of slow start |
//! | `Rules.AskWithinMs`, `StopSendingWithinMs` | maximum age of the endpoint list, drain grace period |
//! | `Rules.ExtraFloor`, `ResendRatio`, `BudgetWindowMs` | minimum retries, ratio and window of the retry budget |
//! | `Areas`, `Zone` | zones |

use crate::settings_text::{ClassText, LimitsText, RulesText, SettingsText};
use crate::{NameRegistry, SettingsError};
use routing::{
    BrokerConfig, ClassId, Idempotency, LoadMetric, RequestClass, RequestLimits, RetryBudget, SafetyRules,
    ShardLayout, Tenant, TenantId, TimeSpan, ZoneId,
};
use std::collections::BTreeMap;

/// Settings of one broker, in the terms of the code.
#[derive(Clone, Debug, Default)]
pub struct BrokerSettings {
    /// Configuration of the routing logic.
    pub broker_config: BrokerConfig,
    /// Ids of the request classes and tenants, by name.
    pub names: NameRegistry,
    /// Names of the zones, indexed by zone id.
    pub zones: Vec<String>,
    /// Limits of each connection to a node.
    pub connections: ConnectionSettings,
    /// Metrics that a load report consists of, in the order of its values.
    pub load_report: Vec<LoadMetric>,
}

/// Limits of each connection to a node. A limit is `None` if the settings do not contain its key.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSettings {
    /// Time after which a node closes an idle connection.
    pub idle_timeout: Option<TimeSpan>,
    /// Time after which an attempt to connect has failed if no connection is established.
    pub connect_timeout: Option<TimeSpan>,
    /// Maximum number of concurrent shard requests on one connection.
    pub max_shard_requests: Option<u32>,
}

/// Numbers that become the ids of request classes and tenants, in the order of the lists.
pub(crate) struct AssignedNumbers {
    pub classes: Vec<usize>,
    pub tenants: Vec<usize>,
}

/// Parses settings in JSON. Unknown keys are ignored; ids are assigned in the order of the lists.
///
/// # Errors
///
/// Returns the first error: invalid JSON, a missing key, a value of the wrong type or an unknown `Effect`, a list
/// with fewer items than there are request classes, or more request classes than ids.
pub fn read(text: &[u8]) -> Result<BrokerSettings, SettingsError> {
    let raw: SettingsText = serde_json::from_slice(text).map_err(SettingsError::Syntax)?;
    let names = NameRegistry::from_names(raw.class_names(), raw.tenant_names());
    let numbers = AssignedNumbers {
        classes: (0..raw.services.len()).collect(),
        tenants: (0..raw.tenants.len()).collect(),
    };
    BrokerSettings::from_raw(&raw, names, &numbers)
}

/// Returns the load metric with the given name in a load report, or [`LoadMetric::Ignored`] for an unknown name.
pub fn load_metric(name: &str) -> LoadMetric {
    match name {
        "queue" => LoadMetric::QueueLength,
        "qps" => LoadMetric::ServiceRate,
        _ => LoadMetric::Ignored,
    }
}

impl BrokerSettings {
    /// Converts parsed settings, with `numbers` as the ids of their request classes and tenants.
    pub(crate) fn from_raw(
        raw: &SettingsText,
        names: NameRegistry,
        numbers: &AssignedNumbers,
    ) -> Result<BrokerSettings, SettingsError> {
        Ok(BrokerSettings {
            broker_config: broker_config(raw, numbers)?,
            names,
            zones: raw.areas.clone(),
            connections: connection_settings(&raw.limits),
            load_report: raw.stats.fields.iter().map(|name| load_metric(name)).collect(),
        })
    }
}

fn broker_config(raw: &SettingsText, numbers: &AssignedNumbers) -> Result<BrokerConfig, SettingsError> {
    Ok(BrokerConfig {
        brokers: raw.instances,
        zone: ZoneId(raw.zone),
        period: TimeSpan::from_ms(raw.period_ms),
        send_lag: TimeSpan::ZERO,
        classes: request_classes(raw, &numbers.classes)?,
        tenants: tenants(raw, &numbers.tenants),
        over_quota_weight: raw.over_share_worth,
        layout: shard_layout(raw),
        limits: request_limits(&raw.limits),
        rules: safety_rules(&raw.rules),
        watch_on_request: raw.registry_mode == "subscribe",
        load_by_probe: raw.limits.probes && raw.stats.via == "pull",
        late_failure_cost: raw.prices.late_fail,
    })
}

fn request_classes(
    raw: &SettingsText,
    numbers: &[usize],
) -> Result<BTreeMap<ClassId, RequestClass>, SettingsError> {
    let classes = raw.services.iter().zip(numbers).enumerate().map(|(index, (service, number))| {
        let class = request_class(raw, index, service)?;
        let id = u16::try_from(*number).map_err(|_| SettingsError::TooManyClasses)?;
        Ok((ClassId(id), class))
    });
    classes.collect()
}

fn request_class(
    raw: &SettingsText,
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
        min_coverage: share(&raw.domain.min_share, "MinShare")?,
        complete_coverage: share(&raw.domain.complete_from, "CompleteFrom")?,
        second_phase_shard_requests: raw.domain.fetch_parts.get(index).copied().unwrap_or(0),
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

fn tenants(raw: &SettingsText, numbers: &[usize]) -> BTreeMap<TenantId, Tenant> {
    let tenants = raw.tenants.iter().zip(numbers);
    let rows =
        tenants.map(|(tenant, number)| (TenantId(*number as u32), Tenant { quota_per_s: tenant.quota_rps }));
    rows.collect()
}

fn shard_layout(raw: &SettingsText) -> ShardLayout {
    ShardLayout {
        placement_groups: raw.domain.cells,
        replica_groups: raw.domain.reach,
        shards: raw.domain.ranges,
        max_batch_size: raw.domain.per_call.max(1),
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
