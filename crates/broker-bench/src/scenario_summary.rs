//! Figures of a scenario over several days: means, confidence intervals, recovery.

use crate::run_results::{RunResults, SecondResults};
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Width of the column with the scenarios' names, in all tables.
pub const SCENARIO_WIDTH: usize = 34;
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
pub fn recovery_seconds(results: &RunResults, faults_end: usize) -> Option<usize> {
    let has_recovered =
        |second: &SecondResults| second.service.share_if_any().is_none_or(|share| share >= RECOVERED_SERVICE);
    let after = results.seconds.get(faults_end..)?;
    let with_queries = after.iter().rposition(|second| second.sent > 0).map_or(0, |last| last + 1);
    let mut windows = after[..with_queries].windows(RECOVERED_SECONDS.min(with_queries.max(1)));
    windows.position(|window| window.iter().all(has_recovered))
}

/// The figures of a scenario's days by one policy. Ratios and shares are means over the days.
#[derive(Clone, Debug)]
pub struct ScenarioSummary {
    pub service: f64,
    /// Service of the worst ten seconds.
    pub worst_window: f64,
    /// Service of the tenant that was served worst.
    pub worst_tenant: f64,
    pub by_tenant: Vec<f64>,
    pub rejected_per_query: f64,
    pub attempts_per_query: f64,
    /// How often clients sent a query, with their retries.
    pub client_attempts_per_query: f64,
    /// Each day's recovery, as of [`recovery_seconds`].
    pub recovery: Vec<Option<usize>>,
    /// The rules that were broken on any day, in their order.
    pub broken_rules: Vec<&'static str>,
    /// The rule that came closest to its limit.
    pub closest: Option<ClosestRule>,
    /// The beginning of each day's digest.
    pub digests: Vec<String>,
}

/// A rule, and how close it came to its limit.
#[derive(Clone, Debug)]
pub struct ClosestRule {
    pub rule: &'static str,
    /// 1 is the limit.
    pub ratio: f64,
    /// Seconds of the day.
    pub at_s: f64,
}

impl ScenarioSummary {
    /// Of days whose last fault ends at this second.
    pub fn of(runs: &[RunResults], faults_end: usize) -> ScenarioSummary {
        let per_query =
            |count: fn(&RunResults) -> u64| mean(runs, |run| count(run) as f64 / run.queries.max(1) as f64);
        ScenarioSummary {
            service: mean(runs, |run| run.service.share()),
            worst_window: mean(runs, RunResults::worst_window),
            worst_tenant: mean(runs, worst_tenant_service),
            by_tenant: mean_service_by_tenant(runs),
            rejected_per_query: per_query(|run| run.rejected),
            attempts_per_query: per_query(|run| run.attempts),
            client_attempts_per_query: per_query(|run| run.client_attempts),
            recovery: runs.iter().map(|run| recovery_seconds(run, faults_end)).collect(),
            broken_rules: broken_rules(runs),
            closest: closest_rule(runs),
            digests: runs.iter().map(|run| run.short_digest().to_owned()).collect(),
        }
    }

    /// The figures as scripts read them. The keys are older than the terms of the code, and stay.
    pub fn json(&self) -> Value {
        json!({
            "service": self.service,
            "worst_10_s": self.worst_window,
            "worst_caller": self.worst_tenant,
            "callers": self.by_tenant,
            "declined": self.rejected_per_query,
            "pushes_a_retrieval": self.attempts_per_query,
            "tries_a_retrieval": self.client_attempts_per_query,
            "recovers_s": self.recovery,
            "broken": self.broken_rules,
            "nearest": self.closest.as_ref().map(ClosestRule::json),
            "digests": self.digests,
        })
    }

    /// Each day's recovery in seconds, as it is printed; `-`: not on that day.
    pub fn recovery_text(&self) -> String {
        let text = |seconds: &Option<usize>| seconds.map_or("-".to_owned(), |seconds| seconds.to_string());
        self.recovery.iter().map(text).collect::<Vec<_>>().join(" ")
    }
}

impl ClosestRule {
    fn json(&self) -> Value {
        json!({"rule": self.rule, "ratio": self.ratio, "at_s": self.at_s})
    }
}

fn mean(runs: &[RunResults], figure: impl Fn(&RunResults) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64
}

fn worst_tenant_service(run: &RunResults) -> f64 {
    run.by_tenant.iter().filter_map(|service| service.share_if_any()).fold(1.0, f64::min)
}

fn mean_service_by_tenant(runs: &[RunResults]) -> Vec<f64> {
    let tenants = runs.iter().map(|run| run.by_tenant.len()).max().unwrap_or(0);
    let mean = |tenant: usize| {
        let shares: Vec<f64> =
            runs.iter().filter_map(|run| run.by_tenant.get(tenant)?.share_if_any()).collect();
        shares.iter().sum::<f64>() / shares.len().max(1) as f64
    };
    (0..tenants).map(mean).collect()
}

fn broken_rules(runs: &[RunResults]) -> Vec<&'static str> {
    let mut broken: Vec<&str> = runs.iter().flat_map(|run| run.violations.keys().copied()).collect();
    broken.sort_unstable();
    broken.dedup();
    broken
}

/// The rule that came closest to its limit. Rules 1 and 5 are left out: rule 1 is at its limit whenever a
/// client waits until its deadline.
fn closest_rule(runs: &[RunResults]) -> Option<ClosestRule> {
    let rules = runs.iter().flat_map(|run| &run.closest);
    let compared = rules.filter(|(rule, _)| !rule.starts_with('1') && !rule.starts_with('5'));
    let (rule, closest) = compared.max_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio))?;
    Some(ClosestRule { rule, ratio: closest.ratio, at_s: closest.at.as_ms() / 1000.0 })
}
