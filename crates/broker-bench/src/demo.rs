//! `demo`: a newcomer's first look. Hosts, discovery and brokers on loopback play a small hand-written trace
//! that comes with the program: a rush, two hosts that die in it and come back cold, one that drains.

use crate::simulation::RoutingPolicy;
use crate::trace_files::{Tolerance, TraceError, add_rows};
use crate::trace_plan::PlanArgs;
use crate::trace_run::{RunArgs, run_plan};
use cluster_trace::plan::{Plan, Planner};
use cluster_trace::{RejectionPolicy, TraceReader, find_layout};
use std::path::PathBuf;
use std::process::ExitCode;

/// In the layouts of Google's trace of 2011. Written for this by hand and by rule, no part of any trace.
const TASKS: &str = include_str!("../demo/task_events.csv");
const MACHINES: &str = include_str!("../demo/machine_events.csv");

pub fn run(page: PathBuf) -> ExitCode {
    let plan_args = PlanArgs {
        files: Vec::new(),
        layout: None,
        tolerate: Tolerance(RejectionPolicy::StopAtFirst),
        from: 600.0,
        to: 630.0,
        seed: 2,
        stretch: 1.0,
        sample: 1.0,
        load: 0.6,
        hosts: 8,
        host_ms_per_s: 4000.0,
        shards: 16,
        drains: 0.4,
        tenants: 1,
        quota: None,
        effects: false,
        budget: None,
        brief: true,
    };
    let args = RunArgs {
        plan: plan_args,
        brokers: 2,
        cells: 4,
        cores: 4,
        policy: RoutingPolicy::Module,
        loopback: true,
        report: Some(page.clone()),
        json: false,
    };
    let made = read_demo(&args.plan);
    let plan = match made {
        Ok(plan) => plan,
        Err(why) => {
            eprintln!("broker-bench: {why}");
            return ExitCode::FAILURE;
        }
    };
    println!("Plays {} entries of a small trace on loopback ...", plan.entries.len());
    let code = run_plan(plan, 0, &args);
    if code == ExitCode::SUCCESS {
        println!(
            "The plots are in {}, the figures in {}.",
            page.display(),
            page.with_extension("json").display()
        );
    }
    code
}

/// The plan of the trace that comes with the program.
fn read_demo(args: &PlanArgs) -> Result<Plan, TraceError> {
    let mut planner = Planner::new(args.replay_config())?;
    for (name, text) in [("google-2011-machine-events", MACHINES), ("google-2011-task-events", TASKS)] {
        let layout = find_layout(name).ok_or(TraceError::MissingLayout)?;
        let reader = TraceReader::new(layout, text.as_bytes())?;
        add_rows(reader, layout, RejectionPolicy::StopAtFirst, &mut planner)?;
    }
    Ok(planner.finish()?)
}
