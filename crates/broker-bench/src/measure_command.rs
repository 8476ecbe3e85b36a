//! The command `measure`: runs a benchmark and prints its figures. The last line is a JSON object.
//!
//! Exit codes: 0 if all figures are within their bounds, 1 if one is not or the benchmark could not be run, and 2
//! for an invalid argument.

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

/// Arguments of the `measure` command.
#[derive(Args)]
pub struct MeasureArgs {
    benchmark: Benchmark,
    /// Size of the benchmark; `small` takes less time.
    #[arg(long, default_value = "full")]
    size: Size,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Broker program that `footprint` and `fleet-size` run.
    #[arg(long, value_name = "FILE", default_value = "target/release/shard-broker")]
    program: PathBuf,
    /// Earlier build of the broker program that `footprint` compares with.
    #[arg(long, value_name = "FILE", default_value = "target/release/shard-broker")]
    against: PathBuf,
}

#[derive(Clone, Copy, ValueEnum)]
enum Benchmark {
    /// How fast a fleet of brokers converges on a configuration version after the configuration service restarts.
    #[value(alias = "control")]
    Rollout,
    /// Throughput of the trace reader compared with a plain CSV reader, then an overload run compared with
    /// baselines.
    Trace,
    /// Cost of the simulation by cluster size, and results of the brokers in every built-in scenario.
    #[value(alias = "rehearsal")]
    Simulation,
    /// CPU time per query and memory of the broker program, compared with an earlier build in alternating rounds.
    #[value(alias = "lean")]
    Footprint,
    /// Resource usage of one broker with 200 and with 3,200 nodes under the same traffic.
    FleetSize,
}

#[derive(Clone, Copy, ValueEnum)]
enum Size {
    Small,
    Full,
}

impl Size {
    /// Returns the number of brokers in the rollout benchmark.
    fn rollout_brokers(self) -> usize {
        match self {
            Size::Small => 500,
            Size::Full => 5000,
        }
    }

    /// Returns the number of rows in the file of the trace reader benchmark.
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
                duration_s: 30,
                queries_per_s: 120.0,
                sweep: BrokerSweep { brokers: &[3, 12, 30, 80, 300], seeds: 3 },
            },
            Size::Full => OverloadSize {
                nodes: 150,
                brokers: 80,
                duration_s: 60,
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

    /// Returns how long the fleet size benchmark runs each fleet.
    fn fleet_duration(self) -> Duration {
        match self {
            Size::Small => Duration::from_secs(8),
            Size::Full => Duration::from_secs(30),
        }
    }
}

/// Runs the `measure` command and returns its exit code.
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

/// Runs the selected benchmark. Returns whether all figures are within their bounds.
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
