//! `measure rehearsal`: what the simulation costs by size, what brokers do in every scripted scenario, and
//! one scenario in virtual time beside loopback sockets.

use crate::loopback;
use crate::reader_benchmark::peak_kb;
use crate::results::DayResults;
use crate::scenario_day::{ScenarioDay, SocketDay};
use crate::scenario_figures::recovery_seconds;
use crate::simulate_command::MAX_SERVICE_DIFFERENCE;
use crate::simulation::{RoutingPolicy, Simulation};
use fault_scenarios::{LIBRARY, LibraryScenario, Scenario, find_in_library};
use rayon::prelude::*;
use serde_json::{Value, json};
use std::time::Instant;

/// Nodes and brokers of a day.
#[derive(Clone, Copy)]
pub struct ClusterDimensions {
    pub nodes: u32,
    pub brokers: u32,
}

/// How large the measure is.
pub struct Sizes {
    /// For the days of every scenario.
    pub small: ClusterDimensions,
    /// For one large day.
    pub large: ClusterDimensions,
    /// Days of every scenario.
    pub seeds: u64,
}

/// The scenario of the large day.
const LARGE_SCENARIO: &str = "hall-lost-at-the-rush";
const ZONES: u32 = 3;
/// Seeds from here on are for measuring; what is tuned is tuned on those below.
const FIRST_SEED: u64 = 101;
/// The module serves at least this in the worst scenario, on average over seeds: what it did when this was
/// written, less what single days differ by.
const MIN_WORST_SERVICE: f64 = 0.90;
/// Events a second, on one thread: a tenth of the goal of a million, below which large days take too long to
/// be played before a release.
const MIN_EVENTS_PER_S: f64 = 100_000.0;
/// How much more an event may cost at the large size: the cost is to be nearly linear in events.
const MAX_COST_RATIO: f64 = 4.0;

fn read_scenario(name: &str) -> Result<Scenario, String> {
    let found = find_in_library(name).ok_or(format!("no scenario `{name}`"))?;
    Scenario::parse(name, found.text).map_err(|errors| format!("{name}: {errors:?}"))
}

fn day(scenario: &Scenario, size: ClusterDimensions, seed: u64, policy: RoutingPolicy) -> ScenarioDay<'_> {
    let ClusterDimensions { nodes, brokers } = size;
    ScenarioDay { scenario, nodes, brokers, zones: ZONES, seed, policy }
}

/// The cost of one day on one thread.
struct DayCost {
    events: u64,
    events_per_s: f64,
    seconds: f64,
    keeps_rules: bool,
    /// Peak memory of the process after the day.
    peak_kb: f64,
}

impl DayCost {
    fn measure(size: ClusterDimensions) -> Result<DayCost, String> {
        let scenario = read_scenario(LARGE_SCENARIO)?;
        let start = Instant::now();
        let results = day(&scenario, size, FIRST_SEED, RoutingPolicy::Module).simulate();
        let seconds = start.elapsed().as_secs_f64();
        let events_per_s = results.events as f64 / seconds;
        println!(
            "{} hosts, {} brokers: {} events in {seconds:.1} s, {events_per_s:.0} a second; service {:.4}",
            size.nodes,
            size.brokers,
            results.events,
            results.service.share()
        );
        let keeps_rules = results.violations.is_empty();
        Ok(DayCost { events: results.events, events_per_s, seconds, keeps_rules, peak_kb: peak_kb() })
    }

    fn json(&self, size: ClusterDimensions) -> Value {
        json!({
            "hosts": size.nodes,
            "brokers": size.brokers,
            "events": self.events,
            "events_a_second": self.events_per_s.round(),
            "seconds_for_a_simulated_minute": self.seconds,
            "peak_kb": self.peak_kb,
        })
    }
}

/// One day in virtual time and on loopback sockets, from one plan.
struct SocketComparison {
    virtual_time: f64,
    sockets: f64,
    keeps_rules: bool,
}

impl SocketComparison {
    const SIZE: ClusterDimensions = ClusterDimensions { nodes: 12, brokers: 4 };

    fn measure(seed: u64) -> Result<SocketComparison, String> {
        let scenario = read_scenario(LARGE_SCENARIO)?;
        let day = day(&scenario, SocketComparison::SIZE, seed, RoutingPolicy::Module);
        let SocketDay { plan, replay, config } = day.for_sockets().map_err(|error| error.to_string())?;
        let start = Instant::now();
        let simulated = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
        let played = loopback::play(plan, &replay, config, |_, _| true).map_err(|error| error.to_string())?;
        let (virtual_time, sockets) = (simulated.service.share(), played.service.share());
        println!(
            "{LARGE_SCENARIO}, 12 hosts, 4 brokers, seed {seed}: virtual time {virtual_time:.4}, \
             loopback sockets {sockets:.4}, {:.1} s",
            start.elapsed().as_secs_f64()
        );
        let keeps_rules = simulated.violations.is_empty() && played.violations.is_empty();
        Ok(SocketComparison { virtual_time, sockets, keeps_rules })
    }

    fn difference(&self) -> f64 {
        self.sockets - self.virtual_time
    }

    fn json(&self) -> Value {
        json!({"virtual": self.virtual_time, "sockets": self.sockets, "apart": self.difference(),
            "rules_kept": self.keeps_rules})
    }
}

/// The days of one scenario by one policy.
struct PolicyDays {
    days: Vec<DayResults>,
    faults_end: usize,
}

impl PolicyDays {
    fn simulate(
        scenario: &Scenario,
        size: ClusterDimensions,
        seeds: &[u64],
        policy: RoutingPolicy,
    ) -> PolicyDays {
        let days = seeds.par_iter().map(|seed| day(scenario, size, *seed, policy).simulate()).collect();
        PolicyDays { days, faults_end: day(scenario, size, 0, policy).faults_end() }
    }

    fn service(&self) -> f64 {
        let sum = self.days.iter().map(|day| day.service.share()).sum::<f64>();
        sum / self.days.len().max(1) as f64
    }

    fn recovery(&self) -> Vec<Option<usize>> {
        self.days.iter().map(|day| recovery_seconds(day, self.faults_end)).collect()
    }

    fn service_by_tenant(&self) -> Vec<f64> {
        let tenants = self.days.first().map_or(0, |day| day.by_tenant.len());
        let share = |day: &DayResults, tenant: usize| day.by_tenant[tenant].share_if_asked();
        let sum = |tenant| self.days.iter().filter_map(|day| share(day, tenant)).sum::<f64>();
        (0..tenants).map(|tenant| sum(tenant) / self.days.len().max(1) as f64).collect()
    }
}

/// The figures of one scenario.
struct ScenarioRow {
    name: &'static str,
    /// Service by the module, by the design alone, and by the module behind admission control.
    module: f64,
    design: f64,
    admitted: f64,
    module_recovery: Vec<Option<usize>>,
    admitted_recovery: Vec<Option<usize>>,
    /// Rules that the module broke, alone or behind admission control.
    broken: Vec<&'static str>,
    module_by_tenant: Vec<f64>,
    admitted_by_tenant: Vec<f64>,
}

impl ScenarioRow {
    fn measure(name: &'static str, size: ClusterDimensions, seeds: &[u64]) -> Result<ScenarioRow, String> {
        let scenario = read_scenario(name)?;
        let simulate = |policy| PolicyDays::simulate(&scenario, size, seeds, policy);
        let module = simulate(RoutingPolicy::Module);
        let design = simulate(RoutingPolicy::Design);
        let admitted = simulate(RoutingPolicy::AdmissionController);
        let days = module.days.iter().chain(&admitted.days);
        let mut broken: Vec<&'static str> = days.flat_map(|day| day.violations.keys().copied()).collect();
        broken.sort_unstable();
        broken.dedup();
        Ok(ScenarioRow {
            name,
            module: module.service(),
            design: design.service(),
            admitted: admitted.service(),
            module_recovery: module.recovery(),
            admitted_recovery: admitted.recovery(),
            broken,
            module_by_tenant: module.service_by_tenant(),
            admitted_by_tenant: admitted.service_by_tenant(),
        })
    }

    fn print(&self) {
        println!(
            "{:<28} {:.4}   {:.4}        {:.4}   {}; {} {}",
            self.name,
            self.module,
            self.design,
            self.admitted,
            list_seconds(&self.module_recovery),
            list_seconds(&self.admitted_recovery),
            self.broken.join("; ")
        );
    }

    fn print_tenants(&self) {
        println!(
            "{}: callers, module alone {}; behind the door {}",
            self.name,
            list_shares(&self.module_by_tenant),
            list_shares(&self.admitted_by_tenant)
        );
    }

    fn json(&self) -> Value {
        json!({
            "module": self.module,
            "design": self.design,
            "door": self.admitted,
            "recovers_s": self.module_recovery,
            "door_recovers_s": self.admitted_recovery,
            "callers": {"module": self.module_by_tenant, "door": self.admitted_by_tenant},
        })
    }
}

fn list_seconds(recovery: &[Option<usize>]) -> String {
    let text = |seconds: &Option<usize>| seconds.map_or("-".to_owned(), |seconds| seconds.to_string());
    recovery.iter().map(text).collect::<Vec<_>>().join(" ")
}

fn list_shares(shares: &[f64]) -> String {
    shares.iter().map(|share| format!("{share:.3}")).collect::<Vec<_>>().join(" ")
}

/// The figures of all scenarios, the worst first.
fn measure_scenarios(size: ClusterDimensions, seeds: &[u64]) -> Result<Vec<ScenarioRow>, String> {
    let library = LIBRARY.par_iter();
    let rows = library.map(|LibraryScenario { name, .. }| ScenarioRow::measure(name, size, seeds));
    let mut rows = rows.collect::<Result<Vec<ScenarioRow>, String>>()?;
    rows.sort_by(|a, b| a.module.total_cmp(&b.module));
    Ok(rows)
}

/// Service of each policy, the mean over scenarios.
struct MeanServices {
    module: f64,
    design: f64,
    admitted: f64,
}

impl MeanServices {
    fn of(rows: &[ScenarioRow]) -> MeanServices {
        let mean = |service: fn(&ScenarioRow) -> f64| {
            rows.iter().map(service).sum::<f64>() / rows.len().max(1) as f64
        };
        MeanServices {
            module: mean(|row| row.module),
            design: mean(|row| row.design),
            admitted: mean(|row| row.admitted),
        }
    }
}

fn print_scenarios(rows: &[ScenarioRow], means: &MeanServices) {
    println!("{:<28} module   design alone  door     recovers, s: module; door", "scenario, worst first");
    rows.iter().for_each(ScenarioRow::print);
    rows.iter().filter(|row| row.module_by_tenant.len() > 1).for_each(ScenarioRow::print_tenants);
    println!(
        "mean over scenarios: module {:.4}, design alone {:.4}, door {:.4}",
        means.module, means.design, means.admitted
    );
}

/// Measures and prints; returns whether all bounds were kept.
pub fn measure(sizes: &Sizes) -> Result<bool, String> {
    let comparison = SocketComparison::measure(FIRST_SEED)?;
    let small = DayCost::measure(sizes.small)?;
    let large = DayCost::measure(sizes.large)?;
    let seeds: Vec<u64> = (FIRST_SEED..FIRST_SEED + sizes.seeds).collect();
    let rows = measure_scenarios(sizes.small, &seeds)?;
    let means = MeanServices::of(&rows);
    print_scenarios(&rows, &means);
    let keeps_rules = rows.iter().all(|row| row.broken.is_empty()) && small.keeps_rules && large.keeps_rules;
    let worst = rows.first().map_or(0.0, |row| row.module);
    let cost_ratio = small.events_per_s / large.events_per_s;
    let passes = keeps_rules
        && comparison.keeps_rules
        && comparison.difference().abs() <= MAX_SERVICE_DIFFERENCE
        && worst >= MIN_WORST_SERVICE
        && small.events_per_s >= MIN_EVENTS_PER_S
        && cost_ratio <= MAX_COST_RATIO;
    let scenarios: serde_json::Map<String, Value> =
        rows.iter().map(|row| (row.name.to_owned(), row.json())).collect();
    let figures = json!({
        "small": small.json(sizes.small),
        "large": large.json(sizes.large),
        "dearer_at_large": cost_ratio,
        "seeds": seeds,
        "tuned_on_seeds_below": FIRST_SEED,
        "worst": worst,
        "means": {"module": means.module, "design": means.design, "door": means.admitted},
        "hall_lost_both_ways": comparison.json(),
        "rules_kept": keeps_rules,
        "scenarios": scenarios,
    });
    println!("{}", json!({"measure": "rehearsal", "figures": figures, "pass": passes}));
    Ok(passes)
}
