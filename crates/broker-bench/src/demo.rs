//! The command `demo`, an introduction for new users. Replays a small built-in trace with nodes, discovery and
//! brokers on loopback sockets: a traffic peak during which two nodes crash and restart without warm state, and
//! one node drains.

use crate::simulation::RoutingPolicy;
use crate::trace_files::{Tolerance, TraceError, add_rows};
use crate::trace_plan::PlanArgs;
use crate::trace_run::{RunArgs, run_plan};
use cluster_trace::plan::{Plan, Planner};
use cluster_trace::{RejectionPolicy, TraceReader, find_layout};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The demo trace, in the layouts of Google's cluster trace of 2011. The rows are synthetic and not taken from any
/// published trace.
const TASKS: &str = include_str!("../demo/task_events.csv");
const MACHINES: &str = include_str!("../demo/machine_events.csv");

/// Runs the `demo` command and writes the page with plots to `page`, with the figures as JSON beside it.
pub fn run(page: PathBuf) -> ExitCode {
    let args = demo_args(&page);
    let plan = match read_demo_plan(&args.plan) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("broker-bench: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("Plays {} entries of a small trace on loopback sockets ...", plan.entries.len());
    let code = run_plan(plan, 0, &args);
    if code == ExitCode::SUCCESS {
        let figures = page.with_extension("json");
        println!("The plots are in {}, the figures in {}.", page.display(), figures.display());
    }
    code
}

/// Returns the arguments of the `trace run` command that is equivalent to the demo.
fn demo_args(page: &Path) -> RunArgs {
    let plan = PlanArgs {
        files: Vec::new(),
        layout: None,
        tolerate: Tolerance(RejectionPolicy::StopAtFirst),
        from: 600.0,
        to: 630.0,
        seed: 2,
        time_scale: 1.0,
        sample: 1.0,
        load: 0.6,
        nodes: 8,
        node_ms_per_s: 4000.0,
        shards: 16,
        drain_share: 0.4,
        tenants: 1,
        quota: None,
        non_idempotent: false,
        retry_budget: None,
        brief: true,
    };
    RunArgs {
        plan,
        brokers: 2,
        placement_groups: 4,
        cores: 4,
        policy: RoutingPolicy::Product,
        loopback: true,
        report: Some(page.to_owned()),
        json: false,
    }
}

/// Builds the replay plan of the built-in trace.
fn read_demo_plan(args: &PlanArgs) -> Result<Plan, TraceError> {
    let mut planner = Planner::new(args.replay_config())?;
    for (name, text) in [("google-2011-machine-events", MACHINES), ("google-2011-task-events", TASKS)] {
        let layout = find_layout(name).ok_or(TraceError::UndefinedLayout(name))?;
        let reader = TraceReader::new(layout, text.as_bytes())?;
        add_rows(reader, layout, RejectionPolicy::StopAtFirst, &mut planner)?;
    }
    Ok(planner.finish()?)
}
