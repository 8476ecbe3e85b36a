//! Timers of a broker, and the single wake-up that it requests from its front end.

use super::attempt::AttemptId;
use crate::ids::{QueryId, ShardRequestId};
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;

/// Action that is scheduled for a time. Timers for the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The latency objective of a query is about to pass.
    Objective(QueryId),
    /// The deadline of a query is about to pass.
    Deadline(QueryId),
    /// An attempt may have to be replaced, as it has been in flight for the hedge delay or since its last check.
    AttemptCheck(AttemptId),
    /// The first phase of a query has used its part of the latency objective.
    FirstPhaseEnd(QueryId),
    /// The admission of a waiting query is evaluated again.
    AdmissionCheck(QueryId),
    /// A queued shard request is tried again.
    Resend(ShardRequestId),
    /// The endpoint list is requested again if it is stale.
    WatchEndpoints,
}

/// Timer with its due time, ordered by time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Timestamp,
    timer: Timer,
}

/// Timers that have not fired yet.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    scheduled: BTreeSet<ScheduledTimer>,
    /// Time of the last requested wake-up.
    wake_at: Option<Timestamp>,
}

impl Timers {
    /// Schedules a timer. The same timer may be scheduled for several different times.
    pub(crate) fn schedule(&mut self, at: Timestamp, timer: Timer) {
        self.scheduled.insert(ScheduledTimer { at, timer });
    }

    /// Cancels a timer that was scheduled for the time `at`.
    pub(crate) fn cancel(&mut self, at: Timestamp, timer: Timer) {
        self.scheduled.remove(&ScheduledTimer { at, timer });
    }

    /// Cancels a timer at all times for which it was scheduled.
    pub(crate) fn cancel_all(&mut self, timer: Timer) {
        self.scheduled.retain(|scheduled| scheduled.timer != timer);
    }

    /// Removes and returns the first due timer.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let first = *self.scheduled.first().filter(|scheduled| scheduled.at <= now)?;
        self.scheduled.remove(&first);
        Some(first.timer)
    }

    /// Returns the time until the first timer, for which the front end must wake the broker. Returns `None` if no
    /// timer is scheduled or an already requested wake-up comes in time.
    pub(crate) fn next_wake_up(&mut self, now: Timestamp) -> Option<TimeSpan> {
        let first = self.scheduled.first()?;
        let is_needed = self.wake_at.is_none_or(|wake_at| wake_at <= now || wake_at > first.at);
        if !is_needed {
            return None;
        }
        self.wake_at = Some(first.at);
        Some(first.at - now)
    }
}
