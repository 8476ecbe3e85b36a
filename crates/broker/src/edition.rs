//! One edition of the prescription, as fronts read it. It never changes; the desk puts a newer one in its
//! place, and a query keeps the one under which it was taken.

use routing::{Category, CategoryNo, Prescription, Tenths};
use settings::{Catalogue, Intake};
use std::cell::Cell;
use std::collections::BTreeMap;

pub struct Edition {
    pub names: Catalogue,
    pub categories: BTreeMap<CategoryNo, Category>,
    pub shards: u32,
    /// Queries and shard requests held at once.
    pub most_open: usize,
    /// What a client is told that is declined at a bound, where clients are told when to come again.
    pub stay_away: Tenths,
    /// How what was taken under it has ended.
    pub tally: Cell<Tally>,
}

/// How queries ended, counted up from the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All that have ended but those whose client left.
    pub ended: u64,
    /// Answered after the goal time, declined, scrapped, or turned away at the front.
    pub late: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub turned_away: u64,
    /// Of the last four: those of which an attempt found its node down, or lost its connection.
    pub by_nodes: u64,
}

impl Edition {
    pub fn new(intake: &Intake) -> Edition {
        let p: &Prescription = &intake.prescription;
        let goal = p.categories.values().map(|category| category.goal_time).min().unwrap_or_default();
        let stay_away = goal.min(p.limits.longest_stay_away);
        Edition {
            names: intake.names.clone(),
            categories: p.categories.clone(),
            shards: p.layout.shards,
            most_open: p.limits.most_open as usize,
            stay_away: if p.limits.stay_away { stay_away } else { Tenths::ZERO },
            tally: Cell::default(),
        }
    }

    pub fn count(&self, add: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        add(&mut tally);
        self.tally.set(tally);
    }
}
