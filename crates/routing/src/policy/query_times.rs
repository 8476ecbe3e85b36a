//! The times of a query: until when a response is on time, until when it is of any use, and how two phases
//! share the latency objective.

use crate::effective_config::ClassPolicy;
use crate::state::QueryTimes;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// A response leaves this share of the latency objective before it, for the way to the client.
const OBJECTIVE_MARGIN: f64 = 0.02;

/// A response is decided on this many turns before the latency objective: the decision waits for a turn, and
/// its effects are carried out in the course of the next.
const OBJECTIVE_TURNS: f64 = 2.0;

/// A last response is decided on this many turns before the client stops waiting.
const DEADLINE_TURNS: f64 = 4.0;

/// Of the latency objective, the second phase of a query keeps this share for itself.
const SECOND_PHASE_SHARE: f64 = 0.5;

/// What a query's times follow from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) now: Timestamp,
    /// How long the client will wait.
    pub(crate) time_left: TimeSpan,
    /// The work of all shard requests, where that is told; else zero.
    pub(crate) work: TimeSpan,
    /// The least time between two turns of the broker.
    pub(crate) turn_period: TimeSpan,
}

impl Arrival {
    /// The times of a query that arrives now. The latency objective grows with the work that the query is
    /// expected to be, and never passes the class's deadline or what the client will wait.
    pub(crate) fn times(&self, policy: &ClassPolicy) -> QueryTimes {
        let stretched = policy.latency_objective + self.work.mul_f64(policy.objective_stretch);
        let latency_objective = stretched.min(policy.deadline).min(self.time_left);
        let margin =
            policy.latency_objective.mul_f64(OBJECTIVE_MARGIN) + self.turn_period.mul_f64(OBJECTIVE_TURNS);
        QueryTimes {
            latency_objective,
            objective_at: self.now + latency_objective - margin,
            deadline_at: self.now + self.time_left - self.turn_period.mul_f64(DEADLINE_TURNS),
        }
    }
}

/// How long an attempt may take that is sent now: until the latency objective, and beyond it for as long as a
/// late response is worth something (`useful_after_objective`), but never past the deadline. Never zero.
pub(crate) fn attempt_timeout(
    times: &QueryTimes,
    useful_after_objective: TimeSpan,
    now: Timestamp,
) -> TimeSpan {
    let useful_until = times.objective_at + useful_after_objective;
    (useful_until.min(times.deadline_at) - now).max(TimeSpan(1))
}

/// When the first phase of a query with two must give its response.
pub(crate) fn first_phase_ends_at(objective_at: Timestamp, latency_objective: TimeSpan) -> Timestamp {
    objective_at - latency_objective.mul_f64(SECOND_PHASE_SHARE)
}
