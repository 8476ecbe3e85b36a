//! Processing of ended attempts: updates their query, their node and the statistics of connections and load.

use super::Broker;
use crate::inputs::{AttemptOutcome, AttemptResult};
use crate::policy::concurrency_limit::LimitSample;
use crate::policy::latency::{NEW_SAMPLE_WEIGHT, observed_latency};
use crate::policy::node_health::{MAX_CONSECUTIVE_FAILURES, is_new_failure, is_uninformative};
use crate::policy::outcome::OutcomeMeaning;
use crate::policy::query_of_death::counts_as_lost_node;
use crate::policy::shard_request_state::{EndedAttempt, state_after};
use crate::policy::{idle_connections, slow_start};
use crate::state::{
    AttemptId, ConnectionUse, Execution, InFlightAttempt, Node, Query, QueryEvent, ShardRequestState,
};
use crate::time::{TimeSpan, Timestamp};

impl Broker {
    /// Records the result of an attempt and advances its query.
    pub(super) fn attempt_ended(&mut self, result: &AttemptResult) {
        let meaning = result.outcome.meaning();
        let id = AttemptId { shard_request: result.shard_request, number: result.attempt };
        let attempt = self.state.queries.in_flight.remove(&id);
        if let Some(attempt) = &attempt {
            self.record_outcome(attempt, result, meaning);
        }
        if meaning.execution == Execution::Unsent {
            self.state.retries.withdraw(id);
        }
        let Some((mut query, index)) = self.state.queries.take_query_of(id.shard_request) else {
            return;
        };
        let on_reused_connection = attempt.is_none_or(|attempt| attempt.on_reused_connection());
        if counts_as_lost_node(result.outcome, on_reused_connection) {
            query.lost_nodes.insert(result.node);
        }
        let before = query.shard_requests[index].state;
        query.shard_requests[index].set_execution(id.number, meaning.execution);
        let after = self.state_after(&query, index, result.outcome);
        query.shard_requests[index].state = after;
        let query_id = query.id;
        self.state.queries.put(query);
        match after {
            ShardRequestState::Queued => self.state.queries.to_send.push(id.shard_request),
            ShardRequestState::Received if before != after => {
                self.advance(query_id, QueryEvent::ResponseReceived);
            }
            ShardRequestState::Failed if before != after => {
                self.advance(query_id, QueryEvent::ShardRequestFailed);
            }
            _ => {}
        }
    }

    fn state_after(&self, query: &Query, index: usize, outcome: AttemptOutcome) -> ShardRequestState {
        let shard_request = &query.shard_requests[index];
        let ended = EndedAttempt {
            outcome,
            state: shard_request.state,
            attempts_in_flight: shard_request.attempts_in_flight(),
            query_state: query.state,
        };
        state_after(ended, || self.may_retry(query, index, false))
    }

    fn record_outcome(&mut self, attempt: &InFlightAttempt, result: &AttemptResult, meaning: OutcomeMeaning) {
        let now = self.state.now;
        if meaning.execution != Execution::Unsent {
            self.record_connection_outcome(attempt, result, meaning);
        }
        if result.outcome.reflects_load() {
            let overloaded = f64::from(u8::from(meaning.is_overload));
            self.state.node_failures.record(now, meaning.looks_down);
            self.state.pressure.record(now, attempt.within_quota, overloaded, 1.0);
            self.state.overload_rate.record(now, meaning.is_overload);
            self.adapt_concurrency_limit(attempt, result.duration);
        }
        if result.outcome == AttemptOutcome::Succeeded {
            self.state.baselines.record(attempt.class, result.duration);
        }
        self.record_node_outcome(attempt, result, meaning);
    }

    fn adapt_concurrency_limit(&mut self, attempt: &InFlightAttempt, duration: TimeSpan) {
        let sample = LimitSample {
            latency_objective: attempt.latency_objective,
            duration,
            in_flight_at_send: attempt.in_flight_at_send,
            limit_was_used: attempt.limit_was_used,
        };
        self.state.concurrency_limit.adapt(sample, self.config.broker.limits.max_open);
    }

    /// Records whether an attempt after an idle period was lost together with its connection.
    fn record_connection_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        meaning: OutcomeMeaning,
    ) {
        let Some(connection) = attempt.after_idle else { return };
        let now = self.state.now;
        let sent_at = now - result.duration;
        let node = self.state.nodes.get(attempt.node);
        let node_was_silent = node.is_none_or(|node| sent_at >= node.last_success_at);
        let was_lost = idle_connections::was_lost(
            meaning.is_node_failure,
            result.outcome,
            node_was_silent,
            result.duration,
            self.average_latency(),
        );
        let history = &mut self.state.idle_connections;
        history.record_end(now, connection.usage, was_lost, attempt.counted_unresponsive);
        let was_reset =
            result.outcome == AttemptOutcome::ConnectionLost && connection.usage == ConnectionUse::Reused;
        if was_reset && idle_connections::was_reset_immediately(result.duration, self.config.broker.period) {
            history.record_reset(now, connection.idle_period);
        }
    }

    /// Updates the latency, failures and successes of the attempt's node.
    fn record_node_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        meaning: OutcomeMeaning,
    ) {
        let (now, average) = (self.state.now, self.average_latency());
        self.state.nodes.update(attempt.node, |node| {
            node.end_attempt_of(attempt.batch);
            let is_before_latency = node.latency.is_some_and(|latency| result.duration < latency);
            let on_reused = attempt.on_reused_connection();
            if !is_uninformative(meaning.execution, result.outcome, on_reused, is_before_latency) {
                update_node(node, now, average, attempt.latency_objective, result, meaning);
            }
        });
    }

    /// Counts an unresponsive attempt on a reused connection. Counts each attempt at most once.
    pub(super) fn record_unresponsive(&mut self, id: AttemptId) {
        let attempt = self.state.queries.in_flight.get_mut(&id);
        let Some(attempt) = attempt.filter(|attempt| attempt.on_reused_connection()) else { return };
        let was_counted = std::mem::replace(&mut attempt.counted_unresponsive, true);
        if !was_counted {
            self.state.idle_connections.record_unresponsive(self.state.now);
        }
    }

    /// Returns whether the attempt was counted as unresponsive on a reused connection and reused connections
    /// currently fail.
    pub(super) fn is_connection_unresponsive(&self, id: AttemptId) -> bool {
        let attempt = self.state.queries.in_flight.get(&id);
        attempt.is_some_and(|attempt| attempt.counted_unresponsive)
            && self.state.idle_connections.reused_connections_fail(self.state.now)
    }
}

fn update_node(
    node: &mut Node,
    now: Timestamp,
    average: TimeSpan,
    latency_objective: TimeSpan,
    result: &AttemptResult,
    meaning: OutcomeMeaning,
) {
    let sent_at = now - result.duration;
    if is_new_failure(meaning.is_node_failure, sent_at, node.failed_at) {
        node.count_failure(now, MAX_CONSECUTIVE_FAILURES);
    }
    let failures = node.consecutive_failures;
    let latency =
        observed_latency(result.duration, meaning.is_node_failure, failures, average, latency_objective);
    node.record_latency(now, latency, NEW_SAMPLE_WEIGHT);
    if result.outcome == AttemptOutcome::Succeeded {
        node.record_success(now, sent_at);
    }
    if slow_start::looks_restarted(meaning.looks_down, meaning.execution, node.consecutive_failures) {
        node.assume_started(now);
    }
}
