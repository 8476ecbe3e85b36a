//! Bookkeeping of queries and shard requests.

use super::attempt::{Attempt, AttemptId, ConnectionAfterIdle, Execution, InFlightAttempt};
use super::broker::{BrokerState, Retry, ScheduledTimer, ShardRequestPlace, Timer};
use super::query::{Query, QueryState, ShardRequest, ShardRequestState};
use crate::effects::Effect;
use crate::ids::{AttemptNumber, NodeId, QueryId, ShardRequestId};
use crate::inputs::NewShardRequest;

/// An attempt as it is decided on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewAttempt {
    pub(crate) node: NodeId,
    pub(crate) after_idle: Option<ConnectionAfterIdle>,
    /// The node is warming up.
    pub(crate) is_warming_up: bool,
    pub(crate) max_batch_size: u32,
    /// What is in flight uses much of the concurrency limit.
    pub(crate) limit_was_used: bool,
}

impl<const SLICES: usize> BrokerState<SLICES> {
    /// Enters a query that was just accepted.
    pub(crate) fn add_query(&mut self, query: Query) {
        self.accepted_at.push_back(self.now);
        self.groups.insert(query.group, query.id);
        self.updated_queries.insert(query.id);
        self.schedule(query.times.objective_at, Timer::Objective(query.id));
        self.schedule(query.times.deadline_at, Timer::Deadline(query.id));
        self.put_query(query);
    }

    /// Puts a query back that was taken out to be changed.
    pub(crate) fn put_query(&mut self, query: Query) {
        if query.state != QueryState::Pending {
            self.admission_queue.remove(&query.id);
            self.awaiting_load.remove(&query.id);
        }
        self.queries.insert(query.id, query);
    }

    /// Takes the query of a shard request out, to be put back; with the shard request's index in it.
    pub(crate) fn take_query_of(&mut self, shard_request: ShardRequestId) -> Option<(Query, usize)> {
        let place = *self.shard_requests.get(&shard_request)?;
        let query = self.queries.get(&place.query)?;
        // Guards against an id that was used again: its query may have been replaced by another.
        query.shard_requests.get(place.index).filter(|found| found.id == shard_request)?;
        Some((self.queries.remove(&place.query)?, place.index))
    }

    /// Forgets a finished query; what it has in flight is cancelled, where that is allowed.
    pub(crate) fn remove_query(&mut self, query: &Query, allow_cancel: bool) {
        self.cancel_attempts(query, allow_cancel);
        for shard_request in &query.shard_requests {
            self.shard_requests.remove(&shard_request.id);
        }
        self.groups.remove(&query.group);
        self.admission_queue.remove(&query.id);
        self.awaiting_load.remove(&query.id);
        let objective = ScheduledTimer { at: query.times.objective_at, timer: Timer::Objective(query.id) };
        let deadline = ScheduledTimer { at: query.times.deadline_at, timer: Timer::Deadline(query.id) };
        self.timers.remove(&objective);
        self.timers.remove(&deadline);
    }

    /// Forgets a first phase's shard requests; what is in flight is cancelled, where that is allowed.
    pub(crate) fn remove_first_phase(&mut self, query: &mut Query, allow_cancel: bool) {
        self.cancel_attempts(query, allow_cancel);
        query.lost_nodes.clear();
        for shard_request in query.shard_requests.drain(..) {
            self.shard_requests.remove(&shard_request.id);
        }
    }

    fn cancel_attempts(&mut self, query: &Query, allow_cancel: bool) {
        let cancellable = query.shard_requests.iter().filter(|s| allow_cancel && !s.response_started);
        for shard_request in cancellable {
            for (number, attempt) in shard_request.attempts.iter().enumerate() {
                if attempt.execution == Execution::InFlight {
                    let attempt = AttemptNumber(number as u16);
                    self.effects.push(Effect::Cancel { shard_request: shard_request.id, attempt });
                }
            }
        }
    }

    /// Adds a shard request to the query of its group.
    pub(crate) fn add_shard_request(&mut self, new: &NewShardRequest) {
        self.accepted_at.push_back(self.now);
        let Some(id) = self.groups.get(&new.group) else { return };
        let Some(query) = self.queries.get_mut(id) else { return };
        self.updated_queries.insert(*id);
        query.shard_requests.push(ShardRequest::new(new, query.class));
    }

    /// Puts a query's shard requests in the order of their ranks: by weight, then by id.
    pub(crate) fn rank_shard_requests(&mut self, id: QueryId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.shard_requests.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        for (index, shard_request) in query.shard_requests.iter().enumerate() {
            self.shard_requests.insert(shard_request.id, ShardRequestPlace { query: id, index });
        }
    }

    /// Queues a shard request to be sent this turn.
    pub(crate) fn queue(&mut self, shard_request: &mut ShardRequest) {
        shard_request.state = ShardRequestState::Queued;
        self.requested_at.push_back(self.now);
        self.to_send.push(shard_request.id);
    }

    /// Enters an attempt that is sent this turn, in its node's batch.
    pub(crate) fn record_attempt(&mut self, query: &mut Query, index: usize, new: NewAttempt) -> AttemptId {
        let NewAttempt { node, after_idle, max_batch_size, .. } = new;
        let warming_up = new.is_warming_up.then_some(query.class);
        let batch = self.join_batch(node, max_batch_size, warming_up, after_idle);
        let shard_request = &mut query.shard_requests[index];
        let number = AttemptNumber(shard_request.attempts.len() as u16);
        let attempt = AttemptId { shard_request: shard_request.id, number };
        if shard_request.was_attempted() {
            self.retries.push_back(Retry { sent_at: self.now, attempt });
        }
        shard_request.state = ShardRequestState::InFlight;
        shard_request.attempts.push(Attempt { node, sent_at: self.now, execution: Execution::InFlight });
        let in_flight = InFlightAttempt {
            node,
            batch,
            within_quota: query.within_quota,
            class: query.class,
            latency_objective: query.policy.latency_objective,
            in_flight_at_send: self.in_flight_this_turn,
            limit_was_used: new.limit_was_used,
            after_idle,
            counted_unresponsive: false,
        };
        self.in_flight.insert(attempt, in_flight);
        attempt
    }

    /// A response has begun to arrive: the shard request is bound to that attempt.
    pub(crate) fn mark_response_started(&mut self, shard_request: ShardRequestId) {
        let Some(place) = self.shard_requests.get(&shard_request) else { return };
        let query = self.queries.get_mut(&place.query);
        if let Some(found) = query.and_then(|query| query.shard_requests.get_mut(place.index)) {
            found.response_started = true;
        }
    }
}
