//! The bench: simulates and measures the product at size, in virtual time and on loopback sockets. Its
//! figures are simulated. Exit codes of measures: 0 all bounds were kept; 1 one was not; 2 wrong arguments.

mod baseline;
mod broker_process;
mod demo;
mod fault_injector;
mod fleet_size_benchmark;
mod footprint_benchmark;
mod invariants;
mod loopback;
mod overload_benchmark;
mod reader_benchmark;
mod report;
mod results;
mod rollout_simulation;
mod scenario_day;
mod scenario_figures;
mod simulate_command;
mod simulation;
mod simulation_benchmark;
mod trace_check;
mod trace_files;
mod trace_plan;
mod trace_run;
mod traffic;
mod versions;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "broker-bench",
    version,
    after_help = "Examples:\n  broker-bench measure control\n  broker-bench measure control --size small --seed 7\n  \
        broker-bench trace check task_events/part-00000-of-00500.csv.gz\n  \
        broker-bench trace check --layout azure-2017-vmtable --tolerate 0.01 --json vms.csv"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A first look: brokers, hosts and discovery on loopback play a small trace that comes with the program.
    Demo {
        /// Where the page of plots is left.
        #[arg(long, value_name = "FILE", default_value = "broker-bench-demo.html")]
        report: PathBuf,
    },
    /// Play scripted incidents in virtual time, by several seeds, beside a baseline. Its figures are
    /// simulated.
    #[command(visible_alias = "rehearse")]
    Simulate(simulate_command::SimulateArgs),
    /// Public cluster traces in CSV.
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Measure a shard request; the last line is one JSON object.
    Measure {
        what: What,
        /// How large.
        #[arg(long, default_value = "full")]
        size: Size,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// lean: the program.
        #[arg(long, default_value = "target/release/shard-broker")]
        program: PathBuf,
        /// lean: the earlier build.
        #[arg(long, default_value = "target/release/shard-broker")]
        against: PathBuf,
    },
}

#[derive(Subcommand)]
enum TraceCommand {
    /// Say what of these files can be used: lines read, taken, and rejected by reason with the first of each.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The layout, where a file's name does not tell.
        #[arg(long)]
        layout: Option<String>,
        /// Rejected rows: `first` ends it at the first, `count` counts them, a share as 0.01 ends it past
        /// that.
        #[arg(long, default_value = "count")]
        tolerate: trace_files::Tolerance,
        /// One JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Print what brokers and hosts would feel of a window of these files, and the plan's digest.
    Plan(trace_plan::PlanArgs),
    /// Play the plan among model hosts: the module or a baseline in virtual time, or brokers on loopback
    /// sockets.
    Run(trace_run::RunArgs),
}

#[derive(Clone, Copy, ValueEnum)]
enum What {
    /// A fleet's versions: how it comes together when its control service restarts.
    Control,
    /// How fast traces are read, beside the bare CSV reader; a rush day at size, beside baselines.
    Trace,
    /// What the laboratory costs by size, and what brokers do in every scripted incident.
    Rehearsal,
    /// What a query costs the platform's program, beside an earlier build of it, in turn.
    Lean,
    /// What one broker needs among 200 nodes and among 3,200, with the same traffic.
    FleetSize,
}

#[derive(Clone, Copy, ValueEnum)]
enum Size {
    Small,
    Full,
}

fn main() -> ExitCode {
    let (what, size, seed, program, against) = match Arguments::parse().command {
        Command::Trace { command: TraceCommand::Check { files, layout, tolerate, json } } => {
            return trace_check::run(&files, layout.as_deref(), tolerate, json);
        }
        Command::Simulate(args) => return simulate_command::run(&args),
        Command::Demo { report } => return demo::run(report),
        Command::Trace { command: TraceCommand::Plan(planned) } => return trace_plan::run(&planned),
        Command::Trace { command: TraceCommand::Run(played) } => return trace_run::run(&played),
        Command::Measure { what, size, seed, program, against } => (what, size, seed, program, against),
    };
    let dimensions = |nodes, brokers| simulation_benchmark::ClusterDimensions { nodes, brokers };
    let simulations = match size {
        Size::Small => {
            simulation_benchmark::Sizes { small: dimensions(30, 10), large: dimensions(120, 60), seeds: 2 }
        }
        Size::Full => {
            simulation_benchmark::Sizes { small: dimensions(60, 30), large: dimensions(600, 300), seeds: 3 }
        }
    };
    let (brokers, rows, day) = match size {
        Size::Small => (
            500,
            500_000,
            overload_benchmark::Size {
                hosts: 30,
                brokers: 12,
                seconds: 30,
                a_second: 120.0,
                sweep: (&[3, 12, 30, 80, 300], 3),
            },
        ),
        Size::Full => (
            5000,
            5_000_000,
            overload_benchmark::Size {
                hosts: 150,
                brokers: 80,
                seconds: 60,
                a_second: 600.0,
                sweep: (&[12, 80, 300], 2),
            },
        ),
    };
    let pass = match what {
        What::Control => Ok(versions::measure(brokers, seed)),
        What::Trace => reader_benchmark::measure(rows, &day, seed),
        What::Rehearsal => simulation_benchmark::measure(&simulations),
        What::Lean => footprint_benchmark::measure(&program, &against),
        What::FleetSize => {
            let duration = Duration::from_secs(if matches!(size, Size::Small) { 8 } else { 30 });
            fleet_size_benchmark::measure(&program, duration).map_err(|error| error.to_string())
        }
    };
    match pass {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("broker-bench: {why}");
            ExitCode::FAILURE
        }
    }
}
