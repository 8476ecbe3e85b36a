//! The engine's interface for front ends, which submit and abandon queries.

use super::query_table::{OpenedQuery, QueryTimes, RemovedQuery};
use super::{AcceptedQuery, Engine, QueryOutcome, QueryRequest, RequestedShard, SubmitError};
use routing::{AttemptOutcome, GroupId, Input, NewQuery, NewShardRequest, QueryId, TimeSpan};
use std::rc::Rc;

impl Engine {
    /// Accepts a query. The caller drops the returned handle to cancel the query when its client disconnects.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Overloaded`] if a limit on open queries, shard requests or memory is reached or the
    /// broker is shutting down, and [`SubmitError::DuplicateId`] if a query with the same id is open, or ended
    /// without a response and may have been executed.
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
        let now = self.clock.now();
        let objective_at = now + epoch.latency_objective(request.class, request.work);
        let times = QueryTimes { objective_at, deadline: self.clock.to_timestamp(request.deadline) };
        let opened = queries.open(&request, epoch, times, now)?;
        self.push_query_inputs(&request, &opened);
        Ok(AcceptedQuery { engine: self.clone(), id: opened.id, outcome: opened.outcome })
    }

    /// Queues the query followed by its shard requests. There is no await in between, so all are part of the same
    /// turn.
    fn push_query_inputs(&self, request: &QueryRequest, opened: &OpenedQuery) {
        let group = GroupId(opened.id.0 as u32);
        let mut inputs = self.inputs.borrow_mut();
        inputs.push(Input::Query(NewQuery {
            id: opened.id,
            group,
            class: request.class,
            tenant: request.tenant,
            time_left: TimeSpan::ZERO, // set by `set_time_left` when the turn starts
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

    /// Removes a query and drops those of its attempts of which no byte was written. Returns `None` if the query has
    /// already ended.
    pub(super) fn close(&self, id: QueryId) -> Option<RemovedQuery> {
        let removed = self.queries.borrow_mut().remove(id)?;
        for attempt in &removed.attempts {
            self.nodes.cancel_unwritten(*attempt, AttemptOutcome::NotSent);
        }
        Some(removed)
    }

    /// Closes a query whose client has disconnected. Has no effect if the query has already ended.
    pub(super) fn abandon(&self, id: QueryId) {
        if let Some(removed) = self.close(id) {
            self.retain_id_if_executed(&removed);
            self.push_input(Input::ClientLeft(id));
        }
    }

    /// Retains the wire id of a query that ended without a response and that a node may have executed or may execute
    /// yet.
    pub(super) fn retain_id_if_executed(&self, removed: &RemovedQuery) {
        let RemovedQuery { query, attempts, .. } = removed;
        if query.may_have_executed || attempts.iter().any(|attempt| self.nodes.may_be_executed(*attempt)) {
            self.queries.borrow_mut().retain_id(query, self.clock.now());
        }
    }

    /// Fails all open queries and rejects further ones, because the process is about to exit.
    ///
    /// Returns the number of queries that were open.
    pub fn fail_open_queries(&self) -> usize {
        let open = self.queries.borrow_mut().stop_accepting();
        for id in &open {
            self.finish(*id, |_, _| QueryOutcome::Failed);
            self.push_input(Input::ClientLeft(*id));
        }
        open.len()
    }
}
