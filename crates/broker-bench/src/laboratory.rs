//! `measure rehearsal`: what the laboratory itself costs, by size, and what the brokers do in every scenario
//! of the library, with seeds that nothing was tuned on. All service figures are simulated.

use crate::incident::{Day, recovers};
use crate::reading::peak_kb;
use crate::rehearse::Mind;
use fault_scenarios::{LIBRARY, LibraryScenario, Scenario, find_in_library};
use rayon::prelude::*;
use serde_json::json;
use std::time::Instant;

/// How large: hosts and brokers of the small days and of the large one, and the large one's scenario.
pub struct Sizes {
    pub small: (u32, u32),
    pub large: (u32, u32),
    pub seeds: u64,
}

const LARGE: &str = "hall-lost-at-the-rush";
/// Seeds from here on are for measuring; what is tuned is tuned on those below.
const FIRST_SEED: u64 = 101;
/// The module serves at least this in the worst scenario, on average over seeds: what it did when this was
/// written, less what single days differ by.
const WORST: f64 = 0.90;
/// Events a second, on one thread: a tenth of the goal of a million, below which days at size take too long
/// to be played before a landing.
const EVENTS: f64 = 100_000.0;
/// How much dearer an event may be at the large size: cost is to be near to linear in events.
const DEARER: f64 = 4.0;

fn scenario(name: &str) -> Result<Scenario, String> {
    let found = find_in_library(name).ok_or(format!("no scenario `{name}`"))?;
    Scenario::parse(name, found.text).map_err(|errors| format!("{name}: {errors:?}"))
}

/// Events a second of one day on one thread, its events, and whether it broke no rule.
fn speed((hosts, brokers): (u32, u32)) -> Result<(f64, u64, bool, f64), String> {
    let scenario = scenario(LARGE)?;
    let day = Day { scenario: &scenario, hosts, brokers, halls: 3, seed: FIRST_SEED, mind: Mind::Module };
    let began = Instant::now();
    let outcome = day.play();
    let took = began.elapsed().as_secs_f64();
    println!(
        "{hosts} hosts, {brokers} brokers: {} events in {took:.1} s, {:.0} a second; service {:.4}",
        outcome.events,
        outcome.events as f64 / took,
        outcome.service.share()
    );
    Ok((outcome.events as f64 / took, outcome.events, outcome.broken.is_empty(), took))
}

/// A scenario's days: service by the module, by the design alone and by the module behind its door; when
/// the module's and the admission controller's were sound again; rules broken by either; each tenant's service, where
/// there are several.
struct Row {
    name: &'static str,
    module: f64,
    design: f64,
    door: f64,
    recovered: Vec<Option<usize>>,
    door_recovered: Vec<Option<usize>>,
    broken: Vec<&'static str>,
    tenants: [Vec<f64>; 2],
}

/// The hall lost at the rush on loopback sockets beside virtual time, from one plan: both services, and
/// whether rules held on both.
fn both_ways(seed: u64) -> Result<(f64, f64, bool), String> {
    let scenario = scenario(LARGE)?;
    let day = Day { scenario: &scenario, hosts: 12, brokers: 4, halls: 3, seed, mind: Mind::Module };
    let (plan, staging, cast) = day.on_sockets()?;
    let began = Instant::now();
    let virtual_day = crate::rehearse::World::new(plan.clone(), &staging, cast.clone()).play(|_, _| true);
    let sockets = crate::loopback::play(plan, &staging, cast, |_, _| true).map_err(|why| why.to_string())?;
    let (one, other) = (virtual_day.service.share(), sockets.service.share());
    println!(
        "{LARGE}, 12 hosts, 4 brokers, seed {seed}: virtual time {one:.4}, loopback sockets {other:.4}, \
         {:.1} s",
        began.elapsed().as_secs_f64()
    );
    Ok((one, other, virtual_day.broken.is_empty() && sockets.broken.is_empty()))
}

/// How far the two may differ: `rehearsal::MARGIN`.
const APART: f64 = 0.02;

pub fn measure(sizes: &Sizes) -> Result<bool, String> {
    let (on_time, on_sockets, both_kept) = both_ways(FIRST_SEED)?;
    let small = speed(sizes.small)?;
    let small_kb = peak_kb();
    let large = speed(sizes.large)?;
    let large_kb = peak_kb();
    let seeds: Vec<u64> = (FIRST_SEED..FIRST_SEED + sizes.seeds).collect();
    let (hosts, brokers) = sizes.small;
    let minds = [Mind::Module, Mind::Design, Mind::AdmissionController];
    let mut rows: Vec<Row> = LIBRARY
        .par_iter()
        .map(|LibraryScenario { name, .. }| {
            let scenario = scenario(name)?;
            let [mine, design, door] = minds.map(|mind| -> Vec<_> {
                let day =
                    |seed: &u64| Day { scenario: &scenario, hosts, brokers, halls: 3, seed: *seed, mind };
                seeds.par_iter().map(|seed| (day(seed).play(), day(seed).over())).collect()
            });
            let mean = |days: &[(crate::outcome::Outcome, usize)]| {
                days.iter().map(|(day, _)| day.service.share()).sum::<f64>() / days.len().max(1) as f64
            };
            let recovered = mine.iter().map(|(day, over)| recovers(day, *over)).collect();
            let door_recovered = door.iter().map(|(day, over)| recovers(day, *over)).collect();
            let mut broken: Vec<&'static str> =
                mine.iter().chain(&door).flat_map(|(day, _)| day.broken.keys().copied()).collect();
            broken.sort_unstable();
            broken.dedup();
            let tenants = [&mine, &door].map(|days| {
                let days: Vec<_> = days.iter().map(|(day, _)| day).collect();
                let all = days.first().map_or(0, |day| day.by_caller.len());
                let mean = |no: usize| days.iter().filter_map(|d| d.by_caller[no].told()).sum::<f64>();
                (0..all).map(|no| mean(no) / days.len().max(1) as f64).collect::<Vec<f64>>()
            });
            let (module, design, door_figure) = (mean(&mine), mean(&design), mean(&door));
            Ok(Row { name, module, design, door: door_figure, recovered, door_recovered, broken, tenants })
        })
        .collect::<Result<_, String>>()?;
    rows.sort_by(|a, b| a.module.total_cmp(&b.module));
    println!("{:<28} module   design alone  door     recovers, s: module; door", "scenario, worst first");
    let seconds = |told: &[Option<usize>]| -> String {
        told.iter().map(|s| s.map_or("-".to_owned(), |s| s.to_string())).collect::<Vec<_>>().join(" ")
    };
    for Row { name, module, design, door, recovered, door_recovered, broken, .. } in &rows {
        let (mine, theirs) = (seconds(recovered), seconds(door_recovered));
        println!(
            "{name:<28} {module:.4}   {design:.4}        {door:.4}   {mine}; {theirs} {}",
            broken.join("; ")
        );
    }
    for row in rows.iter().filter(|row| row.tenants[0].len() > 1) {
        let told = |tenants: &[f64]| tenants.iter().map(|c| format!("{c:.3}")).collect::<Vec<_>>().join(" ");
        println!(
            "{}: callers, module alone {}; behind the door {}",
            row.name,
            told(&row.tenants[0]),
            told(&row.tenants[1])
        );
    }
    let means = |figure: fn(&Row) -> f64| rows.iter().map(figure).sum::<f64>() / rows.len().max(1) as f64;
    let (module_mean, design_mean, door_mean) = (means(|r| r.module), means(|r| r.design), means(|r| r.door));
    println!(
        "mean over scenarios: module {module_mean:.4}, design alone {design_mean:.4}, door {door_mean:.4}"
    );
    let kept = rows.iter().all(|row| row.broken.is_empty()) && small.2 && large.2;
    let worst = rows.first().map_or(0.0, |row| row.module);
    let dearer = small.0 / large.0;
    let apart = on_sockets - on_time;
    let pass =
        kept && both_kept && apart.abs() <= APART && worst >= WORST && small.0 >= EVENTS && dearer <= DEARER;
    let scenarios: serde_json::Map<String, serde_json::Value> = rows
        .iter()
        .map(|row| {
            let told = json!({"module": row.module, "design": row.design, "door": row.door,
                "recovers_s": row.recovered, "door_recovers_s": row.door_recovered,
                "callers": {"module": row.tenants[0], "door": row.tenants[1]}});
            (row.name.to_owned(), told)
        })
        .collect();
    let size = |(hosts, brokers): (u32, u32), told: (f64, u64, bool, f64), kb: f64| {
        json!({"hosts": hosts, "brokers": brokers, "events": told.1, "events_a_second": told.0.round(),
            "seconds_for_a_simulated_minute": told.3, "peak_kb": kb})
    };
    let figures = json!({"small": size(sizes.small, small, small_kb), "large": size(sizes.large, large, large_kb),
        "dearer_at_large": dearer, "seeds": seeds, "tuned_on_seeds_below": FIRST_SEED, "worst": worst,
        "means": {"module": module_mean, "design": design_mean, "door": door_mean},
        "hall_lost_both_ways": {"virtual": on_time, "sockets": on_sockets, "apart": apart, "rules_kept": both_kept},
        "rules_kept": kept, "scenarios": scenarios});
    println!("{}", json!({"measure": "rehearsal", "figures": figures, "pass": pass}));
    Ok(pass)
}
