//! Acceptance of new queries, shard requests and load reports.

use super::Broker;
use crate::config::Tenant;
use crate::effects::Effect;
use crate::inputs::{NewQuery, NewShardRequest, ProbeResult};
use crate::policy::load_probe;
use crate::policy::query_times::{Arrival, first_phase_ends_at};
use crate::state::{Query, Timer};

impl Broker {
    /// Accepts a query under the newest configuration. Fails a query whose class is not configured.
    pub(super) fn accept(&mut self, new: &NewQuery) {
        let now = self.state.now;
        let config = self.config.clone();
        let Some(policy) = config.classes.get(&new.class).cloned() else {
            self.state.effects.push(Effect::Fail { query: new.id });
            return;
        };
        let turn_period = config.broker.period;
        let arrival = Arrival { now, time_left: new.time_left, work: new.work, turn_period };
        let times = arrival.times(&policy);
        if policy.has_second_phase {
            let phase_ends_at = first_phase_ends_at(times.objective_at, policy.latency_objective);
            self.state.timers.schedule(phase_ends_at, Timer::FirstPhaseEnd(new.id));
        }
        self.state.timers.schedule(times.objective_at, Timer::Objective(new.id));
        self.state.timers.schedule(times.deadline_at, Timer::Deadline(new.id));
        self.state.retries.record_accepted(now);
        self.state.tenant_rates.record(new.tenant, now);
        let within_quota = self.is_within_quota(new);
        self.state.queries.add(Query::accept(new, config, policy, within_quota, times));
    }

    /// Returns whether the tenant of a query is within its quota. A tenant without a quota always is.
    fn is_within_quota(&self, new: &NewQuery) -> bool {
        let brokers = self.config.broker.brokers;
        let tenant: Option<&Tenant> = self.config.broker.tenants.get(&new.tenant);
        tenant.is_none_or(|tenant| {
            self.state.tenant_rates.is_within_quota(new.tenant, tenant.quota_per_s, brokers)
        })
    }

    /// Accepts a shard request of an open query.
    pub(super) fn accept_shard_request(&mut self, new: &NewShardRequest) {
        self.state.retries.record_accepted(self.state.now);
        self.state.queries.add_shard_request(new);
    }

    /// Records the result of a probe and marks the queries that wait for load reports for evaluation.
    pub(super) fn probe_ended(&mut self, result: &ProbeResult) {
        let report = load_probe::read_report(self.state.now, result);
        self.state.nodes.update(result.node, |node| {
            node.probe_sent_at = None;
            node.load = Some(report);
        });
        let queries = &mut self.state.queries;
        queries.updated.extend(&queries.awaiting_load);
    }
}
