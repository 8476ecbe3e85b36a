//! The times of a query: until when a response is on time, until when it is useful at all, and how two phases
//! share the latency objective.

use crate::effective_config::ClassPolicy;
use crate::state::QueryTimes;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The time reserved for a response to reach the client, as a share of the latency objective.
const OBJECTIVE_MARGIN: f64 = 0.02;

/// A response is decided on this many turns before the latency objective: the decision waits for the next
/// turn, and its effects are carried out during the turn after that.
const OBJECTIVE_TURNS: f64 = 2.0;

/// The final response is decided on this many turns before the client stops waiting.
const DEADLINE_TURNS: f64 = 4.0;

/// The share of the latency objective that is reserved for the second phase of a query.
const SECOND_PHASE_SHARE_OF_OBJECTIVE: f64 = 0.5;

/// The inputs of a query's times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) now: Timestamp,
    /// How long the client will wait for a response.
    pub(crate) time_left: TimeSpan,
    /// The declared work of all shard requests, or zero if it was not declared.
    pub(crate) work: TimeSpan,
    /// The minimum time between two turns of the broker.
    pub(crate) turn_period: TimeSpan,
}

impl Arrival {
    /// Returns the times of a query that arrives now. The latency objective grows with the declared work of
    /// the query, and never exceeds the class's deadline or the time that the client will wait.
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

/// Returns the timeout of an attempt that is sent now. It lasts until the latency objective, and beyond it
/// for as long as a late response is useful (`useful_after_objective`), but never past the deadline. The
/// timeout is never zero.
pub(crate) fn attempt_timeout(
    times: &QueryTimes,
    useful_after_objective: TimeSpan,
    now: Timestamp,
) -> TimeSpan {
    let useful_until = times.objective_at + useful_after_objective;
    (useful_until.min(times.deadline_at) - now).max(TimeSpan(1))
}

/// Returns the time at which the first phase of a two-phase query must send its response.
pub(crate) fn first_phase_ends_at(objective_at: Timestamp, latency_objective: TimeSpan) -> Timestamp {
    objective_at - latency_objective.mul_f64(SECOND_PHASE_SHARE_OF_OBJECTIVE)
}
