//! The settings text as it comes from the platform. Fields have the names of the text's keys; `broker_settings`
//! turns them into the terms of the code.

use serde::Deserialize;

/// The whole text; keys that are not read here are skipped.
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
    /// The names of the request classes, in the text's order.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|service| &service.name[..])
    }

    /// The names of the tenants, in the text's order.
    pub fn tenant_names(&self) -> impl Iterator<Item = &str> {
        self.tenants.iter().map(|tenant| &tenant.name[..])
    }
}

/// A request class.
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

/// The layout of shards, and what queries need of it.
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

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantText {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub quota_rps: f64,
}

/// Limits of queries and of connections to nodes.
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

/// Rules that protect nodes.
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

/// How nodes report their load.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct StatsText {
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub via: String,
}

/// What outcomes cost.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct PricesText {
    #[serde(default)]
    pub late_fail: f64,
}
