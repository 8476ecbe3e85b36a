//! Clients of a simulation: they send queries, retry, and leave.

use crate::run_results::QueryOrigin;
use crate::simulation::Simulation;
use crate::simulation::deployment::TURN_PERIOD;
use crate::simulation::event::Event;
use crate::simulation::runner::{ClientRequest, Query, ShardRequest};
use cluster_trace::plan::PlannedShardRequest;
use routing::{
    ClassId, GroupId, Input, NewQuery, NewShardRequest, QueryId, ShardId, ShardRequestId, TenantId, TimeSpan,
};

/// The share of its time after which an impatient client leaves.
const IMPATIENT_TIME_SHARE: f64 = 0.5;
/// A backoff is doubled so often at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Simulation {
    pub(super) fn send_query(
        &mut self,
        class: usize,
        tenant: usize,
        shard_requests: Vec<PlannedShardRequest>,
    ) {
        let origin = QueryOrigin { class, tenant, sent_at: self.now };
        self.results.record_query(origin);
        let until = self.now + self.deadlines[class];
        let is_query_of_death = self.injector.draws_query_of_death();
        let client_attempts = 0;
        self.requests.push(ClientRequest {
            origin,
            until,
            shard_requests,
            client_attempts,
            is_query_of_death,
        });
        self.send_request(self.requests.len() - 1);
    }

    /// Sends a query for a request, for the first time or again.
    pub(super) fn send_request(&mut self, request: usize) {
        let index = self.queries.len();
        let broker = self.injector.pick_broker(index, self.brokers.len());
        let ClientRequest { origin, until, ref shard_requests, ref mut client_attempts, .. } =
            self.requests[request];
        let (shard_requests, time_left) = (shard_requests.clone(), until - self.now);
        let client_attempt = *client_attempts;
        *client_attempts += 1;
        let weights: Vec<f64> = shard_requests.iter().map(|planned| planned.weight).collect();
        let first = self.invariants.query_sent(self.now, broker, origin.class, time_left, &weights).0;
        let (id, group) = (QueryId(index as u64), GroupId(index as u32));
        self.notify_broker(
            broker,
            Input::Query(NewQuery {
                id,
                group,
                class: ClassId(origin.class as u16),
                tenant: TenantId(origin.tenant as u32),
                time_left,
                work: TimeSpan::ZERO,
                client_attempt,
                min_coverage_only: false,
            }),
        );
        for (number, planned) in (first..).zip(&shard_requests) {
            let (work_us, attempts) = (planned.work_us, Vec::new());
            self.shard_requests.push(ShardRequest { work_us, attempts, has_response: false });
            let (id, shard) = (ShardRequestId(number as u64), ShardId(planned.shard));
            let weight = planned.weight;
            self.notify_broker(broker, Input::ShardRequest(NewShardRequest { id, group, shard, weight }));
        }
        let shard_requests = first..first + shard_requests.len();
        self.queries.push(Query { broker, request, shard_requests, is_open: true });
        self.results.client_attempts += 1;
        let impatient_share = self.client_behavior.impatient_share;
        if impatient_share > 0.0 && self.injector.random() < impatient_share {
            let leaves_at = self.now + time_left.mul_f64(IMPATIENT_TIME_SHARE);
            self.schedule(leaves_at, Event::ClientLeaves(index));
        }
    }

    pub(super) fn leave_query(&mut self, index: usize) {
        let Some(query) = self.queries.get_mut(index).filter(|query| query.is_open) else { return };
        query.is_open = false;
        let broker = query.broker;
        self.invariants.release_query(self.now, index);
        self.results.abandoned += 1;
        self.notify_broker(broker, Input::ClientLeft(QueryId(index as u64)));
    }

    /// A query was rejected: its client retries it as long as it may, or gives up.
    pub(super) fn handle_rejection(&mut self, request: usize, retry_after: TimeSpan) {
        if !self.schedule_retry(request, retry_after) {
            self.results.record_rejection(self.now, self.requests[request].origin);
        }
    }

    /// A query failed, or its broker was restarted: its client retries it as long as it may, or gives up.
    pub(super) fn handle_failure(&mut self, request: usize) {
        if !self.schedule_retry(request, TimeSpan::ZERO) {
            self.results.record_failure(self.now);
        }
    }

    /// Whether the client retries.
    fn schedule_retry(&mut self, request: usize, retry_after: TimeSpan) -> bool {
        let ClientRequest { until, client_attempts, .. } = self.requests[request];
        if client_attempts > self.client_behavior.retries {
            return false;
        }
        let doublings = (client_attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = self.client_behavior.backoff_ms * f64::from(1_u32 << doublings);
        let mut wait = TimeSpan::from_ms(backoff_ms * (1.0 + self.injector.random()));
        if self.injector.random() < self.client_behavior.retry_after_share {
            wait = wait.max(retry_after);
        }
        let has_time = self.now + wait + TURN_PERIOD < until;
        if has_time {
            self.schedule(self.now + wait.max(TimeSpan(1)), Event::ClientRetries(request));
        }
        has_time
    }
}
