//! One edition of the configuration, as fronts read it. It never changes; the engine puts a newer one in its
//! place, and a query keeps the one under which it was taken.

use routing::{BrokerConfig, ClassId, RequestClass, Tenths};
use settings::{BrokerSettings, NameRegistry};
use std::cell::Cell;
use std::collections::BTreeMap;

pub struct ConfigEpoch {
    pub names: NameRegistry,
    pub classes: BTreeMap<ClassId, RequestClass>,
    pub shards: u32,
    /// Queries and shard requests held at once.
    pub max_open: usize,
    /// What a client is told that is rejected at a bound, where clients are told when to come again.
    pub retry_after: Tenths,
    /// How what was taken under it has ended.
    pub tally: Cell<EpochCounts>,
}

/// How queries ended, counted up from the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EpochCounts {
    /// All that have ended but those whose client left.
    pub ended: u64,
    /// Answered after the latency objective, rejected, failed, or turned away at the front.
    pub late: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub turned_away: u64,
    /// Of the last four: those of which an attempt found its node down, or lost its connection.
    pub by_nodes: u64,
}

impl ConfigEpoch {
    pub fn new(broker_settings: &BrokerSettings) -> ConfigEpoch {
        let p: &BrokerConfig = &broker_settings.broker_config;
        let goal = p.classes.values().map(|class| class.latency_objective).min().unwrap_or_default();
        let retry_after = goal.min(p.limits.max_retry_after);
        ConfigEpoch {
            names: broker_settings.names.clone(),
            classes: p.classes.clone(),
            shards: p.layout.shards,
            max_open: p.limits.max_open as usize,
            retry_after: if p.limits.retry_after { retry_after } else { Tenths::ZERO },
            tally: Cell::default(),
        }
    }

    pub fn count(&self, add: impl FnOnce(&mut EpochCounts)) {
        let mut tally = self.tally.get();
        add(&mut tally);
        self.tally.set(tally);
    }
}
