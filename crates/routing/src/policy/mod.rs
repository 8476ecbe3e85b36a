//! Every decision of one broker, a file for each kind. Start with `query_life`, the transitions of a query,
//! then `cutoff`, the design's ordinary path, and `feedback`, what the end of an attempt tells. The event
//! loop is in `broker`, what is remembered in `state`, reasons in `docs/design.md`.

mod configuration;
mod cutoff;
pub mod discovery_backoff;
mod endpoints;
mod feedback;
mod query_life;
mod replica_choice;
mod retries;
pub mod shutdown_deadline;
mod slow_start;

pub(crate) use configuration::derive_config;

use crate::broker::Broker;
use crate::config::{BrokerConfig, Idempotency, RetryBudget, ShardLayout};
use crate::effective_config::{ClassPolicy, EffectiveConfig};
use crate::effects::Effect;
use crate::ids::NodeId;
use crate::inputs::{AttemptOutcome, AttemptResult, EndpointList};
use crate::state::{AttemptId, ConnectionAfterIdle, ConnectionUse, Execution, InFlightAttempt};
use crate::state::{NewAttempt, Node, Query, QueryEvent, QueryState, ShardRequest};
use crate::state::{ShardRequestState, SupersededConfig, Timer};
use crate::statistics::LossRatio;
use crate::time::Tenths;
use replica_choice::max_group_replicas;
use std::sync::Arc;

/// The design's pressure from which the cutoff sets in, the span over which pressure and latency are
/// smoothed, and the slices in which the span is counted.
const PRESSURE_THRESHOLD: f64 = 0.1;
const SMOOTHING_SPAN: Tenths = Tenths(50_000);
pub(crate) const PRESSURE_SLICES: usize = 10;
/// Where fewer were counted, shares are out of as many as make one of them the threshold.
const MIN_SAMPLES: f64 = 1.0 / PRESSURE_THRESHOLD;
/// Weights are told with this much rounding at the most, half of what a response may fall short.
const WEIGHT_ROUNDING: f64 = 0.00005;
/// A new sample counts for this share of a smoothed figure.
const NEWEST_SHARE: f64 = 0.25;
/// The hedge delay in average latencies, and its bounds in latency objectives.
const HEDGE_DELAY: f64 = 3.0;
const MIN_HEDGE_DELAY: f64 = 0.2;
const MAX_HEDGE_DELAY: f64 = 0.5;
/// Single shard requests spread this far about a smoothed latency.
const LATENCY_SPREAD: f64 = 1.5;
/// A queued shard request tries again after this share of its latency objective, endpoint lists of their age.
pub(crate) const RESEND_SHARE: f64 = 0.05;
/// All may use this share of the concurrency limit, and the rest as far as they yield weight.
pub(crate) const COMMON_LIMIT_SHARE: f64 = 0.5;
/// Before anything was measured, a shard request takes this share of the shortest latency objective.
const INITIAL_LATENCY: f64 = 0.125;

impl Broker {
    /// The smoothed latency over all nodes, or a guess before any was measured.
    fn average_latency(&self) -> Tenths {
        let initial = self.config.shortest_objective.times(INITIAL_LATENCY);
        self.state.average_latency.unwrap_or(initial).max(Tenths(1))
    }

    /// The time that an attempt may take to its node: two turns, and what the front end may need. Guards
    /// against attempts that reach their node in another window than their turn's. Harm: a few retries less.
    pub(crate) fn send_delay(&self) -> Tenths {
        self.config.broker.period.times(2.0) + self.config.broker.send_lag
    }
}
