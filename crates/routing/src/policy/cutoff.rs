//! The cutoff: which shard requests of a query are sent. This is the design's ordinary path, Rank-S.
//!
//! A shard request's score is weight × B^(−rank); what scores under [`MIN_SCORE`] stays unsent. Ranks go by
//! weight, the heaviest first. The base B is 1 while pressure is at or below [`PRESSURE_THRESHOLD`], so that
//! everything is sent, and rises linearly from there to [`MAX_BASE`] at a pressure of 1. A response that
//! covers less than the minimum coverage is worth nothing, so the cutoff never goes below that. It shows in
//! the log (`CutoffActivated`) and in partial responses.

use super::coverage::WEIGHT_ROUNDING;
use crate::state::{Query, ShardRequest, ShardRequestState};

#[cfg(test)]
mod tests;

/// The pressure, as a share, up to which everything is sent.
const PRESSURE_THRESHOLD: f64 = 0.1;

/// The score under which a shard request stays unsent.
const MIN_SCORE: f64 = 0.0001;

/// The base at a pressure of 1.
const MAX_BASE: f64 = 10.0;

/// Whether the cutoff leaves light shard requests unsent at this pressure.
pub(crate) fn is_active(pressure: f64) -> bool {
    pressure > PRESSURE_THRESHOLD
}

/// The base B at this pressure, from 1 to 10.
pub(crate) fn base(pressure: f64) -> f64 {
    let excess = (pressure - PRESSURE_THRESHOLD) / (1.0 - PRESSURE_THRESHOLD);
    1.0 + (MAX_BASE - 1.0) * excess.max(0.0)
}

/// A shard request in the order of sending: those that are cut come last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_cut: bool,
    index: usize,
}

/// The indices of the shard requests to send, in the order of sending.
///
/// Left out are those that scored too little at `base`, and those that no replica can answer in time
/// (`is_infeasible`): sent first for its weight, the request to a dead shard would take the place of light
/// ones that can be served. With `min_coverage_only` everything is left out that the minimum coverage does
/// not need. Failed shard requests are not selected again. A query that needs all of its shard requests gets
/// all of them.
pub(crate) fn select_shard_requests(
    query: &Query,
    base: f64,
    min_coverage_only: bool,
    is_infeasible: impl Fn(&ShardRequest) -> bool,
) -> Vec<usize> {
    let scores = score_shard_requests(query, base);
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, score) in scores {
        let is_light = base > 1.0 && score < MIN_SCORE;
        let is_cut = query.allows_partial()
            && (min_coverage_only || is_light || is_infeasible(&query.shard_requests[index]));
        candidates.push(Candidate { is_cut, index });
    }
    if !min_coverage_only {
        candidates.sort();
    }
    keep_min_coverage(query, candidates)
}

/// What is sent of the selected shard requests while `in_flight` are in flight under a limit of `limit`: all
/// that the minimum coverage needs, and beyond it only as many as the limit has room for. A query that takes
/// no partial responses needs all of them. The whole limit counts here: what the class yields was weighed at
/// admission.
pub(crate) fn limit_to_capacity(
    query: &Query,
    selected: &[usize],
    in_flight: usize,
    limit: usize,
) -> Vec<usize> {
    let mut covered = 0.0;
    let mut sent = Vec::with_capacity(selected.len());
    for (position, index) in selected.iter().copied().enumerate() {
        let is_needed = !query.allows_partial() || covered + WEIGHT_ROUNDING < query.policy.min_coverage;
        if is_needed || in_flight + position < limit {
            covered += query.shard_requests[index].weight;
            sent.push(index);
        }
    }
    sent
}

/// The shard requests that have not failed, by index, with their scores. Those of equal weight share a rank:
/// with a rank each, many equal ones would fall below the least score as soon as the base passes 1.
fn score_shard_requests(query: &Query, base: f64) -> Vec<(usize, f64)> {
    let mut rank = 0;
    let mut rank_weight = f64::INFINITY;
    let mut scores = Vec::with_capacity(query.shard_requests.len());
    for (index, request) in query.shard_requests.iter().enumerate() {
        if request.state == ShardRequestState::Failed {
            continue;
        }
        if request.weight + WEIGHT_ROUNDING < rank_weight {
            rank = index;
            rank_weight = request.weight;
        }
        scores.push((index, request.weight * base.powi(-(rank as i32))));
    }
    scores
}

/// What is sent of the candidates: all that are not cut, and of the cut ones as many as the minimum coverage
/// needs.
fn keep_min_coverage(query: &Query, candidates: Vec<Candidate>) -> Vec<usize> {
    let mut covered = 0.0;
    let mut selected = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if !candidate.is_cut || covered + WEIGHT_ROUNDING < query.policy.min_coverage {
            covered += query.shard_requests[candidate.index].weight;
            selected.push(candidate.index);
        }
    }
    selected
}
