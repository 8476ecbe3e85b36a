//! Rows in a form independent of the trace's layout, and the outcome of reading a line.

use crate::rejection_reason::RejectionReason;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The 64-bit XXH3 hash of a name or an opaque identifier in a trace. It is the same in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HashedId(pub u64);

impl HashedId {
    /// Hashes `name`, or returns `None` if `name` is empty.
    pub fn from_name(name: &str) -> Option<HashedId> {
        (!name.is_empty()).then(|| HashedId(xxh3_64(name.as_bytes())))
    }
}

/// An event in the life of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEvent {
    /// The task was submitted.
    Submitted,
    /// The task started to run on a machine.
    Scheduled,
    /// The task was evicted, killed, canceled or interrupted.
    Stopped,
    /// The task failed.
    Failed,
    /// The task completed.
    Finished,
    /// The task ended, but the trace does not contain its end.
    Lost,
    /// The attributes of the task changed.
    Updated,
    /// The row describes the whole run of the task, from start to end.
    Span,
}

/// A change in the availability or capacity of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// The machine became available.
    Added,
    /// The machine became unavailable.
    Removed,
    /// The capacity of the machine changed.
    Updated,
}

/// The part of a row that depends on its subject: work or a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RowDetail {
    /// The row describes a task.
    Work {
        /// Job that the task belongs to.
        job: Option<HashedId>,
        /// Task within the job.
        task: Option<HashedId>,
        /// Event that the row records.
        event: WorkEvent,
        /// End time in microseconds on the trace's clock, or `None` if the row does not contain one.
        end: Option<u64>,
        /// Number of instances of the task, 1 if the row does not state it.
        instances: u64,
        /// Owner of the work, or `None` if the row does not state one.
        tenant: Option<HashedId>,
        /// Class assigned by the trace, or `None` if the row does not state one.
        class: Option<HashedId>,
        /// Priority assigned by the trace, 0 if the row does not state one.
        priority: u64,
    },
    /// The row describes a machine.
    Machine {
        /// Event that the row records.
        event: MachineEvent,
    },
}

/// A valid row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Line number in the file, starting at 1.
    pub line: u64,
    /// Time of the event or start time of the work, in microseconds on the trace's clock.
    pub at: u64,
    /// Machine that the row describes or that runs the work.
    pub machine: Option<HashedId>,
    /// CPU in the trace's unit (a fraction of the largest machine, cores, or percent), or `None` if the row does
    /// not state it.
    pub cpu: Option<f64>,
    /// Memory in the trace's unit, or `None` if the row does not state it.
    pub memory: Option<f64>,
    /// Fields that only work or only machines have.
    pub detail: RowDetail,
}

/// A rejected line and the reason for the rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedRow {
    /// Line number in the file, starting at 1.
    pub line: u64,
    /// Published name of the invalid column, or `None` if the line as a whole is invalid.
    pub column: Option<&'static str>,
    /// Description or quoted beginning of the invalid value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Reason for the rejection.
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
    /// The line is a valid row.
    Accepted(Row),
    /// The line was rejected.
    Rejected(RejectedRow),
}

/// The maximum number of characters that a rejection quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Returns the first [`MAX_QUOTED_CHARS`] characters of `bytes` in quotes, for display in a rejection.
pub(crate) fn quote(bytes: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(bytes).chars().take(MAX_QUOTED_CHARS).collect();
    format!("{text:?}")
}
