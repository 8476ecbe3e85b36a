//! The table of open queries and their shard requests, with limits on their number and memory.

use super::open_query::{OpenQuery, OpenShardRequest, StoredResponse};
use super::retained_ids::RetainedIds;
use super::{QueryOutcome, QueryRequest, ShardResponse, SubmitError};
use crate::config_epoch::ConfigEpoch;
use crate::json_length::json_string_length;
use crate::limits::{RequestLimits, to_time_span};
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::node_pool::{AttemptId, ReceivedValue};
use bytes::Bytes;
use routing::{AttemptNumber, AttemptOutcome, QueryId, ShardId, ShardRequestId, TimeSpan, Timestamp};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The points in time that are fixed when a query is opened.
pub(super) struct QueryTimes {
    /// The end of the latency objective. A later response counts as late.
    pub(super) objective_at: Timestamp,
    /// The time at which the client stops waiting.
    pub(super) deadline: Timestamp,
}

/// The result of opening a query.
pub(super) struct OpenedQuery {
    pub(super) id: QueryId,
    /// The ids of the shard requests, in the order of [`QueryRequest::shard_requests`].
    pub(super) shard_requests: Vec<ShardRequestId>,
    /// Receives the outcome of the query.
    pub(super) outcome: oneshot::Receiver<QueryOutcome>,
}

/// A query that was removed from the table, with the responses received so far.
pub(super) struct RemovedQuery {
    pub(super) query: OpenQuery,
    /// All attempts of the query's shard requests, including those that have ended.
    pub(super) attempts: Vec<AttemptId>,
    /// The responses, in the order of the shard requests.
    pub(super) responses: Vec<ShardResponse>,
    /// The memory of the responses.
    pub(super) responses_memory: Reservation,
}

/// A further attempt of a shard request, with the contents of its frame.
pub(super) struct NextAttempt {
    pub(super) id: AttemptId,
    pub(super) shard: ShardId,
    /// The shard request's id on the wire.
    pub(super) wire_id: Bytes,
    /// The query text that is sent to the node.
    pub(super) text: Bytes,
}

/// The open queries and their shard requests, with limits on their number and memory.
pub(super) struct QueryTable {
    queries: HashMap<QueryId, OpenQuery>,
    shard_requests: HashMap<ShardRequestId, OpenShardRequest>,
    /// The wire ids of the open queries.
    wire_ids: HashSet<Bytes>,
    /// The wire ids of ended queries that may not be used again yet.
    retained_ids: RetainedIds,
    /// The time for which a wire id is retained after its query's deadline.
    id_retention: TimeSpan,
    /// The id that was assigned last. Queries and shard requests share one sequence.
    last_id: u64,
    /// The number of open shard requests without a response.
    unanswered_shard_requests: usize,
    /// The memory that queries, clients and nodes share.
    memory: Rc<MemoryBudget>,
    /// Whether queries may be opened. `false` after [`QueryTable::stop_accepting`].
    accepts_queries: bool,
}

impl QueryTable {
    /// Creates an empty table, whose queries and responses reserve their bytes in `memory`.
    pub(super) fn new(memory: Rc<MemoryBudget>, limits: &RequestLimits) -> QueryTable {
        QueryTable {
            queries: HashMap::new(),
            shard_requests: HashMap::new(),
            wire_ids: HashSet::new(),
            retained_ids: RetainedIds::new(limits.max_retained_ids, &memory),
            id_retention: to_time_span(limits.id_retention),
            last_id: 0,
            unanswered_shard_requests: 0,
            memory,
            accepts_queries: true,
        }
    }

    /// Returns the number of open queries.
    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Stops accepting queries permanently and returns the ids of those that are open.
    pub(super) fn stop_accepting(&mut self) -> Vec<QueryId> {
        self.accepts_queries = false;
        self.queries.keys().copied().collect()
    }

    /// Returns whether a query may be opened. `max_open` limits the number of open queries and unanswered shard
    /// requests together.
    pub(super) fn has_capacity_for(&self, request: &QueryRequest, max_open: usize) -> bool {
        // Shard requests that have a response are not counted even while their query is open. Otherwise queries over
        // many shards that wait for their last responses would cause 503s with few shard requests in flight.
        let open = self.queries.len() + self.unanswered_shard_requests;
        self.accepts_queries
            && open + request.shard_requests.len() < max_open
            && self.memory.has_room_for(held_bytes(request))
    }

    /// Opens a query. The caller must have checked [`QueryTable::has_capacity_for`].
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::DuplicateId`] if a query with the same wire id is open, or its id is retained.
    pub(super) fn open(
        &mut self,
        request: &QueryRequest,
        epoch: Rc<ConfigEpoch>,
        times: QueryTimes,
        now: Timestamp,
    ) -> Result<OpenedQuery, SubmitError> {
        if self.retained_ids.contains(&request.id, now) || !self.wire_ids.insert(request.id.clone()) {
            return Err(SubmitError::DuplicateId);
        }
        let memory = self.memory.reserve(held_bytes(request));
        let id = QueryId(self.next_id());
        let shard_requests = self.open_shard_requests(id, request);
        let (sender, outcome) = oneshot::channel();
        let query = OpenQuery {
            wire_id: request.id.clone(),
            epoch,
            objective_at: times.objective_at,
            has_lost_node: false,
            may_have_executed: false,
            deadline: times.deadline,
            shard_requests: shard_requests.clone(),
            text: request.text.clone(),
            _memory: memory,
            outcome: sender,
        };
        self.queries.insert(id, query);
        Ok(OpenedQuery { id, shard_requests, outcome })
    }

    /// Opens the shard requests of a query. Each wire id is `QUERY_ID.SHARD`.
    fn open_shard_requests(&mut self, query: QueryId, request: &QueryRequest) -> Vec<ShardRequestId> {
        let mut ids = Vec::with_capacity(request.shard_requests.len());
        for requested in &request.shard_requests {
            let id = ShardRequestId(self.next_id());
            let shard = requested.shard;
            let wire_id = [&request.id[..], b".", shard.0.to_string().as_bytes()].concat().into();
            let shard_request = OpenShardRequest { query, shard, wire_id, attempts: 0, response: None };
            self.shard_requests.insert(id, shard_request);
            ids.push(id);
        }
        self.unanswered_shard_requests += ids.len();
        ids
    }

    /// Assigns the next id of the sequence that queries and shard requests share.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Removes a query and its shard requests and releases their memory. Returns `None` if the query has already
    /// ended.
    pub(super) fn remove(&mut self, id: QueryId) -> Option<RemovedQuery> {
        let query = self.queries.remove(&id)?;
        let mut attempts = Vec::new();
        let mut responses = Vec::with_capacity(query.shard_requests.len());
        let mut responses_memory = self.memory.reserve(0);
        for shard_request_id in &query.shard_requests {
            let Some(shard_request) = self.shard_requests.remove(shard_request_id) else { continue };
            let numbers = (0..shard_request.attempts).map(AttemptNumber);
            attempts.extend(numbers.map(|number| AttemptId { shard_request: *shard_request_id, number }));
            match shard_request.response {
                Some(StoredResponse { value, memory }) => {
                    responses_memory.merge(memory);
                    responses.push(ShardResponse { shard: shard_request.shard, value });
                }
                None => self.unanswered_shard_requests -= 1,
            }
        }
        self.wire_ids.remove(&query.wire_id);
        Some(RemovedQuery { query, attempts, responses, responses_memory })
    }

    /// Retains the wire id of a removed query, so that no other query can be opened under it.
    pub(super) fn retain_id(&mut self, query: &OpenQuery, now: Timestamp) {
        self.retained_ids.insert(&query.wire_id, query.deadline.max(now) + self.id_retention);
    }

    /// Returns whether the query of a shard request is still open.
    pub(super) fn is_open(&self, shard_request: ShardRequestId) -> bool {
        self.shard_requests.contains_key(&shard_request)
    }

    /// Returns the time at which the client stops waiting, or `None` if the query has ended.
    pub(super) fn deadline(&self, id: QueryId) -> Option<Timestamp> {
        self.queries.get(&id).map(|query| query.deadline)
    }

    /// Assigns the next attempt number of a shard request. Returns `None` if its query has ended.
    pub(super) fn next_attempt(&mut self, id: ShardRequestId) -> Option<NextAttempt> {
        let shard_request = self.shard_requests.get_mut(&id)?;
        let text = self.queries.get(&shard_request.query)?.text.clone();
        let number = AttemptNumber(shard_request.attempts);
        shard_request.attempts += 1;
        let wire_id = shard_request.wire_id.clone();
        Some(NextAttempt {
            id: AttemptId { shard_request: id, number },
            shard: shard_request.shard,
            wire_id,
            text,
        })
    }

    /// Records the outcome of an attempt of a shard request in its query, if that is open.
    pub(super) fn record_outcome(&mut self, shard_request: ShardRequestId, outcome: AttemptOutcome) {
        let query = self.shard_requests.get(&shard_request).map(|shard_request| shard_request.query);
        if let Some(query) = query.and_then(|id| self.queries.get_mut(&id)) {
            query.record_outcome(outcome);
        }
    }

    /// Stores the first response to a shard request. Ignores later responses and those of queries that have ended.
    ///
    /// Returns `false` if storing the response would exceed the memory limit.
    pub(super) fn store_response(&mut self, id: ShardRequestId, response: ReceivedValue) -> bool {
        let Some(shard_request) = self.shard_requests.get_mut(&id) else { return true };
        if shard_request.response.is_some() {
            return true;
        }
        // The client receives the value in JSON, in which it may be longer.
        let needed_bytes = json_string_length(&response.bytes);
        let mut memory = response.memory.unwrap_or_else(|| self.memory.reserve(0));
        if !memory.try_grow(needed_bytes.saturating_sub(memory.bytes())) {
            return false;
        }
        memory.resize(needed_bytes);
        // A slice would keep the connection's entire read buffer allocated, so the response is copied.
        let value = Bytes::copy_from_slice(&response.bytes);
        shard_request.response = Some(StoredResponse { value, memory });
        self.unanswered_shard_requests -= 1;
        true
    }

    /// Returns the ids of all open shard requests, in arbitrary order.
    #[cfg(test)]
    pub(super) fn shard_request_ids(&self) -> Vec<ShardRequestId> {
        self.shard_requests.keys().copied().collect()
    }
}

/// Returns the memory accounted for a query: its id once for the query and once for each shard request, and the
/// buffer that its text keeps allocated.
fn held_bytes(request: &QueryRequest) -> usize {
    request.id.len() * (request.shard_requests.len() + 1) + request.retained_bytes
}
