//! The design's ordinary path, Rank-S: shard requests by weight, and under pressure none that scores too
//! little.

use super::*;

/// The design's score under which a shard request stays unsent, and the ceiling of the base B.
const MIN_SCORE: f64 = 0.0001;
const MAX_BASE: f64 = 10.0;

impl Broker {
    /// Indices of the shard requests to send, in order: score = weight x B^-rank, none that scores under
    /// `MIN_SCORE`, and never less than the minimum coverage; with `min_coverage_only`, no more than that.
    /// Those of even weight share a rank, else many would collapse to a few as B passes 1. One out of reach
    /// counts as cut, else a dead shard's heavy one is sent for nothing while light ones are trimmed.
    pub(super) fn select(&mut self, query: &Query, min_coverage_only: bool) -> Vec<usize> {
        let base = self.base(query.within_quota);
        let (mut rank, mut rank_weight) = (0, f64::INFINITY);
        // Whether it is cut, and its index: sorted, those that are cut come last.
        let mut ranking: Vec<(bool, usize)> = Vec::new();
        let failed = |shard_request: &ShardRequest| shard_request.state == ShardRequestState::Failed;
        for (index, request) in query.shard_requests.iter().enumerate().filter(|(_, s)| !failed(s)) {
            if request.weight + WEIGHT_ROUNDING < rank_weight {
                (rank, rank_weight) = (index, request.weight);
            }
            let is_light = base > 1.0 && request.weight * base.powi(-(rank as i32)) < MIN_SCORE;
            let is_cut = query.allows_partial()
                && (min_coverage_only || is_light || self.is_out_of_reach(query, request));
            ranking.push((is_cut, index));
        }
        if !min_coverage_only {
            ranking.sort();
        }
        let mut covered = 0.0;
        ranking.retain(|(is_cut, index)| {
            let is_sent = !is_cut || covered + WEIGHT_ROUNDING < query.policy.min_coverage;
            covered += if is_sent { query.shard_requests[*index].weight } else { 0.0 };
            is_sent
        });
        ranking.into_iter().map(|(_, index)| index).collect()
    }

    /// Whether no replica may have a shard request now, or the best can't bring it in time. A healthy idle
    /// one can: a slow pair of replicas is used for what it can do. With nothing in flight, failures alone
    /// keep none from being asked: a blackout would last.
    pub(super) fn is_out_of_reach(&self, query: &Query, shard_request: &ShardRequest) -> bool {
        let ignores_failures = query.probed_at.is_some() && self.state.in_flight.is_empty();
        let is_idle = |node: &Node| {
            let is_healthy = node.consecutive_failures == 0 || ignores_failures;
            node.batches.is_empty() && is_healthy && node.reported_wait() == Tenths::ZERO
        };
        let wait = |node: &Node| match is_idle(node) {
            true => Tenths::ZERO,
            false => self.latency(node) + node.reported_wait(),
        };
        let may_receive = |id| self.may_receive(id, shard_request);
        let usable = self.state.replicas_of(&query.config, shard_request, may_receive);
        let shortest = usable.map(|id| wait(&self.state.nodes[&id])).min();
        let is_late = |wait: Tenths| self.state.now + wait.times(LATENCY_SPREAD) > query.times.objective_at;
        shortest.is_none_or(is_late)
    }

    /// The base B by the pressure, the share refused as overloaded or timed out. One tenant's storm would
    /// lift it for all: who is within its quota is not judged by the overload of those beyond theirs.
    fn base(&mut self, within_quota: bool) -> f64 {
        let (now, pressure) = (self.state.now, &self.state.pressure);
        let all = pressure.all.share(now, SMOOTHING_SPAN, MIN_SAMPLES);
        let within = pressure.within_quota.share(now, SMOOTHING_SPAN, MIN_SAMPLES);
        let pressure = if within_quota { within } else { within.max(all) };
        self.state.set_cutoff_active(pressure, pressure > PRESSURE_THRESHOLD);
        let excess = (pressure - PRESSURE_THRESHOLD) / (1.0 - PRESSURE_THRESHOLD);
        1.0 + (MAX_BASE - 1.0) * excess.max(0.0)
    }
}
