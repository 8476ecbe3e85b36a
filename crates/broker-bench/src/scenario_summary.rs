//! Summarizes several runs of a scenario: means, confidence intervals and recovery times.

use crate::run_results::{RunResults, SecondResults};
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Width of the column of scenario names in all tables, in characters.
pub const SCENARIO_WIDTH: usize = 34;
/// Served share from which on a second counts as recovered.
const RECOVERED_SERVICE: f64 = 0.95;
/// Number of consecutive recovered seconds that make a recovery.
const RECOVERED_SECONDS: usize = 3;
/// Upper quantile of a two-sided 95% confidence interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanWithInterval {
    pub mean: f64,
    /// Half of the interval's width, or `None` for a single value, which has no variance.
    pub half_interval: Option<f64>,
}

impl MeanWithInterval {
    /// Computes the mean and its interval by Student's t-distribution, as there are few values.
    pub fn of(values: &[f64]) -> MeanWithInterval {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        let squares = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        let deviation = (squares / (count - 1.0)).sqrt();
        let student = StudentsT::new(0.0, 1.0, count - 1.0).ok();
        let factor = student.map(|student| student.inverse_cdf(UPPER_QUANTILE));
        MeanWithInterval { mean, half_interval: factor.map(|factor| factor * deviation / count.sqrt()) }
    }
}

/// Returns the seconds from `faults_end`, the second at which the last fault ends, until service has recovered, or
/// `None` if it does not recover within the run.
pub fn recovery_seconds(results: &RunResults, faults_end: usize) -> Option<usize> {
    let has_recovered =
        |second: &SecondResults| second.service.share_if_any().is_none_or(|share| share >= RECOVERED_SERVICE);
    let after = results.seconds.get(faults_end..)?;
    let with_queries = after.iter().rposition(|second| second.sent > 0).map_or(0, |last| last + 1);
    let mut windows = after[..with_queries].windows(RECOVERED_SECONDS.min(with_queries.max(1)));
    windows.position(|window| window.iter().all(has_recovered))
}

/// The results of a scenario under one policy. Ratios and shares are means over the runs.
#[derive(Clone, Debug)]
pub struct ScenarioSummary {
    /// Served share of the offered weight.
    pub service: f64,
    /// Served share of the worst window of 10 s; see [`RunResults::worst_window`].
    pub worst_window: f64,
    /// Served share of the tenant with the lowest one.
    pub worst_tenant: f64,
    /// Served share of each tenant.
    pub by_tenant: Vec<f64>,
    pub rejected_per_query: f64,
    pub attempts_per_query: f64,
    /// Sendings per query by its client, including retries.
    pub client_attempts_per_query: f64,
    /// The recovery time of each run, from [`recovery_seconds`].
    pub recovery: Vec<Option<usize>>,
    /// The rules that were broken in any run, sorted.
    pub broken_rules: Vec<&'static str>,
    /// The rule that came closest to its limit.
    pub closest: Option<ClosestRule>,
    /// The shortened digest of each run.
    pub digests: Vec<String>,
}

/// A rule and its closest approach to its limit.
#[derive(Clone, Debug)]
pub struct ClosestRule {
    pub rule: &'static str,
    /// Fraction of the limit that was reached; 1 is the limit.
    pub ratio: f64,
    /// Time of the approach, in seconds from the start of the run.
    pub at_s: f64,
}

impl ScenarioSummary {
    /// Summarizes runs whose last fault ends at the second `faults_end`.
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

    /// Returns the summary as JSON. The keys are read by scripts and keep their older names.
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

    /// Returns the recovery times in seconds, separated by spaces; `-` stands for a run that did not recover.
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

fn mean(runs: &[RunResults], value: impl Fn(&RunResults) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64
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

/// Returns the rule that came closest to its limit. Rules 1 and 5 are left out: rule 1 is at its limit whenever a
/// client waits until its deadline.
fn closest_rule(runs: &[RunResults]) -> Option<ClosestRule> {
    let rules = runs.iter().flat_map(|run| &run.closest);
    let compared = rules.filter(|(rule, _)| !rule.starts_with('1') && !rule.starts_with('5'));
    let (rule, closest) = compared.max_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio))?;
    Some(ClosestRule { rule, ratio: closest.ratio, at_s: closest.at.as_ms() / 1000.0 })
}
