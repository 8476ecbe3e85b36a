//! The laboratory: measures the product's shard requests at size, in virtual time. Figures it prints are simulated.
//! Exit codes: 0 passed, or sound; 1 not so; 2 a mistake in the words, or a file that can't be begun.

mod audit;
mod baseline;
mod demo;
mod fleet;
mod incident;
mod laboratory;
mod lean;
mod loopback;
mod outcome;
mod reading;
mod rehearsal;
mod rehearse;
mod report;
mod rush;
mod scene;
mod traces;
mod versions;
mod weather;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "broker-bench",
    version,
    after_help = "Examples:\n  broker-bench measure control\n  broker-bench measure control --size small --seed 7\n  \
        broker-bench trace check task_events/part-00000-of-00500.csv.gz\n  \
        broker-bench trace check --layout azure-2017-vmtable --tolerate 0.01 --json vms.csv"
)]
struct Words {
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
    Rehearse(rehearsal::Rehearsed),
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
        tolerate: traces::Tolerance,
        /// One JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Print what brokers and hosts would feel of a window of these files, and the plan's digest.
    Plan(traces::Planned),
    /// Play the plan among model hosts: the module or a baseline in virtual time, or brokers on loopback
    /// sockets.
    Run(traces::Played),
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
}

#[derive(Clone, Copy, ValueEnum)]
enum Size {
    Small,
    Full,
}

fn main() -> ExitCode {
    let (what, size, seed, program, against) = match Words::parse().command {
        Command::Trace { command: TraceCommand::Check { files, layout, tolerate, json } } => {
            return traces::check(&files, layout.as_deref(), tolerate, json);
        }
        Command::Rehearse(words) => return rehearsal::run(&words),
        Command::Demo { report } => return demo::run(report),
        Command::Trace { command: TraceCommand::Plan(planned) } => return traces::plan(&planned),
        Command::Trace { command: TraceCommand::Run(played) } => return traces::run(&played),
        Command::Measure { what, size, seed, program, against } => (what, size, seed, program, against),
    };
    let labs = match size {
        Size::Small => laboratory::Sizes { small: (30, 10), large: (120, 60), seeds: 2 },
        Size::Full => laboratory::Sizes { small: (60, 30), large: (600, 300), seeds: 3 },
    };
    let (brokers, rows, day) = match size {
        Size::Small => (
            500,
            500_000,
            rush::Size {
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
            rush::Size { hosts: 150, brokers: 80, seconds: 60, a_second: 600.0, sweep: (&[12, 80, 300], 2) },
        ),
    };
    let pass = match what {
        What::Control => Ok(versions::measure(brokers, seed)),
        What::Trace => reading::measure(rows, &day, seed),
        What::Rehearsal => laboratory::measure(&labs),
        What::Lean => lean::measure(&program, &against),
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
