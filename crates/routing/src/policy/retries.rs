//! Attempts: sending queued shard requests, retries, hedges, and the budget that bounds them (rules 2 and 6).

use super::*;

impl Broker {
    pub(crate) fn send_attempt(&mut self, query: &mut Query, index: usize) {
        let shard_request = &query.shard_requests[index];
        let (id, is_retry) = (shard_request.id, shard_request.was_attempted());
        let is_in_flight = shard_request.attempts_in_flight() > 0;
        let state_if_unsent = |unsent| if is_in_flight { ShardRequestState::InFlight } else { unsent };
        let is_held = is_retry && self.is_query_of_death(query);
        let is_last = is_held && query.weight_in(&[ShardRequestState::InFlight]) == 0.0;
        if is_last || is_retry && !self.may_retry(query, index, true) {
            // It brings nodes down, or waited so long that another attempt is no longer harmless.
            query.shard_requests[index].state = state_if_unsent(ShardRequestState::Failed);
            return;
        }
        let may_send = !is_held && (!is_retry || self.has_retry_budget());
        let Some(node) = self.choose_replica(query, shard_request).filter(|_| may_send) else {
            // No replica may have it now, or the budget is spent: it waits while that can help.
            query.shard_requests[index].state = state_if_unsent(ShardRequestState::Queued);
            return self.schedule_soon(query.policy.latency_objective, Timer::Resend(id));
        };
        let common_limit = self.state.concurrency_limit * COMMON_LIMIT_SHARE;
        let new = NewAttempt {
            node,
            after_idle: self.connection_after_idle(node, !query.allows_partial()),
            is_warming_up: self.is_warming_up(node),
            max_batch_size: self.config.broker.layout.max_batch_size,
            limit_was_used: self.state.in_flight_this_turn >= common_limit,
        };
        let attempt = self.state.record_attempt(query, index, new);
        let useful_until = query.times.objective_at + query.policy.useful_after_objective;
        let timeout = useful_until.min(query.times.deadline_at) - self.state.now;
        self.state.effects.push(Effect::Send { shard_request: id, node, timeout: timeout.max(Tenths(1)) });
        let check_at = self.state.now + self.hedge_delay(query.times.latency_objective);
        self.state.schedule(check_at, Timer::AttemptCheck(attempt));
    }

    /// How long an attempt may be silent before another is considered.
    fn hedge_delay(&self, latency_objective: Tenths) -> Tenths {
        let [min, max] = [MIN_HEDGE_DELAY, MAX_HEDGE_DELAY].map(|bound| latency_objective.times(bound));
        self.average_latency().times(HEDGE_DELAY).clamp(min, max)
    }

    /// Guards against shard requests that no response comes to (a node hung or cut off, a response lost):
    /// once the hedge delay is over, the node has answered nothing for as long, or one sent later by an
    /// average latency, and another replica looks faster, it is hedged there. Without hedging an overtaken
    /// attempt is cancelled first, others wait: that loses the response. Harm: work done twice.
    pub(crate) fn check_attempt(&mut self, id: AttemptId) {
        let Some((mut query, index)) = self.state.take_query_of(id.shard_request) else { return };
        if query.state != QueryState::InFlight || !query.shard_requests[index].awaits(id.number) {
            return self.state.put_query(query);
        }
        if !self.should_replace(&query, index, id) {
            self.schedule_soon(query.times.latency_objective, Timer::AttemptCheck(id));
            if query.canary_in_flight {
                self.send(&mut query);
            }
        } else if query.config.broker.limits.allow_hedging {
            self.state.queue(&mut query.shard_requests[index]);
        } else {
            self.state.effects.push(Effect::Cancel { shard_request: id.shard_request, attempt: id.number });
        }
        self.state.put_query(query);
    }

    /// Whether an attempt looks lost and another node would be faster.
    fn should_replace(&mut self, query: &Query, index: usize, id: AttemptId) -> bool {
        let (now, average) = (self.state.now, self.average_latency());
        let shard_request = &query.shard_requests[index];
        let attempt = &shard_request.attempts[usize::from(id.number.0)];
        let node = self.state.nodes.get(&attempt.node);
        let is_overtaken = node.is_some_and(|n| n.newest_answered_sent_at > attempt.sent_at + average);
        let silent_since = node.map_or(attempt.sent_at, |n| n.last_success_at.max(attempt.sent_at));
        let is_silent = now - silent_since >= self.hedge_delay(query.times.latency_objective);
        let wait_here = node.map_or(average, |n| self.latency(n)).max(now - attempt.sent_at);
        let is_unresponsive = is_silent && self.count_unresponsive(id);
        let limits = &query.config.broker.limits;
        let may_cancel = (is_overtaken || is_unresponsive) && limits.allow_cancel;
        let is_lost = (is_overtaken || is_silent) && shard_request.attempts_in_flight() == 1;
        let may_act = limits.allow_hedging || may_cancel;
        let may_replace = is_lost && may_act && self.may_retry(query, index, true);
        let is_faster = self.choose_replica(query, shard_request).is_some_and(|other| {
            let wait_there = self.latency(&self.state.nodes[&other]);
            wait_there < wait_here && now + wait_there < query.times.objective_at
        });
        may_replace && is_faster && self.has_retry_budget()
    }

    /// Whether another attempt would keep rule 2 and the count of attempts, as the class was when the query
    /// was accepted and as it is now. A hedge goes out while one is in flight.
    pub(super) fn may_retry(&self, query: &Query, index: usize, is_hedge: bool) -> bool {
        let shard_request = &query.shard_requests[index];
        let executed_at = shard_request.earliest_execution(is_hedge);
        let arrives_at = self.state.now + self.send_delay();
        let yields = query.policy.priority_weight / query.shard_requests.len() as f64;
        let best = self.state.best_yield(yields, |class_yield| class_yield.at_full_coverage);
        let max_retries = f64::from(query.config.broker.limits.max_attempts.max(1) - 1) * yields / best;
        let is_harmless = |policy: &ClassPolicy| match (policy.idempotency, executed_at) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey, Some(first)) => arrives_at - first <= policy.dedup_window,
            (Idempotency::AtMostOnce, Some(_)) => false,
        };
        let has_attempts_left = shard_request.attempts_made() <= (max_retries + 0.5) as usize;
        has_attempts_left && query.policies(self.config.classes.get(&query.class)).all(is_harmless)
    }

    /// Rule 6: in any window a few, plus a share of what was accepted. What was accepted counts over a window
    /// shorter by the way to a node, retries over a longer.
    fn has_retry_budget(&self) -> bool {
        let slack = self.send_delay();
        self.binding_configs().all(|config| {
            let (budget, since) = (&config.retry_budget, self.state.now - config.retry_budget.window);
            let accepted = self.state.accepted_since(since + slack) as f64;
            let retried = self.state.retried_since(since - slack);
            (retried + 1) as f64 <= budget.floor + budget.share * accepted
        })
    }
}
