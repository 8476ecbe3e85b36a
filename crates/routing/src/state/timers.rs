//! The timers of a broker, and the one wake-up that it asks its front end for.

use super::attempt::AttemptId;
use crate::ids::{QueryId, ShardRequestId};
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;

/// What happens at a time. Timers of one moment fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A query's latency objective is near.
    Objective(QueryId),
    /// A query's deadline is near.
    Deadline(QueryId),
    /// An attempt has been in flight for the hedge delay.
    AttemptCheck(AttemptId),
    /// A first phase has used up its part of the latency objective.
    FirstPhaseEnd(QueryId),
    /// A query that waits to be admitted is looked at again.
    AdmissionCheck(QueryId),
    /// A queued shard request tries again.
    Resend(ShardRequestId),
    /// The watch of the endpoint list is opened anew.
    WatchEndpoints,
}

/// A timer and its time, ordered by time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Timestamp,
    timer: Timer,
}

/// All timers that have not fired yet.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    scheduled: BTreeSet<ScheduledTimer>,
    /// When the wake-up that was last asked for comes.
    wake_at: Option<Timestamp>,
}

impl Timers {
    /// Schedules a timer. The same timer may be scheduled for several times.
    pub(crate) fn schedule(&mut self, at: Timestamp, timer: Timer) {
        self.scheduled.insert(ScheduledTimer { at, timer });
    }

    /// Cancels a timer that was scheduled for this time.
    pub(crate) fn cancel(&mut self, at: Timestamp, timer: Timer) {
        self.scheduled.remove(&ScheduledTimer { at, timer });
    }

    /// Cancels a timer at whatever times it was scheduled for.
    pub(crate) fn cancel_all(&mut self, timer: Timer) {
        self.scheduled.retain(|scheduled| scheduled.timer != timer);
    }

    /// Takes the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let first = *self.scheduled.first().filter(|scheduled| scheduled.at <= now)?;
        self.scheduled.remove(&first);
        Some(first.timer)
    }

    /// After which time the broker has to be woken for its first timer; none where no timer is scheduled, or
    /// a wake-up that was asked for earlier comes in time.
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
