//! The command `trace run`: plays the plan of trace files in virtual time or on loopback sockets.
//!
//! Exit codes: 0 no rule broken; 1 a rule was broken, or there is no plan; 2 a wrong argument, or a file that
//! can't be opened; 3 no figure, as the machine was too busy; 4 interrupted.

use crate::run_results::{RunResults, TENTHS_PER_S};
use crate::simulation::{RoutingPolicy, Simulation, SimulationConfig};
use crate::trace_plan::{PlanArgs, ReadPlan, read_plan};
use crate::{loopback, report};
use clap::Args;
use cluster_trace::plan::Plan;
use indicatif::{ProgressBar, ProgressStyle};
use node_emulator::CancelPolicy;
use routing::Timestamp;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const EXIT_RULE_BROKEN: u8 = 1;
const EXIT_WRONG_ARGUMENTS: u8 = 2;
const EXIT_NO_RESULT: u8 = 3;
const EXIT_INTERRUPTED: u8 = 4;

/// A figure that is printed, and its key in the JSON object.
struct PrintedFigure {
    label: &'static str,
    key: &'static str,
}

const PRINTED_FIGURES: &[PrintedFigure] = &[
    PrintedFigure { label: "by class", key: "by_category" },
    PrintedFigure { label: "by tenant", key: "by_caller" },
    PrintedFigure { label: "queries", key: "retrievals" },
    PrintedFigure { label: "responded", key: "answered" },
    PrintedFigure { label: "rejected", key: "declined" },
    PrintedFigure { label: "slowest rejection, ms", key: "slowest_decline_ms" },
    PrintedFigure { label: "failed", key: "scrapped" },
    PrintedFigure { label: "attempts", key: "pushes" },
    PrintedFigure { label: "latency, ms", key: "latency_ms" },
    PrintedFigure { label: "plan", key: "plan" },
    PrintedFigure { label: "digest", key: "digest" },
];

/// A plan, and how it is played.
#[derive(Args, Clone)]
pub struct RunArgs {
    #[command(flatten)]
    pub plan: PlanArgs,
    #[arg(long, default_value_t = 3)]
    pub brokers: u32,
    /// Placement groups; each shard is held by two of them.
    #[arg(long, alias = "cells", default_value_t = 6)]
    pub placement_groups: u32,
    /// Cores of a node.
    #[arg(long, default_value_t = 4)]
    pub cores: usize,
    /// What the brokers decide by.
    #[arg(long, alias = "mind", value_name = "POLICY", default_value = "product")]
    pub policy: RoutingPolicy,
    /// Play on loopback sockets, with real brokers and model nodes, in place of virtual time.
    #[arg(long)]
    pub loopback: bool,
    /// Write a page of plots here (HTML that needs no other file), and the figures beside it as JSON.
    #[arg(long, value_name = "FILE")]
    pub report: Option<PathBuf>,
    /// Print one JSON object for scripts.
    #[arg(long)]
    pub json: bool,
}

impl RunArgs {
    fn simulation_config(&self) -> SimulationConfig {
        SimulationConfig {
            brokers: self.brokers.max(1),
            policy: self.policy,
            seed: self.plan.seed,
            placement_groups: self.placement_groups.clamp(1, self.plan.nodes.max(1)),
            cores: self.cores.max(1),
            warm_jobs: None,
            cancel: CancelPolicy::DropAll,
        }
    }

    fn place(&self) -> &'static str {
        if self.loopback { "on loopback sockets" } else { "in virtual time" }
    }

    fn title(&self) -> String {
        format!(
            "simulated: {} brokers, {} nodes in {} placement groups, load {}, seed {}, {}, {}",
            self.brokers,
            self.plan.nodes,
            self.placement_groups,
            self.plan.load,
            self.plan.seed,
            self.place(),
            self.policy
        )
    }
}

/// Runs the command.
pub fn run(args: &RunArgs) -> ExitCode {
    match read_plan(&args.plan) {
        Ok(ReadPlan { plan, rejected_rows }) => run_plan(plan, rejected_rows, args),
        Err(failure) => {
            eprintln!("broker-bench: {}", failure.error);
            ExitCode::from(failure.exit_code)
        }
    }
}

/// Plays a plan, and prints the results.
pub fn run_plan(plan: Plan, rejected_rows: u64, args: &RunArgs) -> ExitCode {
    if args.loopback && args.policy != RoutingPolicy::Product {
        eprintln!(
            "broker-bench: brokers on loopback sockets always decide by the product: --loopback has no --policy"
        );
        return ExitCode::from(EXIT_WRONG_ARGUMENTS);
    }
    let plan_digest = plan.digest();
    let results = match play(plan, args) {
        Ok(results) => results,
        Err(error) => {
            eprintln!("broker-bench: no figure: {error}");
            return ExitCode::from(EXIT_NO_RESULT);
        }
    };
    let mut figures = results.json();
    figures["plan"] = json!(plan_digest);
    figures["rejected_rows"] = json!(rejected_rows);
    figures["seed"] = json!(args.plan.seed);
    figures["played"] = json!(args.place());
    figures["simulated"] = json!(true);
    if args.json {
        println!("{figures}");
    } else {
        print_results(&results, &figures, args);
    }
    if let Some(path) = &args.report
        && let Err(error) = report::write(path, &results, &figures, &args.title())
    {
        eprintln!("broker-bench: {}: {error}", path.display());
        return ExitCode::from(EXIT_WRONG_ARGUMENTS);
    }
    match results.stopped_at {
        Some(_) => ExitCode::from(EXIT_INTERRUPTED),
        // Only the product has to keep the rules; a baseline shows what happens without it.
        None if results.violations.is_empty() || args.policy != RoutingPolicy::Product => ExitCode::SUCCESS,
        None => ExitCode::from(EXIT_RULE_BROKEN),
    }
}

/// Plays a plan to its end, or until the user interrupts it.
fn play(plan: Plan, args: &RunArgs) -> Result<RunResults, loopback::LoopbackError> {
    let (config, replay) = (args.simulation_config(), args.plan.replay_config());
    let is_interrupted = interrupt_flag();
    let bar = progress_bar(Timestamp(plan.entries.last().map_or(0, |entry| entry.at) as i64));
    let should_continue = |now: Timestamp, _| {
        bar.set_position((now.0 / TENTHS_PER_S) as u64);
        !is_interrupted.load(Ordering::Relaxed)
    };
    let results = match args.loopback {
        true => loopback::run(plan, &replay, config, should_continue),
        false => Ok(Simulation::new(plan, &replay, config).run(should_continue)),
    };
    bar.finish_and_clear();
    results
}

/// A flag that is set when the user interrupts the program (SIGINT).
fn interrupt_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    // If this fails, the signal ends the process, as it does by default.
    let _ = signal_hook::flag::register(signal_hook::consts::SIGINT, flag.clone());
    flag
}

/// A progress bar on standard error, if that is a terminal; it moves once for each second of the day.
fn progress_bar(last: Timestamp) -> ProgressBar {
    let bar = ProgressBar::new((last.0 / TENTHS_PER_S).max(1) as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s of the day, {elapsed} {msg}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn print_results(results: &RunResults, figures: &Value, args: &RunArgs) {
    println!("{}", args.title());
    if let Some(at) = results.stopped_at {
        println!(
            "PARTIAL                stopped at {:.1} s; the figures are of the time until then",
            at.as_ms() / 1000.0
        );
    }
    println!(
        "service                {:.4} (priority weight responded within the latency objective / priority weight sent)",
        results.service.share()
    );
    println!("worst 10 s             {:.4}", results.worst_window());
    for PrintedFigure { label, key } in PRINTED_FIGURES {
        println!("{label:<22} {}", figures[*key]);
    }
    for (rule, violations) in &results.violations {
        println!(
            "RULE BROKEN            {rule} ({} times, first at {:.1} s)",
            violations.count,
            violations.first_at.as_ms() / 1000.0
        );
    }
}
