//! The open queries and their shard requests, within bounds on their number and on the memory that they hold.

use super::memory_budget::MemoryBudget;
use super::open_query::{OpenQuery, OpenShardRequest};
use super::{QueryOutcome, QueryRequest, ShardResponse, SubmitError};
use crate::config_epoch::ConfigEpoch;
use crate::node_pool::AttemptId;
use bytes::Bytes;
use routing::{AttemptNumber, QueryId, ShardId, ShardRequestId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The times of a query that is about to be opened.
pub(super) struct QueryTimes {
    /// When its latency objective is over.
    pub(super) objective_at: Timestamp,
    /// When its client stops waiting.
    pub(super) deadline: Timestamp,
}

/// A query that was opened, as its front end knows it.
pub(super) struct OpenedQuery {
    /// Its id.
    pub(super) id: QueryId,
    /// The ids of its shard requests, in the order of the request.
    pub(super) shard_requests: Vec<ShardRequestId>,
    /// Where its outcome comes.
    pub(super) outcome: oneshot::Receiver<QueryOutcome>,
}

/// A query that was removed, with the responses that came.
pub(super) struct RemovedQuery {
    /// The query.
    pub(super) query: OpenQuery,
    /// All attempts of its shard requests, also those that have ended.
    pub(super) attempts: Vec<AttemptId>,
    /// The responses, in the order of the shard requests.
    pub(super) responses: Vec<ShardResponse>,
}

/// A further attempt of a shard request, with what its frame carries.
pub(super) struct NextAttempt {
    /// The attempt.
    pub(super) id: AttemptId,
    /// The shard that it reads.
    pub(super) shard: ShardId,
    /// The shard request's id on the wire.
    pub(super) wire_id: Bytes,
    /// What is asked of the shard.
    pub(super) text: Bytes,
}

/// The open queries, within bounds on their number and on the memory that they hold.
pub(super) struct QueryTable {
    queries: HashMap<QueryId, OpenQuery>,
    shard_requests: HashMap<ShardRequestId, OpenShardRequest>,
    /// The ids of the open queries on the wire.
    wire_ids: HashSet<Bytes>,
    /// The id of a query or shard request that was given last.
    last_id: u64,
    /// Open shard requests without a response.
    unanswered_shard_requests: usize,
    /// The memory that queries, responses and reservations hold.
    memory: MemoryBudget,
    /// `false` once the broker shuts down.
    accepts_queries: bool,
}

impl QueryTable {
    /// `max_held_bytes`: the bound on the bytes of queries, responses and reservations together.
    pub(super) fn new(max_held_bytes: usize) -> QueryTable {
        QueryTable {
            queries: HashMap::new(),
            shard_requests: HashMap::new(),
            wire_ids: HashSet::new(),
            last_id: 0,
            unanswered_shard_requests: 0,
            memory: MemoryBudget::new(max_held_bytes),
            accepts_queries: true,
        }
    }

    /// The number of open queries.
    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Opens no query from now on. Returns the ids of those that are open.
    pub(super) fn stop_accepting(&mut self) -> Vec<QueryId> {
        self.accepts_queries = false;
        self.queries.keys().copied().collect()
    }

    /// Whether a query may be opened. `max_open`: the bound on queries and shard requests together.
    pub(super) fn has_capacity_for(&self, request: &QueryRequest, max_open: usize) -> bool {
        // A shard request that has its response does not count, though its query is open: else wide queries that are
        // all but answered would keep others out, seen as 503 with few shard requests in flight.
        let open = self.queries.len() + self.unanswered_shard_requests;
        self.accepts_queries
            && open + request.shard_requests.len() < max_open
            && self.memory.has_room_for(held_bytes(request))
    }

    /// Opens a query, for which there must be capacity.
    ///
    /// # Errors
    ///
    /// A query of the same wire id is open.
    pub(super) fn open(
        &mut self,
        request: &QueryRequest,
        epoch: Rc<ConfigEpoch>,
        times: QueryTimes,
    ) -> Result<OpenedQuery, SubmitError> {
        if !self.wire_ids.insert(request.id.clone()) {
            return Err(SubmitError::DuplicateId);
        }
        let held_bytes = held_bytes(request);
        self.memory.reserve(held_bytes);
        let id = QueryId(self.next_id());
        let shard_requests = self.open_shard_requests(id, request);
        let (sender, outcome) = oneshot::channel();
        let query = OpenQuery {
            wire_id: request.id.clone(),
            epoch,
            objective_at: times.objective_at,
            has_lost_node: false,
            deadline: times.deadline,
            shard_requests: shard_requests.clone(),
            text: request.text.clone(),
            held_bytes,
            outcome: sender,
        };
        self.queries.insert(id, query);
        Ok(OpenedQuery { id, shard_requests, outcome })
    }

    /// Opens the shard requests of a query; their wire ids are the query's with the shard's number.
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

    /// Queries and shard requests draw their ids from one sequence.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Removes a query and its shard requests, and releases what they held. `None`: it has ended before.
    pub(super) fn remove(&mut self, id: QueryId) -> Option<RemovedQuery> {
        let query = self.queries.remove(&id)?;
        let mut attempts = Vec::new();
        let mut responses = Vec::with_capacity(query.shard_requests.len());
        for shard_request_id in &query.shard_requests {
            let Some(shard_request) = self.shard_requests.remove(shard_request_id) else { continue };
            let numbers = (0..shard_request.attempts).map(AttemptNumber);
            attempts.extend(numbers.map(|number| AttemptId { shard_request: *shard_request_id, number }));
            match shard_request.response {
                Some(response) => {
                    self.memory.release(response.len());
                    responses.push(ShardResponse { shard: shard_request.shard, value: response });
                }
                None => self.unanswered_shard_requests -= 1,
            }
        }
        self.memory.release(query.held_bytes);
        self.wire_ids.remove(&query.wire_id);
        Some(RemovedQuery { query, attempts, responses })
    }

    /// Whether a shard request's query is still open.
    pub(super) fn is_open(&self, shard_request: ShardRequestId) -> bool {
        self.shard_requests.contains_key(&shard_request)
    }

    /// When the client of an open query stops waiting.
    pub(super) fn deadline(&self, id: QueryId) -> Option<Timestamp> {
        self.queries.get(&id).map(|query| query.deadline)
    }

    /// Counts a further attempt of a shard request. `None`: its query has ended.
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

    /// Notes that an attempt of a shard request found its node down, or lost its connection.
    pub(super) fn note_lost_node(&mut self, shard_request: ShardRequestId) {
        let query = self.shard_requests.get(&shard_request).map(|shard_request| shard_request.query);
        if let Some(query) = query.and_then(|id| self.queries.get_mut(&id)) {
            query.has_lost_node = true;
        }
    }

    /// Keeps the first response of a shard request, if its query is still open. `false`: the memory bound is
    /// reached.
    pub(super) fn keep_response(&mut self, id: ShardRequestId, response: &Bytes) -> bool {
        let Some(shard_request) = self.shard_requests.get_mut(&id) else { return true };
        if shard_request.response.is_some() {
            return true;
        }
        if !self.memory.try_reserve(response.len()) {
            return false;
        }
        // Copied, so that the connection's whole buffer is not retained for a few bytes of it.
        shard_request.response = Some(Bytes::copy_from_slice(response));
        self.unanswered_shard_requests -= 1;
        true
    }

    /// Counts bytes as held, until they are released. `false`: the memory bound is reached.
    pub(super) fn reserve_bytes(&mut self, bytes: usize) -> bool {
        self.memory.try_reserve(bytes)
    }

    /// Releases bytes that were reserved.
    pub(super) fn release_bytes(&mut self, bytes: usize) {
        self.memory.release(bytes);
    }

    /// The ids of all open shard requests, in no order.
    #[cfg(test)]
    pub(super) fn shard_request_ids(&self) -> Vec<ShardRequestId> {
        self.shard_requests.keys().copied().collect()
    }
}

/// The bytes that a query holds: its id, that of each shard request, and what its text retains.
fn held_bytes(request: &QueryRequest) -> usize {
    request.id.len() * (request.shard_requests.len() + 1) + request.retained_bytes
}
