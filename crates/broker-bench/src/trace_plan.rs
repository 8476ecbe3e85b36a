//! The command `trace plan`: what brokers and nodes are to do in a window of trace files, and the plan's
//! digest.

use crate::trace_files::{Tolerance, TraceError, choose_layout, read_file};
use clap::Args;
use cluster_trace::plan::{
    ClassIdempotency, ClassSpec, CountRange, Plan, PlanError, Planner, ReplayConfig, RetryBudget,
};
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_NO_PLAN: u8 = 1;
const EXIT_UNUSABLE: u8 = 2;

/// The window, and what is assumed beside the trace.
#[derive(Args, Clone)]
pub struct PlanArgs {
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The layout, where a file's name does not tell.
    #[arg(long)]
    pub layout: Option<String>,
    /// Rejected rows, as for `check`.
    #[arg(long, default_value = "count")]
    pub tolerate: Tolerance,
    /// The window, in seconds of the trace's clock.
    #[arg(long, default_value_t = 0.0)]
    pub from: f64,
    #[arg(long)]
    pub to: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One second of the trace takes so many of the rehearsal.
    #[arg(long, default_value_t = 1.0)]
    pub stretch: f64,
    /// The share of jobs that are in.
    #[arg(long, default_value_t = 1.0)]
    pub sample: f64,
    /// Work offered, as a share of what the hosts can do.
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,
    #[arg(long, default_value_t = 12)]
    pub hosts: u32,
    /// Milliseconds of work that one host does in a second.
    #[arg(long, default_value_t = 4000.0)]
    pub host_ms_per_s: f64,
    #[arg(long, default_value_t = 36)]
    pub shards: u32,
    /// The share of removed machines that drain first.
    #[arg(long, default_value_t = 0.5)]
    pub drains: f64,
    /// Tenants that the trace's users are mapped onto: a user is one tenant's, always.
    #[arg(long = "callers", default_value_t = 1)]
    pub tenants: u32,
    /// Queries a second that all tenants together may ask within their shares; none: no quotas.
    #[arg(long)]
    pub quota: Option<f64>,
    /// Beside queries that may run again, a numbered and an at-most-once class.
    #[arg(long)]
    pub effects: bool,
    /// A stated budget for further attempts: three, and this share of what was taken, in any five seconds.
    #[arg(long)]
    pub budget: Option<f64>,
    /// The digest and the counts alone.
    #[arg(long)]
    pub brief: bool,
}

/// How many entries a plan may have: some hundred megabytes.
const MAX_ENTRIES: usize = 2_000_000;

impl PlanArgs {
    /// The replay that the arguments ask for.
    pub fn replay_config(&self) -> ReplayConfig {
        let micros = |seconds: f64| (seconds.max(0.0) * 1e6) as u64;
        let widest = self.shards.max(1);
        let class = |name: &str, share, priority_weight, min_coverage, idempotency| {
            let allows_partial = min_coverage < 1.0;
            let shard_requests = match allows_partial {
                true => CountRange { min: widest.div_ceil(2), max: widest },
                false => CountRange { min: 1, max: widest.min(4) },
            };
            let weight_skew = if allows_partial { 1.0 } else { 0.0 };
            ClassSpec {
                priority_weight,
                min_coverage,
                idempotency,
                ..ClassSpec::idempotent(name, share, shard_requests, weight_skew)
            }
        };
        let mut classes = vec![
            class("report", 1.0, 3.0, 0.4, ClassIdempotency::Idempotent),
            class("lookup", 3.0, 1.0, 1.0, ClassIdempotency::Idempotent),
        ];
        if self.effects {
            let numbered = ClassIdempotency::IdempotencyKey { dedup_window_ms: 1000 };
            classes.push(class("booking", 1.0, 1.0, 1.0, numbered));
            classes.push(class("dispensing", 1.0, 1.0, 1.0, ClassIdempotency::AtMostOnce));
        }
        ReplayConfig {
            seed: self.seed,
            from: micros(self.from),
            to: micros(self.to),
            time_scale: self.stretch,
            sample_share: self.sample,
            load: self.load,
            nodes: self.hosts,
            node_ms_per_s: self.host_ms_per_s,
            shards: self.shards,
            classes,
            // A few ask much, most ask little.
            tenant_weights: (1..=self.tenants.max(1)).map(|rank| 1.0 / f64::from(rank)).collect(),
            quota_per_s: self.quota,
            drain_share: self.drains,
            drain_duration: 20_000,
            retry_budget: self.budget.map(|ratio| RetryBudget { floor: 3.0, ratio, window_ms: 5000 }),
            max_entries: MAX_ENTRIES,
        }
    }
}

/// Why there is no plan, and the exit code for that.
pub struct PlanFailure {
    pub error: TraceError,
    pub exit_code: u8,
}

/// A plan, and how many rows of its files were rejected.
pub struct ReadPlan {
    pub plan: Plan,
    pub rejected_rows: u64,
}

/// Runs the command.
pub fn run(args: &PlanArgs) -> ExitCode {
    match read_plan(args) {
        Ok(read) => {
            print_plan(args, &read.plan, read.rejected_rows);
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("broker-bench: {}", failure.error);
            ExitCode::from(failure.exit_code)
        }
    }
}

/// Reads all files, and makes the plan of their rows.
pub fn read_plan(args: &PlanArgs) -> Result<ReadPlan, PlanFailure> {
    let unusable = |error: TraceError| PlanFailure { error, exit_code: EXIT_UNUSABLE };
    let no_plan = |error: TraceError| PlanFailure { error, exit_code: EXIT_NO_PLAN };
    let mut planner = Planner::new(args.replay_config()).map_err(|error| unusable(error.into()))?;
    let mut rejected_rows = 0;
    for file in &args.files {
        let layout = choose_layout(file, args.layout.as_deref());
        let layout = layout.ok_or_else(|| unusable(TraceError::UnknownLayout(file.clone())))?;
        let summary =
            read_file(file, layout, args.tolerate.0, |row| planner.add_row(row)).map_err(unusable)?;
        if summary.violation.is_some() {
            return Err(no_plan(TraceError::StoppedByPolicy(file.clone())));
        }
        rejected_rows += summary.rows.rejected_count();
    }
    let plan = planner.finish().map_err(|error: PlanError| no_plan(error.into()))?;
    Ok(ReadPlan { plan, rejected_rows })
}

fn print_plan(args: &PlanArgs, plan: &Plan, rejected: u64) {
    let replay = args.replay_config();
    println!("# assumed, of which the trace has nothing: {} shards; by category:", replay.shards);
    for (no, class) in replay.classes.iter().enumerate() {
        let ClassSpec {
            name,
            share,
            shard_requests,
            weight_skew,
            deadline_ms,
            priority_weight,
            min_coverage,
            idempotency,
        } = class;
        println!(
            "#   {no} {name}: share {share}, parts {} to {}, skew {weight_skew}, cut-off {deadline_ms} ms, payoff {priority_weight}, \
             least share {min_coverage}, {idempotency}",
            shard_requests.min, shard_requests.max
        );
    }
    println!("# one unit of the trace's work is {:.3} ms, so that load is {}", plan.ms_per_unit, replay.load);
    println!(
        "# rows rejected {rejected}, of jobs not sampled {}, of machines beyond the hosts {}",
        plan.unsampled_rows, plan.unmapped_machine_rows
    );
    if !args.brief {
        plan.entries.iter().for_each(|entry| println!("{entry}"));
    }
    println!("# entries {}, running at the start {}", plan.entries.len(), plan.running_at_start);
    println!("# digest {}", plan.digest());
}
