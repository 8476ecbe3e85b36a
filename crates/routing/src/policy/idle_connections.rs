//! Idle connections: whether a connection that was idle is used again or replaced by a new one.
//!
//! The failure: something between broker and node drops idle connections without a word, and an attempt that
//! goes out on one is lost. It looks like many sick nodes; it shows as resets within milliseconds, or
//! silence, of attempts after an idle period, while no node restarts and busy brokers are fine. Idle
//! connections are closed before an attempt while they are known to fail, and where an attempt must succeed.
//! The cost is a handshake.
//!
//! Connections are known to fail after an idle period at which one was reset at once, for [`RESET_MEMORY`];
//! and while a fifth of the attempts on reused connections come to nothing, where those on new ones fail at
//! most half as often.

use crate::inputs::AttemptOutcome;
use crate::state::ConnectionUse;
use crate::statistics::LossRatio;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// A connection counts as idle from this share of the shortest latency objective on.
const MIN_IDLE_SHARE: f64 = 0.2;

/// An attempt that must succeed goes out on a new connection after an idle period of this share of the
/// shortest latency objective.
const MAX_IDLE_SHARE_IF_NEEDED: f64 = 0.5;

/// Reused connections fail where this share of attempts on them is lost.
const MAX_LOSS_RATE: f64 = 0.2;

/// They fail only if they lose at least this many times what new ones lose: else nodes fail, not connections.
const MIN_LOSSES_TO_NEW: f64 = 2.0;

/// The span over which losses are counted.
const LOSS_SPAN: TimeSpan = TimeSpan::from_secs(30);

/// Fewer attempts than this count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// How long the idle period of a connection that was reset is remembered.
const RESET_MEMORY: TimeSpan = TimeSpan::from_secs(30);

/// A connection that is lost within this many turns was closed before the attempt, not by it.
const RESET_TURNS: f64 = 2.0;

/// The shortest idle period after which an attempt's connection was reset at once, and when that was last
/// seen.
#[derive(Clone, Copy, Debug)]
struct ResetAfterIdle {
    idle_period: TimeSpan,
    seen_at: Timestamp,
}

/// What is known of connections after idle periods.
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
    /// Its query needs all of its shard requests.
    pub(crate) must_succeed: bool,
    /// Of all classes.
    pub(crate) shortest_objective: TimeSpan,
}

/// Whether a connection of this idle period counts as idle at all.
pub(crate) fn is_idle(idle_period: TimeSpan, shortest_objective: TimeSpan) -> bool {
    idle_period >= shortest_objective.mul_f64(MIN_IDLE_SHARE)
}

/// Whether an attempt was reset at once, so that its connection must have been closed while it was idle.
pub(crate) fn was_reset_immediately(duration: TimeSpan, turn_period: TimeSpan) -> bool {
    duration <= turn_period.mul_f64(RESET_TURNS)
}

/// Whether an attempt after an idle period counts as lost: it failed, or it was cancelled after it had been
/// silent for longer than an average latency.
pub(crate) fn was_lost(
    is_node_failure: bool,
    outcome: AttemptOutcome,
    node_was_silent: bool,
    duration: TimeSpan,
    average_latency: TimeSpan,
) -> bool {
    let is_late = duration > average_latency;
    is_node_failure || outcome == AttemptOutcome::Cancelled && node_was_silent && is_late
}

impl IdleConnectionHistory {
    /// An attempt after an idle period has ended. One that was counted as unresponsive is not counted again,
    /// and is taken back where it was not lost after all.
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

    /// An attempt in flight on a reused connection has been silent for the hedge delay: it counts as lost
    /// now, not only once it times out.
    pub(crate) fn record_unresponsive(&mut self, now: Timestamp) {
        self.reused.count(now, LOSS_SPAN, 1.0, 1.0);
    }

    /// A reused connection was reset at once after such an idle period.
    pub(crate) fn record_reset(&mut self, now: Timestamp, idle_period: TimeSpan) {
        let known = self.reset.filter(|reset| now - reset.seen_at < RESET_MEMORY);
        let shortest = known.map_or(idle_period, |reset| reset.idle_period.min(idle_period));
        self.reset = Some(ResetAfterIdle { idle_period: shortest, seen_at: now });
    }

    /// Which connection the first attempt after an idle period goes out on.
    pub(crate) fn choose(&self, attempt: AttemptAfterIdle) -> ConnectionUse {
        let max_idle_period = attempt.shortest_objective.mul_f64(MAX_IDLE_SHARE_IF_NEEDED);
        let is_too_risky = attempt.must_succeed && attempt.idle_period > max_idle_period;
        let is_known_to_fail =
            self.resets_after(attempt.idle_period, attempt.now) || self.reused_connections_fail(attempt.now);
        if is_too_risky || is_known_to_fail { ConnectionUse::New } else { ConnectionUse::Reused }
    }

    /// Whether a connection was reset lately after no longer an idle period.
    fn resets_after(&self, idle_period: TimeSpan, now: Timestamp) -> bool {
        self.reset.is_some_and(|reset| idle_period >= reset.idle_period && now - reset.seen_at < RESET_MEMORY)
    }

    /// Whether so many attempts on reused connections are lost that it must be the connections.
    pub(crate) fn reused_connections_fail(&self, now: Timestamp) -> bool {
        let reused = self.reused.share(now, LOSS_SPAN, MIN_ATTEMPTS);
        let new = self.new.share(now, LOSS_SPAN, MIN_ATTEMPTS);
        reused >= MAX_LOSS_RATE && new <= reused / MIN_LOSSES_TO_NEW
    }
}
