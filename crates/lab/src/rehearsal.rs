//! The command `rehearse`: reads scenarios, plays their days side by side, prints how they went. What is
//! decided about a day stands in [`crate::incident`]. All figures are simulated.

use crate::incident::{Day, bounds, told};
use crate::outcome::Outcome;
use crate::rehearse::Mind;
use crate::report;
use clap::Args;
use incidents::{LIBRARY, Scenario, find};
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
}

fn scenarios(which: &str) -> Result<Vec<Scenario>, String> {
    let read = |name: &str, text: &str| {
        let wrong = |mistakes: Vec<incidents::Mistake>| {
            mistakes.iter().map(|mistake| format!("{name}: {mistake}")).collect::<Vec<_>>().join("\n")
        };
        Scenario::read(name, text).map_err(wrong)
    };
    match (which, find(which)) {
        ("all", _) => LIBRARY.iter().map(|(name, text)| read(name, text)).collect(),
        (name, Some(text)) => Ok(vec![read(name, text)?]),
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
            eprintln!("barleydrum-lab: {why}");
            return ExitCode::from(2);
        }
    };
    if words.list {
        all.iter().for_each(|scenario| println!("{:<28} {}", scenario.name, scenario.about));
        return ExitCode::SUCCESS;
    }
    let seeds: Vec<u64> = (words.seed..words.seed + words.seeds.max(1)).collect();
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
            eprintln!("barleydrum-lab: {}: {why}", path.display());
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
