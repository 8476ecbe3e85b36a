//! Completion of queries: responses, rejections and failures. Contains the guards and actions of the table in
//! `policy::query_lifecycle` for queries that have been sent.

use super::Broker;
use crate::config::Idempotency;
use crate::effects::Effect;
use crate::ids::QueryId;
use crate::log_event::LogEvent;
use crate::policy::coverage;
use crate::policy::give_up::{Ending, ending, retry_after};
use crate::state::{Query, Timer};

/// Guards for queries that have been sent.
impl Broker {
    /// Returns whether the other shard requests of the query wait for the canary's response.
    pub(crate) fn awaits_canary(&self, query: &Query) -> bool {
        query.canary_in_flight
    }

    /// Returns whether a response is due now: the minimum coverage has been received, and no further shard request is
    /// waited for.
    pub(crate) fn is_response_due(&self, query: &Query) -> bool {
        coverage::is_response_due(query, self.state.now)
    }

    /// Returns whether the received responses reach the minimum coverage.
    pub(crate) fn has_min_coverage(&self, query: &Query) -> bool {
        coverage::has_min_coverage(query)
    }

    /// Returns whether unsent shard requests can replace the failed ones.
    pub(crate) fn can_substitute(&self, query: &Query) -> bool {
        coverage::can_substitute(query)
    }

    /// Returns whether the minimum coverage is missed even if all shard requests in flight or queued succeed.
    pub(crate) fn cannot_cover_minimum(&self, query: &Query) -> bool {
        coverage::cannot_cover_minimum(query)
    }

    /// Returns whether a response after the latency objective is worth waiting for.
    pub(crate) fn is_late_useful(&self, query: &Query) -> bool {
        coverage::is_late_useful(query)
    }

    /// Returns whether a response after the latency objective is no longer worth waiting for.
    pub(crate) fn is_late_useless(&self, query: &Query) -> bool {
        !coverage::is_late_useful(query)
    }

    /// Returns whether a second phase follows.
    pub(crate) fn has_next_phase(&self, query: &Query) -> bool {
        query.has_next_phase()
    }
}

/// Actions that end a query or its first phase.
impl Broker {
    /// Responds to the query with the shard responses received so far.
    pub(crate) fn respond(&mut self, query: &mut Query) {
        let complete = coverage::is_complete(query);
        self.state.effects.push(Effect::Respond { query: query.id, complete });
        query.first_phase_complete |= complete && !query.in_second_phase;
    }

    /// Ends the first phase and removes its shard requests.
    pub(crate) fn end_phase(&mut self, query: &mut Query) {
        self.cancel_attempts(query);
        self.state.queries.remove_first_phase(query);
        query.in_second_phase = true;
    }

    /// Ends the query without a response: rejects it if it may safely be sent again, and fails it otherwise.
    pub(crate) fn give_up(&mut self, query: &mut Query) {
        if self.is_query_of_death(query) {
            self.quarantine(query);
        }
        let is_idempotent =
            self.binding_policies(query).all(|policy| policy.idempotency == Idempotency::Idempotent);
        let id = query.id;
        let effect = match ending(is_idempotent, query.was_never_executed(), query.in_second_phase) {
            Ending::Reject => self.rejection(id, query),
            Ending::Fail => Effect::Fail { query: id },
        };
        self.state.effects.push(effect);
    }

    fn rejection(&self, id: QueryId, query: &Query) -> Effect {
        let retry_after = retry_after(&query.config.broker.limits, query.policy.latency_objective);
        Effect::Reject { query: id, retry_after }
    }

    fn quarantine(&mut self, query: &Query) {
        self.state.quarantine.insert(query.signature(), self.state.now, query.policy.deadline);
        let lost_nodes = query.lost_nodes.len();
        self.state.effects.push(Effect::Log(LogEvent::QueryQuarantined { lost_nodes }));
    }

    /// Removes the index entries, timers and attempts in flight of a finished query.
    pub(super) fn remove_query(&mut self, query: &Query) {
        self.cancel_attempts(query);
        self.state.queries.remove_index_entries(query);
        self.state.timers.cancel(query.times.objective_at, Timer::Objective(query.id));
        self.state.timers.cancel(query.times.deadline_at, Timer::Deadline(query.id));
    }

    /// Cancels the attempts in flight of a query, if its limits allow cancellation.
    fn cancel_attempts(&mut self, query: &Query) {
        if !query.config.broker.limits.allow_cancel {
            return;
        }
        let cancelled = query.cancellable_attempts();
        let effects =
            cancelled.map(|id| Effect::Cancel { shard_request: id.shard_request, attempt: id.number });
        self.state.effects.extend(effects);
    }
}
