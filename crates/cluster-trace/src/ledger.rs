//! Counts verdicts, looks for what no single row tells (duplicates, machines that were never added), and
//! holds a policy against what was rejected. Decisions only.

use crate::Reason;
use crate::judge::{Id, MachineEvent, Rejected, Row, Verdict, What, WorkEvent};
use rustc_hash::{FxHashSet, FxHasher};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// What is done about rejected rows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The first ends it.
    StopAtFirst,
    /// They are counted.
    SkipAndCount,
    /// More than this share of the lines ends it, once there were a thousand.
    StopPast(f64),
}

/// Why reading was ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Stop {
    First(Rejected),
    Share { rejected: u64, lines: u64 },
}

/// Rejected rows of one reason, of which the first few are kept to be shown.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub count: u64,
    pub first: Vec<Rejected>,
}

/// How many of a reason are shown.
const SHOWN: usize = 3;
/// Lines before a share is judged.
const ENOUGH: u64 = 1000;
/// Rows that are remembered to tell a duplicate, and machines that are known.
const REMEMBERED: usize = 4096;
const MACHINES: usize = 1_000_000;

/// Lines read = taken + rejected by reason, always.
#[derive(Debug)]
pub struct Ledger {
    policy: Policy,
    pub lines: u64,
    pub taken: u64,
    pub rejected: BTreeMap<Reason, Seen>,
    /// Hashes of the last rows, in their order.
    recent: VecDeque<u64>,
    recent_set: FxHashSet<u64>,
    machines: FxHashSet<Option<Id>>,
    /// Whether machines are told of in this trace: else none can be unknown.
    machines_told: bool,
}

impl Ledger {
    /// `machines_told`: rows of machines come before the work on them.
    pub fn new(policy: Policy, machines_told: bool) -> Ledger {
        Ledger {
            policy,
            lines: 0,
            taken: 0,
            rejected: BTreeMap::new(),
            recent: VecDeque::new(),
            recent_set: FxHashSet::default(),
            machines: FxHashSet::default(),
            machines_told,
        }
    }

    /// Enters a verdict; gives the row if it stays taken. An error: the policy ends the reading.
    pub fn enter(&mut self, verdict: Verdict) -> Result<Option<Row>, Stop> {
        self.lines += 1;
        let rejected = match verdict {
            Verdict::Taken(row) => match self.object(&row) {
                None => {
                    self.taken += 1;
                    return if self.lines == ENOUGH {
                        self.judge().map(|()| Some(row))
                    } else {
                        Ok(Some(row))
                    };
                }
                Some(rejected) => rejected,
            },
            Verdict::Rejected(rejected) => rejected,
        };
        let seen = self.rejected.entry(rejected.reason).or_default();
        seen.count += 1;
        if seen.first.len() < SHOWN {
            seen.first.push(rejected.clone());
        }
        match self.policy {
            Policy::StopAtFirst => Err(Stop::First(rejected)),
            Policy::SkipAndCount | Policy::StopPast(_) => self.judge().map(|()| None),
        }
    }

    /// Whether the share is passed; it can only be at a rejected row, or when there are enough lines at last.
    fn judge(&self) -> Result<(), Stop> {
        let Policy::StopPast(share) = self.policy else { return Ok(()) };
        let (rejected, lines) = (self.rejected_count(), self.lines);
        let over = lines >= ENOUGH && rejected as f64 > share * lines as f64;
        if over { Err(Stop::Share { rejected, lines }) } else { Ok(()) }
    }

    pub fn rejected_count(&self) -> u64 {
        self.rejected.values().map(|seen| seen.count).sum()
    }

    /// What a sound row may still be wrong by: the rows before it.
    fn object(&mut self, row: &Row) -> Option<Rejected> {
        let rejected = |reason: Reason, holds: String, allowed: &str| Rejected {
            line: row.line,
            column: None,
            holds,
            allowed: allowed.to_owned(),
            reason,
        };
        let hash = hash(row);
        if !self.recent_set.insert(hash) {
            return Some(rejected(
                Reason::Duplicate,
                "the same as a row before it".to_owned(),
                "each row once",
            ));
        }
        let known = self.machines.contains(&row.machine);
        match &row.what {
            What::Machine { event: MachineEvent::Added } if self.machines.len() < MACHINES => {
                self.machines.insert(row.machine);
            }
            What::Machine { event: MachineEvent::Removed | MachineEvent::Updated }
                if !known && self.machines_told =>
            {
                let holds = "an event of a machine that is not there".to_owned();
                return Some(rejected(Reason::UnknownMachine, holds, "machines that were added before"));
            }
            What::Work { event: WorkEvent::Scheduled, .. }
                if self.machines_told
                    && row.machine.is_some()
                    && !known
                    && self.machines.len() < MACHINES =>
            {
                let holds = "work on a machine that is not there".to_owned();
                return Some(rejected(Reason::UnknownMachine, holds, "machines that were added before"));
            }
            _ => {}
        }
        self.recent.push_back(hash);
        if self.recent.len() > REMEMBERED
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_set.remove(&oldest);
        }
        None
    }
}

/// All of a row but its line.
fn hash(row: &Row) -> u64 {
    let mut hasher = FxHasher::default();
    (row.at, &row.machine, row.cpu.map(f64::to_bits), row.memory.map(f64::to_bits)).hash(&mut hasher);
    match &row.what {
        What::Machine { event } => (0_u8, *event as u8).hash(&mut hasher),
        What::Work { job, task, event, end, instances, tenant, class, priority } => {
            (1_u8, job, task, *event as u8, end, instances, tenant, class, priority).hash(&mut hasher);
        }
    }
    hasher.finish()
}
