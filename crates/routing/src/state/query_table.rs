//! Table of open queries with their shard requests, and of attempts in flight.

use super::attempt::{Attempt, AttemptId, Execution, InFlightAttempt};
use super::query::{Query, QueryState, ShardRequest, ShardRequestState};
use crate::ids::{AttemptNumber, GroupId, QueryId, ShardRequestId};
use crate::inputs::NewShardRequest;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Location of a shard request in the table.
#[derive(Clone, Copy, Debug)]
struct ShardRequestLocation {
    query: QueryId,
    /// Index in [`Query::shard_requests`].
    index: usize,
}

/// Table of open queries by id, with the indexes and queues that refer to them.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    queries: BTreeMap<QueryId, Query>,
    by_group: BTreeMap<GroupId, QueryId>,
    shard_requests: BTreeMap<ShardRequestId, ShardRequestLocation>,
    /// Attempts in flight. An attempt may outlive its query.
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Queries that received shard requests or load reports in the current call of `Broker::turn`.
    pub(crate) updated: BTreeSet<QueryId>,
    /// Queries that wait for the concurrency limit to allow them.
    pub(crate) admission_queue: BTreeSet<QueryId>,
    /// Queries that wait for load reports of their replicas.
    pub(crate) awaiting_load: BTreeSet<QueryId>,
    /// Shard requests to send in the current call of `Broker::turn`, in order.
    pub(crate) to_send: Vec<ShardRequestId>,
}

impl QueryTable {
    /// Adds a newly accepted query.
    pub(crate) fn add(&mut self, query: Query) {
        self.by_group.insert(query.group, query.id);
        self.updated.insert(query.id);
        self.put(query);
    }

    /// Removes a query so that it can be changed. The caller puts it back with [`QueryTable::put`].
    pub(crate) fn take(&mut self, id: QueryId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Removes the query that contains a shard request so that it can be changed, and returns it with the index of
    /// the shard request in [`Query::shard_requests`]. Returns `None` if the shard request is not in the table. The
    /// caller puts the query back with [`QueryTable::put`].
    ///
    /// A front end may reuse an id while its first use is still open. The stored location can then refer to another
    /// query, at whose index there is a different shard request or none. Such a location also yields `None`.
    pub(crate) fn take_query_of(&mut self, shard_request: ShardRequestId) -> Option<(Query, usize)> {
        let location = *self.shard_requests.get(&shard_request)?;
        let query = self.queries.get(&location.query)?;
        query.shard_requests.get(location.index).filter(|found| found.id == shard_request)?;
        Some((self.queries.remove(&location.query)?, location.index))
    }

    /// Puts a query back into the table after a change. A query that is no longer pending leaves the queues of
    /// waiting queries.
    pub(crate) fn put(&mut self, query: Query) {
        if query.state != QueryState::Pending {
            self.admission_queue.remove(&query.id);
            self.awaiting_load.remove(&query.id);
        }
        self.queries.insert(query.id, query);
    }

    /// Removes the index entries of a finished query that was taken from the table.
    pub(crate) fn remove_index_entries(&mut self, query: &Query) {
        for shard_request in &query.shard_requests {
            self.shard_requests.remove(&shard_request.id);
        }
        self.by_group.remove(&query.group);
        self.admission_queue.remove(&query.id);
        self.awaiting_load.remove(&query.id);
    }

    /// Removes the shard requests of the first phase of a query.
    pub(crate) fn remove_first_phase(&mut self, query: &mut Query) {
        query.lost_nodes.clear();
        for shard_request in query.shard_requests.drain(..) {
            self.shard_requests.remove(&shard_request.id);
        }
    }

    /// Adds a shard request to the query with the same group. Ignores it if there is no such query.
    pub(crate) fn add_shard_request(&mut self, new: &NewShardRequest) {
        let Some(id) = self.by_group.get(&new.group) else { return };
        let Some(query) = self.queries.get_mut(id) else { return };
        self.updated.insert(*id);
        query.shard_requests.push(ShardRequest::new(new, query.class));
    }

    /// Sorts the shard requests of a query by rank: by descending weight, then by id.
    pub(crate) fn rank_shard_requests(&mut self, id: QueryId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.shard_requests.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        for (index, shard_request) in query.shard_requests.iter().enumerate() {
            self.shard_requests.insert(shard_request.id, ShardRequestLocation { query: id, index });
        }
    }

    /// Queues a shard request to be sent in the current call of `Broker::turn`.
    pub(crate) fn queue(&mut self, shard_request: &mut ShardRequest) {
        shard_request.state = ShardRequestState::Queued;
        self.to_send.push(shard_request.id);
    }

    /// Records an attempt that is sent in the current call of `Broker::turn`.
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

    /// Records that a response to a shard request has started to arrive. The response of no other attempt is
    /// accepted from then on.
    pub(crate) fn mark_response_started(&mut self, shard_request: ShardRequestId) {
        let Some(location) = self.shard_requests.get(&shard_request) else { return };
        let query = self.queries.get_mut(&location.query);
        if let Some(found) = query.and_then(|query| query.shard_requests.get_mut(location.index)) {
            found.response_started = true;
        }
    }
}
