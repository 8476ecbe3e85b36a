//! `measure trace`, first part: rows per second and peak memory of the trace readers, beside the bare CSV
//! reader, in alternating rounds on one file that is generated and removed again. Keys of its JSON are older
//! than the terms of the code, and stay, as scripts read them.

use crate::benchmark_error::BenchmarkError;
use crate::overload_benchmark::{self, OverloadSize};
use crate::process_memory::peak_memory_kb;
use cluster_trace::{
    ReadSummary, RejectionPolicy, RowOutcome, RowSorter, SortWindow, TraceReader, find_layout,
};
use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

const LAYOUT: &str = "google-2011-task-events";
const ROUNDS: usize = 3;
/// The readers must reach at least this share of the bare reader's speed: they do more than split lines.
const MIN_SPEED_RATIO: f64 = 0.5;
/// Peak memory may grow by this much, in kB, from a tenth of the file to the whole: pages that the allocator
/// keeps.
const MAX_MEMORY_GROWTH_KB: f64 = 4096.0;

/// A generated file, removed when the value is dropped.
struct GeneratedFile(PathBuf);

impl Drop for GeneratedFile {
    fn drop(&mut self) {
        // A file that can't be removed stays in the system's folder for temporary files.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Rows as `task_events` has them, in the order of their times; one in a thousand is invalid.
fn generate_file(rows: u64, seed: u64) -> io::Result<GeneratedFile> {
    let path = std::env::temp_dir().join(format!("broker-bench-{}-{rows}.csv", std::process::id()));
    let generated = GeneratedFile(path);
    let mut file = BufWriter::new(File::create(&generated.0)?);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 600_000_000_u64;
    for row in 0..rows {
        at += rng.u64(0..2000);
        let (job, task) = (6_250_000_000 + row / 7, row % 7);
        // 9 is no event of the layout.
        let event = if rng.u32(0..1000) == 0 { 9 } else { rng.u32(0..9) };
        let (machine, user, class) = (rng.u64(1..12_500), rng.u32(0..400), rng.u32(0..4));
        writeln!(
            file,
            "{at},,{job},{task},{machine},{event},user{user},{class},{},0.0{},0.01{},0.0004,0",
            rng.u32(0..12),
            rng.u32(100..999),
            rng.u32(100..999)
        )?;
    }
    file.flush()?;
    Ok(generated)
}

/// What the readers made of a file.
#[derive(Clone, Copy, Default)]
struct ReadResult {
    rows_per_s: f64,
    accepted: u64,
    rejected: u64,
}

/// Reads a file through reader, sorter and summary.
fn read(path: &Path) -> Result<ReadResult, BenchmarkError> {
    let start = Instant::now();
    let layout = find_layout(LAYOUT).ok_or(BenchmarkError::MissingLayout(LAYOUT))?;
    let mut sorter = RowSorter::new(SortWindow::default());
    let mut summary = ReadSummary::new(RejectionPolicy::SkipAndCount, false);
    let mut outcomes = Vec::new();
    for outcome in TraceReader::open(layout, path)? {
        match outcome {
            RowOutcome::Accepted(row) => sorter.add(row, &mut outcomes),
            rejected => outcomes.push(rejected),
        }
        outcomes.drain(..).for_each(|outcome| _ = summary.add(outcome));
    }
    sorter.finish(&mut outcomes);
    outcomes.drain(..).for_each(|outcome| _ = summary.add(outcome));
    let rows_per_s = summary.lines as f64 / start.elapsed().as_secs_f64();
    Ok(ReadResult { rows_per_s, accepted: summary.accepted, rejected: summary.rejected_count() })
}

/// Reads a file through the bare CSV reader; rows per second.
fn read_bare(path: &Path) -> Result<f64, BenchmarkError> {
    let start = Instant::now();
    let mut reader = csv::ReaderBuilder::new().has_headers(false).from_path(path)?;
    let (mut record, mut rows) = (csv::ByteRecord::new(), 0_u64);
    while reader.read_byte_record(&mut record)? {
        rows += 1;
    }
    Ok(rows as f64 / start.elapsed().as_secs_f64())
}

/// One round: the readers, then the bare reader.
#[derive(Clone, Copy)]
struct Round {
    readers: ReadResult,
    bare_rows_per_s: f64,
}

impl Round {
    fn measure(path: &Path) -> Result<Round, BenchmarkError> {
        Ok(Round { readers: read(path)?, bare_rows_per_s: read_bare(path)? })
    }

    /// The readers' speed as a ratio to the bare reader's.
    fn speed_ratio(&self) -> f64 {
        self.readers.rows_per_s / self.bare_rows_per_s
    }
}

/// The figures of all rounds.
struct ReaderFigures {
    /// From the slowest to the fastest, by their speed ratio.
    rounds: Vec<Round>,
    peak_kb_at_a_tenth: f64,
    peak_kb: f64,
}

impl ReaderFigures {
    fn measure(rows: u64, seed: u64) -> Result<ReaderFigures, BenchmarkError> {
        let tenth = generate_file(rows / 10, seed)?;
        read(&tenth.0)?;
        let peak_kb_at_a_tenth = peak_memory_kb();
        let whole = generate_file(rows, seed)?;
        let mut rounds = Vec::new();
        for number in 0..ROUNDS {
            let round = Round::measure(&whole.0)?;
            let (rows_per_s, bare) = (round.readers.rows_per_s, round.bare_rows_per_s);
            println!("round {number}: {rows_per_s:>10.0} rows/s, bare {bare:>10.0}");
            rounds.push(round);
        }
        let peak_kb = peak_memory_kb();
        rounds.sort_by(|a, b| a.speed_ratio().total_cmp(&b.speed_ratio()));
        Ok(ReaderFigures { rounds, peak_kb_at_a_tenth, peak_kb })
    }

    fn median(&self) -> &Round {
        &self.rounds[self.rounds.len() / 2]
    }

    fn passes(&self, rows: u64) -> bool {
        let Round { readers, .. } = self.median();
        self.median().speed_ratio() >= MIN_SPEED_RATIO
            && self.peak_kb - self.peak_kb_at_a_tenth <= MAX_MEMORY_GROWTH_KB
            && readers.accepted + readers.rejected == rows
    }

    fn json(&self, rows: u64, overload: Value) -> Value {
        let median = self.median();
        json!({
            "rows": rows,
            "taken": median.readers.accepted,
            "rejected": median.readers.rejected,
            "rows_a_second": median.readers.rows_per_s.round(),
            "bare_rows_a_second": median.bare_rows_per_s.round(),
            "ratio": median.speed_ratio(),
            "ratio_least": self.rounds[0].speed_ratio(),
            "peak_kb": self.peak_kb,
            "peak_kb_at_a_tenth": self.peak_kb_at_a_tenth,
            "rush": overload,
        })
    }
}

/// Measures the readers and the overload days, and prints the figures; returns whether all bounds were kept.
///
/// # Errors
///
/// A generated file can't be written or read.
pub fn measure(rows: u64, size: &OverloadSize, seed: u64) -> Result<bool, BenchmarkError> {
    let figures = ReaderFigures::measure(rows, seed)?;
    let overload = overload_benchmark::measure(size, seed)?;
    let passes = overload.passes && figures.passes(rows);
    let figures = figures.json(rows, overload.json);
    println!("{}", json!({"measure": "trace", "figures": figures, "pass": passes}));
    Ok(passes)
}
