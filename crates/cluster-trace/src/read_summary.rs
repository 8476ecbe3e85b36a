//! Counts outcomes, detects faults that involve more than one row (duplicates, machines that were never added),
//! and applies the rejection policy.

use crate::rejection_reason::RejectionReason;
use crate::row::{HashedId, MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, WorkEvent};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use thiserror::Error;

/// The policy for rejected rows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionPolicy {
    /// Stops at the first rejected row.
    StopAtFirst,
    /// Skips and counts rejected rows.
    SkipAndCount,
    /// Stops once more than the given share of the lines, from 0 to 1, is rejected. The share is first checked
    /// after 1000 lines.
    StopAboveShare(f64),
}

/// The error returned when the rejection policy stops reading.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PolicyViolation {
    /// A row was rejected under [`RejectionPolicy::StopAtFirst`].
    #[error("{0}")]
    FirstRejected(RejectedRow),
    /// The share of rejected lines exceeded the limit of [`RejectionPolicy::StopAboveShare`].
    #[error("too many lines rejected: {rejected} of {lines}")]
    ShareExceeded {
        /// Number of rejected lines.
        rejected: u64,
        /// Number of lines read so far.
        lines: u64,
    },
}

/// The rows rejected for one reason.
#[derive(Clone, Debug, Default)]
pub struct RejectedRows {
    /// Number of rejected rows.
    pub count: u64,
    /// First rejected rows, at most three.
    pub examples: Vec<RejectedRow>,
}

/// The maximum number of rejected rows that are kept as examples, per reason.
const MAX_EXAMPLES: usize = 3;
/// The number of lines after which the share of rejected lines is first compared with the limit.
const MIN_LINES_FOR_SHARE: u64 = 1000;
/// The number of preceding rows that a row is compared with to detect duplicates.
const DUPLICATE_WINDOW: usize = 4096;
/// The maximum number of machines that are remembered, which bounds memory.
const MAX_MACHINES: usize = 1_000_000;

/// Counts of the outcomes of one file. The number of lines always equals the accepted plus the rejected rows.
#[derive(Debug)]
pub struct ReadSummary {
    policy: RejectionPolicy,
    /// Number of lines read.
    pub lines: u64,
    /// Number of accepted rows.
    pub accepted: u64,
    /// Rejected rows, by reason.
    pub rejected: BTreeMap<RejectionReason, RejectedRows>,
    /// Hashes of the last [`DUPLICATE_WINDOW`] rows, oldest first. `recent_hash_set` contains the same hashes.
    recent_hashes: VecDeque<u64>,
    recent_hash_set: FxHashSet<u64>,
    machines: FxHashSet<Option<HashedId>>,
    /// Whether the trace lists its machines. If it does not, no machine is treated as unknown.
    lists_machines: bool,
}

impl ReadSummary {
    /// Creates an empty summary. `lists_machines` states that the row that adds a machine precedes all other rows
    /// about the machine, so that unknown machines can be rejected.
    pub fn new(policy: RejectionPolicy, lists_machines: bool) -> ReadSummary {
        ReadSummary {
            policy,
            lines: 0,
            accepted: 0,
            rejected: BTreeMap::new(),
            recent_hashes: VecDeque::new(),
            recent_hash_set: FxHashSet::default(),
            machines: FxHashSet::default(),
            lists_machines,
        }
    }

    /// Counts the outcome of one line. Returns the row if it is accepted, or `None` if the line is rejected and
    /// reading may continue.
    ///
    /// # Errors
    ///
    /// Returns an error if the rejection policy stops reading at this line.
    pub fn add(&mut self, outcome: RowOutcome) -> Result<Option<Row>, PolicyViolation> {
        self.lines += 1;
        let rejected = match outcome {
            RowOutcome::Accepted(row) => match self.check_against_earlier_rows(&row) {
                Ok(()) => return self.accept(row).map(Some),
                Err(rejected) => *rejected,
            },
            RowOutcome::Rejected(rejected) => rejected,
        };
        self.reject(rejected).map(|()| None)
    }

    /// Returns the number of rejected rows, for all reasons together.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.values().map(|rows| rows.count).sum()
    }

    fn accept(&mut self, row: Row) -> Result<Row, PolicyViolation> {
        self.accepted += 1;
        // The share of rejected lines has not been checked before this line.
        if self.lines == MIN_LINES_FOR_SHARE {
            self.check_share()?;
        }
        Ok(row)
    }

    fn reject(&mut self, rejected: RejectedRow) -> Result<(), PolicyViolation> {
        let rows = self.rejected.entry(rejected.reason).or_default();
        rows.count += 1;
        if rows.examples.len() < MAX_EXAMPLES {
            rows.examples.push(rejected.clone());
        }
        match self.policy {
            RejectionPolicy::StopAtFirst => Err(PolicyViolation::FirstRejected(rejected)),
            RejectionPolicy::SkipAndCount | RejectionPolicy::StopAboveShare(_) => self.check_share(),
        }
    }

    fn check_share(&self) -> Result<(), PolicyViolation> {
        let RejectionPolicy::StopAboveShare(share) = self.policy else { return Ok(()) };
        let (rejected, lines) = (self.rejected_count(), self.lines);
        let is_exceeded = lines >= MIN_LINES_FOR_SHARE && rejected as f64 > share * lines as f64;
        if is_exceeded { Err(PolicyViolation::ShareExceeded { rejected, lines }) } else { Ok(()) }
    }

    /// Rejects a row that equals a recent one or refers to an unknown machine, and otherwise remembers it.
    fn check_against_earlier_rows(&mut self, row: &Row) -> Result<(), Box<RejectedRow>> {
        let hash = hash_row(row);
        if !self.recent_hash_set.insert(hash) {
            return Err(reject(
                row,
                RejectionReason::Duplicate,
                "a duplicate of an earlier row",
                "distinct rows",
            ));
        }
        self.check_machine(row)?;
        self.recent_hashes.push_back(hash);
        if self.recent_hashes.len() > DUPLICATE_WINDOW
            && let Some(oldest) = self.recent_hashes.pop_front()
        {
            self.recent_hash_set.remove(&oldest);
        }
        Ok(())
    }

    fn check_machine(&mut self, row: &Row) -> Result<(), Box<RejectedRow>> {
        let is_unknown = self.lists_machines && !self.machines.contains(&row.machine);
        // Once the limit is reached, a machine may have been added without being remembered.
        let below_machine_limit = self.machines.len() < MAX_MACHINES;
        let value = match &row.detail {
            RowDetail::Machine { event: MachineEvent::Added } => {
                if below_machine_limit {
                    self.machines.insert(row.machine);
                }
                return Ok(());
            }
            RowDetail::Machine { .. } if is_unknown => "an event of a machine that was never added",
            RowDetail::Work { event: WorkEvent::Scheduled, .. }
                if is_unknown && row.machine.is_some() && below_machine_limit =>
            {
                "work on a machine that was never added"
            }
            _ => return Ok(()),
        };
        Err(reject(row, RejectionReason::UnknownMachine, value, "machines added by an earlier row"))
    }
}

fn reject(row: &Row, reason: RejectionReason, value: &str, allowed: &str) -> Box<RejectedRow> {
    let (value, allowed) = (value.to_owned(), allowed.to_owned());
    Box::new(RejectedRow { line: row.line, column: None, value, allowed, reason })
}

/// Hashes all fields of a row except its line number.
fn hash_row(row: &Row) -> u64 {
    let mut hasher = FxHasher::default();
    (row.at, &row.machine, row.cpu.map(f64::to_bits), row.memory.map(f64::to_bits)).hash(&mut hasher);
    match &row.detail {
        RowDetail::Machine { event } => (0_u8, *event as u8).hash(&mut hasher),
        RowDetail::Work { job, task, event, end, instances, tenant, class, priority } => {
            (1_u8, job, task, *event as u8, end, instances, tenant, class, priority).hash(&mut hasher);
        }
    }
    hasher.finish()
}
