//! The first part of `measure trace`: compares rows per second and peak memory of the trace reader with those of a
//! plain CSV reader, in alternating rounds on a generated temporary file. Some JSON keys predate the terms of the
//! code and are kept because scripts read them.

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
/// The minimum speed of the trace reader as a share of the plain reader's. The trace reader does more work
/// than splitting lines.
const MIN_SPEED_RATIO: f64 = 0.5;
/// The maximum growth of peak memory from a tenth of the file to the whole file, in kB. It allows for pages that
/// the allocator keeps.
const MAX_MEMORY_GROWTH_KB: f64 = 4096.0;

/// A generated file that is removed when this value is dropped.
struct GeneratedFile(PathBuf);

impl Drop for GeneratedFile {
    fn drop(&mut self) {
        // If the removal fails, the file stays among the system's temporary files.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Generates a file with rows of the `task_events` layout in chronological order. About one row in a thousand is
/// invalid.
fn generate_file(rows: u64, seed: u64) -> io::Result<GeneratedFile> {
    let path = std::env::temp_dir().join(format!("broker-bench-{}-{rows}.csv", std::process::id()));
    let generated = GeneratedFile(path);
    let mut file = BufWriter::new(File::create(&generated.0)?);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 600_000_000_u64;
    for row in 0..rows {
        at += rng.u64(0..2000);
        let (job, task) = (6_250_000_000 + row / 7, row % 7);
        // Event 9 does not exist in the layout.
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

/// The result of reading a file with the trace reader.
#[derive(Clone, Copy, Default)]
struct ReaderResult {
    rows_per_s: f64,
    accepted: u64,
    rejected: u64,
}

/// Reads a file with the trace reader, the row sorter and the summary.
fn read_trace(path: &Path) -> Result<ReaderResult, BenchmarkError> {
    let start = Instant::now();
    let layout = find_layout(LAYOUT).ok_or(BenchmarkError::UndefinedLayout(LAYOUT))?;
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
    Ok(ReaderResult { rows_per_s, accepted: summary.accepted, rejected: summary.rejected_count() })
}

/// Reads a file with the plain CSV reader. Returns the rows per second.
fn read_plain(path: &Path) -> Result<f64, BenchmarkError> {
    let start = Instant::now();
    let mut reader = csv::ReaderBuilder::new().has_headers(false).from_path(path)?;
    let (mut record, mut rows) = (csv::ByteRecord::new(), 0_u64);
    while reader.read_byte_record(&mut record)? {
        rows += 1;
    }
    Ok(rows as f64 / start.elapsed().as_secs_f64())
}

/// The results of one round: the trace reader, then the plain CSV reader.
#[derive(Clone, Copy)]
struct Round {
    reader: ReaderResult,
    plain_rows_per_s: f64,
}

impl Round {
    fn measure(path: &Path) -> Result<Round, BenchmarkError> {
        Ok(Round { reader: read_trace(path)?, plain_rows_per_s: read_plain(path)? })
    }

    /// Returns the ratio of the trace reader's speed to the plain reader's.
    fn speed_ratio(&self) -> f64 {
        self.reader.rows_per_s / self.plain_rows_per_s
    }
}

/// The results of all rounds.
struct ReaderFigures {
    /// The rounds in ascending order of their speed ratio.
    rounds: Vec<Round>,
    /// The peak memory after reading a tenth of the rows, in kilobytes.
    tenth_peak_kb: f64,
    /// The peak memory after all rounds, in kilobytes.
    peak_kb: f64,
}

impl ReaderFigures {
    fn measure(rows: u64, seed: u64) -> Result<ReaderFigures, BenchmarkError> {
        let tenth = generate_file(rows / 10, seed)?;
        read_trace(&tenth.0)?;
        let tenth_peak_kb = peak_memory_kb();
        let whole = generate_file(rows, seed)?;
        let mut rounds = Vec::new();
        for number in 0..ROUNDS {
            let round = Round::measure(&whole.0)?;
            let (rows_per_s, plain) = (round.reader.rows_per_s, round.plain_rows_per_s);
            println!("round {number}: {rows_per_s:>10.0} rows/s, bare {plain:>10.0}");
            rounds.push(round);
        }
        let peak_kb = peak_memory_kb();
        rounds.sort_by(|a, b| a.speed_ratio().total_cmp(&b.speed_ratio()));
        Ok(ReaderFigures { rounds, tenth_peak_kb, peak_kb })
    }

    fn median(&self) -> &Round {
        &self.rounds[self.rounds.len() / 2]
    }

    fn passes(&self, rows: u64) -> bool {
        let Round { reader, .. } = self.median();
        self.median().speed_ratio() >= MIN_SPEED_RATIO
            && self.peak_kb - self.tenth_peak_kb <= MAX_MEMORY_GROWTH_KB
            && reader.accepted + reader.rejected == rows
    }

    fn json(&self, rows: u64, overload: Value) -> Value {
        let median = self.median();
        json!({
            "rows": rows,
            "taken": median.reader.accepted,
            "rejected": median.reader.rejected,
            "rows_a_second": median.reader.rows_per_s.round(),
            "bare_rows_a_second": median.plain_rows_per_s.round(),
            "ratio": median.speed_ratio(),
            "ratio_least": self.rounds[0].speed_ratio(),
            "peak_kb": self.peak_kb,
            "peak_kb_at_a_tenth": self.tenth_peak_kb,
            "rush": overload,
        })
    }
}

/// Measures the trace reader and the overload runs and prints the figures. Returns whether all figures are within
/// their bounds.
///
/// # Errors
///
/// Returns an error if a generated file can't be written or read, or if the overload benchmark fails.
pub fn measure(rows: u64, size: &OverloadSize, seed: u64) -> Result<bool, BenchmarkError> {
    let figures = ReaderFigures::measure(rows, seed)?;
    let overload = overload_benchmark::measure(size, seed)?;
    let passes = overload.passes && figures.passes(rows);
    let figures = figures.json(rows, overload.json);
    println!("{}", json!({"measure": "trace", "figures": figures, "pass": passes}));
    Ok(passes)
}
