//! The command `simulate`: runs scenarios in virtual time and prints the results. All figures are simulated.
//!
//! Exit codes: 0 if no rule was broken; 1 if the product broke a rule or a run on sockets differs too much; 2 if an
//! argument or a scenario is invalid; 3 if a run on sockets failed, as on a machine that is too busy.

use crate::report::{self, ReportError};
use crate::run_results::RunResults;
use crate::scenario_files::read_scenarios;
use crate::scenario_run::ScenarioRun;
use crate::scenario_summary::{ClosestRule, MeanWithInterval, SCENARIO_WIDTH, ScenarioSummary};
use crate::simulation::RoutingPolicy;
use crate::socket_comparison::{ComparisonError, MAX_SERVICE_DIFFERENCE, RunComparison};
use clap::Args;
use fault_scenarios::Scenario;
use rayon::prelude::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXIT_RULE_BROKEN: u8 = 1;
const EXIT_WRONG_ARGUMENTS: u8 = 2;
const EXIT_NO_RESULT: u8 = 3;

/// Arguments of the command `simulate`.
#[derive(Args, Clone)]
pub struct SimulateArgs {
    /// A scenario of the library (see `--list`), the path of a scenario file, or `all`.
    #[arg(default_value = "all")]
    scenario: String,
    /// List the scenarios of the library with their descriptions.
    #[arg(long)]
    list: bool,
    /// Number of nodes.
    #[arg(long, alias = "hosts", default_value_t = 60)]
    nodes: u32,
    /// Number of brokers.
    #[arg(long, default_value_t = 30)]
    brokers: u32,
    /// Number of zones.
    #[arg(long, alias = "halls", default_value_t = 3)]
    zones: u32,
    /// Number of runs per scenario, with consecutive seeds from `--seed` on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The routing policy of the brokers.
    #[arg(long, alias = "mind", value_name = "POLICY", default_value = "product")]
    policy: RoutingPolicy,
    /// Repeat the runs with this policy, and print the difference in service with its 95% confidence interval.
    #[arg(long, value_name = "POLICY")]
    against: Option<RoutingPolicy>,
    /// Print the results as one JSON object.
    #[arg(long)]
    json: bool,
    /// Write an HTML page with plots of the first seed's run.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Run each plan twice, in virtual time and on loopback sockets (real brokers, node models), and print the
    /// difference. Only scenarios of crashes, drains, rolling restarts, slow nodes and traffic surges are supported.
    #[arg(long)]
    loopback: bool,
}

impl SimulateArgs {
    fn seeds(&self) -> Vec<u64> {
        (self.seed..self.seed + self.seeds.max(1)).collect()
    }

    fn scenario_run<'a>(&self, scenario: &'a Scenario, seed: u64, policy: RoutingPolicy) -> ScenarioRun<'a> {
        ScenarioRun {
            scenario,
            nodes: self.nodes.max(1),
            brokers: self.brokers.max(1),
            zones: self.zones.max(1),
            seed,
            policy,
        }
    }
}

/// Runs the command and returns the exit code of the process.
pub fn run(args: &SimulateArgs) -> ExitCode {
    let scenarios = match read_scenarios(&args.scenario) {
        Ok(scenarios) => scenarios,
        Err(error) => return fail(&error, EXIT_WRONG_ARGUMENTS),
    };
    if args.list {
        scenarios
            .iter()
            .for_each(|scenario| println!("{:<SCENARIO_WIDTH$} {}", scenario.name, scenario.description));
        return ExitCode::SUCCESS;
    }
    if args.loopback {
        return compare_with_sockets(&scenarios, args);
    }
    let runs = simulate_all(&scenarios, args);
    let mut rows = scenario_rows(&scenarios, &runs, args);
    rows.sort_by(|a, b| a.summary.service.total_cmp(&b.summary.service));
    print_results(&rows, args);
    if let (Some(path), Some(run)) = (&args.report, runs.first())
        && let Err(error) = write_report(path, run, &scenarios[0].name, args)
    {
        return fail(
            &format!("failed to write the report {}: {error}", path.display()),
            EXIT_WRONG_ARGUMENTS,
        );
    }
    let keeps_rules = rows.iter().all(|row| row.summary.broken_rules.is_empty());
    // Only the product has to keep the rules; the other policies are for comparison.
    let passes = keeps_rules || args.policy != RoutingPolicy::Product;
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}

fn fail(error: &impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("broker-bench: {error}");
    ExitCode::from(code)
}

/// Returns the results of each scenario: of all seeds with the policy, then of all seeds with the compared policy, if
/// there is one.
fn simulate_all(scenarios: &[Scenario], args: &SimulateArgs) -> Vec<RunResults> {
    let policies: Vec<RoutingPolicy> = std::iter::once(args.policy).chain(args.against).collect();
    let seeds = args.seeds();
    let mut runs = Vec::new();
    for scenario in scenarios {
        for policy in &policies {
            runs.extend(seeds.iter().map(|seed| args.scenario_run(scenario, *seed, *policy)));
        }
    }
    runs.into_par_iter().map(|run| run.simulate()).collect()
}

/// A scenario and its results.
struct ScenarioRow<'a> {
    scenario: &'a Scenario,
    summary: ScenarioSummary,
    /// The comparison with another policy, or `None` if there is none.
    comparison: Option<PolicyComparison>,
}

/// The results of the same scenario and seeds with another policy.
struct PolicyComparison {
    against: RoutingPolicy,
    summary: ScenarioSummary,
    /// Served share of the first policy minus that of the other one.
    difference: MeanWithInterval,
}

impl ScenarioRow<'_> {
    /// Returns the row as JSON. The keys are read by scripts and keep their older names.
    fn json(&self) -> Value {
        let mut row = self.summary.json();
        row["scenario"] = json!(self.scenario.name);
        row["about"] = json!(self.scenario.description);
        if let Some(PolicyComparison { summary, difference, .. }) = &self.comparison {
            row["against"] = summary.json();
            row["better_by"] = json!({"mean": difference.mean, "half_span_95": difference.half_interval});
        }
        row
    }

    fn print(&self) {
        print!(
            "{:<SCENARIO_WIDTH$} {:>7.4} {:>11.4} {:>13.4} {:>9.3} {:>19.2}  {:<12}",
            self.scenario.name,
            self.summary.service,
            self.summary.worst_window,
            self.summary.worst_tenant,
            self.summary.rejected_per_query,
            self.summary.attempts_per_query,
            self.summary.recovery_text()
        );
        if let Some(PolicyComparison { against, difference, .. }) = &self.comparison {
            let interval = difference.half_interval.map_or(String::new(), |half| format!(" +- {half:.4}"));
            print!("  {:+.4}{interval} compared with {against}", difference.mean);
        } else if let Some(ClosestRule { rule, ratio, at_s }) = &self.summary.closest {
            print!("  closest to a limit: {rule}: {ratio:.2} at {at_s:.1} s");
        }
        println!();
        self.summary.broken_rules.iter().for_each(|rule| println!("    RULE BROKEN  {rule}"));
    }
}

fn scenario_rows<'a>(
    scenarios: &'a [Scenario],
    runs: &[RunResults],
    args: &SimulateArgs,
) -> Vec<ScenarioRow<'a>> {
    let policies = if args.against.is_some() { 2 } else { 1 };
    let seeds = args.seeds().len();
    let row = |(scenario, runs): (&'a Scenario, &[RunResults])| {
        let (own, compared) = runs.split_at(seeds);
        let faults_end = args.scenario_run(scenario, 0, args.policy).faults_end();
        let comparison = args.against.map(|against| PolicyComparison {
            against,
            summary: ScenarioSummary::of(compared, faults_end),
            difference: service_difference(own, compared),
        });
        ScenarioRow { scenario, summary: ScenarioSummary::of(own, faults_end), comparison }
    };
    scenarios.iter().zip(runs.chunks(seeds * policies)).map(row).collect()
}

fn service_difference(own: &[RunResults], compared: &[RunResults]) -> MeanWithInterval {
    let pairs = own.iter().zip(compared);
    let differences: Vec<f64> = pairs.map(|(a, b)| a.service.share() - b.service.share()).collect();
    MeanWithInterval::of(&differences)
}

fn print_results(rows: &[ScenarioRow], args: &SimulateArgs) {
    if args.json {
        println!("{}", results_json(rows, args));
        return;
    }
    println!(
        "simulated: {} nodes in {} zones, {} brokers, seeds {} to {}, {}; worst first",
        args.nodes,
        args.zones,
        args.brokers,
        args.seed,
        args.seed + args.seeds.max(1) - 1,
        args.policy
    );
    println!(
        "{:<SCENARIO_WIDTH$} service  worst 10 s  worst tenant  rejected  attempts per query  recovery, s",
        "scenario"
    );
    rows.iter().for_each(ScenarioRow::print);
}

/// Returns all results as JSON. The keys are read by scripts and keep their older names.
fn results_json(rows: &[ScenarioRow], args: &SimulateArgs) -> Value {
    let rows: Vec<Value> = rows.iter().map(ScenarioRow::json).collect();
    let size = json!({
        "hosts": args.nodes.max(1),
        "brokers": args.brokers.max(1),
        "halls": args.zones.max(1),
        "seeds": args.seeds(),
    });
    json!({"simulated": true, "size": size, "mind": args.policy.key(), "scenarios": rows})
}

fn write_report(
    path: &Path,
    run: &RunResults,
    scenario: &str,
    args: &SimulateArgs,
) -> Result<(), ReportError> {
    let (nodes, brokers, seed) = (args.nodes.max(1), args.brokers.max(1), args.seed);
    let title = format!("simulated: {scenario}, {nodes} nodes, {brokers} brokers, seed {seed}");
    report::write(path, run, &run.json(), &title)
}

fn exit_code_of(error: &ComparisonError) -> u8 {
    match error {
        ComparisonError::UnsupportedOnSockets(_) => EXIT_WRONG_ARGUMENTS,
        ComparisonError::Loopback { .. } => EXIT_NO_RESULT,
    }
}

fn print_comparison(run: &RunComparison, scenario: &str, seed: u64) {
    println!(
        "{scenario:<SCENARIO_WIDTH$} {seed:>5} {:>12.4} {:>9.4} {:>+10.4}  {}",
        run.virtual_time.service.share(),
        run.sockets.service.share(),
        run.difference(),
        run.broken_rules().join("; ")
    );
}

fn comparison_json(run: &RunComparison, scenario: &str, seed: u64) -> Value {
    json!({
        "scenario": scenario,
        "seed": seed,
        "virtual": run.virtual_time.json(),
        "sockets": run.sockets.json(),
        "apart": run.difference(),
    })
}

/// Runs each scenario in virtual time and on loopback sockets, and prints the differences.
fn compare_with_sockets(scenarios: &[Scenario], args: &SimulateArgs) -> ExitCode {
    let (nodes, brokers) = (args.nodes.max(1), args.brokers.max(1));
    println!(
        "simulated and on loopback sockets: {nodes} nodes, {brokers} brokers; margin {MAX_SERVICE_DIFFERENCE}"
    );
    println!(
        "{:<SCENARIO_WIDTH$} {:>5} {:>12} {:>9} {:>10}  rules broken",
        "scenario", "seed", "virtual time", "sockets", "difference"
    );
    let mut passes = true;
    let mut rows = Vec::new();
    for scenario in scenarios {
        for seed in args.seeds() {
            let run = match RunComparison::run(&args.scenario_run(scenario, seed, args.policy)) {
                Ok(run) => run,
                Err(error) => return fail(&error, exit_code_of(&error)),
            };
            passes &= run.broken_rules().is_empty() && run.is_within_margin();
            print_comparison(&run, &scenario.name, seed);
            rows.push(comparison_json(&run, &scenario.name, seed));
        }
    }
    if args.json {
        println!("{}", json!({"margin": MAX_SERVICE_DIFFERENCE, "days": rows, "sound": passes}));
    }
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}
