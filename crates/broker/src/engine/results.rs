//! Conversion of ended attempts and probes from the node pool into inputs of the routing logic.

use super::Engine;
use crate::codec::read_load_report;
use crate::node_pool::{AttemptId, CompletedAttempt, ProbeReply};
use routing::{AttemptOutcome, AttemptResult, Input, ProbeResult};

impl Engine {
    /// Queues the results of ended attempts and stores their responses.
    pub(super) fn collect_ended_attempts(&self) {
        for ended in self.nodes.take_completed_attempts() {
            if let Some(result) = self.attempt_result(ended) {
                self.inputs.borrow_mut().push(Input::AttemptEnded(result));
            }
        }
    }

    /// Returns the result of an ended attempt, or `None` if it was already reported.
    ///
    /// A response that would exceed the memory limit is discarded and counts as an error, so that the shard request
    /// can be retried later.
    fn attempt_result(&self, ended: CompletedAttempt) -> Option<AttemptResult> {
        let in_flight = self.attempts.borrow_mut().remove(ended.attempt)?;
        let AttemptId { shard_request, number: attempt } = ended.attempt;
        let mut queries = self.queries.borrow_mut();
        let is_stored = ended.value.is_none_or(|response| queries.store_response(shard_request, response));
        let outcome = if is_stored { ended.outcome } else { AttemptOutcome::Errored };
        queries.record_outcome(shard_request, outcome);
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
