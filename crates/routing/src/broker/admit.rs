//! Admission: whether a query is sent, waits, or is rejected. Contains the guards and actions of the table in
//! `policy::query_lifecycle` for queries that have not been sent yet.

use super::Broker;
use crate::effects::Effect;
use crate::ids::NodeId;
use crate::policy::admission::AdmissionRequest;
use crate::policy::admission_queue::QueueRequest;
use crate::policy::class_yield::ClassYield;
use crate::policy::{completion_probability, coverage, load_probe};
use crate::state::{Query, Timer};
use std::collections::BTreeSet;

/// Guards for pending queries.
impl Broker {
    /// Returns whether a query with the same signature has recently been quarantined as a query of death.
    pub(crate) fn is_quarantined(&self, query: &Query) -> bool {
        // Avoids building the signature while the quarantine is empty.
        !self.state.quarantine.is_empty()
            && self.state.quarantine.contains(&query.signature(), self.state.now)
    }

    /// Returns whether replicas of the query must be probed for their load before it is sent.
    pub(crate) fn needs_load_reports(&self, query: &Query) -> bool {
        let may_probe = query.config.broker.load_by_probe && query.probed_at.is_none();
        may_probe && !self.replicas_to_probe(query).is_empty()
    }

    /// Returns whether load reports of the replicas are outstanding and may still arrive early enough to be used.
    pub(crate) fn awaits_load_reports(&self, query: &Query) -> bool {
        let objective = query.policy.latency_objective;
        let may_wait = load_probe::may_wait(query.probed_at, self.state.now, objective);
        may_wait && self.has_pending_probe(query)
    }

    /// Returns whether the query needs all of its shard requests, and it is unlikely that every one succeeds.
    pub(crate) fn is_unlikely_to_complete(&self, query: &Query) -> bool {
        let overload_rate = self.state.overload_rate.read(self.state.now);
        let max_attempts = query.config.broker.limits.max_attempts;
        !query.allows_partial()
            && completion_probability::is_unlikely(overload_rate, max_attempts, query.shard_requests.len())
    }

    /// Returns whether the query may wait for capacity.
    pub(crate) fn may_wait(&self, query: &Query) -> bool {
        let queue = &self.state.queries.admission_queue;
        let queue_request = QueueRequest {
            is_queued: queue.contains(&query.id),
            shard_requests: query.shard_requests.len(),
            queue_length: queue.len(),
            limit: self.state.concurrency_limit.shard_requests(),
            latency_objective: query.policy.latency_objective,
            time_left: query.times.objective_at - self.state.now,
        };
        queue_request.may_wait()
    }

    /// Returns whether the query exceeds the limit and may wait for capacity.
    pub(crate) fn must_wait(&self, query: &Query) -> bool {
        self.may_wait(query) && self.exceeds_limit(query)
    }

    /// Returns whether the query exceeds the concurrency limit or cannot reach its minimum coverage.
    pub(crate) fn exceeds_limit(&self, query: &Query) -> bool {
        let needed = self.needed_shard_requests(query);
        let infeasible = query.shard_requests.iter().filter(|s| self.is_infeasible(query, s));
        let lost_weight: f64 = infeasible.map(|s| s.weight).sum();
        let request = AdmissionRequest {
            in_flight: self.state.queries.in_flight.len(),
            needed,
            limit: self.limit_for(query, self.class_yield(query, needed)),
            is_query_infeasible: !coverage::covers_minimum(query, 1.0 - lost_weight),
            was_probed: query.probed_at.is_some(),
        };
        request.exceeds_limit()
    }

    /// Returns the concurrency limit for a query, in shard requests.
    fn limit_for(&self, query: &Query, class_yield: ClassYield) -> f64 {
        let quota_share = if query.within_quota { 1.0 } else { query.config.broker.over_quota_weight };
        let own_yield = class_yield.at_min_coverage;
        let best_yield = self.state.class_yields.best_at_min_coverage(own_yield);
        self.state.concurrency_limit.for_yield(quota_share, own_yield, best_yield)
    }

    fn class_yield(&self, query: &Query, needed: usize) -> ClassYield {
        let policy = &query.policy;
        ClassYield::of(policy.priority_weight, policy.min_coverage, needed, query.shard_requests.len())
    }

    /// Returns the number of shard requests that the minimum coverage of the query needs.
    fn needed_shard_requests(&self, query: &Query) -> usize {
        self.select(query, true).len()
    }

    fn replicas_to_probe(&self, query: &Query) -> BTreeSet<NodeId> {
        let (now, objective) = (self.state.now, query.policy.latency_objective);
        let replicas = query.shard_requests.iter().flat_map(|s| self.replicas(query, s, |_| true));
        replicas.filter(|id| load_probe::needs_probe(&self.state.nodes[*id], now, objective)).collect()
    }

    fn has_pending_probe(&self, query: &Query) -> bool {
        let is_probe_pending = |id: NodeId| self.state.nodes[id].probe_sent_at.is_some();
        query.shard_requests.iter().any(|s| self.replicas(query, s, |_| true).any(is_probe_pending))
    }
}

/// Actions and records for pending queries.
impl Broker {
    /// Records the yield of the query's class and whether the cutoff is active for the query.
    pub(crate) fn record_class_yield(&mut self, query: &Query) {
        self.record_cutoff(query);
        let class_yield = self.class_yield(query, self.needed_shard_requests(query));
        self.state.class_yields.record(query.class, class_yield);
    }

    /// Probes the replicas of the query for their load, and schedules an evaluation in case reports are late.
    pub(crate) fn probe_replicas(&mut self, query: &mut Query) {
        let now = self.state.now;
        for node in self.replicas_to_probe(query) {
            self.probe(node);
        }
        query.probed_at = Some(now);
        self.state.queries.awaiting_load.insert(query.id);
        let max_wait = load_probe::max_wait(query.policy.latency_objective);
        self.state.timers.schedule(now + max_wait, Timer::AdmissionCheck(query.id));
    }

    /// Sends a probe and discards the previous load report of the node.
    fn probe(&mut self, id: NodeId) {
        let now = self.state.now;
        self.state.nodes.update(id, |node| {
            node.probe_sent_at = Some(now);
            node.load = None;
        });
        self.state.effects.push(Effect::Probe { node: id });
    }

    /// Adds the query to the admission queue and schedules its next evaluation.
    pub(crate) fn enqueue(&mut self, query: &mut Query) {
        self.state.queries.admission_queue.insert(query.id);
        self.poll(query.policy.latency_objective, Timer::AdmissionCheck(query.id));
    }

    /// Rejects the query. The rejected shard requests count as overload, so that pressure rises and the cutoff
    /// becomes active.
    pub(crate) fn reject(&mut self, query: &mut Query) {
        let needed = self.needed_shard_requests(query) as f64;
        self.state.pressure.record(self.state.now, query.within_quota, needed, needed);
        self.give_up(query);
    }
}
