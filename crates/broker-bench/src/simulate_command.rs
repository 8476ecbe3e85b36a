//! The command `simulate`: reads scenarios, plays their days side by side, and prints the results. All
//! figures are simulated.

use crate::results::DayResults;
use crate::scenario_day::{NotOnSockets, ScenarioDay, SocketDay};
use crate::scenario_figures::{MeanWithInterval, scenario_json};
use crate::simulation::{RoutingPolicy, Simulation};
use crate::{loopback, report};
use clap::Args;
use fault_scenarios::{LIBRARY, Scenario, ScenarioError, find_in_library};
use rayon::prelude::*;
use serde_json::{Value, json};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// How far a day's service on sockets may differ from the same in virtual time: what the HTTP server adds
/// (frames, connections, a turn's wait for its period) and what a paused clock of whole milliseconds makes of
/// times of tenths.
pub const MAX_SERVICE_DIFFERENCE: f64 = 0.02;

const EXIT_RULE_BROKEN: u8 = 1;
const EXIT_WRONG_ARGUMENTS: u8 = 2;
const EXIT_NO_FIGURE: u8 = 3;

#[derive(Args, Clone)]
pub struct SimulateArgs {
    /// One of the library (see `--list`), a file of one's own, or `all`.
    #[arg(default_value = "all")]
    scenario: String,
    /// What there is in the library, and what each is about.
    #[arg(long)]
    list: bool,
    #[arg(long, default_value_t = 60)]
    hosts: u32,
    #[arg(long, default_value_t = 30)]
    brokers: u32,
    #[arg(long, default_value_t = 3)]
    halls: u32,
    /// Days with seeds from `--seed` on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long = "mind", value_name = "MIND", default_value = "module")]
    policy: RoutingPolicy,
    /// The same days by this one too; the difference is told with its bounds.
    #[arg(long)]
    against: Option<RoutingPolicy>,
    #[arg(long)]
    json: bool,
    /// A page of plots of the first seed's day.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Play each day twice, the same plan in virtual time and on loopback sockets (brokers as they are,
    /// model hosts behind them), and tell how far they differ. Only scenarios of lost, drained, released and
    /// crawling hosts and of storms can be played so.
    #[arg(long)]
    loopback: bool,
}

impl SimulateArgs {
    fn seeds(&self) -> Vec<u64> {
        (self.seed..self.seed + self.seeds.max(1)).collect()
    }

    fn day<'a>(&self, scenario: &'a Scenario, seed: u64, policy: RoutingPolicy) -> ScenarioDay<'a> {
        ScenarioDay {
            scenario,
            nodes: self.hosts.max(1),
            brokers: self.brokers.max(1),
            zones: self.halls.max(1),
            seed,
            policy,
        }
    }
}

/// Why a scenario can't be read.
#[derive(Debug, Error)]
enum ReadScenarioError {
    #[error("{path}: {source}; neither a file nor in the library (--list)")]
    File { path: String, source: io::Error },
    #[error("{}", list_errors(name, errors))]
    Invalid { name: String, errors: Vec<ScenarioError> },
}

fn list_errors(name: &str, errors: &[ScenarioError]) -> String {
    errors.iter().map(|error| format!("{name}: {error}")).collect::<Vec<_>>().join("\n")
}

fn parse_scenario(name: &str, text: &str) -> Result<Scenario, ReadScenarioError> {
    let name_text = name.to_owned();
    Scenario::parse(name, text).map_err(|errors| ReadScenarioError::Invalid { name: name_text, errors })
}

fn read_scenarios(which: &str) -> Result<Vec<Scenario>, ReadScenarioError> {
    match (which, find_in_library(which)) {
        ("all", _) => LIBRARY.iter().map(|scenario| parse_scenario(scenario.name, scenario.text)).collect(),
        (_, Some(scenario)) => Ok(vec![parse_scenario(scenario.name, scenario.text)?]),
        (path, None) => {
            let text = std::fs::read_to_string(path)
                .map_err(|source| ReadScenarioError::File { path: path.to_owned(), source })?;
            Ok(vec![parse_scenario(path, &text)?])
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
        scenarios.iter().for_each(|scenario| println!("{:<28} {}", scenario.name, scenario.about));
        return ExitCode::SUCCESS;
    }
    if args.loopback {
        return compare_with_sockets(&scenarios, args);
    }
    let days = simulate_all(&scenarios, args);
    let mut rows = scenario_rows(&scenarios, &days, args);
    rows.sort_by(|a, b| service_of(a).total_cmp(&service_of(b)));
    print_results(&rows, args);
    if let (Some(path), Some(day)) = (&args.report, days.first())
        && let Err(error) = write_report(path, day, &scenarios[0].name, args)
    {
        return fail(&format!("{}: {error}", path.display()), EXIT_WRONG_ARGUMENTS);
    }
    let keeps_rules = rows.iter().all(|row| row["broken"].as_array().is_some_and(Vec::is_empty));
    // Only the product's decisions have to keep the rules; a baseline is what it is.
    let passes = keeps_rules || args.policy != RoutingPolicy::Module;
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}

fn fail(error: &impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("broker-bench: {error}");
    ExitCode::from(code)
}

/// The days of each scenario: all seeds by the policy, then all by the one that it is compared with.
fn simulate_all(scenarios: &[Scenario], args: &SimulateArgs) -> Vec<DayResults> {
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

fn scenario_rows(scenarios: &[Scenario], days: &[DayResults], args: &SimulateArgs) -> Vec<Value> {
    let policies = if args.against.is_some() { 2 } else { 1 };
    let seeds = args.seeds().len();
    let by_scenario = scenarios.iter().zip(days.chunks(seeds * policies));
    by_scenario
        .map(|(scenario, days)| {
            let (own, compared) = days.split_at(seeds);
            let faults_end = args.day(scenario, 0, args.policy).faults_end();
            let mut row = scenario_json(own, faults_end);
            (row["scenario"], row["about"]) = (json!(scenario.name), json!(scenario.about));
            if !compared.is_empty() {
                row["against"] = scenario_json(compared, faults_end);
                row["better_by"] = service_difference(own, compared);
            }
            row
        })
        .collect()
}

fn service_difference(own: &[DayResults], compared: &[DayResults]) -> Value {
    let pairs = own.iter().zip(compared);
    let differences: Vec<f64> = pairs.map(|(a, b)| a.service.share() - b.service.share()).collect();
    let MeanWithInterval { mean, half_interval } = MeanWithInterval::of(&differences);
    json!({"mean": mean, "half_span_95": half_interval})
}

fn service_of(row: &Value) -> f64 {
    row["service"].as_f64().unwrap_or(0.0)
}

fn print_results(rows: &[Value], args: &SimulateArgs) {
    if args.json {
        let (hosts, brokers, halls) = (args.hosts.max(1), args.brokers.max(1), args.halls.max(1));
        let size = json!({"hosts": hosts, "brokers": brokers, "halls": halls, "seeds": args.seeds()});
        let mind = args.policy.to_string();
        println!("{}", json!({"simulated": true, "size": size, "mind": mind, "scenarios": rows}));
        return;
    }
    println!(
        "simulated: {} hosts in {} halls, {} brokers, seeds {} to {}, {}; worst first",
        args.hosts,
        args.halls,
        args.brokers,
        args.seed,
        args.seed + args.seeds.max(1) - 1,
        args.policy
    );
    println!("{:<28} service  worst 10 s  worst caller  declined  pushes  recovers, s", "scenario");
    rows.iter().for_each(|row| print_row(row, args));
}

fn print_row(row: &Value, args: &SimulateArgs) {
    let figure = |key: &str| row[key].as_f64().unwrap_or(f64::NAN);
    let recovery = row["recovers_s"].as_array().into_iter().flatten();
    let recovery = recovery.map(|seconds| seconds.as_u64().map_or("-".to_owned(), |s| s.to_string()));
    print!(
        "{:<28} {:>7.4} {:>11.4} {:>13.4} {:>9.3} {:>7.2}  {:<12}",
        row["scenario"].as_str().unwrap_or(""),
        figure("service"),
        figure("worst_10_s"),
        figure("worst_caller"),
        figure("declined"),
        figure("pushes_a_retrieval"),
        recovery.collect::<Vec<String>>().join(" ")
    );
    if let Some(mean) = row["better_by"]["mean"].as_f64() {
        let half = row["better_by"]["half_span_95"].as_f64();
        print!("  better by {mean:+.4}{}", half.map_or(String::new(), |half| format!(" +- {half:.4}")));
    }
    if let Some(rule) = row["nearest"]["rule"].as_str().filter(|_| args.against.is_none()) {
        let closest = |key: &str| row["nearest"][key].as_f64().unwrap_or(f64::NAN);
        print!("  nearest: {rule}: {:.2} at {:.1} s", closest("ratio"), closest("at_s"));
    }
    println!();
    for rule in row["broken"].as_array().into_iter().flatten() {
        println!("    RULE BROKEN  {}", rule.as_str().unwrap_or(""));
    }
}

fn write_report(path: &Path, day: &DayResults, scenario: &str, args: &SimulateArgs) -> io::Result<()> {
    let (hosts, brokers, seed) = (args.hosts.max(1), args.brokers.max(1), args.seed);
    let title = format!("simulated: {scenario}, {hosts} hosts, {brokers} brokers, seed {seed}");
    report::write(path, day, &day.json(), &title)
}

/// Why a day can't be compared.
#[derive(Debug, Error)]
enum CompareError {
    #[error(transparent)]
    NotOnSockets(#[from] NotOnSockets),
    #[error("{scenario}: {source}")]
    NoFigure { scenario: String, source: loopback::NoFigure },
}

impl CompareError {
    fn exit_code(&self) -> u8 {
        match self {
            CompareError::NotOnSockets(_) => EXIT_WRONG_ARGUMENTS,
            CompareError::NoFigure { .. } => EXIT_NO_FIGURE,
        }
    }
}

/// A day played in virtual time and on sockets, from the same plan.
struct ComparedDay {
    virtual_time: DayResults,
    sockets: DayResults,
}

impl ComparedDay {
    fn play(day: &ScenarioDay) -> Result<ComparedDay, CompareError> {
        let SocketDay { plan, replay, config } = day.for_sockets()?;
        let virtual_time = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
        let sockets = loopback::play(plan, &replay, config, |_, _| true)
            .map_err(|source| CompareError::NoFigure { scenario: day.scenario.name.clone(), source })?;
        Ok(ComparedDay { virtual_time, sockets })
    }

    fn difference(&self) -> f64 {
        self.sockets.service.share() - self.virtual_time.service.share()
    }

    fn broken_rules(&self) -> Vec<&'static str> {
        self.virtual_time.violations.keys().chain(self.sockets.violations.keys()).copied().collect()
    }

    fn passes(&self) -> bool {
        self.broken_rules().is_empty() && self.difference().abs() <= MAX_SERVICE_DIFFERENCE
    }

    fn print(&self, scenario: &str, seed: u64) {
        println!(
            "{scenario:<28} {seed:>5} {:>9.4} {:>9.4} {:>+8.4}  {}",
            self.virtual_time.service.share(),
            self.sockets.service.share(),
            self.difference(),
            self.broken_rules().join("; ")
        );
    }
}

/// Each scenario's days in virtual time and on loopback sockets.
fn compare_with_sockets(scenarios: &[Scenario], args: &SimulateArgs) -> ExitCode {
    let (hosts, brokers) = (args.hosts.max(1), args.brokers.max(1));
    println!(
        "simulated and on loopback sockets: {hosts} hosts, {brokers} brokers; margin {MAX_SERVICE_DIFFERENCE}"
    );
    println!("{:<28} {:>5} {:>9} {:>9} {:>8}  broken", "scenario", "seed", "virtual", "sockets", "apart");
    let mut passes = true;
    let mut rows = Vec::new();
    for scenario in scenarios {
        for seed in args.seeds() {
            let day = match ComparedDay::play(&args.day(scenario, seed, args.policy)) {
                Ok(day) => day,
                Err(error) => return fail(&error, error.exit_code()),
            };
            passes &= day.passes();
            day.print(&scenario.name, seed);
            rows.push(json!({"scenario": scenario.name, "seed": seed, "virtual": day.virtual_time.json(),
                "sockets": day.sockets.json(), "apart": day.difference()}));
        }
    }
    if args.json {
        println!("{}", json!({"margin": MAX_SERVICE_DIFFERENCE, "days": rows, "sound": passes}));
    }
    if passes { ExitCode::SUCCESS } else { ExitCode::from(EXIT_RULE_BROKEN) }
}
