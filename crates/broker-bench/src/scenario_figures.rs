//! Figures of a scenario over several days: means, confidence intervals, recovery.

use crate::results::{DayResults, SecondResults};
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Service at which a second counts as recovered.
const RECOVERED_SERVICE: f64 = 0.95;
/// Recovered seconds in succession that make a recovery.
const RECOVERED_SECONDS: usize = 3;
/// The upper quantile of a two-sided interval of 95%.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean, and half of its 95% confidence interval; none for a single figure, which has no spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanWithInterval {
    pub mean: f64,
    pub half_interval: Option<f64>,
}

impl MeanWithInterval {
    /// By Student's distribution, for few figures.
    pub fn of(figures: &[f64]) -> MeanWithInterval {
        let count = figures.len() as f64;
        let mean = figures.iter().sum::<f64>() / count.max(1.0);
        let squares = figures.iter().map(|figure| (figure - mean).powi(2)).sum::<f64>();
        let deviation = (squares / (count - 1.0)).sqrt();
        let student = StudentsT::new(0.0, 1.0, count - 1.0).ok();
        let factor = student.map(|student| student.inverse_cdf(UPPER_QUANTILE));
        MeanWithInterval { mean, half_interval: factor.map(|factor| factor * deviation / count.sqrt()) }
    }
}

/// Seconds from the end of the last fault until service has recovered; none if it has not in this day.
pub fn recovery_seconds(results: &DayResults, faults_end: usize) -> Option<usize> {
    let has_recovered = |second: &SecondResults| {
        second.service.share_if_asked().is_none_or(|share| share >= RECOVERED_SERVICE)
    };
    let after = results.seconds.get(faults_end..)?;
    let asked = after.iter().rposition(|second| second.asked > 0).map_or(0, |last| last + 1);
    let mut windows = after[..asked].windows(RECOVERED_SECONDS.min(asked.max(1)));
    windows.position(|window| window.iter().all(has_recovered))
}

/// The figures of a scenario's days, as scripts read them. The keys are older than the terms of the code, and
/// stay.
pub fn scenario_json(days: &[DayResults], faults_end: usize) -> Value {
    let per_query =
        |count: fn(&DayResults) -> u64| mean(days, |day| count(day) as f64 / day.queries.max(1) as f64);
    let mut broken: Vec<&str> = days.iter().flat_map(|day| day.violations.keys().copied()).collect();
    broken.sort_unstable();
    broken.dedup();
    let recovered: Vec<Option<usize>> = days.iter().map(|day| recovery_seconds(day, faults_end)).collect();
    json!({
        "service": mean(days, |day| day.service.share()),
        "worst_10_s": mean(days, DayResults::worst_window),
        "worst_caller": mean(days, worst_tenant_service),
        "callers": mean_service_by_tenant(days),
        "declined": per_query(|day| day.rejected),
        "pushes_a_retrieval": per_query(|day| day.attempts),
        "tries_a_retrieval": per_query(|day| day.client_attempts),
        "recovers_s": recovered,
        "broken": broken,
        "nearest": closest_rule(days),
        "digests": days.iter().map(|day| day.digest[..16].to_owned()).collect::<Vec<_>>(),
    })
}

fn mean(days: &[DayResults], figure: impl Fn(&DayResults) -> f64) -> f64 {
    days.iter().map(figure).sum::<f64>() / days.len().max(1) as f64
}

fn worst_tenant_service(day: &DayResults) -> f64 {
    day.by_tenant.iter().filter_map(|service| service.share_if_asked()).fold(1.0, f64::min)
}

/// Each tenant's service, the mean over days.
fn mean_service_by_tenant(days: &[DayResults]) -> Vec<f64> {
    let tenants = days.iter().map(|day| day.by_tenant.len()).max().unwrap_or(0);
    let mean = |tenant: usize| {
        let shares: Vec<f64> =
            days.iter().filter_map(|day| day.by_tenant.get(tenant)?.share_if_asked()).collect();
        shares.iter().sum::<f64>() / shares.len().max(1) as f64
    };
    (0..tenants).map(mean).collect()
}

/// The rule that came closest to its limit. Rules 1 and 5 are left out: rule 1 is at its limit whenever a
/// client waits until its deadline.
fn closest_rule(days: &[DayResults]) -> Option<Value> {
    let rules = days.iter().flat_map(|day| &day.closest);
    let compared = rules.filter(|(rule, _)| !rule.starts_with('1') && !rule.starts_with('5'));
    let (rule, closest) = compared.max_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio))?;
    Some(json!({"rule": rule, "ratio": closest.ratio, "at_s": closest.at.as_ms() / 1000.0}))
}
