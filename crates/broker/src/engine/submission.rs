//! The engine's interface for front ends: queries are accepted, abandoned and failed here.

use super::query_table::{OpenedQuery, QueryTimes, RemovedQuery};
use super::{AcceptedQuery, Engine, QueryOutcome, QueryRequest, RequestedShard, ReservedMemory, SubmitError};
use routing::{AttemptOutcome, GroupId, Input, NewQuery, NewShardRequest, QueryId, TimeSpan};
use std::rc::Rc;

impl Engine {
    /// Accepts a query. Dropping the handle before the outcome closes the query: its client has left.
    ///
    /// # Errors
    ///
    /// [`SubmitError::Overloaded`] at a bound on open queries, shard requests or memory, or once the broker shuts
    /// down; [`SubmitError::DuplicateId`] while a query of the same id is open.
    pub fn submit(self: &Rc<Self>, request: QueryRequest) -> Result<AcceptedQuery, SubmitError> {
        let epoch = self.epoch();
        let mut queries = self.queries.borrow_mut();
        if !queries.has_capacity_for(&request, epoch.max_open) {
            epoch.count(|counts| {
                counts.ended += 1;
                counts.not_accepted += 1;
            });
            return Err(SubmitError::Overloaded);
        }
        let objective_at = self.clock.now() + epoch.latency_objective(request.class, request.work);
        let times = QueryTimes { objective_at, deadline: self.clock.to_timestamp(request.deadline) };
        let opened = queries.open(&request, epoch, times)?;
        self.push_query_inputs(&request, &opened);
        Ok(AcceptedQuery { engine: self.clone(), id: opened.id, outcome: opened.outcome })
    }

    /// Queues the query and then its shard requests. Nothing is awaited in between, so they are in one turn.
    fn push_query_inputs(&self, request: &QueryRequest, opened: &OpenedQuery) {
        let group = GroupId(opened.id.0 as u32);
        let mut inputs = self.inputs.borrow_mut();
        inputs.push(Input::Query(NewQuery {
            id: opened.id,
            group,
            class: request.class,
            tenant: request.tenant,
            time_left: TimeSpan::ZERO, // filled in at the turn by `set_time_left`
            work: request.work,
            client_attempt: 0,
            min_coverage_only: false,
        }));
        for (&id, &RequestedShard { shard, weight }) in
            opened.shard_requests.iter().zip(&request.shard_requests)
        {
            inputs.push(Input::ShardRequest(NewShardRequest { id, group, shard, weight }));
        }
        self.work_ready.notify_one();
    }

    /// Removes a query; of its attempts, those of which nothing was written are not sent any more.
    pub(super) fn close(&self, id: QueryId) -> Option<RemovedQuery> {
        let removed = self.queries.borrow_mut().remove(id)?;
        for attempt in &removed.attempts {
            self.nodes.cancel_unwritten(*attempt, AttemptOutcome::NotSent);
        }
        Some(removed)
    }

    /// Closes a query whose client has left, if it is still open.
    pub(super) fn abandon(&self, id: QueryId) {
        if self.close(id).is_some() {
            self.push_input(Input::ClientLeft(id));
        }
    }

    /// Fails every open query and accepts no other, since the process ends. Returns how many were open.
    pub fn fail_open_queries(&self) -> usize {
        let open = self.queries.borrow_mut().stop_accepting();
        for id in &open {
            self.finish(*id, |_| QueryOutcome::Failed);
            self.push_input(Input::ClientLeft(*id));
        }
        open.len()
    }

    /// Counts bytes as held before their query is submitted. `None`: there is no room for them.
    pub fn reserve_memory(self: &Rc<Self>, bytes: usize) -> Option<ReservedMemory> {
        let is_reserved = self.queries.borrow_mut().reserve_bytes(bytes);
        is_reserved.then(|| ReservedMemory { engine: self.clone(), bytes })
    }

    /// Releases bytes that were reserved.
    pub(super) fn release_memory(&self, bytes: usize) {
        self.queries.borrow_mut().release_bytes(bytes);
    }
}
