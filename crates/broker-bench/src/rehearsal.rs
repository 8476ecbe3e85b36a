//! The command `rehearse`: reads scenarios, plays their days side by side, prints how they went. What is
//! decided about a day stands in [`crate::incident`]. All figures are simulated.

use crate::incident::{Day, bounds, told};
use crate::outcome::Outcome;
use crate::rehearse::Mind;
use crate::report;
use clap::Args;
use fault_scenarios::{LIBRARY, Scenario, ScenarioError, find_in_library};
use rayon::prelude::*;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args, Clone)]
pub struct Rehearsed {
    /// One of the library (see `--list`), a file of one's own, or `all`.
    #[arg(default_value = "all")]
    scenario: String,
    /// What there is in the library, and what each is about.
    #[arg(long)]
    list: bool,
    #[arg(long, default_value_t = 60)]
    hosts: u32,
    #[arg(long, default_value_t = 30)]
    brokers: u32,
    #[arg(long, default_value_t = 3)]
    halls: u32,
    /// Days with seeds from `--seed` on.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "module")]
    mind: Mind,
    /// The same days by this one too; the difference is told with its bounds.
    #[arg(long)]
    against: Option<Mind>,
    #[arg(long)]
    json: bool,
    /// A page of plots of the first seed's day.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Play each day twice, the same plan in virtual time and on loopback sockets (brokers as they are,
    /// model hosts behind them), and tell how far they differ. Only scenarios of lost, drained, released and
    /// crawling hosts and of storms can be played so.
    #[arg(long)]
    loopback: bool,
}

fn scenarios(which: &str) -> Result<Vec<Scenario>, String> {
    let read = |name: &str, text: &str| {
        let wrong = |errors: Vec<ScenarioError>| {
            errors.iter().map(|error| format!("{name}: {error}")).collect::<Vec<_>>().join("\n")
        };
        Scenario::parse(name, text).map_err(wrong)
    };
    match (which, find_in_library(which)) {
        ("all", _) => LIBRARY.iter().map(|scenario| read(scenario.name, scenario.text)).collect(),
        (_, Some(scenario)) => Ok(vec![read(scenario.name, scenario.text)?]),
        (path, None) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| format!("{path}: {e}; neither a file nor in the library (--list)"))?;
            Ok(vec![read(path, &text)?])
        }
    }
}

pub fn run(words: &Rehearsed) -> ExitCode {
    let all = match scenarios(&words.scenario) {
        Ok(all) => all,
        Err(why) => {
            eprintln!("broker-bench: {why}");
            return ExitCode::from(2);
        }
    };
    if words.list {
        all.iter().for_each(|scenario| println!("{:<28} {}", scenario.name, scenario.about));
        return ExitCode::SUCCESS;
    }
    let seeds: Vec<u64> = (words.seed..words.seed + words.seeds.max(1)).collect();
    if words.loopback {
        return both_ways(&all, &seeds, words);
    }
    let minds: Vec<Mind> = std::iter::once(words.mind).chain(words.against).collect();
    let mut days = Vec::new();
    for (no, scenario) in all.iter().enumerate() {
        for mind in &minds {
            days.extend(seeds.iter().map(|seed| (no, scenario, *mind, *seed)));
        }
    }
    let (hosts, brokers, halls) = (words.hosts.max(1), words.brokers.max(1), words.halls.max(1));
    let played: Vec<Outcome> = days
        .into_par_iter()
        .map(|(_, scenario, mind, seed)| Day { scenario, hosts, brokers, halls, seed, mind }.play())
        .collect();
    let mut rows = Vec::new();
    let mut sound = true;
    for (scenario, days) in all.iter().zip(played.chunks(seeds.len() * minds.len())) {
        let (mine, theirs) = days.split_at(seeds.len());
        let over = Day { scenario, hosts, brokers, halls, seed: 0, mind: words.mind }.over();
        let mut row = told(mine, over);
        sound &= row["broken"].as_array().is_some_and(Vec::is_empty);
        (row["scenario"], row["about"]) = (json!(scenario.name), json!(scenario.about));
        if !theirs.is_empty() {
            let better: Vec<f64> =
                mine.iter().zip(theirs).map(|(a, b)| a.service.share() - b.service.share()).collect();
            let (mean, half) = bounds(&better);
            row["against"] = told(theirs, over);
            row["better_by"] = json!({"mean": mean, "half_span_95": half});
        }
        rows.push(row);
    }
    rows.sort_by(|a, b| {
        a["service"].as_f64().unwrap_or(0.0).total_cmp(&b["service"].as_f64().unwrap_or(0.0))
    });
    if words.json {
        let size = json!({"hosts": hosts, "brokers": brokers, "halls": halls, "seeds": seeds});
        println!(
            "{}",
            json!({"simulated": true, "size": size, "mind": format!("{:?}", words.mind), "scenarios": rows})
        );
    } else {
        print_rows(&rows, words);
    }
    if let (Some(path), Some(day)) = (&words.report, played.first()) {
        let title =
            format!("simulated: {}, {hosts} hosts, {brokers} brokers, seed {}", all[0].name, seeds[0]);
        if let Err(why) = report::write(path, day, &day.json(), &title) {
            eprintln!("broker-bench: {}: {why}", path.display());
            return ExitCode::from(2);
        }
    }
    // A baseline is what it is.
    if sound || words.mind != Mind::Module { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn print_rows(rows: &[Value], words: &Rehearsed) {
    println!(
        "simulated: {} hosts in {} halls, {} brokers, seeds {} to {}, {:?}; worst first",
        words.hosts,
        words.halls,
        words.brokers,
        words.seed,
        words.seed + words.seeds.max(1) - 1,
        words.mind
    );
    println!("{:<28} service  worst 10 s  worst caller  declined  pushes  recovers, s", "scenario");
    for row in rows {
        let figure = |key: &str| row[key].as_f64().unwrap_or(f64::NAN);
        let recovers: Vec<String> = row["recovers_s"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|s| s.as_u64().map_or("-".to_owned(), |s| s.to_string()))
            .collect();
        print!(
            "{:<28} {:>7.4} {:>11.4} {:>13.4} {:>9.3} {:>7.2}  {:<12}",
            row["scenario"].as_str().unwrap_or(""),
            figure("service"),
            figure("worst_10_s"),
            figure("worst_caller"),
            figure("declined"),
            figure("pushes_a_retrieval"),
            recovers.join(" ")
        );
        if let Some(mean) = row["better_by"]["mean"].as_f64() {
            let half = row["better_by"]["half_span_95"].as_f64();
            print!("  better by {mean:+.4}{}", half.map_or(String::new(), |half| format!(" +- {half:.4}")));
        }
        if let Some(rule) = row["nearest"]["rule"].as_str().filter(|_| words.against.is_none()) {
            let (ratio, at) = (&row["nearest"]["ratio"], &row["nearest"]["at_s"]);
            let told = |figure: &Value| figure.as_f64().unwrap_or(f64::NAN);
            print!("  nearest: {rule}: {:.2} at {:.1} s", told(ratio), told(at));
        }
        println!();
        for rule in row["broken"].as_array().into_iter().flatten() {
            println!("    RULE BROKEN  {}", rule.as_str().unwrap_or(""));
        }
    }
}

/// How far a day on sockets may differ from the same in virtual time, in service: what the front adds
/// (frames, connections, a turn's wait for its period) and what a paused clock of whole milliseconds makes of
/// times of tenths.
const MARGIN: f64 = 0.02;

/// Each scenario's days in virtual time and on loopback sockets, from the same plan.
fn both_ways(all: &[Scenario], seeds: &[u64], words: &Rehearsed) -> ExitCode {
    let (hosts, brokers, halls) = (words.hosts.max(1), words.brokers.max(1), words.halls.max(1));
    println!("simulated and on loopback sockets: {hosts} hosts, {brokers} brokers; margin {MARGIN}");
    println!("{:<28} {:>5} {:>9} {:>9} {:>8}  broken", "scenario", "seed", "virtual", "sockets", "apart");
    let mut sound = true;
    let mut rows = Vec::new();
    for scenario in all {
        for seed in seeds {
            let day = Day { scenario, hosts, brokers, halls, seed: *seed, mind: words.mind };
            let (plan, staging, cast) = match day.on_sockets() {
                Ok(shard_requests) => shard_requests,
                Err(why) => {
                    eprintln!("broker-bench: {why}");
                    return ExitCode::from(2);
                }
            };
            let virtual_day =
                crate::rehearse::World::new(plan.clone(), &staging, cast.clone()).play(|_, _| true);
            let sockets = match crate::loopback::play(plan, &staging, cast, |_, _| true) {
                Ok(outcome) => outcome,
                Err(why) => {
                    eprintln!("broker-bench: {}: {why}", scenario.name);
                    return ExitCode::from(3);
                }
            };
            let apart = sockets.service.share() - virtual_day.service.share();
            let broken: Vec<&str> = virtual_day.broken.keys().chain(sockets.broken.keys()).copied().collect();
            sound &= broken.is_empty() && apart.abs() <= MARGIN;
            println!(
                "{:<28} {seed:>5} {:>9.4} {:>9.4} {apart:>+8.4}  {}",
                scenario.name,
                virtual_day.service.share(),
                sockets.service.share(),
                broken.join("; ")
            );
            rows.push(json!({"scenario": scenario.name, "seed": seed, "virtual": virtual_day.json(),
                "sockets": sockets.json(), "apart": apart}));
        }
    }
    if words.json {
        println!("{}", json!({"margin": MARGIN, "days": rows, "sound": sound}));
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
