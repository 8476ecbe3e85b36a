//! What lives as long as the broker, and its counters.

use super::attempt::{AttemptId, ConnectionUse, InFlightAttempt};
use super::node::{LoadReport, Node};
use super::query::{Query, QuerySignature};
use super::replica_group::ReplicaGroup;
use crate::effective_config::EffectiveConfig;
use crate::effects::Effect;
use crate::ids::{BatchId, ClassId, GroupId, NodeId, PlacementGroupId, QueryId, ShardRequestId};
use crate::ids::{TenantId, ZoneId};
use crate::inputs::{LoadMetric, ProbeResult};
use crate::log_event::LogEvent;
use crate::state::query::ShardRequest;
use crate::statistics::{BaselineLatency, DecayingCounter, LossRatio, SlidingWindow};
use crate::time::Tenths;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What happens at a time. Timers of one moment fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A query's latency objective is near.
    Objective(QueryId),
    /// A query's deadline is near.
    Deadline(QueryId),
    /// An attempt has been in flight for the hedge delay.
    AttemptCheck(AttemptId),
    /// A first phase has had half of the latency objective.
    FirstPhaseHalfway(QueryId),
    /// A query that waits to be admitted is looked at again.
    AdmissionCheck(QueryId),
    /// A queued shard request tries again.
    Resend(ShardRequestId),
    /// The watch of the endpoint list is opened anew.
    WatchEndpoints,
}

/// A timer and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScheduledTimer {
    pub(crate) at: Tenths,
    pub(crate) timer: Timer,
}

/// Where a shard request is found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardRequestPlace {
    pub(crate) query: QueryId,
    /// In the query's list.
    pub(crate) index: usize,
}

/// Over the ready nodes of a zone whose latency is known: how many, and the sum of their latencies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneLatency {
    pub(crate) nodes: usize,
    pub(crate) sum: i64,
}

/// An attempt beyond a shard request's first, as the retry budget counts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    pub(crate) sent_at: Tenths,
    pub(crate) attempt: AttemptId,
}

/// A configuration that is no longer the newest, and until when it still binds.
#[derive(Debug)]
pub(crate) struct SupersededConfig {
    pub(crate) binds_until: Tenths,
    pub(crate) config: Arc<EffectiveConfig>,
}

/// The shortest idle period after which an attempt's connection was lost at once, and when that was last
/// seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostIdleConnection {
    pub(crate) idle_period: Tenths,
    pub(crate) seen_at: Tenths,
}

/// Priority weight that a class yields for each shard request, of late.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassYield {
    /// Where only the minimum coverage is sent.
    pub(crate) at_min_coverage: f64,
    /// Where all is sent.
    pub(crate) at_full_coverage: f64,
}

/// Pressure: the share of shard requests that overload has cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure<const SLICES: usize> {
    pub(crate) all: SlidingWindow<SLICES>,
    /// Over those of tenants within their quota.
    pub(crate) within_quota: SlidingWindow<SLICES>,
}

/// Attempts that were lost after an idle period, by the connection they went out on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionLosses {
    pub(crate) reused: LossRatio,
    pub(crate) new: LossRatio,
}

/// All state of a broker; pressure is counted in so many slices of its span.
#[derive(Debug, Default)]
pub(crate) struct BrokerState<const SLICES: usize> {
    /// The moment of this turn.
    pub(crate) now: Tenths,
    /// What this turn does.
    pub(crate) effects: Vec<Effect>,

    pub(crate) nodes: BTreeMap<NodeId, Node>,
    /// The ready nodes of each placement group.
    pub(crate) replicas_by_group: BTreeMap<PlacementGroupId, ReplicaGroup>,
    /// Seeds the order in which this broker takes the replicas of a large group.
    pub(crate) replica_draw: u64,
    pub(crate) ready_nodes: usize,
    /// Ready nodes whose latency is known, and the sum of their latencies.
    pub(crate) measured_nodes: usize,
    pub(crate) latency_sum: Tenths,
    pub(crate) zones: BTreeMap<ZoneId, ZoneLatency>,
    pub(crate) nodes_with_open_batch: Vec<NodeId>,
    pub(crate) last_batch: BatchId,
    /// Discovery has given an endpoint list since the start.
    pub(crate) has_endpoint_list: bool,
    /// No word of the endpoint list has come since it was last asked for.
    pub(crate) endpoint_list_is_stale: bool,
    pub(crate) endpoint_list_failures: u32,

    pub(crate) queries: BTreeMap<QueryId, Query>,
    pub(crate) groups: BTreeMap<GroupId, QueryId>,
    pub(crate) shard_requests: BTreeMap<ShardRequestId, ShardRequestPlace>,
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Queries that got shard requests, or news that they wait for, in this turn.
    pub(crate) updated_queries: BTreeSet<QueryId>,
    /// Queries that wait for room under the concurrency limit.
    pub(crate) admission_queue: BTreeSet<QueryId>,
    /// Queries that wait for load reports of their replicas.
    pub(crate) awaiting_load: BTreeSet<QueryId>,
    /// Shard requests to be sent this turn, in order.
    pub(crate) to_send: Vec<ShardRequestId>,
    /// Queries of death, and until when they are refused.
    pub(crate) quarantined: BTreeMap<QuerySignature, Tenths>,

    pub(crate) timers: BTreeSet<ScheduledTimer>,
    /// When the wake-up that was asked for comes.
    pub(crate) wake_at: Option<Tenths>,

    /// Smoothed latency over all nodes, as of this turn; none before any was measured.
    pub(crate) average_latency: Option<Tenths>,
    pub(crate) baseline_latencies: BTreeMap<ClassId, BaselineLatency>,
    pub(crate) pressure: Pressure<SLICES>,
    /// Attempts refused as overloaded or timed out, out of all.
    pub(crate) overloaded_attempts: SlidingWindow<SLICES>,
    /// The cutoff is leaving light shard requests unsent.
    pub(crate) cutoff_active: bool,
    /// Attempts that found their node down or saw it go down.
    pub(crate) node_failures: LossRatio,
    pub(crate) connection_losses: ConnectionLosses,
    pub(crate) lost_idle_connection: Option<LostIdleConnection>,
    /// How many shard requests this broker may have in flight.
    pub(crate) concurrency_limit: f64,
    pub(crate) in_flight_this_turn: f64,
    pub(crate) yields: BTreeMap<ClassId, ClassYield>,
    pub(crate) tenant_rates: BTreeMap<TenantId, DecayingCounter>,
    /// When queries and shard requests were accepted.
    pub(crate) accepted_at: VecDeque<Tenths>,
    pub(crate) retries: VecDeque<Retry>,
    /// When shard requests were first queued.
    pub(crate) requested_at: VecDeque<Tenths>,
    pub(crate) superseded_configs: Vec<SupersededConfig>,
}

impl ConnectionLosses {
    pub(crate) fn of(&mut self, usage: ConnectionUse) -> &mut LossRatio {
        match usage {
            ConnectionUse::Reused => &mut self.reused,
            ConnectionUse::New => &mut self.new,
        }
    }
}

impl<const SLICES: usize> BrokerState<SLICES> {
    /// Schedules a timer.
    pub(crate) fn schedule(&mut self, at: Tenths, timer: Timer) {
        self.timers.insert(ScheduledTimer { at, timer });
    }

    /// Takes the first timer that is due.
    pub(crate) fn pop_due_timer(&mut self) -> Option<Timer> {
        let first = *self.timers.first().filter(|scheduled| scheduled.at <= self.now)?;
        self.timers.remove(&first);
        Some(first.timer)
    }

    /// Asks to be woken for the first timer, unless a wake-up that comes in time is under way.
    pub(crate) fn request_wake(&mut self) {
        let Some(&ScheduledTimer { at, .. }) = self.timers.first() else { return };
        if self.wake_at.is_none_or(|wake_at| wake_at <= self.now || wake_at > at) {
            self.wake_at = Some(at);
            self.effects.push(Effect::Wake { after: at - self.now });
        }
    }

    /// Adds to the pressure over all shard requests, and to that of tenants within their quota where it was
    /// one.
    pub(crate) fn count_overload(&mut self, span: Tenths, within_quota: bool, overloaded: f64, total: f64) {
        self.pressure.all.count(self.now, span, overloaded, total);
        if within_quota {
            self.pressure.within_quota.count(self.now, span, overloaded, total);
        }
    }

    /// Remembers whether the cutoff is active, and logs when that changes.
    pub(crate) fn set_cutoff_active(&mut self, pressure: f64, active: bool) {
        if std::mem::replace(&mut self.cutoff_active, active) != active {
            let event = match active {
                true => LogEvent::CutoffActivated { pressure },
                false => LogEvent::CutoffDeactivated { pressure },
            };
            self.effects.push(Effect::Log(event));
        }
    }

    /// Refuses queries that ask the same until then.
    pub(crate) fn quarantine(&mut self, query: &Query, until: Tenths) {
        self.quarantined.insert(query.signature(), until);
        let lost_nodes = query.lost_nodes.len();
        self.effects.push(Effect::Log(LogEvent::QueryQuarantined { lost_nodes }));
    }

    /// Whether a query is refused; forgets those whose time is over.
    pub(crate) fn refuses(&mut self, query: &Query) -> bool {
        let now = self.now;
        self.quarantined.retain(|_, until| *until > now);
        self.quarantined.contains_key(&query.signature())
    }

    /// Smooths a class's yield, the newest counting for this share.
    pub(crate) fn record_yield(&mut self, class: ClassId, new: ClassYield, newest_share: f64) {
        let usual = self.yields.entry(class).or_insert(new);
        usual.at_min_coverage += (new.at_min_coverage - usual.at_min_coverage) * newest_share;
        usual.at_full_coverage += (new.at_full_coverage - usual.at_full_coverage) * newest_share;
    }

    /// The best yield of any class, this one at the least.
    pub(crate) fn best_yield(&self, own: f64, kind: impl Fn(&ClassYield) -> f64) -> f64 {
        self.yields.values().map(kind).fold(own, f64::max).max(f64::MIN_POSITIVE)
    }

    /// An attempt's connection was lost at once after such an idle period; the shortest known counts, if it
    /// was seen within the span.
    pub(crate) fn record_lost_idle_connection(&mut self, idle_period: Tenths, span: Tenths) {
        let known = self.lost_idle_connection.filter(|lost| self.now - lost.seen_at < span);
        let shortest = known.map_or(idle_period, |lost| lost.idle_period.min(idle_period));
        self.lost_idle_connection = Some(LostIdleConnection { idle_period: shortest, seen_at: self.now });
    }

    /// A connection was lost within the span after no longer an idle period.
    pub(crate) fn has_lost_idle_connection(&self, idle_period: Tenths, span: Tenths) -> bool {
        self.lost_idle_connection
            .is_some_and(|lost| idle_period >= lost.idle_period && self.now - lost.seen_at < span)
    }

    /// How long a class's shard requests take at best, in tenths of a millisecond; `unknown` where too few
    /// were measured.
    pub(crate) fn baseline_latency(&self, class: ClassId, unknown: Tenths) -> f64 {
        let lowest = self.baseline_latencies.get(&class).and_then(|baseline| baseline.lowest_mean);
        lowest.unwrap_or(unknown).max(Tenths(1)).0 as f64
    }

    /// How many shard requests were first queued of late, one at the least, and over which span, this at the
    /// least.
    pub(crate) fn requested_lately(&self, min_span: Tenths) -> (f64, Tenths) {
        let span = self.requested_at.front().map_or(Tenths::ZERO, |at| self.now - *at);
        (self.requested_at.len().max(1) as f64, span.max(min_span))
    }

    /// How many queries and shard requests were accepted from then on, as far as it is remembered.
    pub(crate) fn accepted_since(&self, from: Tenths) -> usize {
        self.accepted_at.len() - self.accepted_at.partition_point(|at| *at < from)
    }

    /// How many retries were sent from then on, as far as it is remembered.
    pub(crate) fn retried_since(&self, from: Tenths) -> usize {
        self.retries.len() - self.retries.partition_point(|retry| retry.sent_at < from)
    }

    /// Drops what was accepted, and what was retried, before these moments.
    pub(crate) fn forget_before(&mut self, accepted: Tenths, retried: Tenths) {
        while self.accepted_at.pop_front_if(|at| *at < accepted).is_some() {}
        while self.requested_at.pop_front_if(|at| *at < accepted).is_some() {}
        while self.retries.pop_front_if(|retry| retry.sent_at < retried).is_some() {}
    }

    /// Sends a probe; what the node told before no longer counts.
    pub(crate) fn probe(&mut self, id: NodeId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.probe_sent_at = Some(self.now);
            node.load = None;
            self.effects.push(Effect::Probe { node: id });
        }
    }

    /// Keeps a probe's result; queries that wait for load reports are looked at again.
    pub(crate) fn record_probe_result(&mut self, result: &ProbeResult) {
        let is_usable = |value: &f64| value.is_finite() && *value >= 0.0;
        let figure = |metric: LoadMetric| {
            let values = result.report.iter().filter(|(_, value)| is_usable(value));
            values.clone().find(|(reported, _)| *reported == metric).map(|(_, value)| *value)
        };
        let load = LoadReport {
            received_at: self.now,
            is_valid: result.is_valid,
            queue_length: figure(LoadMetric::QueueLength),
            service_rate: figure(LoadMetric::ServiceRate),
        };
        if let Some(node) = self.nodes.get_mut(&result.node) {
            node.probe_sent_at = None;
            node.load = Some(load);
        }
        self.updated_queries.extend(&self.awaiting_load);
    }

    /// Replicas of a query's shards that have no load report younger than this share of its latency
    /// objective, and owe none.
    pub(crate) fn replicas_without_load(&self, query: &Query, max_age: f64) -> BTreeSet<NodeId> {
        let (now, objective) = (self.now, query.policy.latency_objective);
        let max_age = objective.times(max_age);
        let is_unknown = |id: &NodeId| {
            let node = &self.nodes[id];
            let is_asked = node.probe_sent_at.is_some_and(|at| now - at <= objective);
            !is_asked && node.load.is_none_or(|load| now - load.received_at > max_age)
        };
        let config = &query.config;
        let replicas = query.shard_requests.iter().flat_map(|s| self.replicas_of(config, s, |_| true));
        replicas.filter(is_unknown).collect()
    }

    /// A replica of a query's shards owes a load report.
    pub(crate) fn any_replica_owes_load(&self, query: &Query) -> bool {
        let is_asked = |id: NodeId| self.nodes[&id].probe_sent_at.is_some();
        let config = &query.config;
        query.shard_requests.iter().any(|s| self.replicas_of(config, s, |_| true).any(is_asked))
    }

    /// What the attempts that went to a warming node since then cost it, in tenths of a millisecond.
    pub(crate) fn slow_start_cost_since(&self, node: &Node, from: Tenths, unknown: Tenths) -> f64 {
        node.slow_start_sent_since(from).map(|class| self.baseline_latency(class, unknown)).sum()
    }

    /// The ready nodes that hold a shard request's shard and are usable: so many of each placement group as
    /// the configuration says, by this broker's own draw.
    pub(crate) fn replicas_of<'a>(
        &'a self,
        config: &'a EffectiveConfig,
        shard_request: &ShardRequest,
        is_usable: impl Fn(NodeId) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let most = config.max_group_replicas;
        let groups = config.broker.layout.groups_of(shard_request.shard);
        let groups = groups.filter_map(|group| self.replicas_by_group.get(&group));
        groups.flat_map(move |group| group.candidates(most).filter(move |id| is_usable(*id)).take(most))
    }
}
