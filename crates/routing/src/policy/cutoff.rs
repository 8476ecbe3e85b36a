//! The cutoff: selects the shard requests of a query to send. This is the ordinary path of the design,
//! Rank-S.
//!
//! The score of a shard request is weight × B^(−rank); a shard request with a score below [`MIN_SCORE`] stays
//! unsent. Ranks are assigned by weight, the heaviest first. The base B is 1 while the pressure is at most
//! [`PRESSURE_THRESHOLD`], so that everything is sent, and rises linearly from there to [`MAX_BASE`] at a
//! pressure of 1. A response that covers less than the minimum coverage is worth nothing, so the cutoff never
//! reduces a query below it. An active cutoff is visible in the log (`CutoffActivated`) and as partial
//! responses.

use super::coverage::WEIGHT_ROUNDING;
use crate::state::{Query, ShardRequest, ShardRequestState};

#[cfg(test)]
mod tests;

/// The pressure, as a share, up to which everything is sent.
const PRESSURE_THRESHOLD: f64 = 0.1;

/// The score below which a shard request stays unsent.
const MIN_SCORE: f64 = 0.0001;

/// The base B at a pressure of 1.
const MAX_BASE: f64 = 10.0;

/// Returns whether the cutoff leaves light shard requests unsent at this pressure.
pub(crate) fn is_active(pressure: f64) -> bool {
    pressure > PRESSURE_THRESHOLD
}

/// Returns the base B at this pressure, from 1 to 10.
pub(crate) fn base(pressure: f64) -> f64 {
    let excess = (pressure - PRESSURE_THRESHOLD) / (1.0 - PRESSURE_THRESHOLD);
    1.0 + (MAX_BASE - 1.0) * excess.max(0.0)
}

/// A shard request, ordered for sending: excluded ones come last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_excluded: bool,
    index: usize,
}

/// Returns the indices of the shard requests to send, in the order of sending.
///
/// Shard requests are excluded if their score at `base` is too low, or if no replica can answer them in time
/// (`is_infeasible`): a request to an unavailable shard that is sent first because of its weight would
/// displace light ones that can be served. With `min_coverage_only`, everything that the minimum coverage
/// does not need is excluded. Failed shard requests are not selected again. A query that needs all of its
/// shard requests gets all of them.
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
        let is_excluded = query.allows_partial()
            && (min_coverage_only || is_light || is_infeasible(&query.shard_requests[index]));
        candidates.push(Candidate { is_excluded, index });
    }
    if !min_coverage_only {
        candidates.sort();
    }
    keep_min_coverage(query, candidates)
}

/// Returns the selected shard requests to send while `in_flight` shard requests are in flight under a limit
/// of `limit`: all that the minimum coverage needs, and beyond it only as many as the limit allows. A query
/// without partial responses needs all of them. The full limit applies here, because the yield of the class
/// was already taken into account at admission.
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

/// Returns the indices and scores of the shard requests that have not failed. Shard requests of equal weight
/// share a rank: with separate ranks, many equal ones would fall below the minimum score as soon as the base
/// exceeds 1.
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

/// Returns the candidates to send: all that are not excluded, and as many of the excluded ones as the minimum
/// coverage needs.
fn keep_min_coverage(query: &Query, candidates: Vec<Candidate>) -> Vec<usize> {
    let mut covered = 0.0;
    let mut selected = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if !candidate.is_excluded || covered + WEIGHT_ROUNDING < query.policy.min_coverage {
            covered += query.shard_requests[candidate.index].weight;
            selected.push(candidate.index);
        }
    }
    selected
}
