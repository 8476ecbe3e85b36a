//! One configuration as request handlers read it. It never changes: the engine replaces it by a newer one,
//! and a query keeps the one under which it was accepted.

use routing::{BrokerConfig, ClassId, RequestClass, TimeSpan};
use settings::{BrokerSettings, NameRegistry};
use std::cell::Cell;
use std::collections::BTreeMap;

/// A configuration, and how the queries accepted under it have ended.
pub struct ConfigEpoch {
    /// The names of classes and tenants.
    pub names: NameRegistry,
    /// The request classes.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// The number of shards.
    pub shards: u32,
    /// The bound on open queries and shard requests together.
    pub max_open: usize,
    /// The `Retry-After` of queries that are rejected at a bound; zero: none is given.
    pub retry_after: TimeSpan,
    /// How queries have ended. Shared by the epoch's queries, which end independently of each other.
    pub counts: Cell<EpochCounts>,
}

/// How queries ended, counted from the epoch's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EpochCounts {
    /// All that have ended, except those whose client left.
    pub ended: u64,
    /// Answered after the latency objective.
    pub late: u64,
    /// Rejected by the routing decisions.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Not accepted: at a bound of the engine, or for a class or shard that the epoch does not have.
    pub not_accepted: u64,
    /// Of those that were late, rejected or failed: an attempt found its node down, or lost its connection.
    pub with_lost_node: u64,
}

impl ConfigEpoch {
    /// The epoch of a configuration, with nothing counted.
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

    /// When a query of this class and announced work is on time, counted from its acceptance.
    pub fn latency_objective(&self, class: ClassId, work: TimeSpan) -> TimeSpan {
        let class = self.classes.get(&class);
        class.map_or(TimeSpan::ZERO, |class| class.latency_objective + work.mul_f64(class.objective_stretch))
    }

    /// The longest deadline of a request class; zero where there is none.
    pub fn longest_deadline(&self) -> TimeSpan {
        self.classes.values().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Changes the counts.
    pub fn count(&self, change: impl FnOnce(&mut EpochCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
