//! Selection of the shard requests to send.

use super::Broker;
use crate::effects::Effect;
use crate::log_event::LogEvent;
use crate::policy::{cutoff, feasibility};
use crate::state::{Query, ShardRequest, ShardRequestState};

impl Broker {
    /// Queues the shard requests that the cutoff and the concurrency limit allow. While nodes fail, queues only a
    /// canary request at first.
    pub(crate) fn send(&mut self, query: &mut Query) {
        self.record_cutoff(query);
        query.canary_in_flight = self.needs_canary(query);
        let selected = self.select(query, query.min_coverage_only);
        let canary = selected.first().copied();
        for index in self.limit_to_capacity(query, &selected) {
            let is_unsent = query.shard_requests[index].state == ShardRequestState::Unsent;
            let is_held = query.canary_in_flight && canary != Some(index);
            if is_unsent && !is_held {
                self.queue(query, index);
            }
        }
    }

    fn needs_canary(&self, query: &Query) -> bool {
        let is_first_send = query.shard_requests.iter().all(|s| s.attempts.is_empty());
        let shard_requests = query.shard_requests.len();
        self.state.node_failures.needs_canary(self.state.now, is_first_send, shard_requests)
    }

    fn limit_to_capacity(&self, query: &Query, selected: &[usize]) -> Vec<usize> {
        let in_flight = self.state.queries.in_flight.len();
        let limit = self.state.concurrency_limit.shard_requests() as usize;
        cutoff::limit_to_capacity(query, selected, in_flight, limit)
    }

    /// Queues a shard request to be sent at the end of the current call of `Broker::turn`.
    pub(super) fn queue(&mut self, query: &mut Query, index: usize) {
        self.state.recent_shard_requests.record(self.state.now);
        self.state.queries.queue(&mut query.shard_requests[index]);
    }

    /// Returns the indices of the shard requests to send, in sending order.
    pub(super) fn select(&self, query: &Query, min_coverage_only: bool) -> Vec<usize> {
        let base = cutoff::base(self.pressure_for(query));
        cutoff::select_shard_requests(query, base, min_coverage_only, |shard_request| {
            self.is_infeasible(query, shard_request)
        })
    }

    /// Returns whether no replica can answer a shard request in time.
    pub(super) fn is_infeasible(&self, query: &Query, shard_request: &ShardRequest) -> bool {
        let in_flight = self.state.queries.in_flight.len();
        let ignores_failures = feasibility::ignores_failures(query.probed_at.is_some(), in_flight);
        let latencies = self.latencies();
        let usable = self.replicas(query, shard_request, |id| self.may_receive(id, shard_request));
        let waits = usable.map(|id| {
            let node = &self.state.nodes[id];
            feasibility::expected_wait(node, || latencies.of(node), ignores_failures)
        });
        feasibility::is_infeasible(waits.min(), self.state.now, query.times.objective_at)
    }

    fn pressure_for(&self, query: &Query) -> f64 {
        self.state.pressure.for_query(self.state.now, query.within_quota)
    }

    /// Records whether the cutoff is active for a query, and logs a change.
    pub(super) fn record_cutoff(&mut self, query: &Query) {
        let pressure = self.pressure_for(query);
        let is_active = cutoff::is_active(pressure);
        if std::mem::replace(&mut self.state.is_cutoff_active, is_active) != is_active {
            let event = match is_active {
                true => LogEvent::CutoffActivated { pressure },
                false => LogEvent::CutoffDeactivated { pressure },
            };
            self.state.effects.push(Effect::Log(event));
        }
    }
}
