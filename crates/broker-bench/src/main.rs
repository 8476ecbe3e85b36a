//! Simulates the product and benchmarks it at production scale, in virtual time and on loopback sockets. Nodes,
//! discovery and clients are models, so results are labeled "simulated".

mod baseline;
mod benchmark_error;
mod broker_process;
mod demo;
mod fault_injector;
mod fleet_size_benchmark;
mod footprint_benchmark;
mod invariants;
mod loopback;
mod measure_command;
mod overload_benchmark;
mod process_memory;
mod reader_benchmark;
mod report;
mod rollout_benchmark;
mod rollout_simulation;
mod run_results;
mod scenario_files;
mod scenario_run;
mod scenario_summary;
mod simulate_command;
mod simulation;
mod simulation_benchmark;
mod socket_comparison;
mod trace_check;
mod trace_files;
mod trace_plan;
mod trace_run;
mod traffic;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "broker-bench",
    version,
    after_help = "Examples:\n  broker-bench simulate zone-outage-at-peak-load --nodes 12 --brokers 4\n  \
        broker-bench measure rollout --size small --seed 7\n  \
        broker-bench trace check task_events/part-00000-of-00500.csv.gz\n  \
        broker-bench trace check --layout azure-2017-vmtable --tolerate 0.01 --json vms.csv"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a short demo: replay a small built-in trace with brokers, nodes and discovery on loopback sockets.
    Demo {
        /// Write the HTML page with plots to this file.
        #[arg(long, value_name = "FILE", default_value = "broker-bench-demo.html")]
        report: PathBuf,
    },
    /// Simulate fault scenarios in virtual time with several seeds, optionally compared with a baseline.
    #[command(alias = "rehearse")]
    Simulate(simulate_command::SimulateArgs),
    /// Check, plan and replay public cluster traces in CSV format.
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Run a benchmark. The last line of the output is a JSON object.
    Measure(measure_command::MeasureArgs),
}

#[derive(Subcommand)]
enum TraceCommand {
    /// Report how many lines of the trace files are accepted and rejected, by reason and with examples.
    Check(trace_check::CheckArgs),
    /// Print the replay plan for a time window of the trace files, and its digest.
    Plan(trace_plan::PlanArgs),
    /// Replay the plan against model nodes, with the product or a baseline in virtual time, or with brokers on
    /// loopback sockets.
    Run(trace_run::RunArgs),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Demo { report } => demo::run(report),
        Command::Simulate(args) => simulate_command::run(&args),
        Command::Trace { command: TraceCommand::Check(args) } => trace_check::run(&args),
        Command::Trace { command: TraceCommand::Plan(args) } => trace_plan::run(&args),
        Command::Trace { command: TraceCommand::Run(args) } => trace_run::run(&args),
        Command::Measure(args) => measure_command::run(&args),
    }
}
