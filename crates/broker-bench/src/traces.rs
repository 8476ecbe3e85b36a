//! `trace check`: reads trace files, and says what of them can be used. `trace plan`: what they become.
//! `trace run`: how it goes. Exit codes: 0 every row, or no rule broken; 1 some were rejected, the policy
//! ended it, or a rule was broken; 2 a mistake in the words or a file that can't be begun; 3 no figure, as
//! the machine was too busy; 4 interrupted.

use crate::outcome::Outcome;
use crate::rehearse::{self, Mind, World};
use crate::{loopback, report};
use clap::Args;
use cluster_trace::plan::{
    ClassIdempotency, ClassSpec, CountRange, Plan, Planner, ReplayConfig, RetryBudget,
};
use cluster_trace::{
    ClockStep, LAYOUTS, Layout, PolicyViolation, ReadSummary, RejectionPolicy, RejectionReason, Row,
    RowOrder, RowOutcome, RowSorter, SortWindow, TraceReader, find_layout,
};
use indicatif::{ProgressBar, ProgressStyle};
use node_emulator::Cancel;
use routing::Tenths;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The policy as a word: `first`, `count`, or a share as `0.01`.
#[derive(Clone, Copy)]
pub struct Tolerance(pub RejectionPolicy);

impl FromStr for Tolerance {
    type Err = String;

    fn from_str(word: &str) -> Result<Tolerance, String> {
        match (word, word.parse::<f64>()) {
            ("first", _) => Ok(Tolerance(RejectionPolicy::StopAtFirst)),
            ("count", _) => Ok(Tolerance(RejectionPolicy::SkipAndCount)),
            (_, Ok(share)) if (0.0..=1.0).contains(&share) => Ok(Tolerance(RejectionPolicy::StopPast(share))),
            _ => Err("`first`, `count`, or a share from 0 to 1 is allowed".to_owned()),
        }
    }
}

pub fn check(files: &[PathBuf], told: Option<&str>, tolerance: Tolerance, as_json: bool) -> ExitCode {
    let mut all = Vec::new();
    let mut sound = true;
    for file in files {
        let layout = match told.map_or_else(|| guess(file), find_layout) {
            Some(layout) => layout,
            None => return unknown(file),
        };
        match read(file, layout, tolerance.0, |_| Ok(())) {
            Ok(checked) => {
                sound &= checked.stop.is_none() && checked.summary.rejected_count() == 0;
                if as_json {
                    all.push(checked.json(file, layout));
                } else {
                    checked.print(file, layout);
                }
            }
            Err(why) => {
                eprintln!("broker-bench: {why}");
                return ExitCode::from(2);
            }
        }
    }
    if as_json {
        println!("{}", json!({"sound": sound, "files": all}));
    }
    if sound { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// The layout whose file a name looks like: as published, the files lie in folders or have names of their
/// kind.
fn guess(file: &Path) -> Option<&'static Layout> {
    let path = file.to_string_lossy().replace('-', "_");
    let kinds = [
        ("task_events", "google-2011-task-events"),
        ("machine_events", "google-2011-machine-events"),
        ("batch_task", "alibaba-2018-batch-task"),
        ("batch_instance", "alibaba-2018-batch-instance"),
        ("machine_meta", "alibaba-2018-machine-meta"),
        ("vmtable", "azure-2017-vmtable"),
    ];
    kinds.into_iter().find(|(kind, _)| path.contains(kind)).and_then(|(_, name)| find_layout(name))
}

fn unknown(file: &Path) -> ExitCode {
    let names: Vec<&str> = LAYOUTS.iter().map(|layout| layout.name).collect();
    eprintln!(
        "broker-bench: {}: no layout fits its name; say which with --layout: {}",
        file.display(),
        names.join(", ")
    );
    ExitCode::from(2)
}

/// The window, and what is assumed beside the trace.
#[derive(Args, Clone)]
pub struct Planned {
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// The layout, where a file's name does not tell.
    #[arg(long)]
    pub layout: Option<String>,
    /// Rejected rows, as for `check`.
    #[arg(long, default_value = "count")]
    pub tolerate: Tolerance,
    /// The window, in seconds of the trace's clock.
    #[arg(long, default_value_t = 0.0)]
    pub from: f64,
    #[arg(long)]
    pub to: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One second of the trace takes so many of the rehearsal.
    #[arg(long, default_value_t = 1.0)]
    pub stretch: f64,
    /// The share of jobs that are in.
    #[arg(long, default_value_t = 1.0)]
    pub sample: f64,
    /// Work offered, as a share of what the hosts can do.
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,
    #[arg(long, default_value_t = 12)]
    pub hosts: u32,
    /// Milliseconds of work that one host does in a second.
    #[arg(long, default_value_t = 4000.0)]
    pub host_ms_per_s: f64,
    #[arg(long, default_value_t = 36)]
    pub shards: u32,
    /// The share of removed machines that drain first.
    #[arg(long, default_value_t = 0.5)]
    pub drains: f64,
    /// Tenants that the trace's users are mapped onto: a user is one tenant's, always.
    #[arg(long = "callers", default_value_t = 1)]
    pub tenants: u32,
    /// Queries a second that all tenants together may ask within their shares; none: no quotas.
    #[arg(long)]
    pub quota: Option<f64>,
    /// Beside queries that may run again, a numbered and an at-most-once class.
    #[arg(long)]
    pub effects: bool,
    /// A stated budget for further attempts: three, and this share of what was taken, in any five seconds.
    #[arg(long)]
    pub budget: Option<f64>,
    /// The digest and the counts alone.
    #[arg(long)]
    pub brief: bool,
}

/// Entries that a plan may have: some hundred megabytes.
const MOST_ENTRIES: usize = 2_000_000;

impl Planned {
    pub fn replay_config(&self) -> ReplayConfig {
        let micros = |seconds: f64| (seconds.max(0.0) * 1e6) as u64;
        let widest = self.shards.max(1);
        let class = |name: &str, share, priority_weight, min_coverage, idempotency| {
            let allows_partial = min_coverage < 1.0;
            let shard_requests = match allows_partial {
                true => CountRange { min: widest.div_ceil(2), max: widest },
                false => CountRange { min: 1, max: widest.min(4) },
            };
            let weight_skew = if allows_partial { 1.0 } else { 0.0 };
            ClassSpec {
                priority_weight,
                min_coverage,
                idempotency,
                ..ClassSpec::idempotent(name, share, shard_requests, weight_skew)
            }
        };
        let mut classes = vec![
            class("report", 1.0, 3.0, 0.4, ClassIdempotency::Idempotent),
            class("lookup", 3.0, 1.0, 1.0, ClassIdempotency::Idempotent),
        ];
        if self.effects {
            let numbered = ClassIdempotency::IdempotencyKey { dedup_window_ms: 1000 };
            classes.push(class("booking", 1.0, 1.0, 1.0, numbered));
            classes.push(class("dispensing", 1.0, 1.0, 1.0, ClassIdempotency::AtMostOnce));
        }
        ReplayConfig {
            seed: self.seed,
            from: micros(self.from),
            to: micros(self.to),
            time_scale: self.stretch,
            sample_share: self.sample,
            load: self.load,
            nodes: self.hosts,
            node_ms_per_s: self.host_ms_per_s,
            shards: self.shards,
            classes,
            // A few ask much, most ask little.
            tenant_weights: (1..=self.tenants.max(1)).map(|rank| 1.0 / f64::from(rank)).collect(),
            quota_per_s: self.quota,
            drain_share: self.drains,
            drain_duration: 20_000,
            retry_budget: self.budget.map(|ratio| RetryBudget { floor: 3.0, ratio, window_ms: 5000 }),
            max_entries: MOST_ENTRIES,
        }
    }
}

/// A plan, and who plays it.
#[derive(Args, Clone)]
pub struct Played {
    #[command(flatten)]
    pub planned: Planned,
    #[arg(long, default_value_t = 3)]
    pub brokers: u32,
    /// Cells of hosts; each shard is held by two.
    #[arg(long, default_value_t = 6)]
    pub cells: u32,
    /// Cores of a host.
    #[arg(long, default_value_t = 4)]
    pub cores: usize,
    /// Who decides: the module, or a baseline.
    #[arg(long, default_value = "module")]
    pub mind: Mind,
    /// The brokers on sockets, with hosts, discovery and clients on loopback, in place of the module in
    /// virtual time.
    #[arg(long)]
    pub loopback: bool,
    /// Leave a page of plots here (HTML that needs nothing else), and the figures beside it as JSON.
    #[arg(long, value_name = "FILE")]
    pub report: Option<PathBuf>,
    /// One JSON object for scripts.
    #[arg(long)]
    pub json: bool,
}

const BUSY: u8 = 3;
const INTERRUPTED: u8 = 4;

/// Set when the user breaks off (SIGINT): what was played by then is told as partial.
fn interruption() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    // Where it can't be listened for, the process ends as it would have.
    let _ = signal_hook::flag::register(signal_hook::consts::SIGINT, flag.clone());
    flag
}

/// A bar on standard error, where that is a terminal; it moves once for each second of the day.
fn progress(last: Tenths) -> ProgressBar {
    let bar = ProgressBar::new((last.0 / 10_000).max(1) as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s of the day, {elapsed} {msg}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Plays a plan to its end, or until it is broken off.
pub fn play(plan: Plan, played: &Played) -> Result<Outcome, loopback::NoFigure> {
    let Played { planned, brokers, cells, cores, mind, .. } = played;
    let cast = rehearse::Cast {
        brokers: (*brokers).max(1),
        mind: *mind,
        seed: planned.seed,
        cells: (*cells).clamp(1, planned.hosts.max(1)),
        cores: (*cores).max(1),
        warm_jobs: None,
        cancel: Cancel::All,
    };
    let (stop, last) = (interruption(), plan.entries.last().map_or(0, |entry| entry.at));
    let bar = progress(Tenths(last as i64));
    let going_on = |now: Tenths, _| {
        bar.set_position((now.0 / 10_000) as u64);
        !stop.load(Ordering::Relaxed)
    };
    let outcome = match played.loopback {
        true => loopback::play(plan, &planned.replay_config(), cast, going_on),
        false => Ok(World::new(plan, &planned.replay_config(), cast).play(going_on)),
    };
    bar.finish_and_clear();
    outcome
}

pub fn run(played: &Played) -> ExitCode {
    match make_plan(&played.planned) {
        Ok((plan, rejected)) => run_plan(plan, rejected, played),
        Err((why, code)) => {
            eprintln!("broker-bench: {why}");
            ExitCode::from(code)
        }
    }
}

/// Plays a plan, and tells how it went.
pub fn run_plan(plan: Plan, rejected: u64, played: &Played) -> ExitCode {
    if played.loopback && played.mind != Mind::Module {
        eprintln!("broker-bench: on loopback the broker plays, which has the module: no --mind there");
        return ExitCode::from(2);
    }
    let plan_digest = plan.digest();
    let outcome = match play(plan, played) {
        Ok(outcome) => outcome,
        Err(why) => {
            eprintln!("broker-bench: no figure: {why}");
            return ExitCode::from(BUSY);
        }
    };
    let mut told = outcome.json();
    (told["plan"], told["rejected_rows"], told["seed"]) =
        (json!(plan_digest), json!(rejected), json!(played.planned.seed));
    told["played"] = json!(if played.loopback { "on loopback sockets" } else { "in virtual time" });
    told["simulated"] = json!(true);
    if played.json {
        println!("{told}");
    } else {
        print_run(&outcome, &told, played);
    }
    if let Some(path) = &played.report
        && let Err(why) = report::write(path, &outcome, &told, &title(played))
    {
        eprintln!("broker-bench: {}: {why}", path.display());
        return ExitCode::from(2);
    }
    match outcome.stopped_at {
        Some(_) => ExitCode::from(INTERRUPTED),
        // The module must keep the rules; a baseline is what it is.
        None if outcome.broken.is_empty() || played.mind != Mind::Module => ExitCode::SUCCESS,
        None => ExitCode::from(1),
    }
}

fn title(played: &Played) -> String {
    let place = if played.loopback { "on loopback sockets" } else { "in virtual time" };
    format!(
        "simulated: {} brokers, {} hosts in {} cells, load {}, seed {}, {place}, {:?}",
        played.brokers,
        played.planned.hosts,
        played.cells,
        played.planned.load,
        played.planned.seed,
        played.mind
    )
}

fn print_run(outcome: &Outcome, told: &Value, played: &Played) {
    println!("{}", title(played));
    if let Some(at) = outcome.stopped_at {
        println!(
            "PARTIAL            broken off at {:.1} s: figures are of what was played",
            at.as_ms() / 1000.0
        );
    }
    println!(
        "service            {:.4} (payoff answered within the goal time over payoff asked for)",
        outcome.service.share()
    );
    println!("worst 10 s         {:.4}", outcome.worst_window());
    for key in [
        "by_category",
        "by_caller",
        "retrievals",
        "answered",
        "declined",
        "slowest_decline_ms",
        "scrapped",
        "pushes",
        "latency_ms",
        "plan",
        "digest",
    ] {
        println!("{key:<18} {}", told[key]);
    }
    for (rule, told) in &outcome.broken {
        println!(
            "RULE BROKEN        {rule} ({} times, first at {:.1} s)",
            told.times,
            told.first.as_ms() / 1000.0
        );
    }
}

pub fn plan(planned: &Planned) -> ExitCode {
    match make_plan(planned) {
        Ok((plan, rejected)) => {
            print_plan(planned, &plan, rejected);
            ExitCode::SUCCESS
        }
        Err((why, code)) => {
            eprintln!("broker-bench: {why}");
            ExitCode::from(code)
        }
    }
}

fn make_plan(planned: &Planned) -> Result<(Plan, u64), (String, u8)> {
    let mut planner = Planner::new(planned.replay_config()).map_err(|e| (e.to_string(), 2))?;
    let mut rejected = 0;
    for file in &planned.files {
        let layout = planned.layout.as_deref().map_or_else(|| guess(file), find_layout);
        let layout = layout.ok_or((format!("{}: no layout fits its name", file.display()), 2))?;
        let checked =
            read(file, layout, planned.tolerate.0, |row| planner.add_row(row).map_err(|e| e.to_string()));
        let checked = checked.map_err(|why| (why, 2))?;
        if checked.stop.is_some() {
            return Err((format!("{}: the policy ended it; see `trace check`", file.display()), 1));
        }
        rejected += checked.summary.rejected_count();
    }
    planner.finish().map(|plan| (plan, rejected)).map_err(|e| (e.to_string(), 1))
}

fn print_plan(planned: &Planned, plan: &Plan, rejected: u64) {
    let replay = planned.replay_config();
    println!("# assumed, of which the trace has nothing: {} shards; by category:", replay.shards);
    for (no, class) in replay.classes.iter().enumerate() {
        let ClassSpec {
            name,
            share,
            shard_requests,
            weight_skew,
            deadline_ms,
            priority_weight,
            min_coverage,
            idempotency,
        } = class;
        println!(
            "#   {no} {name}: share {share}, parts {} to {}, skew {weight_skew}, cut-off {deadline_ms} ms, payoff {priority_weight}, \
             least share {min_coverage}, {idempotency}",
            shard_requests.min, shard_requests.max
        );
    }
    println!("# one unit of the trace's work is {:.3} ms, so that load is {}", plan.ms_per_unit, replay.load);
    println!(
        "# rows rejected {rejected}, of jobs not sampled {}, of machines beyond the hosts {}",
        plan.unsampled_rows, plan.unmapped_machine_rows
    );
    if !planned.brief {
        plan.entries.iter().for_each(|entry| println!("{entry}"));
    }
    println!("# entries {}, running at the start {}", plan.entries.len(), plan.running_at_start);
    println!("# digest {}", plan.digest());
}

struct Checked {
    summary: ReadSummary,
    steps: Vec<ClockStep>,
    /// The first and the last moment, in microseconds.
    span: Option<(u64, u64)>,
    stop: Option<PolicyViolation>,
}

fn read(
    file: &Path,
    layout: &'static Layout,
    policy: RejectionPolicy,
    taken: impl FnMut(&Row) -> Result<(), String>,
) -> Result<Checked, String> {
    let reader = TraceReader::open(layout, file).map_err(|e| e.to_string())?;
    read_all(reader, layout, policy, taken)
}

/// Puts all rows of a reader into a plan.
pub fn take_rows(
    reader: TraceReader,
    layout: &'static Layout,
    policy: RejectionPolicy,
    planner: &mut Planner,
) -> Result<u64, String> {
    let checked = read_all(reader, layout, policy, |row| planner.add_row(row).map_err(|e| e.to_string()))?;
    match checked.stop {
        Some(violation) => Err(violation.to_string()),
        None => Ok(checked.summary.rejected_count()),
    }
}

fn read_all(
    reader: TraceReader,
    layout: &'static Layout,
    policy: RejectionPolicy,
    mut taken: impl FnMut(&Row) -> Result<(), String>,
) -> Result<Checked, String> {
    let mut sorter = RowSorter::new(SortWindow::default());
    let lists_machines = !layout.has_work() && layout.row_order == RowOrder::ByTime;
    let mut checked = Checked {
        summary: ReadSummary::new(policy, lists_machines),
        steps: Vec::new(),
        span: None,
        stop: None,
    };
    let mut out = Vec::new();
    for outcome in reader {
        match outcome {
            RowOutcome::Accepted(row) if layout.row_order == RowOrder::ByTime => sorter.add(row, &mut out),
            outcome => out.push(outcome),
        }
        checked.enter(&mut out, &mut taken)?;
        if checked.stop.is_some() {
            break;
        }
    }
    if checked.stop.is_none() {
        sorter.finish(&mut out);
        checked.enter(&mut out, &mut taken)?;
    }
    checked.steps = sorter.steps().to_vec();
    Ok(checked)
}

impl Checked {
    fn enter(
        &mut self,
        out: &mut Vec<RowOutcome>,
        taken: &mut impl FnMut(&Row) -> Result<(), String>,
    ) -> Result<(), String> {
        for outcome in out.drain(..) {
            match self.summary.add(outcome) {
                Ok(Some(row)) => {
                    taken(&row)?;
                    let (first, last) = self.span.unwrap_or((row.at, row.at));
                    self.span = Some((first.min(row.at), last.max(row.at)));
                }
                Ok(None) => {}
                Err(stop) => {
                    self.stop = Some(stop);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn counts(&self) -> BTreeMap<RejectionReason, u64> {
        self.summary.rejected.iter().map(|(reason, rows)| (*reason, rows.count)).collect()
    }

    fn print(&self, file: &Path, layout: &Layout) {
        let summary = &self.summary;
        println!("{} ({})", file.display(), layout.name);
        println!("  {:<20} {:>12}", "lines", summary.lines);
        println!("  {:<20} {:>12}", "taken", summary.accepted);
        for (reason, count) in self.counts() {
            println!("  {:<20} {count:>12}", reason.code());
            for rejected in &summary.rejected[&reason].examples {
                println!("      {rejected}");
            }
        }
        if let Some((first, last)) = self.span {
            println!("  from {:.1} s to {:.1} s on the trace's clock", first as f64 / 1e6, last as f64 / 1e6);
        }
        for step in &self.steps {
            let seconds = step.offset_us as f64 / 1e6;
            println!("  the clock stepped back at line {}, by {seconds:.1} s", step.line);
        }
        match &self.stop {
            Some(PolicyViolation::FirstRejected(_)) => println!("  stopped at the first that was rejected"),
            Some(PolicyViolation::ShareExceeded { rejected, lines }) => {
                println!("  stopped: {rejected} of {lines} lines were rejected, more than the stated share");
            }
            None => {}
        }
    }

    fn json(&self, file: &Path, layout: &Layout) -> Value {
        let rejected: serde_json::Map<String, Value> =
            self.counts().iter().map(|(reason, count)| (reason.code().to_owned(), json!(count))).collect();
        json!({"file": file.display().to_string(), "layout": layout.name, "lines": self.summary.lines,
            "taken": self.summary.accepted, "rejected": rejected, "steps": self.steps.len(),
            "stopped": self.stop.is_some()})
    }
}
