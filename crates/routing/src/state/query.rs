//! State of a query and its shard requests.

use super::attempt::{Attempt, AttemptId, Execution};
use crate::effective_config::{ClassPolicy, EffectiveConfig};
use crate::ids::{AttemptNumber, ClassId, GroupId, NodeId, QueryId, ShardId, ShardRequestId};
use crate::inputs::{NewQuery, NewShardRequest};
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;
use std::sync::Arc;

/// State of a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardRequestState {
    /// The shard request has not been sent and is not queued.
    Unsent,
    /// The shard request is sent in this turn, or waits until a node may receive it or a retry is allowed.
    Queued,
    InFlight,
    /// The response has been received.
    Received,
    Failed,
}

/// Part of a query that reads one shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardRequest {
    pub(crate) id: ShardRequestId,
    /// Request class of the query.
    pub(crate) class: ClassId,
    pub(crate) shard: ShardId,
    /// Fraction of the query's value, from 0 to 1.
    pub(crate) weight: f64,
    pub(crate) state: ShardRequestState,
    /// Whether a response has started to arrive. The response of no other attempt is accepted from then on.
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

    /// Returns the number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }

    /// Returns whether any attempt has left the broker or may still leave it.
    pub(crate) fn was_attempted(&self) -> bool {
        self.attempts_made() > 0
    }

    /// Returns the number of attempts that have left the broker or may still leave it.
    pub(crate) fn attempts_made(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution != Execution::Unsent).count()
    }

    /// Returns whether an attempt at `node` is in flight.
    pub(crate) fn is_in_flight_at(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node && attempt.execution == Execution::InFlight)
    }

    /// Returns whether `attempt` is in flight and no response to the shard request has started to arrive.
    pub(crate) fn awaits(&self, attempt: AttemptNumber) -> bool {
        let attempt = self.attempts.get(usize::from(attempt.0));
        let is_in_flight = attempt.is_some_and(|attempt| attempt.execution == Execution::InFlight);
        self.state == ShardRequestState::InFlight && !self.response_started && is_in_flight
    }

    /// Returns the send time of the first attempt that may have been executed. Includes the attempts in flight if
    /// `with_in_flight` is set.
    pub(crate) fn earliest_execution(&self, with_in_flight: bool) -> Option<Timestamp> {
        let may_execute = self.attempts.iter().filter(|attempt| match attempt.execution {
            Execution::MaybeExecuted => true,
            Execution::InFlight => with_in_flight,
            Execution::NotExecuted | Execution::Unsent => false,
        });
        may_execute.map(|attempt| attempt.sent_at).min()
    }

    /// Records whether an attempt has been executed.
    pub(crate) fn set_execution(&mut self, attempt: AttemptNumber, execution: Execution) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(attempt.0)) {
            attempt.execution = execution;
        }
    }

    /// Returns whether any attempt was sent to `node`.
    pub(crate) fn has_tried(&self, node: NodeId) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }
}

/// State of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryState {
    /// The query has been accepted and nothing has been sent.
    Pending,
    /// The query has shard requests in flight or queued.
    InFlight,
    /// The latency objective has passed and no further shard requests are sent.
    PastObjective,
    /// A response has been sent.
    Responded,
    /// The query waits for the shard requests of its second phase.
    BetweenPhases,
    Finished,
}

/// Event that may change the state of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryEvent {
    /// The shard requests have arrived, a load report has arrived, or a waiting period has ended.
    Reevaluate,
    ResponseReceived,
    ShardRequestFailed,
    ObjectiveNear,
    DeadlineNear,
    ResponseSent,
    ClientLeft,
}

/// Class and shards of a query, which is all that routing knows about its contents. Queries with different texts
/// for the same shards have the same signature.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuerySignature {
    class: ClassId,
    shards: BTreeSet<ShardId>,
}

/// Latency objective and deadline of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryTimes {
    /// Latency objective of the class, extended by the stated work and capped at the deadline and at the time for
    /// which the client waits.
    pub(crate) latency_objective: TimeSpan,
    /// Time at which a response must leave the broker to be on time.
    pub(crate) objective_at: Timestamp,
    /// Time at which a response must leave the broker to reach the client before the client stops waiting. It does
    /// not depend on the deadline of the class.
    pub(crate) deadline_at: Timestamp,
}

/// Query with its shard requests, which are ordered by rank.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) id: QueryId,
    pub(crate) group: GroupId,
    pub(crate) class: ClassId,
    /// Configuration under which the query was accepted. It applies until the query ends.
    pub(crate) config: Arc<EffectiveConfig>,
    pub(crate) policy: Arc<ClassPolicy>,
    /// Whether the tenant was within its quota when the query was accepted.
    pub(crate) within_quota: bool,
    pub(crate) state: QueryState,
    pub(crate) times: QueryTimes,
    pub(crate) in_second_phase: bool,
    /// Whether the response of the first phase was complete.
    pub(crate) first_phase_complete: bool,
    /// Nodes that dropped the connection during an attempt of this query.
    pub(crate) lost_nodes: BTreeSet<NodeId>,
    /// Whether the other shard requests wait for the result of the canary request.
    pub(crate) canary_in_flight: bool,
    /// Whether to send only the shard requests that the minimum coverage needs.
    pub(crate) min_coverage_only: bool,
    /// Time at which the replicas were probed for their load, or `None` if they were not.
    pub(crate) probed_at: Option<Timestamp>,
    pub(crate) shard_requests: Vec<ShardRequest>,
}

impl Query {
    /// Creates an accepted query without shard requests.
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

    /// Returns the total weight of the shard requests in any of `states`.
    pub(crate) fn weight_in(&self, states: &[ShardRequestState]) -> f64 {
        self.shard_requests.iter().filter(|s| states.contains(&s.state)).map(|s| s.weight).sum()
    }

    /// Returns the attempts in flight that may be cancelled. Attempts of a shard request whose response has started
    /// to arrive are excluded.
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

    /// Returns whether no attempt has been executed and none may still be.
    pub(crate) fn was_never_executed(&self) -> bool {
        let mut attempts = self.shard_requests.iter().flat_map(|shard_request| &shard_request.attempts);
        attempts.all(|attempt| matches!(attempt.execution, Execution::NotExecuted | Execution::Unsent))
    }

    pub(crate) fn has_next_phase(&self) -> bool {
        self.policy.has_second_phase && !self.in_second_phase
    }

    /// Returns whether the class accepts responses that are not complete.
    pub(crate) fn allows_partial(&self) -> bool {
        self.policy.min_coverage < self.policy.complete_coverage
    }
}
