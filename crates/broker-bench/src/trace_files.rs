//! Reads trace files: selects the layout, sorts the rows, and applies the policy for rejected rows.

use cluster_trace::plan::{PlanError, Planner};
use cluster_trace::{
    ClockStep, Layout, OpenError, PolicyViolation, ReadSummary, RejectionPolicy, Row, RowOrder, RowOutcome,
    RowSorter, SortWindow, TraceReader, find_layout,
};
use std::io;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use thiserror::Error;

/// An error that makes a trace unusable.
#[derive(Debug, Error)]
pub enum TraceError {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The policy for rejected rows stopped the reading of a built-in trace.
    #[error(transparent)]
    Policy(#[from] PolicyViolation),
    #[error("{}: reading stopped because rows were rejected; run `trace check` for details", .0.display())]
    StoppedByPolicy(PathBuf),
    #[error("{}: no trace layout matches the file name; choose one with --layout", .0.display())]
    UnknownLayout(PathBuf),
    #[error("trace layout `{0}` is not defined")]
    UndefinedLayout(&'static str),
}

/// An error for a text that is not a valid [`Tolerance`].
#[derive(Debug, Error)]
#[error("allowed: `first`, `count`, or a share from 0 to 1")]
pub struct ParseToleranceError;

/// The policy for rejected rows as a command-line argument: `first`, `count`, or a share such as `0.01`.
#[derive(Clone, Copy)]
pub struct Tolerance(pub RejectionPolicy);

impl FromStr for Tolerance {
    type Err = ParseToleranceError;

    fn from_str(text: &str) -> Result<Tolerance, ParseToleranceError> {
        match (text, text.parse::<f64>()) {
            ("first", _) => Ok(Tolerance(RejectionPolicy::StopAtFirst)),
            ("count", _) => Ok(Tolerance(RejectionPolicy::SkipAndCount)),
            (_, Ok(share)) if (0.0..=1.0).contains(&share) => {
                Ok(Tolerance(RejectionPolicy::StopAboveShare(share)))
            }
            _ => Err(ParseToleranceError),
        }
    }
}

/// Returns the layout with this name, or the layout that the file's path indicates if no name is given. Published
/// trace files have their kind in the name of the file or of its directory.
pub fn choose_layout(file: &Path, name: Option<&str>) -> Option<&'static Layout> {
    if let Some(name) = name {
        return find_layout(name);
    }
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

/// The times of the first and the last accepted row, in microseconds on the trace's clock.
#[derive(Clone, Copy, Debug)]
pub struct TimeRange {
    pub first: u64,
    pub last: u64,
}

/// The result of reading a trace file.
pub struct FileSummary {
    pub rows: ReadSummary,
    pub clock_steps: Vec<ClockStep>,
    /// The times that the accepted rows cover, or `None` if no row was accepted.
    pub time_range: Option<TimeRange>,
    /// The violation that made the policy stop the reading, or `None` if the file was read to its end.
    pub violation: Option<PolicyViolation>,
}

/// Reads a trace file and calls `use_row` for each accepted row.
pub fn read_file(
    file: &Path,
    layout: &'static Layout,
    policy: RejectionPolicy,
    use_row: impl FnMut(&Row) -> Result<(), PlanError>,
) -> Result<FileSummary, TraceError> {
    read_rows(TraceReader::open(layout, file)?, layout, policy, use_row)
}

/// Adds all accepted rows of a reader to a plan. Returns the number of rejected rows.
pub fn add_rows(
    reader: TraceReader,
    layout: &'static Layout,
    policy: RejectionPolicy,
    planner: &mut Planner,
) -> Result<u64, TraceError> {
    let summary = read_rows(reader, layout, policy, |row| planner.add_row(row))?;
    match summary.violation {
        Some(violation) => Err(violation.into()),
        None => Ok(summary.rows.rejected_count()),
    }
}

fn read_rows(
    reader: TraceReader,
    layout: &'static Layout,
    policy: RejectionPolicy,
    mut use_row: impl FnMut(&Row) -> Result<(), PlanError>,
) -> Result<FileSummary, TraceError> {
    let is_sorted = layout.row_order == RowOrder::ByTime;
    let lists_machines = !layout.describes_work() && is_sorted;
    let rows = ReadSummary::new(policy, lists_machines);
    let mut summary = FileSummary { rows, clock_steps: Vec::new(), time_range: None, violation: None };
    let mut sorter = RowSorter::new(SortWindow::default());
    let mut outcomes = Vec::new();
    for outcome in reader {
        match outcome {
            RowOutcome::Accepted(row) if is_sorted => sorter.add(row, &mut outcomes),
            outcome => outcomes.push(outcome),
        }
        summary.add(&mut outcomes, &mut use_row)?;
        if summary.violation.is_some() {
            break;
        }
    }
    if summary.violation.is_none() {
        sorter.finish(&mut outcomes);
        summary.add(&mut outcomes, &mut use_row)?;
    }
    summary.clock_steps = sorter.steps().to_vec();
    Ok(summary)
}

impl FileSummary {
    /// Returns whether all rows were accepted.
    pub fn is_clean(&self) -> bool {
        self.violation.is_none() && self.rows.rejected_count() == 0
    }

    fn add(
        &mut self,
        outcomes: &mut Vec<RowOutcome>,
        use_row: &mut impl FnMut(&Row) -> Result<(), PlanError>,
    ) -> Result<(), TraceError> {
        for outcome in outcomes.drain(..) {
            match self.rows.add(outcome) {
                Ok(Some(row)) => {
                    use_row(&row)?;
                    let range = self.time_range.unwrap_or(TimeRange { first: row.at, last: row.at });
                    self.time_range =
                        Some(TimeRange { first: range.first.min(row.at), last: range.last.max(row.at) });
                }
                Ok(None) => {}
                Err(violation) => {
                    self.violation = Some(violation);
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}
