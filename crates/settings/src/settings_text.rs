//! Settings in the form in which the platform provides them. The fields have the names of the settings keys;
//! `broker_settings` converts them to the terms of the code.
//!
//! Errors of serde contain the names of these types, and the simulator adapter sends them to the simulator.

use serde::Deserialize;

/// Settings of a broker. Keys without a field are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsText {
    pub instances: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default)]
    pub areas: Vec<String>,
    pub period_ms: f64,
    pub services: Vec<ClassText>,
    pub domain: DomainText,
    #[serde(default)]
    pub tenants: Vec<TenantText>,
    #[serde(default)]
    pub over_share_worth: f64,
    pub limits: LimitsText,
    pub rules: RulesText,
    pub registry_mode: String,
    #[serde(default)]
    pub prices: PricesText,
    #[serde(default)]
    pub stats: StatsText,
}

impl SettingsText {
    /// Returns the names of the request classes, in the order of the list.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|service| &service.name[..])
    }

    /// Returns the names of the tenants, in the order of the list.
    pub fn tenant_names(&self) -> impl Iterator<Item = &str> {
        self.tenants.iter().map(|tenant| &tenant.name[..])
    }
}

/// Item of `Services`, which describes a request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassText {
    #[serde(default)]
    pub name: String,
    pub on_time_ms: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    #[serde(default)]
    pub late_share: f64,
    pub effect: String,
    #[serde(default)]
    pub dedup_window_ms: f64,
}

/// Object `Domain`: the shard layout, and the coverage that queries need.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DomainText {
    pub cells: u32,
    pub reach: u32,
    pub ranges: u32,
    #[serde(default)]
    pub per_call: u32,
    pub complete_from: Vec<f64>,
    pub min_share: Vec<f64>,
    #[serde(default)]
    pub fetch_parts: Vec<u32>,
}

/// Item of `Tenants`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantText {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub quota_rps: f64,
}

/// Object `Limits`: limits of queries and of connections to nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LimitsText {
    pub max_attempts: u32,
    pub max_open: u32,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub may_cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ms: f64,
    pub conn_idle_ms: Option<f64>,
    pub connect_timeout_ms: Option<f64>,
    pub streams_per_conn: Option<u32>,
}

/// Object `Rules`: rules that protect nodes from overload.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RulesText {
    #[serde(default)]
    pub cold_from: f64,
    #[serde(default)]
    pub warm_up_ms: f64,
    #[serde(default)]
    pub overload_factor: f64,
    #[serde(default)]
    pub overload_for_ms: f64,
    #[serde(default)]
    pub ask_within_ms: f64,
    #[serde(default)]
    pub stop_sending_within_ms: f64,
    pub extra_floor: Option<f64>,
    pub resend_ratio: Option<f64>,
    pub budget_window_ms: Option<f64>,
}

/// Object `Stats`: the content and the transport of the nodes' load reports.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct StatsText {
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub via: String,
}

/// Object `Prices`: the costs of query outcomes.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct PricesText {
    #[serde(default)]
    pub late_fail: f64,
}
