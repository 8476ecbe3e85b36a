//! What the module is measured against: each shard request to a holder drawn at random; and the design's
//! ordinary path alone, without one of the exceptions that `docs/design.md` lists (no further attempts, no
//! copies, no room, no health, no cold shares). They hear and do what the module does, and are no part of the
//! product.

use routing::{
    AttemptOutcome, AttemptResult, BrokerConfig, ClassId, Effect, EndpointState, GroupId, Input, NewQuery,
    NewShardRequest, NodeId, PlacementGroupId, QueryId, RequestClass, ShardLayout, ShardRequestId, Tenths,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Random,
    Design,
}

struct Node {
    cell: PlacementGroupId,
    latency: Option<f64>,
    out: u32,
}

struct ShardRequest {
    id: ShardRequestId,
    new: NewShardRequest,
    /// Where it was sent, none for what stays unsent; and whether its value came.
    sent: Option<NodeId>,
    came: Option<bool>,
}

struct Open {
    class: ClassId,
    goal: Tenths,
    until: Tenths,
    shard_requests: Vec<ShardRequest>,
}

pub struct Baseline {
    how: How,
    rng: fastrand::Rng,
    layout: ShardLayout,
    period: Tenths,
    classes: BTreeMap<ClassId, RequestClass>,
    nodes: BTreeMap<NodeId, Node>,
    groups: BTreeMap<GroupId, QueryId>,
    open: BTreeMap<QueryId, Open>,
    owner: BTreeMap<ShardRequestId, QueryId>,
    /// Parts that ended as full or timed out, and all, smoothed; and when.
    harm: (f64, f64, Tenths),
}

/// The design page's figures.
const CUT: f64 = 0.0001;
const START: f64 = 0.1;
const SPAN: f64 = 50_000.0;
const NEWEST: f64 = 0.25;
const ROUNDING: f64 = 0.00005;

impl Baseline {
    pub fn new(how: How, broker_config: &BrokerConfig, seed: u64) -> Baseline {
        Baseline {
            how,
            rng: fastrand::Rng::with_seed(seed),
            layout: broker_config.layout.clone(),
            period: broker_config.period,
            classes: broker_config.classes.clone(),
            nodes: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            owner: BTreeMap::new(),
            harm: (0.0, 0.0, Tenths(0)),
        }
    }

    pub fn turn(&mut self, now: Tenths, heard: &[Input]) -> Vec<Effect> {
        let (mut effects, mut fresh) = (Vec::new(), Vec::new());
        for input in heard {
            match input {
                Input::EndpointList(roll) => {
                    for entry in roll.entries.iter() {
                        match entry.state {
                            EndpointState::Ready => {
                                let node = Node { cell: entry.placement_group, latency: None, out: 0 };
                                self.nodes.entry(entry.node).or_insert(node);
                            }
                            _ => _ = self.nodes.remove(&entry.node),
                        }
                    }
                }
                Input::Query(new) => {
                    fresh.push(new.id);
                    self.take(new, now, &mut effects);
                }
                Input::ShardRequest(new) => self.add(new),
                Input::AttemptEnded(result) => self.ended(result, now),
                _ => {}
            }
        }
        fresh.into_iter().for_each(|id| self.send(id, now, &mut effects));
        self.finish(now, &mut effects);
        effects
    }

    fn take(&mut self, new: &NewQuery, now: Tenths, effects: &mut Vec<Effect>) {
        self.groups.insert(new.group, new.id);
        let margin = self.period.times(4.0);
        let goal = self.classes.get(&new.class).map_or(Tenths::ZERO, |class| class.latency_objective);
        let (goal, until) = (now + goal - margin, now + new.time_left - margin);
        self.open.insert(new.id, Open { class: new.class, goal, until, shard_requests: Vec::new() });
        effects.push(Effect::Wake { after: goal.min(until) - now });
        effects.push(Effect::Wake { after: until - now });
    }

    fn add(&mut self, new: &NewShardRequest) {
        let Some(id) = self.groups.get(&new.group).copied() else { return };
        if let Some(open) = self.open.get_mut(&id) {
            open.shard_requests.push(ShardRequest { id: new.id, new: new.clone(), sent: None, came: None });
            self.owner.insert(new.id, id);
        }
    }

    /// B as the design has it.
    fn base(&mut self, now: Tenths) -> f64 {
        self.fade(now);
        let pressure = if self.harm.1 > 0.0 { self.harm.0 / self.harm.1.max(1.0) } else { 0.0 };
        1.0 + 9.0 * ((pressure - START) / (1.0 - START)).max(0.0)
    }

    fn fade(&mut self, now: Tenths) {
        let keep = (-((now - self.harm.2).0 as f64) / SPAN).exp();
        self.harm = (self.harm.0 * keep, self.harm.1 * keep, now);
    }

    fn send(&mut self, id: QueryId, now: Tenths, effects: &mut Vec<Effect>) {
        let base = self.base(now);
        let Some(mut open) = self.open.remove(&id) else { return };
        let partial = self.classes.get(&open.class).is_some_and(|c| c.min_coverage < c.complete_coverage);
        if self.how == How::Design {
            open.shard_requests.sort_by(|a, b| b.new.weight.total_cmp(&a.new.weight));
        }
        for (rank, shard_request) in open.shard_requests.iter_mut().enumerate() {
            let score = shard_request.new.weight * base.powi(-(rank as i32));
            if self.how == How::Design && partial && score < CUT {
                shard_request.came = Some(false);
                continue;
            }
            match self.choose(&shard_request.new) {
                Some(node) => {
                    shard_request.sent = Some(node);
                    self.nodes.get_mut(&node).into_iter().for_each(|node| node.out += 1);
                    let timeout = (open.until - now).max(Tenths(1));
                    effects.push(Effect::Send { shard_request: shard_request.id, node, timeout });
                }
                None => shard_request.came = Some(false),
            }
        }
        self.open.insert(id, open);
    }

    fn choose(&mut self, shard_request: &NewShardRequest) -> Option<NodeId> {
        let cells: BTreeSet<PlacementGroupId> = self.layout.groups_of(shard_request.shard).collect();
        let holders: Vec<(NodeId, &Node)> = self
            .nodes
            .iter()
            .filter(|(_, node)| cells.contains(&node.cell))
            .map(|(id, node)| (*id, node))
            .collect();
        if holders.is_empty() {
            return None;
        }
        if self.how == How::Random {
            return Some(holders[self.rng.usize(..holders.len())].0);
        }
        // Unheard replicas count as average.
        let heard: Vec<f64> = self.nodes.values().filter_map(|node| node.latency).collect();
        let average = if heard.is_empty() { 1.0 } else { heard.iter().sum::<f64>() / heard.len() as f64 };
        let cost = |node: &Node| node.latency.unwrap_or(average) * f64::from(node.out + 1);
        let first = self.rng.usize(..holders.len());
        let turned = holders[first..].iter().chain(&holders[..first]);
        turned.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1))).map(|(id, _)| *id)
    }

    fn ended(&mut self, result: &AttemptResult, now: Tenths) {
        self.fade(now);
        self.harm.1 += 1.0;
        self.harm.0 += f64::from(u8::from(matches!(
            result.outcome,
            AttemptOutcome::Overloaded | AttemptOutcome::TimedOut
        )));
        if let Some(node) = self.nodes.get_mut(&result.node) {
            node.out = node.out.saturating_sub(1);
            let took = result.duration.0 as f64;
            node.latency = Some(node.latency.map_or(took, |old| old + NEWEST * (took - old)));
        }
        let Some(open) = self.owner.remove(&result.shard_request).and_then(|id| self.open.get_mut(&id))
        else {
            return;
        };
        let ok = result.outcome == AttemptOutcome::Succeeded;
        open.shard_requests
            .iter_mut()
            .filter(|p| p.id == result.shard_request)
            .for_each(|p| p.came = Some(ok));
    }

    fn finish(&mut self, now: Tenths, effects: &mut Vec<Effect>) {
        let mut over = Vec::new();
        for (id, open) in &self.open {
            let came: f64 =
                open.shard_requests.iter().filter(|p| p.came == Some(true)).map(|p| p.new.weight).sum();
            let least = self.classes.get(&open.class).map_or(1.0, |c| c.min_coverage);
            let settled = open.shard_requests.iter().all(|p| p.came.is_some());
            let enough = came + ROUNDING >= least;
            if settled || now >= open.until || now >= open.goal && enough {
                let whole = came + ROUNDING >= 1.0;
                effects.push(match enough {
                    true => Effect::Respond { query: *id, complete: whole },
                    false => Effect::Reject { query: *id, retry_after: Tenths::ZERO },
                });
                over.push(*id);
            }
        }
        over.into_iter().for_each(|id| _ = self.open.remove(&id));
    }
}
