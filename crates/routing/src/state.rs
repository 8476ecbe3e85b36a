//! What a broker remembers, grouped by how long it lives: for one attempt, for one query (with
//! its shard requests), for one node, for the instance.

use crate::config::{BrokerConfig, Idempotency, RetryBudget, ShardLayout};
use crate::effects::Effect;
use crate::ids::{
    AttemptNumber, BatchId, ClassId, GroupId, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId,
    TenantId, ZoneId,
};
use crate::inputs::{
    Endpoint, EndpointList, EndpointListKind, EndpointState, LoadMetric, NewQuery, NewShardRequest,
    ProbeResult,
};
use crate::time::Tenths;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What is known of an attempt's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    InFlight,
    NotExecuted,
    MaybeExecuted,
    /// It will not be heard of as far as the books go; the budget does not count it.
    Unsent,
}

/// One attempt of a shard request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: NodeId,
    pub sent: Tenths,
    pub execution: Execution,
}

/// The connection that an attempt after a lull travels on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    Reused,
    New,
}

/// What an attempt leaves on the books until its end is heard, also past its query's end.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    pub node: NodeId,
    pub call: BatchId,
    pub within_quota: bool,
    pub class: ClassId,
    /// The latency objective of its class.
    pub goal: Tenths,
    /// Parts out after the turn in which it was sent.
    pub out: f64,
    /// They used much of the room that this one had.
    pub crowded: bool,
    /// It opened a call after a lull: on the connection kept, or on a fresh one.
    pub idle_period: Option<(ConnectionUse, Tenths)>,
    /// It was counted as lost while it is still out.
    pub silent: bool,
}

impl InFlightAttempt {
    pub fn on_reused_connection(&self) -> bool {
        self.idle_period.is_some_and(|(line, _)| line == ConnectionUse::Reused)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardRequestState {
    Unsent,
    /// To be sent, or waiting for a node that may have it.
    Queued,
    InFlight,
    Received,
    Failed,
}

#[derive(Clone, Debug)]
pub struct ShardRequest {
    pub id: ShardRequestId,
    pub shard: ShardId,
    pub weight: f64,
    pub state: ShardRequestState,
    /// Its answer has begun to flow: bound to one attempt.
    pub flowing: bool,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// Handed over, nothing sent.
    Pending,
    /// Parts are out or waiting.
    InFlight,
    /// Past its latency objective, nothing more is sent.
    PastObjective,
    /// An answer has been given.
    Responded,
    /// Waits for the shard requests of its second step.
    BetweenPhases,
    Finished,
}

/// What moves a query on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEvent {
    /// All shard requests that came in this turn are in hand.
    Ready,
    ResponseReceived,
    ShardRequestFailed,
    ObjectiveNear,
    DeadlineNear,
    ResponseSent,
    ClientLeft,
}

#[derive(Clone, Debug)]
pub struct Query {
    pub id: QueryId,
    pub group: GroupId,
    pub class: ClassId,
    /// Those under which it was taken, to its end.
    pub terms: Arc<EffectiveConfig>,
    pub row: Arc<ClassPolicy>,
    pub within_quota: bool,
    pub state: QueryState,
    /// Its latency objective, or what its tenant will wait if that is less.
    pub goal: Tenths,
    pub objective_at: Tenths,
    pub deadline_at: Tenths,
    pub second_step: bool,
    /// The first step's answer was whole.
    pub first_whole: bool,
    /// Nodes that dropped an attempt of it.
    pub fallen: BTreeSet<NodeId>,
    /// Only its first shard request is out, the others wait for that.
    pub scouting: bool,
    /// Only its minimum coverage is sent.
    pub min_coverage_only: bool,
    /// When its holders were asked for their load.
    pub probed: Option<Tenths>,
    pub shard_requests: Vec<ShardRequest>,
}

/// A call that is out at a node.
#[derive(Clone, Debug)]
pub struct Batch {
    pub sent: Tenths,
    pub parts_out: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub zone: ZoneId,
    pub placement_group: PlacementGroupId,
    pub state: EndpointState,
    pub started_at: Option<Tenths>,
    /// When this broker heard of that start.
    pub start_known_at: Tenths,
    pub latency: Option<Tenths>,
    pub latency_sampled_at: Tenths,
    pub last_success_at: Tenths,
    /// When the newest attempt that it answered was sent.
    pub newest_answered_sent_at: Tenths,
    /// Failures in a row.
    pub consecutive_failures: u32,
    pub failed_at: Tenths,
    pub batches: BTreeMap<BatchId, Batch>,
    /// A probe that is not answered yet was sent then.
    pub probe_sent_at: Option<Tenths>,
    /// What it told of itself, and when; none while a probe is out.
    pub told: Option<LoadReport>,
    /// The call of this turn, and how many shard requests it carries.
    pub open_batch: Option<(BatchId, u32)>,
    pub connection: Option<(ConnectionUse, Tenths)>,
    /// When attempts went to it while it was cold.
    pub slow_start_attempts: VecDeque<(Tenths, ClassId)>,
}

/// A load report, as far as a node tells these.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub at: Tenths,
    pub sound: bool,
    /// Parts that wait.
    pub queue: Option<f64>,
    /// Parts served a second.
    pub rate: Option<f64>,
}

/// How long a class's shard requests take: the least that their smoothed latency ever was.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaselineLatency {
    heard: f64,
    mean: f64,
    pub least: Option<Tenths>,
}

impl BaselineLatency {
    /// Takes in a latency; before so many were heard there is no pace.
    pub fn note(&mut self, took: Tenths, steady: f64) {
        self.heard = (self.heard + 1.0).min(steady);
        self.mean += (took.0 as f64 - self.mean) / self.heard;
        if self.heard >= steady {
            let mean = Tenths(self.mean as i64);
            self.least = Some(self.least.map_or(mean, |least| least.min(mean)));
        }
    }
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounter {
    pub count: f64,
    pub at: Tenths,
}

impl DecayingCounter {
    pub fn read(&self, now: Tenths, span: Tenths) -> f64 {
        self.count * (-(now - self.at).over(span)).exp()
    }

    pub fn add(&mut self, now: Tenths, span: Tenths, more: f64) {
        self.count = self.read(now, span) + more;
        self.at = now;
    }
}

/// The share of shard requests that came to harm within a span, by slices of it: what a slice held is forgotten
/// when the span has passed it. Guards against a storm whose many ends outweigh what came after it for
/// many spans, as counts that fade alike would: the share would stay high while fewer shard requests are sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlidingWindow {
    /// Harmed and all, by slice; and when the newest slice began.
    slices: [(f64, f64); crate::policy::SLICES],
    newest: usize,
    began: Tenths,
}

impl SlidingWindow {
    /// Moves on to the slice of `now`, clearing those that the span has passed.
    fn roll(&mut self, now: Tenths, span: Tenths) {
        let count = self.slices.len();
        let slice = Tenths((span.0 / count as i64).max(1));
        let steps = ((now - self.began).0 / slice.0).clamp(0, count as i64) as usize;
        for _ in 0..steps {
            self.newest = (self.newest + 1) % count;
            self.slices[self.newest] = (0.0, 0.0);
        }
        if steps > 0 {
            self.began = Tenths(now.0 - (now.0 - self.began.0) % slice.0);
        }
    }

    pub fn count(&mut self, now: Tenths, span: Tenths, harmed: f64, all: f64) {
        self.roll(now, span);
        let slice = &mut self.slices[self.newest];
        (slice.0, slice.1) = (slice.0 + harmed, slice.1 + all);
    }

    /// The harmed part of all, or of `least` where all is less.
    pub fn share(&self, now: Tenths, span: Tenths, least: f64) -> f64 {
        let (harmed, all) = self.sums(now, span);
        harmed / f64::max(all, least)
    }

    /// Harmed and all within the span.
    pub fn sums(&self, now: Tenths, span: Tenths) -> (f64, f64) {
        let mut window = *self;
        window.roll(now, span);
        window.slices.iter().fold((0.0, 0.0), |(h, a), s| (h + s.0, a + s.1))
    }
}

/// The share of shard requests that came to harm, of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRatio {
    pub harmed: DecayingCounter,
    pub all: DecayingCounter,
}

/// A configuration, and what decisions read of it, worked out once.
#[derive(Debug, Default)]
pub struct EffectiveConfig {
    pub config: BrokerConfig,
    pub rows: BTreeMap<ClassId, Arc<ClassPolicy>>,
    pub retry_budget: RetryBudget,
    pub shortest_goal: Tenths,
}

/// What a class's row holds.
#[derive(Debug)]
pub struct ClassPolicy {
    pub goal: Tenths,
    pub stretch: f64,
    pub deadline: Tenths,
    /// How long after its goal an attempt may still be of use.
    pub late_life: Tenths,
    /// An answer after the latency objective is worth waiting for.
    pub late_pays: bool,
    pub least: f64,
    pub whole: f64,
    pub two_steps: bool,
    pub effect: Idempotency,
    pub dedup_window: Tenths,
    pub priority_weight: f64,
}

/// What comes due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Objective(QueryId),
    Deadline(QueryId),
    /// An attempt's patience is up.
    AttemptCheck(ShardRequestId, AttemptNumber),
    /// A first step has had half of the latency objective.
    FirstPhaseHalfway(QueryId),
    /// A query that waits for room looks again.
    AdmissionCheck(QueryId),
    /// A waiting shard request tries again.
    Resend(ShardRequestId),
    WatchEndpoints,
}

/// What lives as long as the broker.
#[derive(Debug, Default)]
pub struct BrokerState {
    pub now: Tenths,
    pub effects: Vec<Effect>,
    pub nodes: BTreeMap<NodeId, Node>,
    /// The ready nodes of each cell.
    pub replicas_by_group: BTreeMap<PlacementGroupId, BTreeSet<NodeId>>,
    /// Over the ready nodes: how many, how many of them were heard of, the sum of their latencies.
    pub ready: usize,
    pub ready_heard: usize,
    pub latencies: Tenths,
    /// The same for each zone: how many were heard of, and the sum.
    pub zones: BTreeMap<ZoneId, (usize, i64)>,
    /// Nodes that a call of this turn goes to.
    pub nodes_with_open_batch: Vec<NodeId>,
    pub queries: BTreeMap<QueryId, Query>,
    pub groups: BTreeMap<GroupId, QueryId>,
    pub shard_requests: BTreeMap<ShardRequestId, (QueryId, usize)>,
    pub in_flight: BTreeMap<(ShardRequestId, AttemptNumber), InFlightAttempt>,
    pub timers: BTreeSet<(Tenths, Timer)>,
    pub woken_at: Option<Tenths>,
    /// Queries that got shard requests in this turn.
    pub fresh: BTreeSet<QueryId>,
    /// Queries that wait for room.
    pub waiting: BTreeSet<QueryId>,
    /// Queries that wait for word of their holders' load.
    pub probing: BTreeSet<QueryId>,
    /// Parts to be sent this turn, in order.
    pub wanted: Vec<ShardRequestId>,
    pub last_batch: BatchId,
    /// Smoothed latency over the nodes heard of.
    pub average: Option<Tenths>,
    pub baseline_latencies: BTreeMap<ClassId, BaselineLatency>,
    /// Over all shard requests, and over those of tenants within their share.
    pub pressure: [SlidingWindow; 2],
    /// Of attempts, those refused as full or timed out.
    pub refused: SlidingWindow,
    pub cutting: bool,
    /// Of all attempts, those that found their node down or saw it fall.
    pub falls: LossRatio,
    /// Of attempts after a lull, those lost: on kept connections, and on fresh ones.
    pub lost_connections: [LossRatio; 2],
    /// The shortest lull after which an attempt was dropped at once, and when that was last seen.
    pub dropped: Option<(Tenths, Tenths)>,
    /// How many shard requests this broker may have out.
    pub room: f64,
    pub out_at_turn: f64,
    /// What each class pays for a shard request, of late: over the minimum coverage, and over the whole.
    pub pays: BTreeMap<ClassId, [f64; 2]>,
    pub tenants: BTreeMap<TenantId, DecayingCounter>,
    /// Questions not asked again until then.
    pub barred: BTreeMap<(ClassId, BTreeSet<ShardId>), Tenths>,
    pub taken: VecDeque<Tenths>,
    pub retries: VecDeque<(Tenths, ShardRequestId, AttemptNumber)>,
    /// When shard requests were asked for.
    pub asked: VecDeque<Tenths>,
    /// No word of the endpoint list has come since it was last asked for.
    pub endpoint_list_is_stale: bool,
    pub endpoint_list_failures: u32,
    /// Terms that are no longer the newest, and until when they still bind: a window of theirs reaches back.
    pub past: Vec<(Tenths, Arc<EffectiveConfig>)>,
}

// What follows keeps the books; it decides nothing.

impl Query {
    /// As it is taken, before its shard requests are in hand.
    pub fn taken(
        new: &NewQuery,
        (terms, row): (Arc<EffectiveConfig>, Arc<ClassPolicy>),
        within_quota: bool,
        goal: Tenths,
        [objective_at, deadline_at]: [Tenths; 2],
    ) -> Query {
        Query {
            id: new.id,
            group: new.group,
            class: new.class,
            terms,
            row,
            within_quota,
            state: QueryState::Pending,
            goal,
            objective_at,
            deadline_at,
            second_step: false,
            first_whole: false,
            fallen: BTreeSet::new(),
            scouting: false,
            min_coverage_only: new.min_coverage_only,
            probed: None,
            shard_requests: Vec::new(),
        }
    }

    /// What it asks for; one that comes again asks for the same.
    pub fn question(&self) -> (ClassId, BTreeSet<ShardId>) {
        (self.class, self.shard_requests.iter().map(|shard_request| shard_request.shard).collect())
    }

    /// The weight of the shard requests at these stages.
    pub fn weight(&self, stages: &[ShardRequestState]) -> f64 {
        self.shard_requests.iter().filter(|p| stages.contains(&p.state)).map(|p| p.weight).sum()
    }
}

impl ShardRequest {
    /// How many of its attempts are out.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }
}

impl Node {
    /// How long what it told to wait there will take, at the rate that it told.
    pub fn queue(&self) -> Tenths {
        let told = self.told.filter(|load| load.sound);
        let seconds = told.and_then(|load| Some(load.queue? / load.rate?.max(1.0)));
        Tenths::from_ms(seconds.unwrap_or(0.0) * 1000.0)
    }

    /// What went to it while it was cold, from then on.
    pub fn slow_start_sent_since(&self, from: Tenths) -> impl Iterator<Item = ClassId> + '_ {
        self.slow_start_attempts.iter().rev().take_while(move |(at, _)| *at >= from).map(|(_, class)| *class)
    }

    /// A shard request's attempt has come to its end.
    pub fn leave(&mut self, call: BatchId) {
        if let Some(call) = self.batches.get_mut(&call) {
            call.parts_out -= 1;
        }
        self.batches.retain(|_, call| call.parts_out > 0);
    }
}

impl LossRatio {
    pub fn count(&mut self, now: Tenths, span: Tenths, harmed: f64, all: f64) {
        self.harmed.add(now, span, harmed);
        self.all.add(now, span, all);
    }

    /// The harmed part of all, or of `least` where all is less.
    pub fn share(&self, now: Tenths, span: Tenths, least: f64) -> f64 {
        self.harmed.read(now, span) / self.all.read(now, span).max(least)
    }
}

impl BrokerState {
    /// The mean of the smoothed latencies of the ready nodes that were heard of.
    pub fn mean_latency(&self) -> Option<Tenths> {
        (self.ready_heard > 0).then(|| Tenths(self.latencies.0 / self.ready_heard as i64))
    }

    /// The mean over a zone's ready nodes, as far as they were heard of, together with `more` at `average`.
    pub fn zone_mean(&self, zone: ZoneId, average: Tenths, more: f64) -> Tenths {
        let (heard, sum) = self.zones.get(&zone).copied().unwrap_or_default();
        Tenths(((sum as f64 + more * average.0 as f64) / (heard as f64 + more)) as i64)
    }

    /// Changes a node that is known, and keeps the sums over the ready ones right.
    pub fn amend(&mut self, id: NodeId, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let figures = |node: &Node| match (node.state, node.latency) {
            (EndpointState::Ready, Some(latency)) => (1_usize, 1_usize, latency.0),
            (EndpointState::Ready, None) => (1, 0, 0),
            _ => (0, 0, 0),
        };
        let (was, was_zone, before) = (node.placement_group, node.zone, figures(node));
        change(node);
        let (placement_group, zone, after, idle) =
            (node.placement_group, node.zone, figures(node), node.batches.is_empty());
        self.ready = self.ready + after.0 - before.0;
        self.ready_heard = self.ready_heard + after.1 - before.1;
        self.latencies = Tenths(self.latencies.0 + after.2 - before.2);
        let from = self.zones.entry(was_zone).or_default();
        *from = (from.0 - before.1, from.1 - before.2);
        let to = self.zones.entry(zone).or_default();
        *to = (to.0 + after.1, to.1 + after.2);
        if before.0 == 1 && (after.0 == 0 || was != placement_group) {
            self.replicas_by_group.get_mut(&was).into_iter().for_each(|set| _ = set.remove(&id));
        }
        if after.0 == 1 && (before.0 == 0 || was != placement_group) {
            self.replicas_by_group.entry(placement_group).or_default().insert(id);
        } else if after.0 == 0 && idle && self.nodes[&id].state == EndpointState::Removed {
            self.nodes.remove(&id);
        }
    }

    pub fn hold(&mut self, r: Query) {
        self.taken.push_back(self.now);
        self.groups.insert(r.group, r.id);
        self.fresh.insert(r.id);
        self.timers.insert((r.objective_at, Timer::Objective(r.id)));
        self.timers.insert((r.deadline_at, Timer::Deadline(r.id)));
        self.put(r);
    }

    pub fn put(&mut self, r: Query) {
        if r.state != QueryState::Pending {
            self.waiting.remove(&r.id);
            self.probing.remove(&r.id);
        }
        self.queries.insert(r.id, r);
    }

    /// A shard request is to be sent this turn.
    pub fn want(&mut self, shard_request: &mut ShardRequest) {
        shard_request.state = ShardRequestState::Queued;
        self.asked.push_back(self.now);
        self.wanted.push(shard_request.id);
    }

    /// Takes the query of a shard request out, to be put back; with the shard request's place in it.
    pub fn lift(&mut self, shard_request: ShardRequestId) -> Option<(Query, usize)> {
        let (id, at) = *self.shard_requests.get(&shard_request)?;
        Some((self.queries.remove(&id)?, at))
    }

    /// Strikes a query; what it still has out is called off, where that is allowed.
    pub fn let_go(&mut self, r: &Query, allow_cancel: bool) {
        self.withdraw_all(r, allow_cancel);
        r.shard_requests.iter().for_each(|shard_request| _ = self.shard_requests.remove(&shard_request.id));
        self.groups.remove(&r.group);
        self.waiting.remove(&r.id);
        self.probing.remove(&r.id);
        self.timers.remove(&(r.objective_at, Timer::Objective(r.id)));
        self.timers.remove(&(r.deadline_at, Timer::Deadline(r.id)));
    }

    /// Strikes a first step's shard requests, likewise.
    pub fn drop_parts(&mut self, r: &mut Query, allow_cancel: bool) {
        self.withdraw_all(r, allow_cancel);
        r.fallen.clear();
        r.shard_requests
            .drain(..)
            .for_each(|shard_request| _ = self.shard_requests.remove(&shard_request.id));
    }

    pub fn add_shard_request(&mut self, new: &NewShardRequest) {
        self.taken.push_back(self.now);
        let Some(id) = self.groups.get(&new.group) else { return };
        let Some(r) = self.queries.get_mut(id) else { return };
        self.fresh.insert(*id);
        let (state, flowing, attempts) = (ShardRequestState::Unsent, false, Vec::new());
        r.shard_requests.push(ShardRequest {
            id: new.id,
            shard: new.shard,
            weight: new.weight,
            state,
            flowing,
            attempts,
        });
    }

    /// Puts a query's shard requests in the order of their ranks.
    pub fn rank_parts(&mut self, id: QueryId) {
        let Some(r) = self.queries.get_mut(&id) else { return };
        r.shard_requests.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        for (at, shard_request) in r.shard_requests.iter().enumerate() {
            self.shard_requests.insert(shard_request.id, (id, at));
        }
    }

    /// Asks a node anew; what it told before no longer counts.
    pub fn probe(&mut self, id: NodeId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            (node.probe_sent_at, node.told) = (Some(self.now), None);
            self.effects.push(Effect::Probe { node: id });
        }
    }

    /// Keeps what a probe told; who waits for word looks again.
    pub fn note_probed(&mut self, probed: &ProbeResult) {
        let sound = |told: &&(LoadMetric, f64)| told.1.is_finite() && told.1 >= 0.0;
        let number = |told| probed.report.iter().filter(sound).find(|t| t.0 == told).map(|t| t.1);
        let load = LoadReport {
            at: self.now,
            sound: probed.sound,
            queue: number(LoadMetric::QueueLength),
            rate: number(LoadMetric::ServiceRate),
        };
        if let Some(node) = self.nodes.get_mut(&probed.node) {
            (node.probe_sent_at, node.told) = (None, Some(load));
        }
        self.fresh.extend(&self.probing);
    }

    pub fn bind(&mut self, shard_request: &ShardRequestId) {
        let Some((id, at)) = self.shard_requests.get(shard_request) else { return };
        if let Some(r) = self.queries.get_mut(id) {
            r.shard_requests[*at].flowing = true;
        }
    }

    /// The call that an attempt of this turn to this node travels in.
    pub fn join_batch(
        &mut self,
        id: NodeId,
        max_batch_size: u32,
        warming_up: Option<ClassId>,
        line: Option<(ConnectionUse, Tenths)>,
    ) -> BatchId {
        let now = self.now;
        let node = self.nodes.entry(id).or_default();
        let (call, shard_requests) = match node.open_batch {
            Some((call, shard_requests)) if shard_requests < max_batch_size => (call, shard_requests + 1),
            _ => {
                self.last_batch.0 += 1;
                (self.last_batch, 1)
            }
        };
        (node.open_batch, node.connection) = (Some((call, shard_requests)), line);
        self.nodes_with_open_batch.push(id);
        node.batches.entry(call).or_insert(Batch { sent: now, parts_out: 0 }).parts_out += 1;
        node.slow_start_attempts.extend(warming_up.map(|class| (now, class)));
        call
    }

    /// The turn's calls leave; what is sent later travels in others.
    pub fn close_batches(&mut self) {
        for id in self.nodes_with_open_batch.drain(..) {
            self.nodes.get_mut(&id).into_iter().for_each(|node| node.open_batch = None);
        }
    }

    /// Enters what the endpoint list says of a node; tells whether its process is newer than the one known.
    pub fn apply_endpoint(&mut self, entry: &Endpoint) -> bool {
        self.nodes.entry(entry.node).or_default();
        let (mut newer, now) = (false, self.now);
        self.amend(entry.node, |node| {
            newer = entry.started_at > node.started_at;
            node.start_known_at = if newer { now } else { node.start_known_at };
            node.started_at = node.started_at.max(entry.started_at);
            (node.zone, node.placement_group, node.state) = (entry.zone, entry.placement_group, entry.state);
        });
        newer
    }

    /// Takes an endpoint list in, and tells which nodes run a newer process than the one known.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) -> Vec<NodeId> {
        if list.kind != EndpointListKind::Cached {
            (self.endpoint_list_failures, self.endpoint_list_is_stale) = (0, false);
        }
        if list.kind != EndpointListKind::Delta {
            self.remove_unlisted(list);
        }
        list.entries.iter().filter(|entry| self.apply_endpoint(entry)).map(|entry| entry.node).collect()
    }

    /// What a full roll does not name is gone.
    pub fn remove_unlisted(&mut self, list: &EndpointList) {
        let listed: BTreeSet<NodeId> = list.entries.iter().map(|entry| entry.node).collect();
        let gone: Vec<NodeId> = self.nodes.keys().copied().filter(|id| !listed.contains(id)).collect();
        for id in gone {
            self.amend(id, |node| node.state = EndpointState::Removed);
        }
    }

    /// How many shard requests were asked for, one at the least, and over which span, this at the least.
    pub fn asked_lately(&self, least: Tenths) -> (f64, Tenths) {
        let span = self.asked.front().map_or(Tenths::ZERO, |at| self.now - *at);
        (self.asked.len().max(1) as f64, span.max(least))
    }

    /// Drops what was taken, and what was pushed further, before these moments.
    pub fn forget(&mut self, taken: Tenths, retries: Tenths) {
        while self.taken.pop_front_if(|at| *at < taken).is_some() {}
        while self.asked.pop_front_if(|at| *at < taken).is_some() {}
        while self.retries.pop_front_if(|retry| retry.0 < retries).is_some() {}
    }

    /// An attempt was dropped at once after such a lull; the shortest known counts, if it was seen in the span.
    pub fn note_dropped(&mut self, idle_period: Tenths, span: Tenths) {
        let known = self.dropped.filter(|(_, at)| self.now - *at < span);
        self.dropped = Some((known.map_or(idle_period, |(after, _)| after.min(idle_period)), self.now));
    }

    /// The ready nodes that hold a shard request's shard.
    pub fn replicas_of<'a>(
        &'a self,
        layout: &'a ShardLayout,
        shard_request: &ShardRequest,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let ids = layout
            .groups_of(shard_request.shard)
            .filter_map(|placement_group| self.replicas_by_group.get(&placement_group));
        ids.flatten().copied()
    }

    /// How long a class's shard requests take, in tenths of a millisecond; `unheard` where too few were heard of.
    pub fn baseline_latency(&self, class: ClassId, unheard: Tenths) -> f64 {
        let least = self.baseline_latencies.get(&class).and_then(|baseline_latency| baseline_latency.least);
        least.unwrap_or(unheard).max(Tenths(1)).0 as f64
    }

    /// Says when the cut begins and ends.
    pub fn note_cutting(&mut self, pressure: f64, cutting: bool) {
        if std::mem::replace(&mut self.cutting, cutting) != cutting {
            let word = if cutting { "light parts stay unsent" } else { "all parts are sent again" };
            self.effects.push(Effect::Say(format!("pressure {pressure:.2}: {word}")));
        }
    }

    /// A question is not asked again until then.
    pub fn bar(&mut self, r: &Query, until: Tenths) {
        self.barred.insert(r.question(), until);
        let word = format!("barred: {} nodes fell with a retrieval", r.fallen.len());
        self.effects.push(Effect::Say(word));
    }

    /// Keeps what a class pays, the newest counting for this share.
    pub fn note_pays(&mut self, class: ClassId, pays: [f64; 2], newest: f64) {
        let usual = self.pays.entry(class).or_insert(pays);
        usual.iter_mut().zip(pays).for_each(|(usual, new)| *usual += (new - *usual) * newest);
    }

    /// Adds to both gauges, or to the one over all shard requests.
    pub fn count_harm(&mut self, span: Tenths, within_quota: bool, harmed: f64, all: f64) {
        for gauge in self.pressure.iter_mut().take(1 + usize::from(within_quota)) {
            gauge.count(self.now, span, harmed, all);
        }
    }

    /// Whether its question is one not to be asked; forgets those that were, long enough ago.
    pub fn is_barred(&mut self, r: &Query) -> bool {
        let now = self.now;
        self.barred.retain(|_, until| *until > now);
        self.barred.contains_key(&r.question())
    }

    /// Calls off all that a query still has out, where that is allowed.
    fn withdraw_all(&mut self, r: &Query, allowed: bool) {
        for shard_request in r.shard_requests.iter().filter(|shard_request| allowed && !shard_request.flowing)
        {
            let out =
                shard_request.attempts.iter().enumerate().filter(|(_, p)| p.execution == Execution::InFlight);
            let withdraw = |(no, _)| Effect::Cancel {
                shard_request: shard_request.id,
                attempt: AttemptNumber(no as u16),
            };
            self.effects.extend(out.map(withdraw));
        }
    }

    /// One wake-up is under way for the first thing on the agenda.
    pub fn ask_to_be_woken(&mut self) {
        let Some(&(at, _)) = self.timers.first() else { return };
        if self.woken_at.is_none_or(|woken| woken <= self.now || woken > at) {
            self.woken_at = Some(at);
            self.effects.push(Effect::Wake { after: at - self.now });
        }
    }
}
