//! The routing that the product is compared with: each shard request to a replica drawn at random; or the design's
//! ordinary path alone, without the exceptions that `docs/design.md` lists (no retries, no hedging, no admission
//! control, no outlier ejection, no slow start). A baseline gets the inputs and gives the effects of
//! [`routing::Broker`], and is no part of the product.

use routing::{
    AttemptOutcome, AttemptResult, BrokerConfig, ClassId, Effect, EndpointList, EndpointState, GroupId,
    Input, NewQuery, NewShardRequest, NodeId, PlacementGroupId, QueryId, RequestClass, ShardLayout,
    ShardRequestId, TimeSpan, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// The design's score under which a shard request of a partial response stays unsent.
const MIN_SCORE: f64 = 0.0001;
/// The overload ratio from which on light shard requests stay unsent.
const CUTOFF_OVERLOAD_RATIO: f64 = 0.1;
/// The base B, as the overload ratio goes from the cutoff's to 1.
const MIN_BASE: f64 = 1.0;
const MAX_BASE: f64 = 10.0;
/// Attempts count for the overload ratio with a weight that decays by this time constant, in tenths of a
/// millisecond.
const OVERLOAD_TIME_CONSTANT: f64 = 50_000.0;
/// The weight of the newest latency in a node's smoothed latency.
const NEWEST_LATENCY_WEIGHT: f64 = 0.25;
/// How much the weights of a query may differ from 1 in sum, by rounding.
const WEIGHT_ROUNDING: f64 = 0.00005;
/// The latency of all nodes while none was measured: all are alike then.
const UNKNOWN_LATENCY: f64 = 1.0;
/// Responses leave this many turns before they are due.
const MARGIN_TURNS: f64 = 4.0;

/// How a baseline chooses replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselinePolicy {
    /// At random.
    Random,
    /// The design's ordinary path: the shortest expected wait, and the cutoff under overload.
    Design,
}

struct Node {
    placement_group: PlacementGroupId,
    /// Smoothed, in tenths of a millisecond; none before the first result.
    latency: Option<f64>,
    in_flight: u32,
}

struct ShardRequest {
    id: ShardRequestId,
    new: NewShardRequest,
    state: ShardRequestState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ShardRequestState {
    Pending,
    Received,
    /// Unsent, or its attempt did not succeed.
    Failed,
}

struct OpenQuery {
    class: ClassId,
    /// When a response has to leave to be on time.
    objective_at: Timestamp,
    /// When a response has to leave to be of any use.
    deadline_at: Timestamp,
    shard_requests: Vec<ShardRequest>,
}

impl OpenQuery {
    fn received_weight(&self) -> f64 {
        let received = self.shard_requests.iter().filter(|s| s.state == ShardRequestState::Received);
        received.map(|shard_request| shard_request.new.weight).sum()
    }

    fn has_pending(&self) -> bool {
        self.shard_requests.iter().any(|s| s.state == ShardRequestState::Pending)
    }
}

/// The share of the attempts that ended as overloaded or timed out; older ones count for less.
#[derive(Default)]
struct OverloadRatio {
    overloaded: f64,
    total: f64,
    updated_at: Timestamp,
}

impl OverloadRatio {
    fn decay(&mut self, now: Timestamp) {
        let kept = (-((now - self.updated_at).0 as f64) / OVERLOAD_TIME_CONSTANT).exp();
        self.overloaded *= kept;
        self.total *= kept;
        self.updated_at = now;
    }

    fn record(&mut self, now: Timestamp, is_overloaded: bool) {
        self.decay(now);
        self.total += 1.0;
        self.overloaded += f64::from(u8::from(is_overloaded));
    }

    fn ratio(&mut self, now: Timestamp) -> f64 {
        self.decay(now);
        if self.total > 0.0 { self.overloaded / self.total.max(1.0) } else { 0.0 }
    }
}

/// A broker that decides by a baseline.
pub struct Baseline {
    policy: BaselinePolicy,
    rng: fastrand::Rng,
    layout: ShardLayout,
    period: TimeSpan,
    classes: BTreeMap<ClassId, RequestClass>,
    nodes: BTreeMap<NodeId, Node>,
    groups: BTreeMap<GroupId, QueryId>,
    open_queries: BTreeMap<QueryId, OpenQuery>,
    query_of: BTreeMap<ShardRequestId, QueryId>,
    overload_ratio: OverloadRatio,
}

impl Baseline {
    /// A broker that has just started. `seed` is where its random numbers come from.
    pub fn new(policy: BaselinePolicy, broker_config: &BrokerConfig, seed: u64) -> Baseline {
        Baseline {
            policy,
            rng: fastrand::Rng::with_seed(seed),
            layout: broker_config.layout.clone(),
            period: broker_config.period,
            classes: broker_config.classes.clone(),
            nodes: BTreeMap::new(),
            groups: BTreeMap::new(),
            open_queries: BTreeMap::new(),
            query_of: BTreeMap::new(),
            overload_ratio: OverloadRatio::default(),
        }
    }

    /// As [`routing::Broker::turn`].
    pub fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut new_queries = Vec::new();
        for input in inputs {
            match input {
                Input::EndpointList(list) => self.update_nodes(list),
                Input::Query(new) => {
                    new_queries.push(new.id);
                    self.accept(new, now, &mut effects);
                }
                Input::ShardRequest(new) => self.add_shard_request(new),
                Input::AttemptEnded(result) => self.record_result(result, now),
                _ => {}
            }
        }
        for id in new_queries {
            self.send(id, now, &mut effects);
        }
        self.respond_or_reject(now, &mut effects);
        effects
    }

    fn update_nodes(&mut self, list: &EndpointList) {
        for endpoint in list.entries.iter() {
            if endpoint.state == EndpointState::Ready {
                let placement_group = endpoint.placement_group;
                let node = Node { placement_group, latency: None, in_flight: 0 };
                self.nodes.entry(endpoint.node).or_insert(node);
            } else {
                self.nodes.remove(&endpoint.node);
            }
        }
    }

    fn accept(&mut self, new: &NewQuery, now: Timestamp, effects: &mut Vec<Effect>) {
        self.groups.insert(new.group, new.id);
        let margin = self.period.mul_f64(MARGIN_TURNS);
        let class = self.classes.get(&new.class);
        let latency_objective = class.map_or(TimeSpan::ZERO, |class| class.latency_objective);
        let objective_at = now + latency_objective - margin;
        let deadline_at = now + new.time_left - margin;
        let shard_requests = Vec::new();
        let query = OpenQuery { class: new.class, objective_at, deadline_at, shard_requests };
        self.open_queries.insert(new.id, query);
        effects.push(Effect::Wake { after: objective_at.min(deadline_at) - now });
        effects.push(Effect::Wake { after: deadline_at - now });
    }

    fn add_shard_request(&mut self, new: &NewShardRequest) {
        let Some(id) = self.groups.get(&new.group).copied() else { return };
        if let Some(query) = self.open_queries.get_mut(&id) {
            let state = ShardRequestState::Pending;
            query.shard_requests.push(ShardRequest { id: new.id, new: new.clone(), state });
            self.query_of.insert(new.id, id);
        }
    }

    /// The design's base B: a shard request's score is its weight x B^-rank.
    fn base(&mut self, now: Timestamp) -> f64 {
        let overload = self.overload_ratio.ratio(now);
        let excess = (overload - CUTOFF_OVERLOAD_RATIO) / (1.0 - CUTOFF_OVERLOAD_RATIO);
        MIN_BASE + (MAX_BASE - MIN_BASE) * excess.max(0.0)
    }

    /// Sends a query's shard requests, but for those that the design's cutoff leaves out.
    fn send(&mut self, id: QueryId, now: Timestamp, effects: &mut Vec<Effect>) {
        let base = self.base(now);
        let Some(mut query) = self.open_queries.remove(&id) else { return };
        let is_design = self.policy == BaselinePolicy::Design;
        if is_design {
            query.shard_requests.sort_by(|a, b| b.new.weight.total_cmp(&a.new.weight));
        }
        let class = self.classes.get(&query.class);
        let has_cutoff = is_design && class.is_some_and(|class| class.min_coverage < class.complete_coverage);
        let timeout = (query.deadline_at - now).max(TimeSpan(1));
        for (rank, shard_request) in query.shard_requests.iter_mut().enumerate() {
            let score = shard_request.new.weight * base.powi(-(rank as i32));
            let is_cut = has_cutoff && score < MIN_SCORE;
            let replica = if is_cut { None } else { self.choose_replica(&shard_request.new) };
            let Some(node) = replica else {
                shard_request.state = ShardRequestState::Failed;
                continue;
            };
            if let Some(node) = self.nodes.get_mut(&node) {
                node.in_flight += 1;
            }
            effects.push(Effect::Send { shard_request: shard_request.id, node, timeout });
        }
        self.open_queries.insert(id, query);
    }

    fn choose_replica(&mut self, shard_request: &NewShardRequest) -> Option<NodeId> {
        let groups: BTreeSet<PlacementGroupId> = self.layout.groups_of(shard_request.shard).collect();
        let holds_shard = |node: &Node| groups.contains(&node.placement_group);
        let nodes = self.nodes.iter().filter(|(_, node)| holds_shard(node));
        let replicas: Vec<(NodeId, &Node)> = nodes.map(|(id, node)| (*id, node)).collect();
        if replicas.is_empty() {
            return None;
        }
        let drawn = self.rng.usize(..replicas.len());
        if self.policy == BaselinePolicy::Random {
            return Some(replicas[drawn].0);
        }
        let average_latency = self.average_latency();
        let expected_wait =
            |node: &Node| node.latency.unwrap_or(average_latency) * f64::from(node.in_flight + 1);
        // Of equal ones the first from a drawn one on is chosen.
        let in_drawn_order = replicas[drawn..].iter().chain(&replicas[..drawn]);
        let fastest = in_drawn_order.min_by(|a, b| expected_wait(a.1).total_cmp(&expected_wait(b.1)));
        fastest.map(|(id, _)| *id)
    }

    /// Over the nodes whose latency is known.
    fn average_latency(&self) -> f64 {
        let known: Vec<f64> = self.nodes.values().filter_map(|node| node.latency).collect();
        if known.is_empty() { UNKNOWN_LATENCY } else { known.iter().sum::<f64>() / known.len() as f64 }
    }

    fn record_result(&mut self, result: &AttemptResult, now: Timestamp) {
        let AttemptResult { shard_request: id, outcome, .. } = *result;
        let is_overloaded = matches!(outcome, AttemptOutcome::Overloaded | AttemptOutcome::TimedOut);
        self.overload_ratio.record(now, is_overloaded);
        if let Some(node) = self.nodes.get_mut(&result.node) {
            node.in_flight = node.in_flight.saturating_sub(1);
            let newest = result.duration.0 as f64;
            let smoothed = |old: f64| old + NEWEST_LATENCY_WEIGHT * (newest - old);
            node.latency = Some(node.latency.map_or(newest, smoothed));
        }
        let Some(query) = self.query_of.remove(&id).and_then(|query| self.open_queries.get_mut(&query))
        else {
            return;
        };
        let succeeded = outcome == AttemptOutcome::Succeeded;
        for shard_request in query.shard_requests.iter_mut().filter(|shard_request| shard_request.id == id) {
            shard_request.state =
                if succeeded { ShardRequestState::Received } else { ShardRequestState::Failed };
        }
    }

    /// Ends the queries whose shard requests have all ended, or whose time is over.
    fn respond_or_reject(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let mut ended = Vec::new();
        for (id, query) in &self.open_queries {
            let coverage = query.received_weight() + WEIGHT_ROUNDING;
            let min_coverage = self.classes.get(&query.class).map_or(1.0, |class| class.min_coverage);
            let is_enough = coverage >= min_coverage;
            let is_due = now >= query.deadline_at || now >= query.objective_at && is_enough;
            if query.has_pending() && !is_due {
                continue;
            }
            effects.push(match is_enough {
                true => Effect::Respond { query: *id, complete: coverage >= 1.0 },
                false => Effect::Reject { query: *id, retry_after: TimeSpan::ZERO },
            });
            ended.push(*id);
        }
        for id in ended {
            self.open_queries.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
