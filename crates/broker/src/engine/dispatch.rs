//! Execution of the effects of a turn.
//!
//! Effects are executed in order, except that attempts are collected and sent last. Attempts to the same node can
//! then be batched, and those that were cancelled, or whose query ended, in the same turn are not sent.

use super::attempt_table::InFlightAttempt;
use super::batches::split_into_batches;
use super::query_table::NextAttempt;
use super::{Engine, QueryOutcome, ShardResponse};
use crate::codec::ShardRequestMessage;
use crate::memory_budget::Reservation;
use crate::node_pool::{AttemptId, AttemptToSend};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Effect, Input, LogEvent, NodeId, QueryId, ShardRequestId,
    TimeSpan, Timestamp,
};
use std::collections::BTreeMap;
use tracing::info;

/// The attempts that a turn of the event loop starts and cancels.
#[derive(Default)]
struct TurnAttempts {
    by_node: BTreeMap<NodeId, Vec<AttemptToSend>>,
    cancelled: Vec<AttemptId>,
}

impl Engine {
    /// Executes the effects of a turn of the event loop in order, then sends its attempts.
    pub(super) fn apply_effects(&self, now: Timestamp, effects: Vec<Effect>) {
        let mut attempts = TurnAttempts::default();
        for effect in effects {
            self.apply_effect(now, effect, &mut attempts);
        }
        self.send_attempts(attempts);
    }

    /// Executes one effect. Attempts to send are only added to `attempts`.
    fn apply_effect(&self, now: Timestamp, effect: Effect, attempts: &mut TurnAttempts) {
        match effect {
            Effect::Send { shard_request, node, timeout } => {
                if let Some(sending) = self.start_attempt(now, shard_request, node, timeout) {
                    attempts.by_node.entry(node).or_default().push(sending);
                }
            }
            Effect::Cancel { shard_request, attempt } => {
                let attempt = AttemptId { shard_request, number: attempt };
                attempts.cancelled.push(attempt);
                self.nodes.cancel(attempt, AttemptOutcome::Cancelled);
            }
            Effect::Respond { query, complete } => {
                self.finish(query, |responses, memory| QueryOutcome::Response {
                    complete,
                    responses,
                    memory,
                });
            }
            Effect::Reject { query, retry_after } => {
                self.finish(query, |_, _| QueryOutcome::Rejected { retry_after });
            }
            Effect::Fail { query } => self.finish(query, |_, _| QueryOutcome::Failed),
            Effect::Probe { node } => self.nodes.probe(node),
            Effect::CloseIdle { node } => self.nodes.close_idle(node),
            Effect::Wake { after } => self.schedule_wake_up(now + after),
            Effect::WatchEndpoints => self.watch_requested.notify_one(),
            Effect::Log(event) => log_event(event),
        }
    }

    /// Schedules a wake-up of the routing logic, unless an earlier one is scheduled.
    fn schedule_wake_up(&self, at: Timestamp) {
        let wake_at = self.wake_at.get().map_or(at, |earlier| earlier.min(at));
        self.wake_at.set(Some(wake_at));
    }

    /// Ends a query with the outcome that `outcome` builds from its responses and their memory. Has no effect if the
    /// query has already ended.
    pub(super) fn finish(
        &self,
        id: QueryId,
        outcome: impl FnOnce(Vec<ShardResponse>, Reservation) -> QueryOutcome,
    ) {
        let Some(mut removed) = self.close(id) else { return };
        let responses = std::mem::take(&mut removed.responses);
        let outcome = outcome(responses, removed.responses_memory.take());
        if matches!(outcome, QueryOutcome::Failed) {
            self.retain_id_if_executed(&removed);
        }
        removed.query.finish(outcome, self.clock.now());
    }

    /// Registers an attempt as in flight and returns the message to send.
    ///
    /// If the query has ended, reports the attempt as not sent and returns `None`.
    fn start_attempt(
        &self,
        now: Timestamp,
        shard_request: ShardRequestId,
        node: NodeId,
        timeout: TimeSpan,
    ) -> Option<AttemptToSend> {
        let next = self.queries.borrow_mut().next_attempt(shard_request);
        let Some(NextAttempt { id, shard, wire_id, text }) = next else {
            self.report_not_sent(node, AttemptId { shard_request, number: AttemptNumber(0) });
            return None;
        };
        let attempt = InFlightAttempt {
            node,
            sent_at: now,
            write_deadline: now + self.limits.nodes.attempt_write_timeout,
            times_out_at: now + timeout,
        };
        let expires_at = self.clock.to_instant(attempt.times_out_at);
        self.attempts.borrow_mut().insert(id, attempt);
        let shard_request = ShardRequestMessage { id: wire_id, shard: shard.0, expires_at, text };
        Some(AttemptToSend { attempt: id, shard_request })
    }

    /// Sends the turn's attempts, one node after the other.
    ///
    /// A later effect of the turn may have cancelled an attempt or ended its query. Such an attempt is reported as
    /// not sent: if it were sent, it would start after the final response and waste the node's capacity.
    fn send_attempts(&self, attempts: TurnAttempts) {
        let TurnAttempts { by_node, cancelled } = attempts;
        for (node, to_send) in by_node {
            let (wanted, stale): (Vec<_>, Vec<_>) = to_send
                .into_iter()
                .partition(|sending| !cancelled.contains(&sending.attempt) && self.is_query_open(sending));
            for sending in stale {
                self.report_not_sent(node, sending.attempt);
            }
            for batch in split_into_batches(wanted, &self.limits.nodes) {
                self.nodes.send(node, batch);
            }
        }
    }

    /// Returns whether the query of an attempt is still open.
    fn is_query_open(&self, sending: &AttemptToSend) -> bool {
        self.queries.borrow().is_open(sending.attempt.shard_request)
    }

    /// Ends an attempt that was not passed to the node pool, with the outcome `NotSent`.
    fn report_not_sent(&self, node: NodeId, id: AttemptId) {
        self.attempts.borrow_mut().remove(id);
        let AttemptId { shard_request, number: attempt } = id;
        self.push_input(Input::AttemptEnded(AttemptResult {
            shard_request,
            attempt,
            node,
            outcome: AttemptOutcome::NotSent,
            duration: TimeSpan::ZERO,
        }));
    }
}

/// Logs an event of the routing logic. Operators search for the messages, so they are constant and variables are
/// fields.
fn log_event(event: LogEvent) {
    match event {
        LogEvent::CutoffActivated { pressure } => {
            info!(
                pressure = round_to_hundredths(pressure),
                "cutoff active, light shard requests stay unsent"
            );
        }
        LogEvent::CutoffDeactivated { pressure } => {
            info!(pressure = round_to_hundredths(pressure), "cutoff inactive, all shard requests are sent");
        }
        LogEvent::QueryQuarantined { lost_nodes } => info!(lost_nodes, "query of death quarantined"),
        LogEvent::AdmissionOverloaded { admitted_per_s } => {
            info!(admitted_per_s = admitted_per_s.round(), "admission overloaded");
        }
        LogEvent::AdmissionNormal => info!("admission normal, all admitted again"),
    }
}

/// Rounds to two decimal places, for log output.
fn round_to_hundredths(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}
