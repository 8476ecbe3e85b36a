//! The command `measure`: runs one benchmark and prints its figures; the last line is one JSON object.
//!
//! Exit codes: 0 all bounds were kept; 1 one was not, or the benchmark could not be run; 2 a wrong argument.

use crate::benchmark_error::BenchmarkError;
use crate::overload_benchmark::{BrokerSweep, OverloadSize};
use crate::simulation_benchmark::{ClusterDimensions, SimulationSizes};
use crate::{
    fleet_size_benchmark, footprint_benchmark, reader_benchmark, rollout_benchmark, simulation_benchmark,
};
use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The benchmark, and how it is run.
#[derive(Args)]
pub struct MeasureArgs {
    benchmark: Benchmark,
    /// `small` for a short run.
    #[arg(long, default_value = "full")]
    size: Size,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The broker program, for `footprint` and `fleet-size`.
    #[arg(long, value_name = "FILE", default_value = "target/release/shard-broker")]
    program: PathBuf,
    /// An earlier build of the broker program, for `footprint`.
    #[arg(long, value_name = "FILE", default_value = "target/release/shard-broker")]
    against: PathBuf,
}

#[derive(Clone, Copy, ValueEnum)]
enum Benchmark {
    /// How fast a fleet of brokers converges on a configuration version after its service restarts.
    #[value(alias = "control")]
    Rollout,
    /// How fast traces are read, beside the bare CSV reader; then an overload day at size, beside baselines.
    Trace,
    /// What the simulation costs by size, and what brokers do in every scenario of the library.
    #[value(alias = "rehearsal")]
    Simulation,
    /// CPU and memory of the broker program for each query, beside an earlier build in alternating rounds.
    #[value(alias = "lean")]
    Footprint,
    /// What one broker needs among 200 nodes and among 3,200, with the same traffic.
    FleetSize,
}

#[derive(Clone, Copy, ValueEnum)]
enum Size {
    Small,
    Full,
}

impl Size {
    /// Brokers of the rollout benchmark.
    fn rollout_brokers(self) -> usize {
        match self {
            Size::Small => 500,
            Size::Full => 5000,
        }
    }

    /// Rows of the file that the trace readers read.
    fn trace_rows(self) -> u64 {
        match self {
            Size::Small => 500_000,
            Size::Full => 5_000_000,
        }
    }

    fn overload(self) -> OverloadSize {
        match self {
            Size::Small => OverloadSize {
                nodes: 30,
                brokers: 12,
                seconds: 30,
                queries_per_s: 120.0,
                sweep: BrokerSweep { brokers: &[3, 12, 30, 80, 300], seeds: 3 },
            },
            Size::Full => OverloadSize {
                nodes: 150,
                brokers: 80,
                seconds: 60,
                queries_per_s: 600.0,
                sweep: BrokerSweep { brokers: &[12, 80, 300], seeds: 2 },
            },
        }
    }

    fn simulations(self) -> SimulationSizes {
        match self {
            Size::Small => SimulationSizes {
                small: ClusterDimensions { nodes: 30, brokers: 10 },
                large: ClusterDimensions { nodes: 120, brokers: 60 },
                seeds: 2,
            },
            Size::Full => SimulationSizes {
                small: ClusterDimensions { nodes: 60, brokers: 30 },
                large: ClusterDimensions { nodes: 600, brokers: 300 },
                seeds: 3,
            },
        }
    }

    /// How long each fleet of the fleet size benchmark runs.
    fn fleet_duration(self) -> Duration {
        match self {
            Size::Small => Duration::from_secs(8),
            Size::Full => Duration::from_secs(30),
        }
    }
}

/// Runs the command.
pub fn run(args: &MeasureArgs) -> ExitCode {
    match run_benchmark(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("broker-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether all bounds were kept.
fn run_benchmark(args: &MeasureArgs) -> Result<bool, BenchmarkError> {
    let size = args.size;
    match args.benchmark {
        Benchmark::Rollout => Ok(rollout_benchmark::measure(size.rollout_brokers(), args.seed)),
        Benchmark::Trace => reader_benchmark::measure(size.trace_rows(), &size.overload(), args.seed),
        Benchmark::Simulation => simulation_benchmark::measure(&size.simulations()),
        Benchmark::Footprint => footprint_benchmark::measure(&args.program, &args.against),
        Benchmark::FleetSize => Ok(fleet_size_benchmark::measure(&args.program, size.fleet_duration())?),
    }
}
