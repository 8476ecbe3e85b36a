//! The command `simulate`: plays the days of scenarios in virtual time, and prints the results. All figures
//! are simulated.
//!
//! Exit codes: 0 no rule was broken; 1 the product broke one, or a day on sockets differs too much; 2 a wrong
//! argument or scenario; 3 no figure, as the machine was too busy.

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

/// Which days are played, by which policy.
#[derive(Args, Clone)]
pub struct SimulateArgs {
    /// A scenario of the library (see `--list`), a file of your own, or `all`.
    #[arg(default_value = "all")]
    scenario: String,
    /// List the scenarios of the library, and what each is about.
    #[arg(long)]
    list: bool,
    #[arg(long, alias = "hosts", default_value_t = 60)]
    nodes: u32,
    #[arg(long, default_value_t = 30)]
    brokers: u32,
    #[arg(long, alias = "halls", default_value_t = 3)]
    zones: u32,
    /// How many days, with seeds from `--seed` on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What the brokers decide by.
    #[arg(long, alias = "mind", value_name = "POLICY", default_value = "product")]
    policy: RoutingPolicy,
    /// Play the same days by this policy too, and print the difference in service with its 95% confidence
    /// interval.
    #[arg(long, value_name = "POLICY")]
    against: Option<RoutingPolicy>,
    /// Print one JSON object for scripts.
    #[arg(long)]
    json: bool,
    /// Write a page of plots of the first seed's day.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Play each day twice from the same plan, in virtual time and on loopback sockets (real brokers, model
    /// nodes), and print the difference. Only scenarios of crashes, drains, rolling restarts, slow nodes and
    /// traffic surges can be played so.
    #[arg(long)]
    loopback: bool,
}

impl SimulateArgs {
    fn seeds(&self) -> Vec<u64> {
        (self.seed..self.seed + self.seeds.max(1)).collect()
    }

    fn day<'a>(&self, scenario: &'a Scenario, seed: u64, policy: RoutingPolicy) -> ScenarioRun<'a> {
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

/// Runs the command.
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
    let days = simulate_all(&scenarios, args);
    let mut rows = scenario_rows(&scenarios, &days, args);
    rows.sort_by(|a, b| a.figures.service.total_cmp(&b.figures.service));
    print_results(&rows, args);
    if let (Some(path), Some(day)) = (&args.report, days.first())
        && let Err(error) = write_report(path, day, &scenarios[0].name, args)
    {
        return fail(&format!("{}: {error}", path.display()), EXIT_WRONG_ARGUMENTS);
    }
    let keeps_rules = rows.iter().all(|row| row.figures.broken_rules.is_empty());
    // Only the product has to keep the rules; a baseline shows what happens without it.
    let passes = keeps_rules || args.policy != RoutingPolicy::Product;
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}

fn fail(error: &impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("broker-bench: {error}");
    ExitCode::from(code)
}

/// The days of each scenario: all seeds by the policy, then all by the one that it is compared with.
fn simulate_all(scenarios: &[Scenario], args: &SimulateArgs) -> Vec<RunResults> {
    let policies: Vec<RoutingPolicy> = std::iter::once(args.policy).chain(args.against).collect();
    let seeds = args.seeds();
    let mut days = Vec::new();
    for scenario in scenarios {
        for policy in &policies {
            days.extend(seeds.iter().map(|seed| args.day(scenario, *seed, *policy)));
        }
    }
    days.into_par_iter().map(|day| day.simulate()).collect()
}

/// The results of a scenario.
struct ScenarioRow<'a> {
    scenario: &'a Scenario,
    figures: ScenarioSummary,
    /// None if the policy is compared with no other.
    comparison: Option<PolicyComparison>,
}

/// The same days by another policy.
struct PolicyComparison {
    against: RoutingPolicy,
    figures: ScenarioSummary,
    /// How much more service the first policy had.
    difference: MeanWithInterval,
}

impl ScenarioRow<'_> {
    /// The row as scripts read it. The keys are older than the terms of the code, and stay.
    fn json(&self) -> Value {
        let mut row = self.figures.json();
        row["scenario"] = json!(self.scenario.name);
        row["about"] = json!(self.scenario.description);
        if let Some(PolicyComparison { figures, difference, .. }) = &self.comparison {
            row["against"] = figures.json();
            row["better_by"] = json!({"mean": difference.mean, "half_span_95": difference.half_interval});
        }
        row
    }

    fn print(&self) {
        print!(
            "{:<SCENARIO_WIDTH$} {:>7.4} {:>11.4} {:>13.4} {:>9.3} {:>19.2}  {:<12}",
            self.scenario.name,
            self.figures.service,
            self.figures.worst_window,
            self.figures.worst_tenant,
            self.figures.rejected_per_query,
            self.figures.attempts_per_query,
            self.figures.recovery_text()
        );
        if let Some(PolicyComparison { against, difference, .. }) = &self.comparison {
            let interval = difference.half_interval.map_or(String::new(), |half| format!(" +- {half:.4}"));
            print!("  {:+.4}{interval} compared with {against}", difference.mean);
        } else if let Some(ClosestRule { rule, ratio, at_s }) = &self.figures.closest {
            print!("  closest to a limit: {rule}: {ratio:.2} at {at_s:.1} s");
        }
        println!();
        self.figures.broken_rules.iter().for_each(|rule| println!("    RULE BROKEN  {rule}"));
    }
}

fn scenario_rows<'a>(
    scenarios: &'a [Scenario],
    days: &[RunResults],
    args: &SimulateArgs,
) -> Vec<ScenarioRow<'a>> {
    let policies = if args.against.is_some() { 2 } else { 1 };
    let seeds = args.seeds().len();
    let row = |(scenario, days): (&'a Scenario, &[RunResults])| {
        let (own, compared) = days.split_at(seeds);
        let faults_end = args.day(scenario, 0, args.policy).faults_end();
        let comparison = args.against.map(|against| PolicyComparison {
            against,
            figures: ScenarioSummary::of(compared, faults_end),
            difference: service_difference(own, compared),
        });
        ScenarioRow { scenario, figures: ScenarioSummary::of(own, faults_end), comparison }
    };
    scenarios.iter().zip(days.chunks(seeds * policies)).map(row).collect()
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

/// The results for scripts. Their keys are older than the terms of the code, and stay.
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
    day: &RunResults,
    scenario: &str,
    args: &SimulateArgs,
) -> Result<(), ReportError> {
    let (nodes, brokers, seed) = (args.nodes.max(1), args.brokers.max(1), args.seed);
    let title = format!("simulated: {scenario}, {nodes} nodes, {brokers} brokers, seed {seed}");
    report::write(path, day, &day.json(), &title)
}

fn exit_code_of(error: &ComparisonError) -> u8 {
    match error {
        ComparisonError::UnsupportedOnSockets(_) => EXIT_WRONG_ARGUMENTS,
        ComparisonError::Loopback { .. } => EXIT_NO_RESULT,
    }
}

fn print_comparison(day: &RunComparison, scenario: &str, seed: u64) {
    println!(
        "{scenario:<SCENARIO_WIDTH$} {seed:>5} {:>12.4} {:>9.4} {:>+10.4}  {}",
        day.virtual_time.service.share(),
        day.sockets.service.share(),
        day.difference(),
        day.broken_rules().join("; ")
    );
}

fn comparison_json(day: &RunComparison, scenario: &str, seed: u64) -> Value {
    json!({
        "scenario": scenario,
        "seed": seed,
        "virtual": day.virtual_time.json(),
        "sockets": day.sockets.json(),
        "apart": day.difference(),
    })
}

/// Plays each scenario's days in virtual time and on loopback sockets.
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
            let day = match RunComparison::run(&args.day(scenario, seed, args.policy)) {
                Ok(day) => day,
                Err(error) => return fail(&error, exit_code_of(&error)),
            };
            passes &= day.broken_rules().is_empty() && day.is_within_margin();
            print_comparison(&day, &scenario.name, seed);
            rows.push(comparison_json(&day, &scenario.name, seed));
        }
    }
    if args.json {
        println!("{}", json!({"margin": MAX_SERVICE_DIFFERENCE, "days": rows, "sound": passes}));
    }
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}
