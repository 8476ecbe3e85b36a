//! The configuration under which queries are accepted.
//!
//! An epoch is immutable except for its counts. To change the configuration, the engine replaces the current epoch.
//! Queries keep the epoch under which they were accepted until they end.

use routing::{BrokerConfig, ClassId, RequestClass, TimeSpan};
use settings::{BrokerSettings, NameRegistry};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A configuration, with the outcomes of the queries accepted under it.
pub struct ConfigEpoch {
    /// The mapping from names of request classes and tenants to their ids.
    pub names: NameRegistry,
    /// The request classes by id.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// The number of shards. Shard numbers are below it.
    pub shards: u32,
    /// The maximum number of open queries and unanswered shard requests together.
    pub max_open: usize,
    /// The `Retry-After` of queries that are rejected before they reach the routing logic. Zero omits the header.
    pub retry_after: TimeSpan,
    /// The outcomes counted so far. All queries of the epoch update this cell, each when it ends.
    pub counts: Cell<EpochCounts>,
}

/// The outcomes of queries since the start of an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EpochCounts {
    /// All queries that have ended, including those not accepted, except those whose client disconnected.
    pub ended: u64,
    /// Queries that were answered after their latency objective.
    pub late: u64,
    /// Queries that the routing logic rejected.
    pub rejected: u64,
    /// Queries that failed.
    pub failed: u64,
    /// Queries that were not accepted, because a limit of the engine was reached or the epoch does not have the
    /// requested class or shard.
    pub not_accepted: u64,
    /// Those of the late, rejected and failed queries with an attempt that could not connect to its node or lost the
    /// connection.
    pub with_lost_node: u64,
}

impl ConfigEpoch {
    /// Creates the epoch of a configuration, with all counts at zero.
    pub fn new(broker_settings: &BrokerSettings) -> ConfigEpoch {
        let config: &BrokerConfig = &broker_settings.broker_config;
        let objectives = config.classes.values().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or_default();
        let retry_after = shortest_objective.min(config.limits.max_retry_after);
        ConfigEpoch {
            names: broker_settings.names.clone(),
            classes: config.classes.clone(),
            shards: config.layout.shards,
            max_open: config.limits.max_open as usize,
            retry_after: if config.limits.send_retry_after { retry_after } else { TimeSpan::ZERO },
            counts: Cell::default(),
        }
    }

    /// Returns the latency objective of a query, measured from its acceptance. `work` is the execution time that the
    /// client expects. The objective is zero if the class is unknown.
    pub fn latency_objective(&self, class: ClassId, work: TimeSpan) -> TimeSpan {
        let class = self.classes.get(&class);
        class.map_or(TimeSpan::ZERO, |class| class.latency_objective + work.mul_f64(class.objective_stretch))
    }

    /// Returns the longest deadline of all request classes, or zero if there are none.
    pub fn longest_deadline(&self) -> TimeSpan {
        self.classes.values().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Updates the counts with `change`.
    pub fn count(&self, change: impl FnOnce(&mut EpochCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
