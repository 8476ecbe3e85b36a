//! Attempts in flight, and their timers.

use crate::node_pool::AttemptId;
use routing::{NodeId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// What a timer of an attempt means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// An attempt that is not completely written by then is cancelled, or its connection closed.
    WriteDeadline,
    /// The attempt times out.
    Timeout,
}

/// A time at which something is to happen to an attempt. Timers are ordered by their time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptTimer {
    /// When it is due.
    at: Timestamp,
    /// What is to happen.
    pub(super) kind: TimerKind,
    /// To which attempt.
    pub(super) attempt: AttemptId,
}

/// An attempt whose end is not known yet.
pub(super) struct InFlightAttempt {
    /// The node that it was sent to.
    pub(super) node: NodeId,
    /// The turn in which it was sent.
    pub(super) sent_at: Timestamp,
    /// When it must be written completely.
    pub(super) write_deadline: Timestamp,
    /// When it times out.
    pub(super) times_out_at: Timestamp,
}

impl InFlightAttempt {
    /// The timers of this attempt, whose id is given.
    fn timers(&self, attempt: AttemptId) -> [AttemptTimer; 2] {
        [
            AttemptTimer { at: self.write_deadline, kind: TimerKind::WriteDeadline, attempt },
            AttemptTimer { at: self.times_out_at, kind: TimerKind::Timeout, attempt },
        ]
    }
}

/// The attempts in flight and their timers.
#[derive(Default)]
pub(super) struct AttemptTable {
    attempts: HashMap<AttemptId, InFlightAttempt>,
    /// Both timers of each attempt, the earliest first.
    timers: BTreeSet<AttemptTimer>,
}

impl AttemptTable {
    /// Adds an attempt and starts its timers.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.timers.extend(attempt.timers(id));
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt and its timers; `None`: its end is known already.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&id)?;
        for timer in attempt.timers(id) {
            self.timers.remove(&timer);
        }
        Some(attempt)
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Takes the next timer that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<AttemptTimer> {
        self.timers.first().filter(|timer| timer.at <= now)?;
        self.timers.pop_first()
    }
}
