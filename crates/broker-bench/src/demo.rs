//! `demo`: a newcomer's first look. Hosts, discovery and brokers on loopback play a small hand-written trace
//! that comes with the program: a rush, two hosts that die in it and come back cold, one that drains.

use crate::rehearse::Mind;
use crate::traces::{Planned, Played, Tolerance, run_plan, take_rows};
use cluster_trace::plan::Planner;
use cluster_trace::{RejectionPolicy, TraceReader, find_layout};
use std::path::PathBuf;
use std::process::ExitCode;

/// In the layouts of Google's trace of 2011. Written for this by hand and by rule, no part of any trace.
const TASKS: &str = include_str!("../demo/task_events.csv");
const MACHINES: &str = include_str!("../demo/machine_events.csv");

pub fn run(page: PathBuf) -> ExitCode {
    let planned = Planned {
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
    let played = Played {
        planned,
        brokers: 2,
        cells: 4,
        cores: 4,
        mind: Mind::Module,
        loopback: true,
        report: Some(page.clone()),
        json: false,
    };
    let made =
        Planner::new(played.planned.replay_config()).map_err(|e| e.to_string()).and_then(|mut planner| {
            for (name, text) in [("google-2011-machine-events", MACHINES), ("google-2011-task-events", TASKS)]
            {
                let layout = find_layout(name).ok_or("a layout is missing")?;
                let reader = TraceReader::new(layout, text.as_bytes()).map_err(|e| e.to_string())?;
                take_rows(reader, layout, RejectionPolicy::StopAtFirst, &mut planner)?;
            }
            planner.finish().map_err(|e| e.to_string())
        });
    let plan = match made {
        Ok(plan) => plan,
        Err(why) => {
            eprintln!("broker-bench: {why}");
            return ExitCode::FAILURE;
        }
    };
    println!("Plays {} entries of a small trace on loopback ...", plan.entries.len());
    let code = run_plan(plan, 0, &played);
    if code == ExitCode::SUCCESS {
        println!(
            "The plots are in {}, the figures in {}.",
            page.display(),
            page.with_extension("json").display()
        );
    }
    code
}
