//! `measure trace`, second shard request: a rush day at size, in virtual time, by the module as it stands,
//! the design without its exceptions, and random choice. All figures are simulated.

use crate::results::DayResults;
use crate::simulation::{RoutingPolicy, Simulation, SimulationConfig};
use cluster_trace::plan::{ClassSpec, CountRange, Plan, Planner, ReplayConfig};
use cluster_trace::{RowOutcome, TraceReader, find_layout};
use node_emulator::Cancel;
use rayon::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Instant;

/// How large a day is: hosts, brokers, cells, seconds, and jobs a second before the rush.
pub struct Size {
    pub hosts: u32,
    pub brokers: u32,
    pub seconds: u64,
    pub a_second: f64,
    /// Numbers of brokers, and seeds of each, by which rule 4 is shown.
    pub sweep: (&'static [u32], u64),
}

/// Average load at 1x: the rush is three times the quiet hours, so that its peak at 1x is within what hosts
/// can do.
const ONE: f64 = 0.4;
const TIMES: [f64; 3] = [1.0, 2.0, 4.0];
const MINDS: [RoutingPolicy; 3] = [RoutingPolicy::Module, RoutingPolicy::Design, RoutingPolicy::Random];
/// At 1x the module serves all but what a few dead hosts had and what came in the rush's worst moments.
const SERVES: f64 = 0.95;
/// What keeping the rules may cost beside a baseline that breaks them.
const KEEPS: f64 = 0.97;

/// Rows in the layout of `task_events`: quiet, a rush in the middle third, quiet. A twentieth of the machines
/// die as the rush is at its height and come back, a twentieth drain.
fn files(size: &Size, seed: u64) -> (String, String) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut tasks, mut machines) = (String::new(), String::new());
    let second = |s: f64| (s * 1e6) as u64;
    let span = size.seconds as f64;
    let (mut at, mut job) = (0.0, 0_u64);
    while at < span {
        let rush = if (span / 3.0..span * 2.0 / 3.0).contains(&at) { 3.0 } else { 1.0 };
        at += -(1.0 - rng.f64()).ln() / (size.a_second * rush);
        job += 1;
        // Work is as uneven as in traces: the logarithm is near to even.
        let cpu = 0.01 * (rng.f64() * 3.0).exp();
        let (user, class) = (rng.u32(0..40), rng.u32(0..12));
        tasks += &format!("{},,{job},0,,0,u{user},{},{},{cpu:.5},0.01,0,0\n", second(at), class % 4, class);
    }
    for machine in 0..size.hosts {
        machines += &format!("0,{machine},0,p,1,1\n");
    }
    let few = size.hosts.div_ceil(20);
    for machine in 0..few {
        machines += &format!("{},{machine},1,p,1,1\n", second(span * 0.45));
    }
    for machine in 0..few {
        machines += &format!("{},{machine},0,p,1,1\n", second(span * 0.6));
    }
    (tasks, machines)
}

fn replay_config(size: &Size, seed: u64, load: f64) -> ReplayConfig {
    ReplayConfig {
        seed,
        from: 0,
        to: size.seconds * 1_000_000,
        time_scale: 1.0,
        sample_share: 1.0,
        load,
        nodes: size.hosts,
        node_ms_per_s: 4000.0,
        shards: size.hosts * 2,
        classes: vec![
            ClassSpec {
                priority_weight: 3.0,
                min_coverage: 0.4,
                ..ClassSpec::idempotent("report", 1.0, CountRange { min: 8, max: 24 }, 1.0)
            },
            ClassSpec::idempotent("lookup", 3.0, CountRange { min: 1, max: 4 }, 0.0),
        ],
        tenant_weights: vec![1.0],
        quota_per_s: None,
        drain_share: 0.5,
        drain_duration: 20_000,
        retry_budget: None,
        max_entries: 5_000_000,
    }
}

fn plan(size: &Size, seed: u64, load: f64) -> Result<Plan, String> {
    let mut planner = Planner::new(replay_config(size, seed, load)).map_err(|e| e.to_string())?;
    let (tasks, machines) = files(size, seed);
    for (name, text) in [("google-2011-machine-events", &machines), ("google-2011-task-events", &tasks)] {
        let layout = find_layout(name).ok_or("no such layout")?;
        for results in TraceReader::new(layout, text.as_bytes()).map_err(|e| e.to_string())? {
            let RowOutcome::Accepted(row) = results else { return Err(format!("{results:?}")) };
            planner.add_row(&row).map_err(|e| e.to_string())?;
        }
    }
    planner.finish().map_err(|e| e.to_string())
}

fn play(size: &Size, seed: u64, times: f64, policy: RoutingPolicy) -> Result<DayResults, String> {
    let (plan, cells) = (plan(size, seed, ONE * times)?, (size.hosts / 5).max(3));
    let (brokers, cancel) = (size.brokers, Cancel::All);
    let config = SimulationConfig {
        brokers,
        policy,
        seed,
        placement_groups: cells,
        cores: 4,
        warm_jobs: None,
        cancel,
    };
    Ok(Simulation::new(plan, &replay_config(size, seed, ONE * times), config).run(|_, _| true))
}

/// Rule 4 by the number of brokers: the module's days at each load and seed, and the most that a cold host
/// was sent, of what makes it fall over.
fn sweep(size: &Size, brokers: &[u32], seeds: u64) -> Result<(Value, bool), String> {
    let days = brokers.iter().flat_map(|brokers| {
        TIMES.iter().flat_map(move |times| (1..=seeds).map(move |seed| (*brokers, *times, seed)))
    });
    let played: Result<Vec<(u32, f64, bool, f64)>, String> = days
        .collect::<Vec<_>>()
        .into_par_iter()
        .map(|(brokers, times, seed)| {
            let day = play(&Size { brokers, ..*size }, seed, times, RoutingPolicy::Module)?;
            let cold = day.closest.iter().find(|(rule, _)| rule.starts_with('4'));
            let kept = !day.violations.keys().any(|rule| rule.starts_with('4'));
            Ok((brokers, times, kept, cold.map_or(0.0, |(_, closest)| closest.ratio)))
        })
        .collect();
    let (mut figures, mut kept) = (BTreeMap::new(), true);
    for (brokers, times, holds, ratio) in played? {
        let worst: &mut f64 = figures.entry(format!("{brokers}_brokers_{times}x")).or_default();
        *worst = worst.max(ratio);
        kept &= holds;
    }
    figures
        .iter()
        .for_each(|(name, worst)| println!("cold hosts, {name:<16} at the most {worst:.2} of a fall"));
    Ok((json!(figures), kept))
}

/// Plays all days, in parallel; the figures, and whether the bounds were kept: the module breaks no rule,
/// serves no less than a baseline that breaks none, and at 1x what the constant says.
pub fn measure(size: &Size, seed: u64) -> Result<(Value, bool), String> {
    let began = Instant::now();
    let days: Vec<(f64, RoutingPolicy)> =
        TIMES.iter().flat_map(|times| MINDS.map(|policy| (*times, policy))).collect();
    let played: Result<Vec<(f64, RoutingPolicy, DayResults)>, String> = days
        .into_par_iter()
        .map(|(times, policy)| {
            let results = play(size, seed, times, policy)?;
            Ok((times, policy, results))
        })
        .collect();
    let played = played?;
    println!(
        "load  mind      service  worst 10 s  median ms    p99 ms  answered  declined  pushes a retrieval"
    );
    let (mut figures, mut pass) = (BTreeMap::new(), true);
    for (times, policy, day) in &played {
        let name = format!("{policy:?}").to_lowercase();
        println!(
            "{times:>3}x  {name:<8} {:>8.4} {:>11.4} {:>10.1} {:>9.1} {:>9} {:>9} {:>19.2}",
            day.service.share(),
            day.worst_window(),
            day.latency_ms(0.5),
            day.latency_ms(0.99),
            day.responded,
            day.rejected,
            day.attempts as f64 / day.queries.max(1) as f64
        );
        let told = json!({"service": day.service.share(), "worst_10_s": day.worst_window(),
            "retrievals": day.queries, "declined": day.rejected, "scrapped": day.failed,
            "broken": day.violations.keys().collect::<Vec<_>>(), "digest": &day.digest[..16]});
        figures.insert(format!("{times}x_{name}"), told);
        if *policy == RoutingPolicy::Module {
            // A run that breaks a rule counts for nothing: what it served by that is no measure.
            let others = played.iter().filter(|(t, _, day)| t == times && day.violations.is_empty());
            let best = others.map(|(.., day)| day.service.share()).fold(0.0, f64::max);
            let any = played.iter().filter(|(t, ..)| t == times).map(|(.., day)| day.service.share());
            let served = day.service.share();
            pass &= day.violations.is_empty() && served >= best - 0.005 && (*times > 1.0 || served >= SERVES);
            pass &= served >= KEEPS * any.fold(0.0, f64::max);
        }
    }
    let (brokers, seeds) = size.sweep;
    let (cold, kept) = sweep(size, brokers, seeds)?;
    pass &= kept;
    println!(
        "simulated: {} hosts, {} brokers, {} s, seed {seed}; {:.0} s to play",
        size.hosts,
        size.brokers,
        size.seconds,
        began.elapsed().as_secs_f64()
    );
    let told = json!({"hosts": size.hosts, "brokers": size.brokers, "seconds": size.seconds, "seed": seed, "days": figures,
        "cold": cold, "cold_seeds": seeds});
    Ok((told, pass))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Many brokers' first attempts, and long shard requests of several that met, brought cold hosts down at
    /// 2x and 4x.
    #[rstest]
    fn no_cold_host_falls_over(#[values(1.0, 2.0, 4.0)] times: f64, #[values(1, 4)] seed: u64) {
        let size = Size { hosts: 30, brokers: 12, seconds: 30, a_second: 120.0, sweep: (&[], 0) };
        let day = play(&size, seed, times, RoutingPolicy::Module).unwrap();
        assert!(day.violations.is_empty(), "{:?}", day.violations);
        assert!(day.closest.keys().any(|rule| rule.starts_with('4')), "no cold host was asked at all");
    }
}
