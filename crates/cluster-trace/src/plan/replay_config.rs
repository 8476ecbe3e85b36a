//! What a replay assumes beside the trace.

use crate::plan::PlanError;
use std::fmt;

/// What a replay assumes beside the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayConfig {
    /// The seed of all random choices.
    pub seed: u64,
    /// The beginning of the window, in microseconds of the trace's clock.
    pub from: u64,
    /// The end of the window, in microseconds of the trace's clock.
    pub to: u64,
    /// How many seconds of the replay one second of the trace takes.
    pub time_scale: f64,
    /// The share of the jobs that are replayed; a job is replayed completely or not at all.
    pub sample_share: f64,
    /// Work offered on average, as a share of what the nodes can do.
    pub load: f64,
    /// Number of nodes.
    pub nodes: u32,
    /// Milliseconds of work that one node does in a second.
    pub node_ms_per_s: f64,
    /// Number of shards.
    pub shards: u32,
    /// The classes of queries; the trace's classes are mapped onto them.
    pub classes: Vec<ClassSpec>,
    /// How much of the traffic each tenant has, relative to the others; the trace's users are mapped onto
    /// them.
    pub tenant_weights: Vec<f64>,
    /// Queries a second that all tenants together may send within their quotas; none: there are no quotas.
    pub quota_per_s: Option<f64>,
    /// The share of the removed machines that drain before they stop.
    pub drain_share: f64,
    /// How long a drain lasts, in tenths of a millisecond.
    pub drain_duration: u64,
    /// The brokers' budget for retries; none: the brokers' default.
    pub retry_budget: Option<RetryBudget>,
    /// How many entries a plan may have.
    pub max_entries: usize,
}

impl ReplayConfig {
    /// Checks that a plan can be made.
    ///
    /// # Errors
    ///
    /// The first field that is not valid.
    pub(crate) fn validate(&self) -> Result<(), PlanError> {
        let checks = [
            (self.to > self.from, "window"),
            (self.time_scale > 0.0 && self.time_scale.is_finite(), "time_scale"),
            ((0.0..=1.0).contains(&self.sample_share), "sample_share"),
            (self.load > 0.0 && self.load.is_finite(), "load"),
            (self.nodes > 0, "nodes"),
            (self.shards > 0, "shards"),
            (!self.classes.is_empty(), "classes"),
            (self.classes.iter().all(|class| class.shard_requests.is_valid(self.shards)), "shard_requests"),
            (!self.tenant_weights.is_empty(), "tenant_weights"),
        ];
        match checks.into_iter().find(|(is_valid, _)| !is_valid) {
            Some((_, name)) => Err(PlanError::InvalidConfig(name)),
            None => Ok(()),
        }
    }
}

/// The smallest and the largest value of a count, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountRange {
    /// The smallest.
    pub min: u32,
    /// The largest.
    pub max: u32,
}

impl CountRange {
    fn is_valid(self, shards: u32) -> bool {
        self.min > 0 && self.max >= self.min && self.max <= shards
    }
}

/// A class of queries, and what its queries are assumed to be.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// How many of the trace's classes are mapped to it, relative to the other classes.
    pub share: f64,
    /// How many shard requests a query has.
    pub shard_requests: CountRange,
    /// A shard request's weight falls as 1 / rank to this power; 0: all weigh the same.
    pub weight_skew: f64,
    /// Milliseconds from a query's start to its deadline.
    pub deadline_ms: u32,
    /// What a query served on time is worth.
    pub priority_weight: f64,
    /// The least share of the weight that a response may have.
    pub min_coverage: f64,
    /// What a second execution of a shard request would do.
    pub idempotency: ClassIdempotency,
}

impl ClassSpec {
    /// Deadline of [`ClassSpec::idempotent`].
    const DEFAULT_DEADLINE_MS: u32 = 5000;

    /// A class of idempotent queries with five seconds to the deadline; its priority weight and least
    /// coverage are 1.
    pub fn idempotent(name: &str, share: f64, shard_requests: CountRange, weight_skew: f64) -> ClassSpec {
        ClassSpec {
            name: name.to_owned(),
            share,
            shard_requests,
            weight_skew,
            deadline_ms: ClassSpec::DEFAULT_DEADLINE_MS,
            priority_weight: 1.0,
            min_coverage: 1.0,
            idempotency: ClassIdempotency::Idempotent,
        }
    }
}

/// What a second execution of a shard request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClassIdempotency {
    /// No harm.
    Idempotent,
    /// No harm within the window: repeats with the same key are dropped.
    IdempotencyKey {
        /// Milliseconds from the first attempt that may have been executed.
        dedup_window_ms: u32,
    },
    /// Harm: it must be executed at most once.
    AtMostOnce,
}

impl fmt::Display for ClassIdempotency {
    /// As the command `trace plan` prints it.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ClassIdempotency::Idempotent => f.write_str("idempotent"),
            ClassIdempotency::IdempotencyKey { dedup_window_ms } => {
                write!(f, "idempotency key, repeats dropped for {dedup_window_ms} ms")
            }
            ClassIdempotency::AtMostOnce => f.write_str("at-most-once"),
        }
    }
}

/// A budget for attempts beyond a shard request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed in any case.
    pub floor: f64,
    /// Retries as a share of the shard requests accepted in the window.
    pub ratio: f64,
    /// The window, in milliseconds.
    pub window_ms: u32,
}
