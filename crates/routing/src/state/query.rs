//! State of one query and its shard requests.

use super::attempt::{Attempt, AttemptId, Execution};
use crate::effective_config::{ClassPolicy, EffectiveConfig};
use crate::ids::{AttemptNumber, ClassId, GroupId, NodeId, QueryId, ShardId, ShardRequestId};
use crate::inputs::{NewQuery, NewShardRequest};
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The state of a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardRequestState {
    /// Nothing was sent, or is meant to be.
    Unsent,
    /// To be sent this turn, or waiting for a node that may have it.
    Queued,
    InFlight,
    /// Its response is in.
    Received,
    Failed,
}

/// The part of a query that goes to one shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardRequest {
    pub(crate) id: ShardRequestId,
    /// Its query's.
    pub(crate) class: ClassId,
    pub(crate) shard: ShardId,
    /// Its share of the query's value.
    pub(crate) weight: f64,
    pub(crate) state: ShardRequestState,
    /// Its response has begun to arrive, so that it is bound to one attempt.
    pub(crate) response_started: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl ShardRequest {
    pub(crate) fn new(new: &NewShardRequest, class: ClassId) -> ShardRequest {
        ShardRequest {
            id: new.id,
            class,
            shard: new.shard,
            weight: new.weight,
            state: ShardRequestState::Unsent,
            response_started: false,
            attempts: Vec::new(),
        }
    }

    /// How many of its attempts are in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }

    /// Whether one of its attempts went out, or may still.
    pub(crate) fn was_attempted(&self) -> bool {
        self.attempts_made() > 0
    }

    /// How many of its attempts went out, or may still.
    pub(crate) fn attempts_made(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution != Execution::Unsent).count()
    }

    /// An attempt at this node is in flight.
    pub(crate) fn is_in_flight_at(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node && attempt.execution == Execution::InFlight)
    }

    /// Waits for this attempt, of whose response nothing has come.
    pub(crate) fn awaits(&self, attempt: AttemptNumber) -> bool {
        let attempt = self.attempts.get(usize::from(attempt.0));
        let is_in_flight = attempt.is_some_and(|attempt| attempt.execution == Execution::InFlight);
        self.state == ShardRequestState::InFlight && !self.response_started && is_in_flight
    }

    /// When the first attempt was sent that was executed, or may be; with those in flight, or without.
    pub(crate) fn earliest_execution(&self, with_in_flight: bool) -> Option<Timestamp> {
        let may_execute = self.attempts.iter().filter(|attempt| match attempt.execution {
            Execution::MaybeExecuted => true,
            Execution::InFlight => with_in_flight,
            Execution::NotExecuted | Execution::Unsent => false,
        });
        may_execute.map(|attempt| attempt.sent_at).min()
    }

    /// Notes what became of an attempt.
    pub(crate) fn set_execution(&mut self, attempt: AttemptNumber, execution: Execution) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(attempt.0)) {
            attempt.execution = execution;
        }
    }

    /// This node was tried.
    pub(crate) fn has_tried(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }
}

/// The state of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryState {
    /// Accepted, nothing sent.
    Pending,
    /// Shard requests are in flight or queued.
    InFlight,
    /// Past its latency objective: nothing more is sent.
    PastObjective,
    /// A response has been given.
    Responded,
    /// Waits for the shard requests of its second phase.
    BetweenPhases,
    Finished,
}

/// What moves a query on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryEvent {
    /// It is to be looked at: its shard requests are known, a load report came, or it has waited.
    Reevaluate,
    ResponseReceived,
    ShardRequestFailed,
    ObjectiveNear,
    DeadlineNear,
    ResponseSent,
    ClientLeft,
}

/// The class and the set of shards: all that routing knows of what a query asks. Two queries with different
/// texts for the same shards are the same query here.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuerySignature {
    class: ClassId,
    shards: BTreeSet<ShardId>,
}

/// The times of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryTimes {
    /// The latency objective of its class, stretched by the work that was told, at most the deadline and what
    /// the client waits.
    pub(crate) latency_objective: TimeSpan,
    /// When a response has to leave to be on time.
    pub(crate) objective_at: Timestamp,
    /// When a response has to leave to reach the client before it stops waiting; the class's deadline has no
    /// part in it.
    pub(crate) deadline_at: Timestamp,
}

/// A query and its shard requests, in the order of their ranks.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) id: QueryId,
    pub(crate) group: GroupId,
    pub(crate) class: ClassId,
    /// The configuration under which it was accepted, to its end.
    pub(crate) config: Arc<EffectiveConfig>,
    pub(crate) policy: Arc<ClassPolicy>,
    /// Its tenant was within its quota when it was accepted.
    pub(crate) within_quota: bool,
    pub(crate) state: QueryState,
    pub(crate) times: QueryTimes,
    pub(crate) in_second_phase: bool,
    /// The first phase's response was complete.
    pub(crate) first_phase_complete: bool,
    /// Nodes that dropped the connection under an attempt of it.
    pub(crate) lost_nodes: BTreeSet<NodeId>,
    /// Only its canary request is in flight, the others wait for that.
    pub(crate) canary_in_flight: bool,
    /// Only what its minimum coverage needs is sent.
    pub(crate) min_coverage_only: bool,
    /// When its replicas were probed for their load.
    pub(crate) probed_at: Option<Timestamp>,
    pub(crate) shard_requests: Vec<ShardRequest>,
}

impl Query {
    /// A query as it is accepted, before its shard requests are known.
    pub(crate) fn accept(
        new: &NewQuery,
        config: Arc<EffectiveConfig>,
        policy: Arc<ClassPolicy>,
        within_quota: bool,
        times: QueryTimes,
    ) -> Query {
        Query {
            id: new.id,
            group: new.group,
            class: new.class,
            config,
            policy,
            within_quota,
            state: QueryState::Pending,
            times,
            in_second_phase: false,
            first_phase_complete: false,
            lost_nodes: BTreeSet::new(),
            canary_in_flight: false,
            min_coverage_only: new.min_coverage_only,
            probed_at: None,
            shard_requests: Vec::new(),
        }
    }

    pub(crate) fn signature(&self) -> QuerySignature {
        let shards = self.shard_requests.iter().map(|shard_request| shard_request.shard).collect();
        QuerySignature { class: self.class, shards }
    }

    /// The weight of the shard requests in these states.
    pub(crate) fn weight_in(&self, states: &[ShardRequestState]) -> f64 {
        self.shard_requests.iter().filter(|s| states.contains(&s.state)).map(|s| s.weight).sum()
    }

    /// Its attempts in flight that can be cancelled: a shard request whose response has begun to arrive keeps
    /// its own.
    pub(crate) fn cancellable_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let cancellable = self.shard_requests.iter().filter(|s| !s.response_started);
        cancellable.flat_map(|shard_request| {
            let attempts = shard_request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
            in_flight.map(|(number, _)| AttemptId {
                shard_request: shard_request.id,
                number: AttemptNumber(number as u16),
            })
        })
    }

    /// None of its attempts was executed, or can still be.
    pub(crate) fn was_never_executed(&self) -> bool {
        let mut attempts = self.shard_requests.iter().flat_map(|shard_request| &shard_request.attempts);
        attempts.all(|attempt| matches!(attempt.execution, Execution::NotExecuted | Execution::Unsent))
    }

    pub(crate) fn has_next_phase(&self) -> bool {
        self.policy.has_second_phase && !self.in_second_phase
    }

    /// Its class takes responses that are not complete.
    pub(crate) fn allows_partial(&self) -> bool {
        self.policy.min_coverage < self.policy.complete_coverage
    }
}
