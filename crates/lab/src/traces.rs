//! `trace check`: reads trace files, and says what of them can be used. Exit codes: 0 every row, 1 some were rejected
//! or the policy ended it, 2 a mistake in the words or a file that can't be begun.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use trace::{LAYOUTS, Layout, Ledger, Order, Policy, Reader, Reason, Sorted, Stop, Verdict, Window, layout};

/// The policy as a word: `first`, `count`, or a share as `0.01`.
#[derive(Clone, Copy)]
pub struct Tolerance(pub Policy);

impl FromStr for Tolerance {
    type Err = String;

    fn from_str(word: &str) -> Result<Tolerance, String> {
        match (word, word.parse::<f64>()) {
            ("first", _) => Ok(Tolerance(Policy::StopAtFirst)),
            ("count", _) => Ok(Tolerance(Policy::SkipAndCount)),
            (_, Ok(share)) if (0.0..=1.0).contains(&share) => Ok(Tolerance(Policy::StopPast(share))),
            _ => Err("`first`, `count`, or a share from 0 to 1 is allowed".to_owned()),
        }
    }
}

pub fn check(files: &[PathBuf], told: Option<&str>, tolerance: Tolerance, as_json: bool) -> ExitCode {
    let mut all = Vec::new();
    let mut sound = true;
    for file in files {
        let layout = match told.map_or_else(|| guess(file), layout) {
            Some(layout) => layout,
            None => return unknown(file),
        };
        match read(file, layout, tolerance.0) {
            Ok(checked) => {
                sound &= checked.stop.is_none() && checked.ledger.rejected_count() == 0;
                if as_json {
                    all.push(checked.json(file, layout));
                } else {
                    checked.print(file, layout);
                }
            }
            Err(why) => {
                eprintln!("barleydrum-lab: {why}");
                return ExitCode::from(2);
            }
        }
    }
    if as_json {
        println!("{}", json!({"sound": sound, "files": all}));
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// The layout whose file a name looks like: as published, the files lie in folders or have names of their kind.
fn guess(file: &Path) -> Option<&'static Layout> {
    let path = file.to_string_lossy().replace('-', "_");
    let kinds = [
        ("task_events", "google-2011-task-events"),
        ("machine_events", "google-2011-machine-events"),
        ("batch_task", "alibaba-2018-batch-task"),
        ("machine_meta", "alibaba-2018-machine-meta"),
        ("vmtable", "azure-2017-vmtable"),
    ];
    kinds.into_iter().find(|(kind, _)| path.contains(kind)).and_then(|(_, name)| layout(name))
}

fn unknown(file: &Path) -> ExitCode {
    let names: Vec<&str> = LAYOUTS.iter().map(|layout| layout.name).collect();
    eprintln!(
        "barleydrum-lab: {}: no layout fits its name; say which with --layout: {}",
        file.display(),
        names.join(", ")
    );
    ExitCode::from(2)
}

struct Checked {
    ledger: Ledger,
    steps: Vec<(u64, i128)>,
    /// The first and the last moment, in microseconds.
    span: Option<(u64, u64)>,
    stop: Option<Stop>,
}

fn read(file: &Path, layout: &'static Layout, policy: Policy) -> Result<Checked, String> {
    let reader = Reader::open(layout, file).map_err(|e| e.to_string())?;
    let mut order = Order::new(Window::default());
    let machines_told =
        layout.columns.iter().all(|column| column.3 != trace::Role::Job) && layout.sorted == Sorted::ByTime;
    let mut checked =
        Checked { ledger: Ledger::new(policy, machines_told), steps: Vec::new(), span: None, stop: None };
    let mut out = Vec::new();
    for verdict in reader {
        match verdict {
            Verdict::Taken(row) if layout.sorted == Sorted::ByTime => order.take(row, &mut out),
            verdict => out.push(verdict),
        }
        checked.enter(&mut out);
        if checked.stop.is_some() {
            break;
        }
    }
    if checked.stop.is_none() {
        order.end(&mut out);
        checked.enter(&mut out);
    }
    checked.steps = order.steps().to_vec();
    Ok(checked)
}

impl Checked {
    fn enter(&mut self, out: &mut Vec<Verdict>) {
        for verdict in out.drain(..) {
            match self.ledger.enter(verdict) {
                Ok(Some(row)) => {
                    let (first, last) = self.span.unwrap_or((row.at, row.at));
                    self.span = Some((first.min(row.at), last.max(row.at)));
                }
                Ok(None) => {}
                Err(stop) => return self.stop = Some(stop),
            }
        }
    }

    fn counts(&self) -> BTreeMap<Reason, u64> {
        self.ledger.rejected.iter().map(|(reason, seen)| (*reason, seen.count)).collect()
    }

    fn print(&self, file: &Path, layout: &Layout) {
        let ledger = &self.ledger;
        println!("{} ({})", file.display(), layout.name);
        println!("  {:<20} {:>12}", "lines", ledger.lines);
        println!("  {:<20} {:>12}", "taken", ledger.taken);
        for (reason, count) in self.counts() {
            println!("  {:<20} {count:>12}", reason.code());
            for rejected in &ledger.rejected[&reason].first {
                println!("      {rejected}");
            }
        }
        if let Some((first, last)) = self.span {
            println!("  from {:.1} s to {:.1} s on the trace's clock", first as f64 / 1e6, last as f64 / 1e6);
        }
        for (line, micros) in &self.steps {
            println!("  the clock stepped back at line {line}, by {:.1} s", *micros as f64 / 1e6);
        }
        match &self.stop {
            Some(Stop::First(_)) => println!("  stopped at the first that was rejected"),
            Some(Stop::Share { rejected, lines }) => {
                println!("  stopped: {rejected} of {lines} lines were rejected, more than the stated share");
            }
            None => {}
        }
    }

    fn json(&self, file: &Path, layout: &Layout) -> Value {
        let rejected: serde_json::Map<String, Value> =
            self.counts().iter().map(|(reason, count)| (reason.code().to_owned(), json!(count))).collect();
        json!({"file": file.display().to_string(), "layout": layout.name, "lines": self.ledger.lines,
            "taken": self.ledger.taken, "rejected": rejected, "steps": self.steps.len(),
            "stopped": self.stop.is_some()})
    }
}
