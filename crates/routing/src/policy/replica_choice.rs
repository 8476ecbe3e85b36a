//! Replica choice: selects the replica that a shard request is sent to.
//!
//! The replica with the lowest score is chosen: smoothed latency × (own batches in flight + 1 + reported
//! queue length). The 1 stands for a new batch and is omitted if the shard request can join the batch that
//! this turn already sends to the node. Replicas that this shard request has not tried take precedence over
//! those that it has. Scores within [`TIE_MARGIN`] of the best are considered equal. Among those, a replica
//! in the broker's own zone is preferred, then one with an open batch; the remaining ties are broken at
//! random, so that brokers with the same information do not all choose the same node.

use crate::ids::NodeId;
use crate::state::Node;
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The margin above the best score, as a share of it, within which scores are considered equal.
const TIE_MARGIN: f64 = 0.1;

/// The queue length assumed for a node that did not answer its probe.
const UNREPORTED_QUEUE: f64 = 32.0;

/// A replica that may receive the shard request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) node: NodeId,
    /// Whether the shard request has already had an attempt there.
    pub(crate) was_tried: bool,
    /// The score of the replica, see [`score`].
    pub(crate) score: f64,
    pub(crate) is_in_other_zone: bool,
    /// Whether the replica has no open batch of this turn.
    pub(crate) needs_new_batch: bool,
}

/// Returns the score of a replica, in tenths of a millisecond of expected work; lower is better. `latency` is
/// the replica's smoothed latency.
pub(crate) fn score(node: &Node, latency: TimeSpan, max_batch_size: u32) -> f64 {
    let joins_batch = node.open_batch.is_some_and(|batch| batch.shard_requests < max_batch_size);
    let batches = (node.batches.len() + usize::from(!joins_batch)) as f64;
    latency.0 as f64 * (batches + queue_length(node))
}

/// Returns the reported queue length of a node. A node that did not answer its probe is assigned
/// [`UNREPORTED_QUEUE`], which ranks it after the nodes that did.
fn queue_length(node: &Node) -> f64 {
    match (node.probe_sent_at, node.load) {
        (None, None) => 0.0,
        (None, Some(load)) if load.is_valid => load.queue_length.unwrap_or(0.0),
        _ => UNREPORTED_QUEUE,
    }
}

/// Chooses one of the candidates, or returns `None` if there are none. One random number is drawn per choice.
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
