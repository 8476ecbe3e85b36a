//! The life of a query: accepted, sent, responded to, or rejected at once.

use super::QueryEvent::ShardRequestFailed as RequestFailed;
use super::QueryEvent::{ClientLeft, DeadlineNear, ObjectiveNear, Ready, ResponseReceived, ResponseSent};
use super::QueryState::{BetweenPhases, Finished, InFlight, PastObjective, Pending, Responded};
use super::ShardRequestState::{InFlight as Sent, Queued, Received, Unsent};
use super::*;
use crate::ids::QueryId;
use crate::inputs::NewQuery;
use crate::state::{ClassYield, QueryTimes};

/// Load reports are waited for, and are recent, for this share of the latency objective.
const LOAD_REPORT_AGE: f64 = 0.02;
/// Responses leave before the latency objective by two turns and this share of it.
const OBJECTIVE_MARGIN: f64 = 0.02;
/// Chance of being complete under which nothing is sent.
const MIN_COMPLETION_CHANCE: f64 = 0.03;

type Guard = fn(&mut Broker, &Query) -> bool;
type Action = fn(&mut Broker, &mut Query);

/// In one of these states, on an event, if the guard holds: the next state, and what is done.
struct Row {
    from: &'static [QueryState],
    on: QueryEvent,
    when: Guard,
    to: QueryState,
    act: Action,
}

const fn row(from: &'static [QueryState], on: QueryEvent, when: Guard, to: QueryState, act: Action) -> Row {
    Row { from, on, when, to, act }
}

const OPEN: &[QueryState] = &[Pending, InFlight, PastObjective, BetweenPhases];

/// The first row that fits is taken; where none fits, nothing happens.
#[rustfmt::skip]
const TABLE: &[Row] = &[
    //  from              on                when                         to             act
    row(&[Pending],       Ready,            |b, q| b.state.refuses(q),   Finished,      Broker::give_up),
    row(&[Pending],       Ready,            Broker::needs_load,          Pending,       Broker::probe),
    row(&[Pending],       Ready,            Broker::awaits_load,         Pending,       |_, _| ()),
    row(&[Pending],       Ready,            Broker::is_unlikely,         Finished,      Broker::give_up),
    row(&[Pending],       Ready,            Broker::may_wait,            Pending,       Broker::wait),
    row(&[Pending],       Ready,            Broker::exceeds_limit,       Finished,      Broker::reject),
    row(&[Pending],       Ready,            |_, _| true,                 InFlight,      Broker::send),
    row(&[BetweenPhases], Ready,            |_, _| true,                 InFlight,      Broker::send),
    row(&[InFlight],      ResponseReceived, |_, q| q.canary_in_flight,   InFlight,      Broker::send),
    row(&[InFlight],      ResponseReceived, Broker::is_settled,          Responded,     Broker::respond),
    row(&[InFlight],      RequestFailed,    Broker::is_settled,          Responded,     Broker::respond),
    row(&[InFlight],      RequestFailed,    Broker::can_substitute,      InFlight,      Broker::send),
    row(&[InFlight],      RequestFailed,    Broker::is_hopeless,         Finished,      Broker::give_up),
    row(&[InFlight],      ObjectiveNear,    Broker::has_min_coverage,    Responded,     Broker::respond),
    row(&[InFlight],      ObjectiveNear,    Broker::is_late_useful,      PastObjective, |_, _| ()),
    row(&[InFlight],      ObjectiveNear,    |_, _| true,                 Finished,      Broker::give_up),
    row(&[PastObjective], ResponseReceived, Broker::has_min_coverage,    Responded,     Broker::respond),
    row(&[PastObjective], RequestFailed,    |b, q| !b.is_late_useful(q), Finished,      Broker::give_up),
    row(&[Responded],     ResponseSent,     |_, q| q.has_phase_to_come(), BetweenPhases, Broker::end_phase),
    row(&[Responded],     ResponseSent,     |_, _| true,                 Finished,      |_, _| ()),
    row(OPEN,             DeadlineNear,     Broker::has_min_coverage,    Responded,     Broker::respond),
    row(OPEN,             DeadlineNear,     |_, _| true,                 Finished,      Broker::give_up),
    row(OPEN,             ClientLeft,       |_, _| true,                 Finished,      |_, _| ()),
];

impl Broker {
    pub(crate) fn accept(&mut self, new: &NewQuery) {
        let (now, config) = (self.state.now, self.config.clone());
        let Some(policy) = config.classes.get(&new.class).cloned() else {
            return self.state.effects.push(Effect::Fail { query: new.id });
        };
        let turns = config.broker.period.times(2.0);
        let stretched = policy.latency_objective + new.work.times(policy.objective_stretch);
        let latency_objective = stretched.min(policy.deadline).min(new.time_left);
        let objective_at = now + latency_objective - policy.latency_objective.times(OBJECTIVE_MARGIN) - turns;
        let deadline_at = now + new.time_left - turns.times(2.0);
        let times = QueryTimes { latency_objective, objective_at, deadline_at };
        if policy.has_second_phase {
            let halfway = objective_at - policy.latency_objective.times(0.5);
            self.state.schedule(halfway, Timer::FirstPhaseHalfway(new.id));
        }
        let rate = self.state.tenant_rates.entry(new.tenant).or_default();
        rate.add(now, SMOOTHING_SPAN, 1.0);
        // A tenant's quota is split evenly over the brokers: this one sees no other's traffic.
        let within_quota = config.broker.tenants.get(&new.tenant).is_none_or(|tenant| {
            let own_quota = tenant.quota_per_s / f64::from(config.broker.brokers.max(1));
            rate.count <= (own_quota * SMOOTHING_SPAN.as_ms() / 1000.0).max(1.0)
        });
        self.state.add_query(Query::accept(new, config, policy, within_quota, times));
    }

    /// Takes a query through the row of `TABLE` that an event calls for, if there is one.
    pub(crate) fn advance(&mut self, id: QueryId, event: QueryEvent) {
        let Some(mut query) = self.state.queries.remove(&id) else { return };
        let rows = TABLE.iter().filter(|row| row.on == event && row.from.contains(&query.state));
        let row = rows.into_iter().find(|row| (row.when)(self, &query));
        if let Some(row) = row {
            query.state = row.to;
            (row.act)(self, &mut query);
        }
        match query.state {
            Finished => self.state.remove_query(&query, query.config.broker.limits.allow_cancel),
            Responded => {
                self.state.put_query(query);
                self.advance(id, ResponseSent);
            }
            _ => self.state.put_query(query),
        }
    }

    /// All that was sent has ended, enough is in to be complete, or a first phase has had half of its time.
    fn is_settled(&mut self, query: &Query) -> bool {
        let half_objective = query.policy.latency_objective.times(0.5);
        let is_half_over = self.state.now + half_objective >= query.times.objective_at;
        let is_halfway = query.has_phase_to_come() && is_half_over;
        let has_ended = query.weight_in(&[Queued, Sent]) == 0.0;
        self.has_min_coverage(query) && (self.is_complete(query) || has_ended || is_halfway)
    }

    fn has_min_coverage(&mut self, query: &Query) -> bool {
        self.covers_minimum(query, query.weight_in(&[Received]))
    }

    /// Unsent light shard requests can stand in for failed ones.
    fn can_substitute(&mut self, query: &Query) -> bool {
        let all = query.weight_in(&[Unsent, Queued, Sent, Received]);
        self.is_hopeless(query) && self.covers_minimum(query, all)
    }

    /// Even if all that is in flight comes in, it is less than the minimum coverage.
    fn is_hopeless(&mut self, query: &Query) -> bool {
        !self.covers_minimum(query, query.weight_in(&[Queued, Sent, Received]))
    }

    fn is_late_useful(&mut self, query: &Query) -> bool {
        query.policy.late_weight_share > query.config.broker.late_failure_cost
            && self.covers_minimum(query, query.weight_in(&[Sent, Received]))
    }

    /// Where only a probe brings a load report, replicas are asked before the first shard requests go out.
    fn needs_load(&mut self, query: &Query) -> bool {
        let may_probe = query.config.broker.load_by_probe && query.probed_at.is_none();
        may_probe && !self.state.replicas_without_load(query, LOAD_REPORT_AGE).is_empty()
    }

    /// A load report may still come in time to choose by it.
    fn awaits_load(&mut self, query: &Query) -> bool {
        let max_wait = query.policy.latency_objective.times(LOAD_REPORT_AGE);
        let has_time = query.probed_at.is_some_and(|at| self.state.now - at < max_wait);
        has_time && self.state.any_replica_owes_load(query)
    }

    /// Guards against queues that outgrow the latency objective: while even its minimum coverage passes the
    /// concurrency limit or is out of reach, a query waits, then is rejected. With nothing in flight one is
    /// always taken, so that the limit can grow again. Harm: what a lucky replica would have served is not.
    fn exceeds_limit(&mut self, query: &Query) -> bool {
        let out_of_reach = query.shard_requests.iter().filter(|s| self.is_out_of_reach(query, s));
        let lost: f64 = out_of_reach.map(|s| s.weight).sum();
        let (in_flight, needed) = (self.state.in_flight.len(), self.select(query, true).len());
        let policy = &query.policy;
        let at_min_coverage = policy.priority_weight * policy.min_coverage / needed.max(1) as f64;
        let at_full_coverage = policy.priority_weight / query.shard_requests.len().max(1) as f64;
        let class_yield = ClassYield { at_min_coverage, at_full_coverage };
        self.state.record_yield(query.class, class_yield, NEWEST_SHARE);
        let is_out_of_reach = !self.covers_minimum(query, 1.0 - lost);
        let is_over = (in_flight + needed) as f64 > self.limit_for(query, at_min_coverage);
        in_flight > 0 && (is_over || is_out_of_reach) || is_out_of_reach && query.probed_at.is_some()
    }

    /// Guards against bursts that are over sooner than they matter: a queue that would fill the limit once
    /// more may wait, no longer one. Harm: what is rejected in the end has waited in vain.
    fn may_wait(&mut self, query: &Query) -> bool {
        let queued = ((self.state.admission_queue.len() + 1) * query.shard_requests.len()) as f64;
        let is_queued = self.state.admission_queue.contains(&query.id);
        let min_time = query.policy.latency_objective.times(1.0 - MIN_HEDGE_DELAY);
        let has_time = query.times.objective_at - self.state.now > min_time;
        (is_queued || queued <= self.state.concurrency_limit) && has_time && self.exceeds_limit(query)
    }

    /// Guards against work nobody can use: where a query needs all of many shard requests, none is sent while
    /// so many are refused that with all its attempts it would hardly be complete. That tells nothing of
    /// nodes, so the span forgets, and one is tried again. Harm: what luck would have served.
    fn is_unlikely(&mut self, query: &Query) -> bool {
        let refused = self.state.overloaded_attempts.share(self.state.now, SMOOTHING_SPAN, MIN_SAMPLES);
        let misses = refused.powi(query.config.broker.limits.max_attempts.max(1) as i32);
        let chance = (1.0 - misses).powi(query.shard_requests.len() as i32);
        !query.allows_partial() && chance < MIN_COMPLETION_CHANCE
    }

    /// The concurrency limit for what yields so much for each shard request that it sends.
    fn limit_for(&self, query: &Query, yields: f64) -> f64 {
        let quota_share = if query.within_quota { 1.0 } else { query.config.broker.over_quota_weight };
        let best = self.state.best_yield(yields, |class_yield| class_yield.at_min_coverage);
        let share = COMMON_LIMIT_SHARE + (1.0 - COMMON_LIMIT_SHARE) * quota_share * yields / best;
        self.state.concurrency_limit * share
    }

    /// Guards against queries that bring down every node: two were lost with it, and none answered. Dropped
    /// shard requests wait for a first one as proof; once given up, the query is quarantined while its client
    /// may repeat it. Harm: one caught in a zone's fall.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        query.lost_nodes.len() > 1 && query.weight_in(&[Received]) == 0.0
    }

    fn probe(&mut self, query: &mut Query) {
        for id in self.state.replicas_without_load(query, LOAD_REPORT_AGE) {
            self.state.probe(id);
        }
        query.probed_at = Some(self.state.now);
        self.state.awaiting_load.insert(query.id);
        let max_wait = query.policy.latency_objective.times(LOAD_REPORT_AGE);
        self.state.schedule(self.state.now + max_wait, Timer::AdmissionCheck(query.id));
    }

    fn wait(&mut self, query: &mut Query) {
        self.state.admission_queue.insert(query.id);
        self.schedule_soon(query.policy.latency_objective, Timer::AdmissionCheck(query.id));
    }

    /// What is rejected counts as overload, so that pressure rises and the cutoff sets in.
    fn reject(&mut self, query: &mut Query) {
        let needed = self.select(query, true).len() as f64;
        self.state.count_overload(SMOOTHING_SPAN, query.within_quota, needed, needed);
        self.give_up(query);
    }

    /// Sends what the design's cutoff leaves, or the minimum coverage where the limit allows no more.
    pub(super) fn send(&mut self, query: &mut Query) {
        let (in_flight, limit) = (self.state.in_flight.len(), self.state.concurrency_limit as usize);
        let is_first = query.shard_requests.iter().all(|s| s.attempts.is_empty());
        let failures = self.state.node_failures.share(self.state.now, SMOOTHING_SPAN, MIN_SAMPLES);
        let nodes_fail = failures > PRESSURE_THRESHOLD;
        query.canary_in_flight = is_first && query.shard_requests.len() > 1 && nodes_fail;
        let mut sent = 0.0;
        for (count, index) in self.select(query, query.min_coverage_only).into_iter().enumerate() {
            let is_needed = !query.allows_partial() || sent + WEIGHT_ROUNDING < query.policy.min_coverage;
            if is_needed || in_flight + count < limit {
                let shard_request = &mut query.shard_requests[index];
                sent += shard_request.weight;
                if shard_request.state == Unsent && (count == 0 || !query.canary_in_flight) {
                    self.state.queue(shard_request);
                }
            }
        }
    }

    fn respond(&mut self, query: &mut Query) {
        let complete = self.is_complete(query);
        self.state.effects.push(Effect::Respond { query: query.id, complete });
        query.first_phase_complete |= complete && !query.in_second_phase;
    }

    fn end_phase(&mut self, query: &mut Query) {
        let allow_cancel = query.config.broker.limits.allow_cancel;
        self.state.remove_first_phase(query, allow_cancel);
        query.in_second_phase = true;
    }

    /// Rejects where sending the query again is harmless, else fails it.
    fn give_up(&mut self, query: &mut Query) {
        if self.is_query_of_death(query) {
            self.state.quarantine(query, self.state.now + query.policy.deadline);
        }
        let mut policies = query.policies(self.config.classes.get(&query.class));
        let is_idempotent = policies.all(|policy| policy.idempotency == Idempotency::Idempotent);
        let is_harmless = is_idempotent || query.was_never_executed() && !query.in_second_phase;
        let limits = &query.config.broker.limits;
        let longest = query.policy.latency_objective.min(limits.max_retry_after);
        let retry_after = if limits.retry_after { longest } else { Tenths::ZERO };
        let (query, failed) = (query.id, Effect::Fail { query: query.id });
        self.state.effects.push(if is_harmless { Effect::Reject { query, retry_after } } else { failed });
    }

    fn is_complete(&self, query: &Query) -> bool {
        let is_covered = query.weight_in(&[Received]) + WEIGHT_ROUNDING >= query.policy.complete_coverage;
        let all_received = query.shard_requests.iter().all(|s| s.state == Received);
        if query.in_second_phase { query.first_phase_complete && all_received } else { is_covered }
    }

    fn covers_minimum(&self, query: &Query, weight: f64) -> bool {
        let needs_all = query.in_second_phase && !query.allows_partial();
        weight + WEIGHT_ROUNDING >= if needs_all { 1.0 } else { query.policy.min_coverage }
    }
}
