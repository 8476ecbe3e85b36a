//! Whether a query is sent, waits, or is rejected. The guards and actions of the table in
//! `policy::query_lifecycle` for queries that were not sent yet.

use super::Broker;
use crate::effects::Effect;
use crate::ids::NodeId;
use crate::policy::admission::AdmissionRequest;
use crate::policy::admission_queue::QueueRequest;
use crate::policy::class_yield::ClassYield;
use crate::policy::{completion_chance, coverage, load_probe};
use crate::state::{Query, Timer};
use std::collections::BTreeSet;

/// Guards.
impl Broker {
    /// The same query was one of death a short while ago.
    pub(crate) fn is_quarantined(&self, query: &Query) -> bool {
        // The signature is only made where there is something to compare it with.
        !self.state.quarantine.is_empty()
            && self.state.quarantine.contains(&query.signature(), self.state.now)
    }

    /// Its replicas are to be probed for their load first.
    pub(crate) fn needs_load_reports(&self, query: &Query) -> bool {
        let may_probe = query.config.broker.load_by_probe && query.probed_at.is_none();
        may_probe && !self.replicas_to_probe(query).is_empty()
    }

    /// Load reports of its replicas are on the way and may still come in time to choose by them.
    pub(crate) fn awaits_load_reports(&self, query: &Query) -> bool {
        let objective = query.policy.latency_objective;
        let may_wait = load_probe::may_wait(query.probed_at, self.state.now, objective);
        may_wait && self.any_replica_owes_report(query)
    }

    /// It needs all of its shard requests, and has hardly a chance to get them.
    pub(crate) fn is_unlikely_to_complete(&self, query: &Query) -> bool {
        let overload_rate = self.state.overload_rate.read(self.state.now);
        let max_attempts = query.config.broker.limits.max_attempts;
        !query.allows_partial()
            && completion_chance::is_unlikely(overload_rate, max_attempts, query.shard_requests.len())
    }

    /// It may wait for capacity.
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

    /// It may wait for capacity, and has to.
    pub(crate) fn must_wait(&self, query: &Query) -> bool {
        self.may_wait(query) && self.exceeds_limit(query)
    }

    /// It exceeds what may be in flight, or can't reach its minimum coverage.
    pub(crate) fn exceeds_limit(&self, query: &Query) -> bool {
        let needed = self.needed_shard_requests(query);
        let infeasible = query.shard_requests.iter().filter(|s| self.is_infeasible(query, s));
        let lost_weight: f64 = infeasible.map(|s| s.weight).sum();
        let request = AdmissionRequest {
            in_flight: self.state.queries.in_flight.len(),
            needed,
            limit: self.limit_for(query, self.class_yield(query, needed)),
            misses_min_coverage: !coverage::covers_minimum(query, 1.0 - lost_weight),
            was_probed: query.probed_at.is_some(),
        };
        request.exceeds_limit()
    }

    /// The concurrency limit for a query, in shard requests.
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

    /// How many shard requests its minimum coverage needs.
    fn needed_shard_requests(&self, query: &Query) -> usize {
        self.select(query, true).len()
    }

    fn replicas_to_probe(&self, query: &Query) -> BTreeSet<NodeId> {
        let (now, objective) = (self.state.now, query.policy.latency_objective);
        let replicas = query.shard_requests.iter().flat_map(|s| self.replicas(query, s, |_| true));
        replicas.filter(|id| load_probe::needs_probe(&self.state.nodes[*id], now, objective)).collect()
    }

    fn any_replica_owes_report(&self, query: &Query) -> bool {
        let owes_report = |id: NodeId| self.state.nodes[id].probe_sent_at.is_some();
        query.shard_requests.iter().any(|s| self.replicas(query, s, |_| true).any(owes_report))
    }
}

/// Records and actions.
impl Broker {
    /// Remembers what a query's class yields, and whether the cutoff is active for it.
    pub(crate) fn record_class_yield(&mut self, query: &Query) {
        self.record_cutoff(query);
        let class_yield = self.class_yield(query, self.needed_shard_requests(query));
        self.state.class_yields.record(query.class, class_yield);
    }

    /// Probes its replicas for their load, and looks at it again when that takes too long.
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

    /// Sends a probe; what the node reported before no longer counts.
    fn probe(&mut self, id: NodeId) {
        let now = self.state.now;
        self.state.nodes.update(id, |node| {
            node.probe_sent_at = Some(now);
            node.load = None;
        });
        self.state.effects.push(Effect::Probe { node: id });
    }

    /// Lets it wait in the admission queue.
    pub(crate) fn enqueue(&mut self, query: &mut Query) {
        self.state.queries.admission_queue.insert(query.id);
        self.poll(query.policy.latency_objective, Timer::AdmissionCheck(query.id));
    }

    /// Rejects it. What is rejected counts as overload, so that pressure rises and the cutoff sets in.
    pub(crate) fn reject(&mut self, query: &mut Query) {
        let needed = self.needed_shard_requests(query) as f64;
        self.state.pressure.record(self.state.now, query.within_quota, needed, needed);
        self.give_up(query);
    }
}
