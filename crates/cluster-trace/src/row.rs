//! A row of a trace in the terms of this package, and the outcome of reading a line.

use crate::rejection_reason::RejectionReason;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The XXH3 hash of a name or an opaque id of the trace: the same in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TraceId(pub u64);

impl TraceId {
    /// The id of a name; none of an empty one.
    pub fn of(name: &str) -> Option<TraceId> {
        (!name.is_empty()).then(|| TraceId(xxh3_64(name.as_bytes())))
    }
}

/// What happened to a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEvent {
    /// It was handed in.
    Submitted,
    /// It began to run on a machine.
    Scheduled,
    /// It was ended by somebody else: evicted, killed, cancelled, interrupted.
    Stopped,
    /// It failed.
    Failed,
    /// It ran to its end.
    Finished,
    /// Its end is not in the trace.
    Lost,
    /// Its attributes changed.
    Updated,
    /// The row describes the whole time from its start to its end.
    Span,
}

/// What happened to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// It can be used from now on.
    Added,
    /// It can't be used any more.
    Removed,
    /// Its capacity changed.
    Updated,
}

/// What a row is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RowDetail {
    /// A piece of work.
    Work {
        /// The job that it belongs to.
        job: Option<TraceId>,
        /// The task within the job.
        task: Option<TraceId>,
        /// What happened to it.
        event: WorkEvent,
        /// When it ended, in microseconds, where the row describes a whole span.
        end: Option<u64>,
        /// How many instances of the task there are.
        instances: u64,
        /// Whose work it is.
        tenant: Option<TraceId>,
        /// Its class in the trace.
        class: Option<TraceId>,
        /// Its priority in the trace.
        priority: u64,
    },
    /// A machine.
    Machine {
        /// What happened to it.
        event: MachineEvent,
    },
}

/// A row that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The line of the file, from 1.
    pub line: u64,
    /// Microseconds on the trace's clock.
    pub at: u64,
    /// The machine that it is about or that the work runs on.
    pub machine: Option<TraceId>,
    /// CPU as the trace has it: a share of the largest machine, cores, or per cent. None where it is not
    /// given.
    pub cpu: Option<f64>,
    /// Memory, in the trace's unit.
    pub memory: Option<f64>,
    /// What it is about.
    pub detail: RowDetail,
}

/// A line that is not used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRow {
    /// The line of the file, from 1.
    pub line: u64,
    /// The column's published name; none if the fault is that of the whole line.
    pub column: Option<&'static str>,
    /// What the column or the line has.
    pub value: String,
    /// Which values are allowed.
    pub allowed: String,
    /// Why it is rejected.
    pub reason: RejectionReason,
}

impl fmt::Display for RejectedRow {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if let Some(column) = self.column {
            write!(f, "`{column}` ")?;
        }
        write!(f, "is {}; allowed: {} ({})", self.value, self.allowed, self.reason.code())
    }
}

/// The outcome of reading one line.
#[derive(Clone, Debug, PartialEq)]
pub enum RowOutcome {
    /// A row that can be used.
    Accepted(Row),
    /// A line that is not used.
    Rejected(RejectedRow),
}

/// The longest text that a rejection quotes, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// The beginning of a text as it is shown in a rejection.
pub(crate) fn quote(bytes: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(bytes).chars().take(MAX_QUOTED_CHARS).collect();
    format!("{text:?}")
}
