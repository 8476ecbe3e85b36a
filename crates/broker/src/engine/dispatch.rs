//! Carries out the effects of a turn.
//!
//! Attempts are collected while the effects are carried out in order, and leave last: those to one node are sent
//! together, and one whose query ended or that was cancelled in the same turn is not sent at all.

use super::attempt_table::InFlightAttempt;
use super::batches::split_into_batches;
use super::query_table::NextAttempt;
use super::{Engine, QueryOutcome, ShardResponse};
use crate::codec::ShardRequestMessage;
use crate::node_pool::{AttemptId, AttemptToSend};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Effect, Input, LogEvent, NodeId, QueryId, ShardRequestId,
    TimeSpan, Timestamp,
};
use std::collections::BTreeMap;
use tracing::info;

/// The attempts that one turn sends, and those that it cancels.
#[derive(Default)]
struct TurnAttempts {
    by_node: BTreeMap<NodeId, Vec<AttemptToSend>>,
    /// Those that the turn itself cancels.
    cancelled: Vec<AttemptId>,
}

impl Engine {
    /// Carries out the effects of a turn, in order, and then sends its attempts.
    pub(super) fn carry_out(&self, now: Timestamp, effects: Vec<Effect>) {
        let mut attempts = TurnAttempts::default();
        for effect in effects {
            self.carry_out_effect(now, effect, &mut attempts);
        }
        self.send_attempts(attempts);
    }

    /// Carries out one effect; an attempt is only added to `attempts`.
    fn carry_out_effect(&self, now: Timestamp, effect: Effect, attempts: &mut TurnAttempts) {
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
                self.finish(query, |responses| QueryOutcome::Response { complete, responses });
            }
            Effect::Reject { query, retry_after } => {
                self.finish(query, |_| QueryOutcome::Rejected { retry_after });
            }
            Effect::Fail { query } => self.finish(query, |_| QueryOutcome::Failed),
            Effect::Probe { node } => self.nodes.probe(node),
            Effect::CloseIdle { node } => self.nodes.close_idle(node),
            Effect::Wake { after } => self.wake_by(now + after),
            Effect::WatchEndpoints => self.watch_requested.notify_one(),
            Effect::Log(event) => log_event(event),
        }
    }

    /// Sets the wake-up of the decisions, unless an earlier one is set.
    fn wake_by(&self, at: Timestamp) {
        let wake_at = self.wake_at.get().map_or(at, |earlier| earlier.min(at));
        self.wake_at.set(Some(wake_at));
    }

    /// Ends a query that is still open.
    pub(super) fn finish(&self, id: QueryId, outcome: impl FnOnce(Vec<ShardResponse>) -> QueryOutcome) {
        if let Some(closed) = self.close(id) {
            closed.query.finish(outcome(closed.responses), self.clock.now());
        }
    }

    /// Enters an attempt as in flight and returns what is sent of it. `None`: its query has ended, and that it was
    /// not sent is reported.
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

    /// Sends the turn's attempts, a node at a time.
    ///
    /// An effect later in the turn may have ended the query of an attempt, or cancelled it. Sent all the same, it
    /// would make a node work for nobody, and start after its query's final answer; it is reported as not sent.
    fn send_attempts(&self, attempts: TurnAttempts) {
        let TurnAttempts { by_node, cancelled } = attempts;
        for (node, to_send) in by_node {
            let (wanted, unwanted): (Vec<_>, Vec<_>) = to_send
                .into_iter()
                .partition(|sending| !cancelled.contains(&sending.attempt) && self.is_wanted(sending));
            for sending in unwanted {
                self.report_not_sent(node, sending.attempt);
            }
            for batch in split_into_batches(wanted, &self.limits.nodes) {
                self.nodes.send(node, batch);
            }
        }
    }

    /// Whether an attempt's query is still open.
    fn is_wanted(&self, sending: &AttemptToSend) -> bool {
        self.queries.borrow().is_open(sending.attempt.shard_request)
    }

    /// Ends an attempt of which nothing was handed to its node.
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

/// Writes an event of the routing decisions to the log: a stable text, variables as fields.
fn log_event(event: LogEvent) {
    match event {
        LogEvent::CutoffActivated { pressure } => {
            info!(pressure = to_hundredths(pressure), "cutoff active, light shard requests stay unsent");
        }
        LogEvent::CutoffDeactivated { pressure } => {
            info!(pressure = to_hundredths(pressure), "cutoff inactive, all shard requests are sent");
        }
        LogEvent::QueryQuarantined { lost_nodes } => info!(lost_nodes, "query of death quarantined"),
        LogEvent::AdmissionOverloaded { admitted_per_s } => {
            info!(admitted_per_s = admitted_per_s.round(), "admission overloaded");
        }
        LogEvent::AdmissionNormal => info!("admission normal, all admitted again"),
    }
}

/// Rounds a share for the log.
fn to_hundredths(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}
