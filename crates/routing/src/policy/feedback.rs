//! What the end of an attempt tells of its query, its node and its connection.

use super::AttemptOutcome::{Cancelled, ConnectFailed, ConnectionLost, Errored, LocalShortage};
use super::AttemptOutcome::{NotSent, Overloaded, Succeeded, TimedOut};
use super::Execution::{MaybeExecuted, NotExecuted, Unsent};
use super::*;

/// The span over which connections lost after an idle period are counted.
const CONNECTION_LOSS_SPAN: Tenths = Tenths(300_000);
/// So many latencies make a mean that luck does not bend.
const BASELINE_SAMPLES: f64 = 32.0;
/// Failures in a row that are told apart: the penalty doubles with each.
const MAX_CONSECUTIVE_FAILURES: u32 = 16;
/// The concurrency limit aims at this share of the latency objective, and grows so much in the time of one.
const TARGET_LATENCY: f64 = 0.25;
const MAX_LIMIT_GROWTH: f64 = 1.5;

/// What an outcome means: for the execution, whether it is overload that counts as pressure, whether the node
/// is to blame, and whether its process looks down.
pub(crate) struct Meaning {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) execution: Execution,
    overload: bool,
    blame: bool,
    down: bool,
}

#[rustfmt::skip]
const MEANINGS: &[Meaning] = &[
    Meaning { outcome: Succeeded,      execution: MaybeExecuted, overload: false, blame: false, down: false },
    Meaning { outcome: Errored,        execution: MaybeExecuted, overload: false, blame: true,  down: false },
    Meaning { outcome: Overloaded,     execution: NotExecuted,   overload: true,  blame: true,  down: false },
    Meaning { outcome: TimedOut,       execution: MaybeExecuted, overload: true,  blame: true,  down: false },
    Meaning { outcome: ConnectFailed,  execution: NotExecuted,   overload: false, blame: true,  down: true },
    Meaning { outcome: ConnectionLost, execution: MaybeExecuted, overload: false, blame: true,  down: true },
    Meaning { outcome: Cancelled,      execution: MaybeExecuted, overload: false, blame: false, down: false },
    Meaning { outcome: NotSent,        execution: Unsent,        overload: false, blame: false, down: false },
    Meaning { outcome: LocalShortage,  execution: Unsent,        overload: false, blame: false, down: false },
];

impl AttemptOutcome {
    pub(crate) fn meaning(self) -> Option<&'static Meaning> {
        MEANINGS.iter().find(|meaning| meaning.outcome == self)
    }

    /// Whether it says something of how nodes bear the load: the attempt was sent, and ended by itself.
    pub fn tells_of_load(self) -> bool {
        self != Cancelled && self.meaning().is_some_and(|meaning| meaning.execution != Unsent)
    }

    /// Whether it counts as overload in the pressure.
    pub fn is_overload(self) -> bool {
        self.meaning().is_some_and(|meaning| meaning.overload)
    }
}

impl Broker {
    /// What a shard request comes to when an attempt of it has ended.
    pub(crate) fn state_after(&self, query: &Query, index: usize, end: AttemptOutcome) -> ShardRequestState {
        let shard_request = &query.shard_requests[index];
        match end {
            _ if shard_request.state == ShardRequestState::Received => ShardRequestState::Received,
            Succeeded => ShardRequestState::Received,
            _ if shard_request.attempts_in_flight() > 0 => ShardRequestState::InFlight,
            NotSent => ShardRequestState::Failed,
            _ if query.state != QueryState::InFlight => ShardRequestState::Failed,
            _ if self.may_retry(query, index, false) => ShardRequestState::Queued,
            _ => ShardRequestState::Failed,
        }
    }

    pub(crate) fn learn(&mut self, attempt: &InFlightAttempt, result: &AttemptResult, meaning: &Meaning) {
        let now = self.state.now;
        if meaning.execution != Unsent {
            self.learn_of_connection(attempt, result, meaning);
        }
        if result.outcome.tells_of_load() {
            let [overload, down] = [meaning.overload, meaning.down].map(|is| f64::from(u8::from(is)));
            self.state.node_failures.count(now, SMOOTHING_SPAN, down, 1.0);
            self.state.count_overload(SMOOTHING_SPAN, attempt.within_quota, overload, 1.0);
            self.state.overloaded_attempts.count(now, SMOOTHING_SPAN, overload, 1.0);
            self.adapt_limit(attempt, result.duration);
        }
        if result.outcome == Succeeded {
            let baseline = self.state.baseline_latencies.entry(attempt.class).or_default();
            baseline.record(result.duration, BASELINE_SAMPLES);
        }
        self.learn_of_node(attempt, result, meaning);
    }

    /// Counts whether an attempt after an idle period was lost with its connection.
    fn learn_of_connection(&mut self, attempt: &InFlightAttempt, result: &AttemptResult, meaning: &Meaning) {
        let Some(connection) = attempt.after_idle else { return };
        let (now, sent_at) = (self.state.now, self.state.now - result.duration);
        let is_silent = self.state.nodes.get(&attempt.node).is_none_or(|n| sent_at >= n.last_success_at);
        let is_late = result.duration > self.average_latency();
        let is_lost = meaning.blame || result.outcome == Cancelled && is_silent && is_late;
        let [lost, counted] = [is_lost, attempt.counted_unresponsive].map(|is| f64::from(u8::from(is)));
        let losses = self.state.connection_losses.of(connection.usage);
        losses.count(now, CONNECTION_LOSS_SPAN, lost - counted, 1.0 - counted);
        let was_cut = result.outcome == ConnectionLost && attempt.on_reused_connection();
        if was_cut && result.duration <= self.config.broker.period.times(2.0) {
            self.state.record_lost_idle_connection(connection.idle_period, CONNECTION_LOSS_SPAN);
        }
    }

    /// Guards against quick errors that would make a dead node look fast: a failure counts as the average
    /// latency at least, doubled for each failure in a row.
    fn learn_of_node(&mut self, attempt: &InFlightAttempt, result: &AttemptResult, meaning: &Meaning) {
        let (now, average, duration) = (self.state.now, self.average_latency(), result.duration);
        let was_cut = result.outcome == ConnectionLost && attempt.on_reused_connection();
        self.state.update_node(attempt.node, |node| {
            node.end_attempt_of(attempt.batch);
            let is_early = node.latency.is_some_and(|latency| duration < latency);
            if meaning.execution == Unsent || was_cut || result.outcome == Cancelled && is_early {
                return;
            }
            // Those in flight together fail together: one failure in a row, not many.
            if meaning.blame && now - duration >= node.failed_at {
                node.count_failure(now, MAX_CONSECUTIVE_FAILURES);
            }
            let doublings = f64::from(1 << node.consecutive_failures);
            let penalty = average.times(doublings).min(attempt.latency_objective);
            let latency = if meaning.blame { duration.max(penalty) } else { duration };
            node.record_latency(now, latency, NEWEST_SHARE);
            if result.outcome == Succeeded {
                node.record_success(now, now - duration);
            }
            // It may come back cold before the endpoint list says so. One lost connection is not enough, or
            // resets would starve healthy nodes: one that is down refuses the next.
            if meaning.down && meaning.execution == NotExecuted && node.consecutive_failures > 1 {
                node.assume_started(now);
            }
        });
    }

    /// Little's law: with so many in flight this one took so long, so at the target latency fewer may be, or
    /// more. The limit grows only where it is used.
    fn adapt_limit(&mut self, attempt: &InFlightAttempt, duration: Tenths) {
        let limit = self.state.concurrency_limit;
        let max_limit = f64::from(self.config.broker.limits.max_open.max(1));
        let ratio = attempt.latency_objective.times(TARGET_LATENCY).over(duration).min(MAX_LIMIT_GROWTH);
        let fitting = if ratio < 1.0 { attempt.in_flight_at_send.min(limit) * ratio } else { limit * ratio };
        if ratio < 1.0 || attempt.limit_was_used {
            let step = (fitting - limit) / limit.max(MIN_SAMPLES);
            self.state.concurrency_limit = (limit + step).clamp(1.0, max_limit);
        }
    }

    /// Guards against connections dropped unseen while idle, which looks like many sick nodes: attempts after
    /// an idle period are dropped at once, where a dead node would refuse the connection, or a fifth of them
    /// are lost on reused ones and half as many on new ones. Then idle ones are closed before an attempt,
    /// sooner where that must succeed. Harm: handshakes.
    pub(super) fn connection_after_idle(&mut self, id: NodeId, must: bool) -> Option<ConnectionAfterIdle> {
        let (node, objective) = (&self.state.nodes[&id], self.config.shortest_objective);
        let idle_period = self.state.now - node.last_success_at;
        let is_idle = node.batches.is_empty() && node.last_success_at > Tenths::ZERO;
        if !is_idle || idle_period < objective.times(MIN_HEDGE_DELAY) {
            return node.open_batch.and(node.connection);
        }
        let was_lost = self.state.has_lost_idle_connection(idle_period, CONNECTION_LOSS_SPAN);
        let is_too_risky = must && idle_period > objective.times(MAX_HEDGE_DELAY);
        if !was_lost && !is_too_risky && !self.reused_connections_fail() {
            return Some(ConnectionAfterIdle { usage: ConnectionUse::Reused, idle_period });
        }
        self.state.effects.push(Effect::CloseIdle { node: id });
        Some(ConnectionAfterIdle { usage: ConnectionUse::New, idle_period })
    }

    fn reused_connections_fail(&self) -> bool {
        let (now, losses) = (self.state.now, &self.state.connection_losses);
        let share = |of: &LossRatio| of.share(now, CONNECTION_LOSS_SPAN, MIN_SAMPLES);
        let (reused, new) = (share(&losses.reused), share(&losses.new));
        reused >= 2.0 * PRESSURE_THRESHOLD && new <= reused / 2.0
    }

    /// Counts an attempt that is silent on a reused connection as lost; whether so many were that it is.
    pub(super) fn count_unresponsive(&mut self, id: AttemptId) -> bool {
        let attempt = self.state.in_flight.get_mut(&id);
        let Some(attempt) = attempt.filter(|attempt| attempt.on_reused_connection()) else { return false };
        if !std::mem::replace(&mut attempt.counted_unresponsive, true) {
            let reused = &mut self.state.connection_losses.reused;
            reused.count(self.state.now, CONNECTION_LOSS_SPAN, 1.0, 1.0);
        }
        self.reused_connections_fail()
    }
}
