//! Which replica gets a shard request.

use super::*;

/// A broker chooses among so many replicas of a shard at the most, evenly from its placement groups. The largest usual
/// fleet has hardly more (200 nodes in 12 groups, each shard in 4 of them: 67); past that the time that a choice takes,
/// and the nodes that a broker meets, no longer grow with the fleet. Harm: a broker knows only its own part of it.
const MAX_SHARD_REPLICAS: usize = 64;

/// How many replicas of one placement group are chosen among.
pub(super) fn max_group_replicas(layout: &ShardLayout) -> usize {
    MAX_SHARD_REPLICAS.div_ceil(layout.replica_groups.max(1) as usize)
}

/// A node that left its probe unanswered counts as one with so many shard requests waiting.
const UNREPORTED_QUEUE: f64 = 32.0;

impl Broker {
    /// The replica rule: least smoothed latency x (own batches in flight + 1), where joining a batch of this
    /// turn opens no other. Close calls go to the own zone, then to a batch of this turn, then by chance.
    pub(super) fn choose_replica(&mut self, query: &Query, shard_request: &ShardRequest) -> Option<NodeId> {
        let is_usable = |id| !shard_request.is_in_flight_at(id) && self.may_receive(id, shard_request);
        let usable: Vec<NodeId> = self.state.replicas_of(&query.config, shard_request, is_usable).collect();
        let all_tried = usable.iter().all(|id| shard_request.has_tried(*id));
        let untried = usable.into_iter().filter(|id| all_tried || !shard_request.has_tried(*id));
        let scored: Vec<(f64, NodeId)> = untried.map(|id| (self.score(&self.state.nodes[&id]), id)).collect();
        let best = scored.iter().map(|(score, _)| *score).fold(f64::INFINITY, f64::min);
        let is_close = |score: f64| score <= best * (1.0 + PRESSURE_THRESHOLD);
        let close = scored.iter().filter(|(score, _)| is_close(*score)).map(|(_, id)| *id);
        let own_zone = self.config.broker.zone;
        let preference = |node: &Node| (node.zone != own_zone, node.open_batch.is_none());
        let first = close.clone().map(|id| preference(&self.state.nodes[&id])).min()?;
        let tied: Vec<NodeId> = close.filter(|id| preference(&self.state.nodes[id]) == first).collect();
        Some(tied[self.rng.usize(..tied.len())])
    }

    fn score(&self, node: &Node) -> f64 {
        let max_batch_size = self.config.broker.layout.max_batch_size;
        let joins_batch = node.open_batch.is_some_and(|batch| batch.shard_requests < max_batch_size);
        let batches = (node.batches.len() + usize::from(!joins_batch)) as f64;
        // One that left its probe unanswered comes after all that did answer.
        let queue = match (node.probe_sent_at, node.load) {
            (None, None) => 0.0,
            (None, Some(load)) if load.is_valid => load.queue_length.unwrap_or(0.0),
            _ => UNREPORTED_QUEUE,
        };
        self.latency(node).0 as f64 * (batches + queue)
    }

    /// Smoothed latency. What was measured long ago fades toward the average, or that of a zone slower by
    /// half: a slow zone, or way there, shows at all its nodes. Silence since the oldest batch in flight
    /// counts too.
    pub(super) fn latency(&self, node: &Node) -> Tenths {
        let overall = self.average_latency();
        let zone = self.state.zone_mean_latency(node.zone, overall, 1.0 / NEWEST_SHARE);
        let average = if zone > overall.times(LATENCY_SPREAD) { zone } else { overall };
        let faded = node.faded_latency(self.state.now, average, SMOOTHING_SPAN);
        faded.max(node.silence(self.state.now))
    }
}
