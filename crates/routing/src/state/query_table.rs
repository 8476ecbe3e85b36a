//! Open queries with their shard requests, and the attempts in flight.

use super::attempt::{Attempt, AttemptId, Execution, InFlightAttempt};
use super::query::{Query, QueryState, ShardRequest, ShardRequestState};
use crate::ids::{AttemptNumber, GroupId, QueryId, ShardRequestId};
use crate::inputs::NewShardRequest;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Where a shard request is found.
#[derive(Clone, Copy, Debug)]
struct ShardRequestPlace {
    query: QueryId,
    /// In the query's list.
    index: usize,
}

/// The queries by id, and what is looked up beside them.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    queries: BTreeMap<QueryId, Query>,
    by_group: BTreeMap<GroupId, QueryId>,
    shard_requests: BTreeMap<ShardRequestId, ShardRequestPlace>,
    /// Attempts in flight; one may outlive its query.
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Queries that got shard requests, or news that they wait for, in this turn.
    pub(crate) updated: BTreeSet<QueryId>,
    /// Queries that wait for capacity under the concurrency limit.
    pub(crate) admission_queue: BTreeSet<QueryId>,
    /// Queries that wait for load reports of their replicas.
    pub(crate) awaiting_load: BTreeSet<QueryId>,
    /// Shard requests to be sent this turn, in order.
    pub(crate) to_send: Vec<ShardRequestId>,
}

impl QueryTable {
    /// Adds a query that was just accepted.
    pub(crate) fn add(&mut self, query: Query) {
        self.by_group.insert(query.group, query.id);
        self.updated.insert(query.id);
        self.put(query);
    }

    /// Takes a query out to change it; it is put back with [`QueryTable::put`].
    pub(crate) fn take(&mut self, id: QueryId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Takes the query of a shard request out, with the shard request's index in it.
    ///
    /// Front ends may use an id again before the first use has ended. A place can then point into another
    /// query, where the index holds another shard request or none: such a place is not followed.
    pub(crate) fn take_by_shard_request(&mut self, shard_request: ShardRequestId) -> Option<(Query, usize)> {
        let place = *self.shard_requests.get(&shard_request)?;
        let query = self.queries.get(&place.query)?;
        query.shard_requests.get(place.index).filter(|found| found.id == shard_request)?;
        Some((self.queries.remove(&place.query)?, place.index))
    }

    /// Puts a query back that was taken out to be changed.
    pub(crate) fn put(&mut self, query: Query) {
        if query.state != QueryState::Pending {
            self.admission_queue.remove(&query.id);
            self.awaiting_load.remove(&query.id);
        }
        self.queries.insert(query.id, query);
    }

    /// Forgets a finished query that was taken out.
    pub(crate) fn forget(&mut self, query: &Query) {
        for shard_request in &query.shard_requests {
            self.shard_requests.remove(&shard_request.id);
        }
        self.by_group.remove(&query.group);
        self.admission_queue.remove(&query.id);
        self.awaiting_load.remove(&query.id);
    }

    /// Forgets the shard requests of a query's first phase.
    pub(crate) fn forget_first_phase(&mut self, query: &mut Query) {
        query.lost_nodes.clear();
        for shard_request in query.shard_requests.drain(..) {
            self.shard_requests.remove(&shard_request.id);
        }
    }

    /// Adds a shard request to the query of its group.
    pub(crate) fn add_shard_request(&mut self, new: &NewShardRequest) {
        let Some(id) = self.by_group.get(&new.group) else { return };
        let Some(query) = self.queries.get_mut(id) else { return };
        self.updated.insert(*id);
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
        self.to_send.push(shard_request.id);
    }

    /// Enters an attempt that is sent this turn.
    pub(crate) fn record_attempt(
        &mut self,
        now: Timestamp,
        shard_request: &mut ShardRequest,
        attempt: InFlightAttempt,
    ) -> AttemptId {
        let number = AttemptNumber(shard_request.attempts.len() as u16);
        let id = AttemptId { shard_request: shard_request.id, number };
        shard_request.state = ShardRequestState::InFlight;
        let new = Attempt { node: attempt.node, sent_at: now, execution: Execution::InFlight };
        shard_request.attempts.push(new);
        self.in_flight.insert(id, attempt);
        id
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
