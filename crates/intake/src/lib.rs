//! The settings text, turned into the library's prescription and what a front needs beside it. Decides
//! nothing.

use barleydrum::{
    Caller, Category, EffectKind, FurtherBudget, Layout, Limits, Prescription, Rules, Tenths, ZoneNo,
};
use serde::Deserialize;

/// What a settings text holds for one broker.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    pub prescription: Prescription,
    pub names: Names,
    pub lines: Lines,
}

/// Names in the order of their numbers. Decisions never see them: a front reads and writes them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub categories: Vec<String>,
    pub callers: Vec<String>,
    pub zones: Vec<String>,
}

/// What holds for a connection to a node; none where the text is silent.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    /// A node closes a connection that was idle for so long.
    pub idle: Option<Tenths>,
    /// One that is not up by then never comes up.
    pub connect: Option<Tenths>,
    /// The parts that one carries at a time.
    pub parts: Option<u32>,
}

/// Settings as they come on the wire; what is not read here is skipped.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Text {
    instances: u32,
    #[serde(default)]
    zone: u16,
    #[serde(default)]
    areas: Vec<String>,
    period_ms: f64,
    services: Vec<Service>,
    domain: Domain,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    over_share_worth: f64,
    limits: TextLimits,
    rules: TextRules,
    registry_mode: String,
    #[serde(default)]
    prices: Prices,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(default)]
    name: String,
    on_time_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    worth: f64,
    #[serde(default)]
    late_share: f64,
    effect: String,
    #[serde(default)]
    dedup_window_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Domain {
    cells: u32,
    reach: u32,
    ranges: u32,
    #[serde(default)]
    per_call: u32,
    complete_from: Vec<f64>,
    min_share: Vec<f64>,
    #[serde(default)]
    fetch_parts: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TextLimits {
    max_attempts: u32,
    max_open: u32,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
    conn_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    streams_per_conn: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TextRules {
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
    warm_up_ms: f64,
    #[serde(default)]
    overload_factor: f64,
    #[serde(default)]
    overload_for_ms: f64,
    #[serde(default)]
    ask_within_ms: f64,
    extra_floor: Option<f64>,
    resend_ratio: Option<f64>,
    budget_window_ms: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase")]
struct Prices {
    #[serde(default)]
    late_fail: f64,
}

/// Reads a settings text, or says which key is amiss.
pub fn read(text: &[u8]) -> Result<Intake, String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let names = Names {
        categories: text.services.iter().map(|service| service.name.clone()).collect(),
        callers: text.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: text.areas.clone(),
    };
    let lines = Lines {
        idle: text.limits.conn_idle_ms.map(Tenths::from_ms),
        connect: text.limits.connect_timeout_ms.map(Tenths::from_ms),
        parts: text.limits.streams_per_conn,
    };
    let categories = text.services.iter().enumerate().map(|(at, service)| {
        let least = text.domain.min_share.get(at).ok_or("settings: `MinShare` is too short")?;
        let whole = text.domain.complete_from.get(at).ok_or("settings: `CompleteFrom` is too short")?;
        Ok(Category {
            goal_time: Tenths::from_ms(service.on_time_ms),
            goal_stretch: service.aim_stretch,
            cut_off: Tenths::from_ms(service.deadline_ms),
            payoff: service.worth,
            late_share: service.late_share,
            least_share: *least,
            whole_from: *whole,
            second_parts: text.domain.fetch_parts.get(at).copied().unwrap_or(0),
            effect: match service.effect.as_str() {
                "idempotent" => EffectKind::Reissuable,
                "deduplicated" => EffectKind::Numbered,
                "at_most_once" => EffectKind::AtMostOnce,
                other => return Err(format!("settings: `Effect` is `{other}`")),
            },
            repeat_window: Tenths::from_ms(service.dedup_window_ms),
        })
    });
    let rules = &text.rules;
    let prescription = Prescription {
        brokers: text.instances,
        zone: ZoneNo(text.zone),
        period: Tenths::from_ms(text.period_ms),
        send_lag: Tenths::ZERO,
        categories: categories.collect::<Result<_, String>>()?,
        callers: text.tenants.iter().map(|t| Caller { quota_per_s: t.quota_rps }).collect(),
        over_share_payoff: text.over_share_worth,
        layout: Layout {
            cells: text.domain.cells,
            reach: text.domain.reach,
            shards: text.domain.ranges,
            per_call: text.domain.per_call.max(1),
        },
        limits: Limits {
            most_open: text.limits.max_open,
            most_pushes: text.limits.max_attempts,
            copies: text.limits.second_copies,
            may_withdraw: text.limits.may_cancel,
            stay_away: text.limits.retry_after,
            longest_stay_away: Tenths::from_ms(text.limits.max_retry_after_ms),
        },
        rules: Rules {
            cold_share: rules.cold_from,
            warm_after: Tenths::from_ms(rules.warm_up_ms),
            fall_multiple: rules.overload_factor,
            fall_window: Tenths::from_ms(rules.overload_for_ms),
            ask_within: Tenths::from_ms(rules.ask_within_ms),
            further: rules.budget_window_ms.map(|window| FurtherBudget {
                floor: rules.extra_floor.unwrap_or(0.0),
                share: rules.resend_ratio.unwrap_or(0.0),
                window: Tenths::from_ms(window),
            }),
        },
        roll_on_request: text.registry_mode == "subscribe",
        late_scrap_price: text.prices.late_fail,
    };
    Ok(Intake { prescription, names, lines })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const TEXT: &str = r#"{"Instances": 1, "PeriodMs": 5.0, "RegistryMode": "automatic", "Surprise": [1],
        "Areas": ["hall"], "Tenants": [{"Name": "clinic", "QuotaRps": 2.5}],
        "Services": [{"Name": "report", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 3.0,
            "Effect": "deduplicated"}],
        "Domain": {"Cells": 1, "Reach": 1, "Ranges": 1, "CompleteFrom": [1.0], "MinShare": [0.4]},
        "Limits": {"MaxAttempts": 3, "MaxOpen": 111, "ConnIdleMs": 15000.0, "StreamsPerConn": 32}, "Rules": {}}"#;

    #[rstest]
    fn reads_what_a_broker_and_its_front_need() {
        let Intake { prescription: read, names, lines } = super::read(TEXT.as_bytes()).unwrap();
        assert_eq!((read.period, read.limits.most_open, read.roll_on_request), (Tenths(50), 111, false));
        let category = &read.categories[0];
        assert_eq!((category.effect, category.least_share), (EffectKind::Numbered, 0.4));
        assert!(read.rules.further.is_none());
        assert_eq!((&names.categories[0][..], &names.callers[0][..]), ("report", "clinic"));
        assert_eq!((&names.zones[0][..], read.callers[0].quota_per_s), ("hall", 2.5));
        assert_eq!((lines.idle, lines.connect, lines.parts), (Some(Tenths(150_000)), None, Some(32)));
    }
}
