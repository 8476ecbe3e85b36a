//! Ends of attempts and probes, as the node pool gives them, into inputs of the decisions.

use super::Engine;
use crate::codec::read_load_report;
use crate::node_pool::{AttemptId, CompletedAttempt, ProbeReply};
use routing::{AttemptOutcome, AttemptResult, Input, ProbeResult};

impl Engine {
    /// Queues the results of ended attempts, and keeps the responses that came.
    pub(super) fn collect_ended_attempts(&self) {
        for ended in self.nodes.take_completed_attempts() {
            if let Some(result) = self.attempt_result(ended) {
                self.inputs.borrow_mut().push(Input::AttemptEnded(result));
            }
        }
    }

    /// The result of an attempt; `None`: it was reported before. A response that does not fit into the memory bound
    /// counts as an error, so that the shard request may be retried later.
    fn attempt_result(&self, ended: CompletedAttempt) -> Option<AttemptResult> {
        let in_flight = self.attempts.borrow_mut().remove(ended.attempt)?;
        let AttemptId { shard_request, number: attempt } = ended.attempt;
        let mut queries = self.queries.borrow_mut();
        let is_kept = ended.value.is_none_or(|response| queries.keep_response(shard_request, &response));
        let outcome = if is_kept { ended.outcome } else { AttemptOutcome::Errored };
        if is_lost_node(outcome) {
            queries.note_lost_node(shard_request);
        }
        let duration = self.clock.to_timestamp(ended.at) - in_flight.sent_at;
        Some(AttemptResult { shard_request, attempt, node: in_flight.node, outcome, duration })
    }

    /// Queues the results of load probes.
    pub(super) fn collect_probe_results(&self) {
        for ProbeReply { node, report } in self.nodes.take_probe_replies() {
            let is_valid = report.is_some();
            let report = report.map(|text| read_load_report(&text)).unwrap_or_default();
            self.push_input(Input::ProbeEnded(ProbeResult { node, is_valid, report }));
        }
    }
}

/// Whether the node could not be reached, or the connection to it was lost.
fn is_lost_node(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost)
}
