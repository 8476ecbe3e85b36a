//! Sending of attempts, checks of attempts without a response, and conditions for further attempts.

use super::Broker;
use crate::effective_config::ClassPolicy;
use crate::effects::Effect;
use crate::ids::NodeId;
use crate::policy::attempt_limit::AttemptLimit;
use crate::policy::hedging::{
    AttemptProgress, NodeProgress, ReplacementConditions, hedge_delay, should_replace,
};
use crate::policy::idempotency::{self, is_repeat_harmless};
use crate::policy::query_of_death::{RetryDecision, decide_retry, is_query_of_death};
use crate::policy::query_times::attempt_timeout;
use crate::state::{AttemptId, BatchedAttempt, InFlightAttempt, Query, QueryState};
use crate::state::{ShardRequestState, Timer};
use crate::time::TimeSpan;

/// Sending of attempts.
impl Broker {
    /// Sends a queued shard request. Leaves it queued while no replica may receive it or the retry budget is
    /// exhausted. Fails it if another attempt is not permitted or its query makes nodes fail.
    pub(super) fn send_attempt(&mut self, query: &mut Query, index: usize) {
        let is_retry = query.shard_requests[index].was_attempted();
        let in_flight_weight = query.weight_in(&[ShardRequestState::InFlight]);
        let decision = decide_retry(is_retry, self.is_query_of_death(query), in_flight_weight);
        if decision == RetryDecision::GiveUp || is_retry && !self.may_retry(query, index, true) {
            self.leave_unsent(query, index, ShardRequestState::Failed);
            return;
        }
        let may_send = decision == RetryDecision::Send && (!is_retry || self.has_retry_budget());
        // Chosen even if nothing may be sent, so that the number of random draws, and with it later decisions, does
        // not depend on `may_send`.
        let replica = self.choose_replica(query, index);
        match replica.filter(|_| may_send) {
            Some(node) => self.send_to(query, index, node),
            None => {
                self.leave_unsent(query, index, ShardRequestState::Queued);
                let id = query.shard_requests[index].id;
                self.poll(query.policy.latency_objective, Timer::Resend(id));
            }
        }
    }

    /// Moves a shard request that is not sent now to `state`, or back to `InFlight` if another attempt is in flight.
    fn leave_unsent(&mut self, query: &mut Query, index: usize, state: ShardRequestState) {
        let shard_request = &mut query.shard_requests[index];
        let is_in_flight = shard_request.attempts_in_flight() > 0;
        shard_request.state = if is_in_flight { ShardRequestState::InFlight } else { state };
    }

    fn send_to(&mut self, query: &mut Query, index: usize, node: NodeId) {
        let now = self.state.now;
        let attempt = self.record_attempt(query, index, node);
        let timeout = attempt_timeout(&query.times, query.policy.useful_after_objective, now);
        self.state.effects.push(Effect::Send { shard_request: attempt.shard_request, node, timeout });
        let check_at = now + self.hedge_delay(query.times.latency_objective);
        self.state.timers.schedule(check_at, Timer::AttemptCheck(attempt));
    }

    /// Records an attempt in the batch of its node, in its shard request and in the retry budget.
    fn record_attempt(&mut self, query: &mut Query, index: usize, node: NodeId) -> AttemptId {
        let now = self.state.now;
        let connection = self.choose_connection(node, !query.allows_partial());
        let slow_start_class = self.is_warming_up(node).then_some(query.class);
        let max_batch_size = self.config.broker.layout.max_batch_size;
        let batched = BatchedAttempt { max_batch_size, slow_start_class, connection };
        let in_flight_at_send = self.state.in_flight_this_turn;
        let in_flight = InFlightAttempt {
            node,
            batch: self.state.nodes.join_batch(now, node, batched),
            within_quota: query.within_quota,
            class: query.class,
            latency_objective: query.policy.latency_objective,
            in_flight_at_send,
            limit_was_used: self.state.concurrency_limit.is_used_by(in_flight_at_send),
            after_idle: connection,
            counted_unresponsive: false,
        };
        let shard_request = &mut query.shard_requests[index];
        let is_retry = shard_request.was_attempted();
        let id = self.state.queries.record_attempt(now, shard_request, in_flight);
        if is_retry {
            self.state.retries.record_retry(now, id);
        }
        id
    }
}

/// Retries and hedges.
impl Broker {
    /// Returns the time without a response after which another attempt is considered.
    fn hedge_delay(&self, latency_objective: TimeSpan) -> TimeSpan {
        hedge_delay(self.average_latency(), latency_objective)
    }

    /// Checks whether to replace an attempt that has been in flight for the hedge delay. The check repeats until
    /// the attempt ends or is replaced.
    pub(super) fn check_attempt(&mut self, id: AttemptId) {
        let Some((mut query, index)) = self.state.queries.take_query_of(id.shard_request) else {
            return;
        };
        if query.state == QueryState::InFlight && query.shard_requests[index].awaits(id.number) {
            self.replace_if_unresponsive(&mut query, index, id);
        }
        self.state.queries.put(query);
    }

    fn replace_if_unresponsive(&mut self, query: &mut Query, index: usize, id: AttemptId) {
        let attempt = self.attempt_progress(query, index, id);
        if attempt.is_unresponsive() {
            self.record_unresponsive(id);
        }
        let other = self.choose_replica(query, index);
        let conditions = self.replacement_conditions(query, index, id, other);
        if !should_replace(&attempt, conditions) {
            self.poll(query.times.latency_objective, Timer::AttemptCheck(id));
            // The canary has used its hedge delay, so the other shard requests no longer wait for it.
            if query.canary_in_flight {
                self.send(query);
            }
        } else if query.config.broker.limits.allow_hedging {
            self.queue(query, index);
        } else {
            let AttemptId { shard_request, number: attempt } = id;
            self.state.effects.push(Effect::Cancel { shard_request, attempt });
        }
    }

    /// Returns the conditions that decide whether an attempt is replaced by one at another replica.
    fn replacement_conditions(
        &self,
        query: &Query,
        index: usize,
        id: AttemptId,
        other: Option<NodeId>,
    ) -> ReplacementConditions {
        let limits = &query.config.broker.limits;
        let latencies = self.latencies();
        ReplacementConditions {
            allow_hedging: limits.allow_hedging,
            allow_cancel: limits.allow_cancel,
            is_connection_unresponsive: self.is_connection_unresponsive(id),
            is_only_attempt: query.shard_requests[index].attempts_in_flight() == 1,
            may_retry: self.may_retry(query, index, true),
            has_retry_budget: self.has_retry_budget(),
            alternative_latency: other.map(|node| latencies.of(&self.state.nodes[node])),
            objective_at: query.times.objective_at,
        }
    }

    fn attempt_progress(&self, query: &Query, index: usize, id: AttemptId) -> AttemptProgress {
        let attempt = &query.shard_requests[index].attempts[usize::from(id.number.0)];
        let latencies = self.latencies();
        let node = self.state.nodes.get(attempt.node).map(|node| NodeProgress {
            newest_answered_sent_at: node.newest_answered_sent_at,
            last_success_at: node.last_success_at,
            latency: latencies.of(node),
        });
        AttemptProgress {
            now: self.state.now,
            sent_at: attempt.sent_at,
            node,
            average_latency: self.average_latency(),
            hedge_delay: self.hedge_delay(query.times.latency_objective),
        }
    }

    /// Returns whether another attempt of a shard request is harmless and within the attempt limit. With
    /// `with_in_flight`, attempts in flight count as possibly executed.
    pub(super) fn may_retry(&self, query: &Query, index: usize, with_in_flight: bool) -> bool {
        let shard_request = &query.shard_requests[index];
        let first_executed_at = shard_request.earliest_execution(with_in_flight);
        let arrives_at = self.state.now + self.max_send_delay();
        let mut policies = self.binding_policies(query);
        self.attempt_limit(query).allows_another(shard_request.attempts_made())
            && policies.all(|policy| is_repeat_harmless(policy, first_executed_at, arrives_at))
    }

    /// Returns the class policies that apply to a query.
    pub(super) fn binding_policies<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = &'a ClassPolicy> {
        let current = self.config.classes.get(&query.class).map(|policy| &**policy);
        idempotency::binding_policies(&query.policy, current)
    }

    fn attempt_limit(&self, query: &Query) -> AttemptLimit {
        let own_yield = query.policy.priority_weight / query.shard_requests.len() as f64;
        AttemptLimit {
            max_attempts: query.config.broker.limits.max_attempts,
            own_yield,
            best_yield: self.state.class_yields.best_at_full_coverage(own_yield),
        }
    }

    /// Returns whether the retry budgets of all configurations that apply allow one more attempt.
    fn has_retry_budget(&self) -> bool {
        let (now, send_delay) = (self.state.now, self.max_send_delay());
        self.binding_configs()
            .all(|config| self.state.retries.allows_retry(&config.retry_budget, now, send_delay))
    }

    /// Returns whether a query appears to make the nodes that execute it fail.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        is_query_of_death(query.lost_nodes.len(), query.weight_in(&[ShardRequestState::Received]))
    }
}
