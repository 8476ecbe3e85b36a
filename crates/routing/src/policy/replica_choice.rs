//! Replica choice: which replica of its shard a shard request goes to.
//!
//! The rule: least smoothed latency × (own batches in flight + 1 + reported queue). Joining the batch that
//! this turn already sends to a node opens no other, so it counts no more. Replicas that this shard request
//! has not tried come before those that it has. Scores within [`TIE_MARGIN`] of the best count as equal;
//! among those a replica in the broker's own zone is preferred, then one with an open batch, then chance
//! decides, so that brokers that know the same do not all choose the same node.

use crate::ids::NodeId;
use crate::state::Node;
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// Scores this share above the best count as equal to it.
const TIE_MARGIN: f64 = 0.1;

/// A node that left its probe unanswered counts as one with this many shard requests waiting.
const UNREPORTED_QUEUE: f64 = 32.0;

/// A replica that may receive the shard request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) node: NodeId,
    /// The shard request had an attempt there.
    pub(crate) was_tried: bool,
    /// See [`score`].
    pub(crate) score: f64,
    pub(crate) is_in_other_zone: bool,
    /// It has no batch of this turn that could be joined.
    pub(crate) needs_new_batch: bool,
}

/// A replica's score, in tenths of a millisecond of expected work: the lower the better. `latency` is its
/// smoothed latency.
pub(crate) fn score(node: &Node, latency: TimeSpan, max_batch_size: u32) -> f64 {
    let joins_batch = node.open_batch.is_some_and(|batch| batch.shard_requests < max_batch_size);
    let batches = (node.batches.len() + usize::from(!joins_batch)) as f64;
    latency.0 as f64 * (batches + queue_length(node))
}

/// The reported queue of a node; a node that left its probe unanswered comes after all that did answer.
fn queue_length(node: &Node) -> f64 {
    match (node.probe_sent_at, node.load) {
        (None, None) => 0.0,
        (None, Some(load)) if load.is_valid => load.queue_length.unwrap_or(0.0),
        _ => UNREPORTED_QUEUE,
    }
}

/// Chooses among the candidates; none where there are none. Chance is drawn once for each choice that is
/// made.
pub(crate) fn choose(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<NodeId> {
    let all_tried = candidates.iter().all(|candidate| candidate.was_tried);
    let eligible = candidates.iter().filter(|candidate| all_tried || !candidate.was_tried);
    let best = eligible.clone().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min);
    let close = eligible.filter(|candidate| candidate.score <= best * (1.0 + TIE_MARGIN));
    let preference = |candidate: &Candidate| (candidate.is_in_other_zone, candidate.needs_new_batch);
    let preferred = close.clone().map(preference).min()?;
    let tied: Vec<NodeId> = close
        .filter(|candidate| preference(candidate) == preferred)
        .map(|candidate| candidate.node)
        .collect();
    Some(tied[rng.usize(..tied.len())])
}
