//! `measure trace`, first shard request: rows a second and peak memory of the trace readers, beside the bare
//! CSV reader, in turn on one file that is made here and removed.

use crate::overload_benchmark;
use cluster_trace::{
    ReadSummary, RejectionPolicy, RowOutcome, RowSorter, SortWindow, TraceReader, find_layout,
};
use serde_json::json;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

const ROUNDS: usize = 3;
/// The readers do more than split a line: half of the bare reader's speed is wanted.
const SPEED_BOUND: f64 = 0.5;
/// Peak memory may grow by so much from a tenth of the file to the whole, in kB: pages that the allocator
/// keeps.
const MEMORY_BOUND: f64 = 4096.0;

struct Made(PathBuf);

impl Drop for Made {
    fn drop(&mut self) {
        // What can't be tidied up is only a file in the folder for such.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Rows as `task_events` has them, in order of time, a thousandth of them bad.
fn make(rows: u64, seed: u64) -> std::io::Result<Made> {
    let path = std::env::temp_dir().join(format!("broker-bench-{}-{rows}.csv", std::process::id()));
    let made = Made(path);
    let mut to = BufWriter::new(File::create(&made.0)?);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 600_000_000_u64;
    for row in 0..rows {
        at += rng.u64(0..2000);
        let (job, task) = (6_250_000_000 + row / 7, row % 7);
        let event = if rng.u32(0..1000) == 0 { 9 } else { rng.u32(0..9) };
        let (machine, user, class) = (rng.u64(1..12_500), rng.u32(0..400), rng.u32(0..4));
        writeln!(
            to,
            "{at},,{job},{task},{machine},{event},user{user},{class},{},0.0{},0.01{},0.0004,0",
            rng.u32(0..12),
            rng.u32(100..999),
            rng.u32(100..999)
        )?;
    }
    to.flush()?;
    Ok(made)
}

/// Rows a second through readers, order and summary; what was taken and rejected.
fn read(path: &Path) -> Result<(f64, u64, u64), String> {
    let began = Instant::now();
    let layout = find_layout("google-2011-task-events").ok_or("no such layout")?;
    let reader = TraceReader::open(layout, path).map_err(|e| e.to_string())?;
    let (mut sorter, mut summary) =
        (RowSorter::new(SortWindow::default()), ReadSummary::new(RejectionPolicy::SkipAndCount, false));
    let mut out = Vec::new();
    for outcome in reader {
        match outcome {
            RowOutcome::Accepted(row) => sorter.add(row, &mut out),
            rejected => out.push(rejected),
        }
        out.drain(..).for_each(|outcome| _ = summary.add(outcome));
    }
    sorter.finish(&mut out);
    out.drain(..).for_each(|outcome| _ = summary.add(outcome));
    Ok((summary.lines as f64 / began.elapsed().as_secs_f64(), summary.accepted, summary.rejected_count()))
}

/// The same through the bare reader.
fn read_bare(path: &Path) -> Result<f64, String> {
    let began = Instant::now();
    let mut reader =
        csv::ReaderBuilder::new().has_headers(false).from_path(path).map_err(|e| e.to_string())?;
    let (mut record, mut rows) = (csv::ByteRecord::new(), 0_u64);
    while reader.read_byte_record(&mut record).map_err(|e| e.to_string())? {
        rows += 1;
    }
    Ok(rows as f64 / began.elapsed().as_secs_f64())
}

pub fn peak_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Plays and prints; whether all bounds were kept.
pub fn measure(rows: u64, size: &overload_benchmark::Size, seed: u64) -> Result<bool, String> {
    let tenth = make(rows / 10, seed).map_err(|e| e.to_string())?;
    read(&tenth.0)?;
    let before = peak_kb();
    let whole = make(rows, seed).map_err(|e| e.to_string())?;
    let mut speeds = Vec::new();
    let (mut taken, mut rejected) = (0, 0);
    for round in 0..ROUNDS {
        let (ours, t, r) = read(&whole.0)?;
        let bare = read_bare(&whole.0)?;
        println!("round {round}: {ours:>10.0} rows/s, bare {bare:>10.0}");
        speeds.push((ours / bare, ours, bare));
        (taken, rejected) = (t, r);
    }
    let after = peak_kb();
    speeds.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (ratio, ours, bare) = speeds[speeds.len() / 2];
    let (days, kept) = overload_benchmark::measure(size, seed)?;
    let pass = kept && ratio >= SPEED_BOUND && after - before <= MEMORY_BOUND && taken + rejected == rows;
    let figures = json!({"rows": rows, "taken": taken, "rejected": rejected, "rows_a_second": ours.round(),
        "bare_rows_a_second": bare.round(), "ratio": ratio, "ratio_least": speeds[0].0,
        "peak_kb": after, "peak_kb_at_a_tenth": before,
        "rush": days});
    println!("{}", json!({"measure": "trace", "figures": figures, "pass": pass}));
    Ok(pass)
}
