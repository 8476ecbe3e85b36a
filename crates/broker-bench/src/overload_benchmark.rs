//! `measure trace`, second part: a day with a traffic peak at size, in virtual time, by the product, by the
//! design without the product's exceptions, and by random choice. All figures are simulated. Keys of its JSON
//! are older than the terms of the code, and stay, as scripts read them.

use crate::benchmark_error::BenchmarkError;
use crate::run_results::RunResults;
use crate::simulation::{RoutingPolicy, Simulation, SimulationConfig};
use cluster_trace::plan::{ClassSpec, CountRange, Plan, Planner, ReplayConfig};
use cluster_trace::{RowOutcome, TraceReader, find_layout};
use node_emulator::CancelPolicy;
use rayon::prelude::*;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Instant;

/// How large a day is.
#[derive(Clone, Copy)]
pub struct OverloadSize {
    pub nodes: u32,
    pub brokers: u32,
    /// How long the day is.
    pub seconds: u64,
    /// Queries a second outside the peak.
    pub queries_per_s: f64,
    pub sweep: BrokerSweep,
}

/// Days by which the load on warming nodes is compared over numbers of brokers.
#[derive(Clone, Copy)]
pub struct BrokerSweep {
    /// Numbers of brokers.
    pub brokers: &'static [u32],
    /// Days of each number, with seeds from 1 on.
    pub seeds: u64,
}

/// Average load at a load factor of 1, as a share of what the nodes can do. The peak is
/// [`PEAK_FACTOR`] times the rest of the day, so that at a load factor of 1 the nodes can serve it.
const BASE_LOAD: f64 = 0.4;
const LOAD_FACTORS: [f64; 3] = [1.0, 2.0, 4.0];
const PEAK_FACTOR: f64 = 3.0;
const POLICIES: [RoutingPolicy; 3] = [RoutingPolicy::Product, RoutingPolicy::Design, RoutingPolicy::Random];
/// At a load factor of 1 the product's service must not be less.
const MIN_BASE_SERVICE: f64 = 0.95;
/// The product may serve this much less than the best policy that breaks no rule.
const SERVICE_TOLERANCE: f64 = 0.005;
/// The product serves at least this share of what any policy does, also of one that breaks rules.
const MIN_SHARE_OF_BEST: f64 = 0.97;
/// The rule on the load of warming nodes begins with this digit.
const WARMING_NODE_RULE: char = '4';
/// One in this number of nodes fails during the peak.
const NODES_PER_FAILED_NODE: u32 = 20;
const NODES_PER_PLACEMENT_GROUP: u32 = 5;
const MIN_PLACEMENT_GROUPS: u32 = 3;

/// The rows of a generated trace, in the layouts of Google's trace of 2011.
struct GeneratedTrace {
    tasks: String,
    machines: String,
}

impl GeneratedTrace {
    /// The middle third of the day is its peak. A twentieth of the machines fail at its height and come back.
    fn generate(size: &OverloadSize, seed: u64) -> GeneratedTrace {
        let tasks = generate_tasks(size, seed);
        GeneratedTrace { tasks, machines: generate_machines(size) }
    }
}

fn generate_tasks(size: &OverloadSize, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut rows = String::new();
    let duration_s = size.seconds as f64;
    let peak = duration_s / 3.0..duration_s * 2.0 / 3.0;
    let (mut at_s, mut job) = (0.0, 0_u64);
    while at_s < duration_s {
        let factor = if peak.contains(&at_s) { PEAK_FACTOR } else { 1.0 };
        at_s += -(1.0 - rng.f64()).ln() / (size.queries_per_s * factor);
        job += 1;
        // Work is as uneven as in traces: its logarithm is evenly distributed.
        let cpu = 0.01 * (rng.f64() * 3.0).exp();
        let (user, class) = (rng.u32(0..40), rng.u32(0..12));
        rows += &format!("{},,{job},0,,0,u{user},{},{class},{cpu:.5},0.01,0,0\n", micros(at_s), class % 4);
    }
    rows
}

fn generate_machines(size: &OverloadSize) -> String {
    let duration_s = size.seconds as f64;
    let mut rows = String::new();
    for machine in 0..size.nodes {
        rows += &format!("0,{machine},0,p,1,1\n");
    }
    let failed = size.nodes.div_ceil(NODES_PER_FAILED_NODE);
    for machine in 0..failed {
        rows += &format!("{},{machine},1,p,1,1\n", micros(duration_s * 0.45));
    }
    for machine in 0..failed {
        rows += &format!("{},{machine},0,p,1,1\n", micros(duration_s * 0.6));
    }
    rows
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn replay_config(size: &OverloadSize, seed: u64, load: f64) -> ReplayConfig {
    ReplayConfig {
        seed,
        from: 0,
        to: size.seconds * 1_000_000,
        time_scale: 1.0,
        sample_share: 1.0,
        load,
        nodes: size.nodes,
        node_ms_per_s: 4000.0,
        shards: size.nodes * 2,
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

fn plan(size: &OverloadSize, seed: u64, load: f64) -> Result<Plan, BenchmarkError> {
    let mut planner = Planner::new(replay_config(size, seed, load))?;
    let GeneratedTrace { tasks, machines } = GeneratedTrace::generate(size, seed);
    for (name, text) in [("google-2011-machine-events", &machines), ("google-2011-task-events", &tasks)] {
        let layout = find_layout(name).ok_or(BenchmarkError::MissingLayout(name))?;
        for outcome in TraceReader::new(layout, text.as_bytes())? {
            match outcome {
                RowOutcome::Accepted(row) => planner.add_row(&row)?,
                RowOutcome::Rejected(row) => return Err(BenchmarkError::RejectedRow(row)),
            }
        }
    }
    Ok(planner.finish()?)
}

fn simulate(
    size: &OverloadSize,
    seed: u64,
    load_factor: f64,
    policy: RoutingPolicy,
) -> Result<RunResults, BenchmarkError> {
    let load = BASE_LOAD * load_factor;
    let config = SimulationConfig {
        brokers: size.brokers,
        policy,
        seed,
        placement_groups: (size.nodes / NODES_PER_PLACEMENT_GROUP).max(MIN_PLACEMENT_GROUPS),
        cores: 4,
        warm_jobs: None,
        cancel: CancelPolicy::DropAll,
    };
    Ok(Simulation::new(plan(size, seed, load)?, &replay_config(size, seed, load), config).run(|_, _| true))
}

/// What a day of the sweep shows about the load on warming nodes.
struct SweepDay {
    brokers: u32,
    load_factor: f64,
    keeps_rule: bool,
    /// The largest load on a warming node, as a ratio to the load at which it collapses.
    ratio: f64,
}

impl SweepDay {
    fn simulate(
        size: &OverloadSize,
        brokers: u32,
        load_factor: f64,
        seed: u64,
    ) -> Result<SweepDay, BenchmarkError> {
        let size = OverloadSize { brokers, ..*size };
        let day = simulate(&size, seed, load_factor, RoutingPolicy::Product)?;
        let closest = day.closest.iter().find(|(rule, _)| rule.starts_with(WARMING_NODE_RULE));
        let keeps_rule = !day.violations.keys().any(|rule| rule.starts_with(WARMING_NODE_RULE));
        let ratio = closest.map_or(0.0, |(_, closest)| closest.ratio);
        Ok(SweepDay { brokers, load_factor, keeps_rule, ratio })
    }
}

/// The largest load on a warming node by number of brokers and load factor.
struct SweepResults {
    ratios: BTreeMap<String, f64>,
    keeps_rule: bool,
}

impl SweepResults {
    fn simulate(size: &OverloadSize) -> Result<SweepResults, BenchmarkError> {
        let BrokerSweep { brokers, seeds } = size.sweep;
        let days = brokers.iter().flat_map(|brokers| {
            let factors = LOAD_FACTORS.iter();
            factors.flat_map(move |factor| (1..=seeds).map(move |seed| (*brokers, *factor, seed)))
        });
        let days: Result<Vec<SweepDay>, BenchmarkError> = days
            .collect::<Vec<_>>()
            .into_par_iter()
            .map(|(brokers, load_factor, seed)| SweepDay::simulate(size, brokers, load_factor, seed))
            .collect();
        let mut results = SweepResults { ratios: BTreeMap::new(), keeps_rule: true };
        for SweepDay { brokers, load_factor, keeps_rule, ratio } in days? {
            let largest = results.ratios.entry(format!("{brokers}_brokers_{load_factor}x")).or_default();
            *largest = largest.max(ratio);
            results.keeps_rule &= keeps_rule;
        }
        Ok(results)
    }

    fn print(&self) {
        for (name, ratio) in &self.ratios {
            println!("largest load on a warming node / its collapse threshold, {name:<16} {ratio:.2}");
        }
    }
}

/// A day of one policy at one load factor.
struct OverloadDay {
    load_factor: f64,
    policy: RoutingPolicy,
    results: RunResults,
}

impl OverloadDay {
    /// The name of the day among the figures, as scripts read it.
    fn key(&self) -> String {
        format!("{}x_{}", self.load_factor, self.policy.key().to_lowercase())
    }

    fn service(&self) -> f64 {
        self.results.service.share()
    }

    fn print(&self) {
        println!(
            "{:>3}x  {:<8} {:>8.4} {:>11.4} {:>10.1} {:>9.1} {:>10} {:>9} {:>19.2}",
            self.load_factor,
            self.policy.to_string(),
            self.service(),
            self.results.worst_window(),
            self.results.latency_ms(0.5),
            self.results.latency_ms(0.99),
            self.results.responded,
            self.results.rejected,
            self.results.attempts as f64 / self.results.queries.max(1) as f64
        );
    }

    fn json(&self) -> Value {
        json!({
            "service": self.service(),
            "worst_10_s": self.results.worst_window(),
            "retrievals": self.results.queries,
            "declined": self.results.rejected,
            "scrapped": self.results.failed,
            "broken": self.results.violations.keys().collect::<Vec<_>>(),
            "digest": self.results.short_digest(),
        })
    }
}

fn simulate_days(size: &OverloadSize, seed: u64) -> Result<Vec<OverloadDay>, BenchmarkError> {
    let days = LOAD_FACTORS.iter().flat_map(|factor| POLICIES.map(|policy| (*factor, policy)));
    days.collect::<Vec<_>>()
        .into_par_iter()
        .map(|(load_factor, policy)| {
            let results = simulate(size, seed, load_factor, policy)?;
            Ok(OverloadDay { load_factor, policy, results })
        })
        .collect()
}

fn print_days(days: &[OverloadDay]) {
    println!(
        "load  policy    service  worst 10 s  median ms    p99 ms  responded  rejected  attempts per query"
    );
    days.iter().for_each(OverloadDay::print);
}

/// Whether the product's day keeps its bounds beside the other policies' days at the same load factor.
fn keeps_bounds(day: &OverloadDay, days: &[OverloadDay]) -> bool {
    let same_load = || days.iter().filter(|other| other.load_factor == day.load_factor);
    let best =
        |days: &mut dyn Iterator<Item = &OverloadDay>| days.map(OverloadDay::service).fold(0.0, f64::max);
    // A policy that breaks a rule sets no mark but a floor: it serves more by breaking it.
    let best_within_rules = best(&mut same_load().filter(|other| other.results.violations.is_empty()));
    let best_of_all = best(&mut same_load());
    day.results.violations.is_empty()
        && day.service() >= best_within_rules - SERVICE_TOLERANCE
        && day.service() >= MIN_SHARE_OF_BEST * best_of_all
        && (day.load_factor > 1.0 || day.service() >= MIN_BASE_SERVICE)
}

/// The figures of the overload days, and whether all bounds were kept.
pub struct OverloadFigures {
    pub json: Value,
    pub passes: bool,
}

/// Plays all days in parallel, and prints the results.
///
/// # Errors
///
/// The generated trace could not be read or planned.
pub fn measure(size: &OverloadSize, seed: u64) -> Result<OverloadFigures, BenchmarkError> {
    let start = Instant::now();
    let days = simulate_days(size, seed)?;
    print_days(&days);
    let sweep = SweepResults::simulate(size)?;
    sweep.print();
    println!(
        "simulated: {} nodes, {} brokers, {} s, seed {seed}; {:.0} s to play",
        size.nodes,
        size.brokers,
        size.seconds,
        start.elapsed().as_secs_f64()
    );
    let mut product_days = days.iter().filter(|day| day.policy == RoutingPolicy::Product);
    let passes = product_days.all(|day| keeps_bounds(day, &days)) && sweep.keeps_rule;
    let by_day: Map<String, Value> = days.iter().map(|day| (day.key(), day.json())).collect();
    let json = json!({
        "hosts": size.nodes,
        "brokers": size.brokers,
        "seconds": size.seconds,
        "seed": seed,
        "days": by_day,
        "cold": sweep.ratios,
        "cold_seeds": size.sweep.seeds,
    });
    Ok(OverloadFigures { json, passes })
}

#[cfg(test)]
mod tests;
