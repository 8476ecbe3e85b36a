//! Counts what was read, finds faults that no single row shows (duplicates, machines that were never added),
//! and applies the policy for rejected rows.

use crate::rejection_reason::RejectionReason;
use crate::row::{MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, TraceId, WorkEvent};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use thiserror::Error;

/// What is done about rejected rows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionPolicy {
    /// The first one ends the reading.
    StopAtFirst,
    /// They are counted.
    SkipAndCount,
    /// More than this share of the lines ends the reading, once there were a thousand lines.
    StopAboveShare(f64),
}

/// Why the policy ended the reading.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PolicyViolation {
    /// A row was rejected, and none may be.
    #[error("{0}")]
    FirstRejected(RejectedRow),
    /// Too large a share of the lines was rejected.
    #[error("{rejected} of {lines} lines were rejected")]
    ShareExceeded {
        /// Rejected lines.
        rejected: u64,
        /// All lines so far.
        lines: u64,
    },
}

/// The rejected rows of one reason.
#[derive(Clone, Debug, Default)]
pub struct RejectedRows {
    /// How many there are.
    pub count: u64,
    /// The first few of them.
    pub examples: Vec<RejectedRow>,
}

/// How many rejected rows of one reason are kept.
const MAX_EXAMPLES: usize = 3;
/// How many lines there must be before a share of them is compared with the policy's.
const MIN_LINES_FOR_SHARE: u64 = 1000;
/// How many of the last rows a row is compared with to find duplicates.
const DUPLICATE_WINDOW: usize = 4096;
/// How many machines are remembered at most, so that memory stays bounded.
const MAX_MACHINES: usize = 1_000_000;

/// What was read of one file. Lines = accepted + rejected by reason, always.
#[derive(Debug)]
pub struct ReadSummary {
    policy: RejectionPolicy,
    /// Lines read.
    pub lines: u64,
    /// Rows that can be used.
    pub accepted: u64,
    /// Rejected rows by reason.
    pub rejected: BTreeMap<RejectionReason, RejectedRows>,
    /// Hashes of the last rows, oldest first, and the same as a set.
    recent_hashes: VecDeque<u64>,
    recent_hash_set: FxHashSet<u64>,
    machines: FxHashSet<Option<TraceId>>,
    /// Whether the trace lists its machines: else none can be unknown.
    lists_machines: bool,
}

impl ReadSummary {
    /// An empty summary. `lists_machines` says that rows about a machine come before the work on it.
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

    /// Adds the outcome of one line; returns the row if it is accepted.
    ///
    /// # Errors
    ///
    /// The policy ends the reading here.
    pub fn add(&mut self, outcome: RowOutcome) -> Result<Option<Row>, PolicyViolation> {
        self.lines += 1;
        let rejected = match outcome {
            RowOutcome::Accepted(row) => match self.compare_with_earlier(&row) {
                Ok(()) => return self.accept(row).map(Some),
                Err(rejected) => *rejected,
            },
            RowOutcome::Rejected(rejected) => rejected,
        };
        self.reject(rejected).map(|()| None)
    }

    /// How many rows were rejected, for all reasons.
    pub fn rejected_count(&self) -> u64 {
        self.rejected.values().map(|rows| rows.count).sum()
    }

    fn accept(&mut self, row: Row) -> Result<Row, PolicyViolation> {
        self.accepted += 1;
        // Rejected rows before the thousandth line did not count against the share yet.
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

    /// Rejects a row that is the same as a recent one or is about an unknown machine; else remembers it.
    fn compare_with_earlier(&mut self, row: &Row) -> Result<(), Box<RejectedRow>> {
        let hash = hash_row(row);
        if !self.recent_hash_set.insert(hash) {
            return Err(reject(
                row,
                RejectionReason::Duplicate,
                "the same as a row before it",
                "each row once",
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
        // With the limit reached, a machine that is not remembered may have been added all the same.
        let has_capacity = self.machines.len() < MAX_MACHINES;
        let value = match &row.detail {
            RowDetail::Machine { event: MachineEvent::Added } => {
                if has_capacity {
                    self.machines.insert(row.machine);
                }
                return Ok(());
            }
            RowDetail::Machine { .. } if is_unknown => "an event of a machine that was never added",
            RowDetail::Work { event: WorkEvent::Scheduled, .. }
                if is_unknown && row.machine.is_some() && has_capacity =>
            {
                "work on a machine that was never added"
            }
            _ => return Ok(()),
        };
        Err(reject(row, RejectionReason::UnknownMachine, value, "machines that were added before"))
    }
}

fn reject(row: &Row, reason: RejectionReason, value: &str, allowed: &str) -> Box<RejectedRow> {
    let (value, allowed) = (value.to_owned(), allowed.to_owned());
    Box::new(RejectedRow { line: row.line, column: None, value, allowed, reason })
}

/// A hash of all of a row but its line.
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
