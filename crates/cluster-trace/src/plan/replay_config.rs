//! Configuration of a replay.

use crate::plan::PlanError;
use std::fmt;

/// The configuration of a replay, including all properties that a trace does not contain.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Start of the replayed window, in microseconds on the trace's clock, inclusive.
    pub from: u64,
    /// End of the replayed window, in microseconds on the trace's clock, exclusive.
    pub to: u64,
    /// Duration of one second of the trace in the replay, in seconds. Must be positive.
    pub time_scale: f64,
    /// Share of the jobs that are replayed, from 0 to 1. A job is replayed completely or not at all.
    pub sample_share: f64,
    /// Average load, as a share of the capacity of all nodes. Must be positive; values above 1 overload the nodes.
    pub load: f64,
    /// Number of nodes, at least 1.
    pub nodes: u32,
    /// Capacity of a node, in milliseconds of work per second.
    pub node_ms_per_s: f64,
    /// Number of shards, at least 1.
    pub shards: u32,
    /// Classes of queries, at least one. Each class of the trace is mapped to one of them.
    pub classes: Vec<ClassSpec>,
    /// Relative weight of each tenant, at least one tenant. Each user of the trace is mapped to a tenant with a
    /// probability proportional to the tenant's weight.
    pub tenant_weights: Vec<f64>,
    /// Sum of the quotas of all tenants, in queries per second, or `None` for a replay without quotas.
    pub quota_per_s: Option<f64>,
    /// Share of the removed machines whose nodes drain before they stop, from 0 to 1.
    pub drain_share: f64,
    /// Duration of a drain, in tenths of a millisecond of the replay.
    pub drain_duration: u64,
    /// Retry budget of the brokers, or `None` for the default of the brokers.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum number of work items and node events that the planner accepts.
    pub max_entries: usize,
}

impl ReplayConfig {
    /// Checks that all fields are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::InvalidConfig`] with the first invalid field, or with `window` if the window is empty.
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

/// A range of counts with inclusive bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountRange {
    /// Smallest count, at least 1.
    pub min: u32,
    /// Largest count, at most the number of shards.
    pub max: u32,
}

impl CountRange {
    fn is_valid(self, shards: u32) -> bool {
        self.min > 0 && self.max >= self.min && self.max <= shards
    }
}

/// A class of queries and the assumed properties of its queries.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of the trace's classes that are mapped to this class, relative to the shares of the other classes.
    pub share: f64,
    /// Number of shard requests per query.
    pub shard_requests: CountRange,
    /// Exponent `s` of the weights: the shard request at rank `r` has a weight proportional to `1 / r^s`. With 0, all
    /// shard requests have equal weights.
    pub weight_skew: f64,
    /// Time from the start of a query to its deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Relative value of a query that is answered before its deadline.
    pub priority_weight: f64,
    /// Minimum coverage of a response, as a share of the query's weight from 0 to 1.
    pub min_coverage: f64,
    /// Whether a shard request may be executed more than once.
    pub idempotency: ClassIdempotency,
}

impl ClassSpec {
    const DEFAULT_DEADLINE_MS: u32 = 5000;

    /// Creates a class of idempotent queries with a deadline of 5 s, a priority weight of 1 and a minimum coverage
    /// of 1.
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

/// The effect of executing a shard request more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClassIdempotency {
    /// Repeated execution has no further effect.
    Idempotent,
    /// Nodes drop repeated executions with the same idempotency key within a deduplication window.
    IdempotencyKey {
        /// Length of the window, in milliseconds from the first attempt that may have been executed.
        dedup_window_ms: u32,
    },
    /// A shard request must be executed at most once.
    AtMostOnce,
}

impl fmt::Display for ClassIdempotency {
    /// Formats the value for the output of the command `trace plan`.
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

/// A budget for retries, which are attempts beyond the first of a shard request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries per window that are allowed regardless of the ratio.
    pub min_retries: f64,
    /// Number of further retries, as a share of the shard requests accepted in the window.
    pub ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u32,
}
