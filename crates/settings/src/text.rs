//! Settings as they come on the wire, before anything is made of them.

use serde::Deserialize;

/// Settings as they come on the wire; what is not read here is skipped.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Text {
    pub instances: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default)]
    pub areas: Vec<String>,
    pub period_ms: f64,
    pub services: Vec<Service>,
    pub domain: Domain,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub over_share_worth: f64,
    pub limits: TextLimits,
    pub rules: TextRules,
    pub registry_mode: String,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub stats: Stats,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    #[serde(default)]
    pub name: String,
    pub on_time_ms: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    #[serde(default)]
    pub late_weight_share: f64,
    pub effect: String,
    #[serde(default)]
    pub dedup_window_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Domain {
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

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub quota_rps: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TextLimits {
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

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TextRules {
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

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct Stats {
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub via: String,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
pub struct Prices {
    #[serde(default)]
    pub late_fail: f64,
}
