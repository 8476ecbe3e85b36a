//! Idle connections: decides whether a connection that was idle is reused or replaced by a new one.
//!
//! Middleboxes between broker and node may silently drop idle connections, and an attempt that is sent on
//! such a connection is lost. This resembles many unhealthy nodes. The symptoms are resets within
//! milliseconds, or missing responses, of attempts after an idle period, while no node restarts and busy
//! brokers are unaffected. Idle connections are closed before an attempt while they are known to fail, and if
//! the attempt must succeed. The cost is a handshake.
//!
//! Connections are known to fail in two cases: for [`RESET_RETENTION`] after a connection was reset immediately
//! following an idle period that was no longer; and while a fifth of the attempts on reused connections is lost
//! and those on new connections fail at most half as often.

use crate::inputs::AttemptOutcome;
use crate::state::ConnectionUse;
use crate::statistics::LossRatio;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The idle period from which a connection counts as idle, as a share of the shortest latency objective.
const MIN_IDLE_SHARE: f64 = 0.2;

/// The idle period after which an attempt that must succeed is sent on a new connection, as a share of the
/// shortest latency objective.
const MAX_IDLE_SHARE_IF_MUST_SUCCEED: f64 = 0.5;

/// The share of lost attempts from which reused connections count as failing.
const MAX_LOSS_RATE: f64 = 0.2;

/// Reused connections count as failing only if their loss rate is at least this multiple of the rate on new
/// connections. With a smaller ratio, the nodes fail rather than the connections.
const MIN_LOSS_RATIO_TO_NEW: f64 = 2.0;

/// The time constant of the decaying loss counts.
const LOSS_SPAN: TimeSpan = TimeSpan::from_secs(30);

/// The minimum number of attempts that a loss rate is based on; fewer attempts count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// How long the idle period of a connection that was reset is retained.
const RESET_RETENTION: TimeSpan = TimeSpan::from_secs(30);

/// A connection that is lost within this number of turns was closed before the attempt and not because of it.
const MAX_RESET_TURNS: f64 = 2.0;

/// The shortest idle period after which the connection of an attempt was immediately reset, and the time of
/// the last such reset.
#[derive(Clone, Copy, Debug)]
struct ResetAfterIdle {
    idle_period: TimeSpan,
    seen_at: Timestamp,
}

/// The history of attempts on connections after idle periods.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleConnectionHistory {
    reused: LossRatio,
    new: LossRatio,
    reset: Option<ResetAfterIdle>,
}

/// The first attempt to a node after an idle period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptAfterIdle {
    pub(crate) now: Timestamp,
    pub(crate) idle_period: TimeSpan,
    /// Whether the query needs all of its shard requests.
    pub(crate) must_succeed: bool,
    /// The shortest latency objective of all classes.
    pub(crate) shortest_objective: TimeSpan,
}

/// Returns whether a connection with this idle period counts as idle.
pub(crate) fn is_idle(idle_period: TimeSpan, shortest_objective: TimeSpan) -> bool {
    idle_period >= shortest_objective.mul_f64(MIN_IDLE_SHARE)
}

/// Returns whether an attempt was reset so soon that its connection must have been closed while idle.
pub(crate) fn was_reset_immediately(duration: TimeSpan, turn_period: TimeSpan) -> bool {
    duration <= turn_period.mul_f64(MAX_RESET_TURNS)
}

/// Returns whether an attempt after an idle period counts as lost: it failed, or it was cancelled after its
/// node had not responded for longer than an average latency.
pub(crate) fn was_lost(
    is_node_failure: bool,
    outcome: AttemptOutcome,
    node_was_unresponsive: bool,
    duration: TimeSpan,
    average_latency: TimeSpan,
) -> bool {
    let is_late = duration > average_latency;
    is_node_failure || outcome == AttemptOutcome::Cancelled && node_was_unresponsive && is_late
}

impl IdleConnectionHistory {
    /// Records the end of an attempt after an idle period. An attempt that was already counted as
    /// unresponsive is not counted again, and that count is reverted if the attempt was not lost in the end.
    pub(crate) fn record_end(
        &mut self,
        now: Timestamp,
        usage: ConnectionUse,
        was_lost: bool,
        was_counted_unresponsive: bool,
    ) {
        let [lost, counted] = [was_lost, was_counted_unresponsive].map(|is| f64::from(u8::from(is)));
        let losses = match usage {
            ConnectionUse::Reused => &mut self.reused,
            ConnectionUse::New => &mut self.new,
        };
        losses.count(now, LOSS_SPAN, lost - counted, 1.0 - counted);
    }

    /// Records an in-flight attempt on a reused connection that has been unresponsive for the hedge delay. It
    /// counts as lost immediately instead of only when it times out.
    pub(crate) fn record_unresponsive(&mut self, now: Timestamp) {
        self.reused.count(now, LOSS_SPAN, 1.0, 1.0);
    }

    /// Records that a reused connection was reset immediately after this idle period.
    pub(crate) fn record_reset(&mut self, now: Timestamp, idle_period: TimeSpan) {
        let known = self.reset.filter(|reset| now - reset.seen_at < RESET_RETENTION);
        let shortest = known.map_or(idle_period, |reset| reset.idle_period.min(idle_period));
        self.reset = Some(ResetAfterIdle { idle_period: shortest, seen_at: now });
    }

    /// Returns which kind of connection the first attempt after an idle period is sent on.
    pub(crate) fn choose(&self, attempt: AttemptAfterIdle) -> ConnectionUse {
        let max_idle_period = attempt.shortest_objective.mul_f64(MAX_IDLE_SHARE_IF_MUST_SUCCEED);
        let is_too_risky = attempt.must_succeed && attempt.idle_period > max_idle_period;
        let is_known_to_fail = self.was_reset_after(attempt.idle_period, attempt.now)
            || self.reused_connections_fail(attempt.now);
        if is_too_risky || is_known_to_fail { ConnectionUse::New } else { ConnectionUse::Reused }
    }

    /// Returns whether a connection was recently reset after an idle period no longer than `idle_period`.
    fn was_reset_after(&self, idle_period: TimeSpan, now: Timestamp) -> bool {
        self.reset
            .is_some_and(|reset| idle_period >= reset.idle_period && now - reset.seen_at < RESET_RETENTION)
    }

    /// Returns whether the loss rate on reused connections is so high that the connections, and not the
    /// nodes, must be the cause.
    pub(crate) fn reused_connections_fail(&self, now: Timestamp) -> bool {
        let reused = self.reused.share(now, LOSS_SPAN, MIN_ATTEMPTS);
        let new = self.new.share(now, LOSS_SPAN, MIN_ATTEMPTS);
        reused >= MAX_LOSS_RATE && new <= reused / MIN_LOSS_RATIO_TO_NEW
    }
}
