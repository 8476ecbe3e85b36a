//! The table of attempts in flight and their timers.

use crate::node_pool::AttemptId;
use routing::{NodeId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// The kind of a timer, which determines how the attempt is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Cancels the attempt, or closes its connection, if it has not been written completely.
    WriteDeadline,
    /// Ends the attempt as timed out.
    Timeout,
}

/// A timer of an attempt. Timers are ordered by their due time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptTimer {
    /// The time at which the timer is due.
    at: Timestamp,
    pub(super) kind: TimerKind,
    pub(super) attempt: AttemptId,
}

/// An attempt that was sent and has not ended.
pub(super) struct InFlightAttempt {
    pub(super) node: NodeId,
    /// The time of the turn of the event loop in which the attempt was sent.
    pub(super) sent_at: Timestamp,
    /// The time by which the attempt must be written completely.
    pub(super) write_deadline: Timestamp,
    pub(super) times_out_at: Timestamp,
}

impl InFlightAttempt {
    /// Returns the timers of this attempt. `attempt` is its id.
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
    /// Both timers of each attempt, earliest first.
    timers: BTreeSet<AttemptTimer>,
}

impl AttemptTable {
    /// Adds an attempt and starts its timers.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.timers.extend(attempt.timers(id));
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt and its timers. Returns `None` if the attempt has already ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&id)?;
        for timer in attempt.timers(id) {
            self.timers.remove(&timer);
        }
        Some(attempt)
    }

    /// Returns the due time of the earliest timer.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Removes and returns the earliest timer if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<AttemptTimer> {
        self.timers.first().filter(|timer| timer.at <= now)?;
        self.timers.pop_first()
    }
}
