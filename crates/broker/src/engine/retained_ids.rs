//! The ids of ended queries that nodes may have executed and whose clients have no response.
//!
//! Another query under such an id would execute its shard requests once more under the same ids, so it is rejected.

use crate::memory_budget::{MemoryBudget, Reservation};
use bytes::Bytes;
use routing::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The memory of one id: its entries in the map and in the set, with room for the growth of both.
const BYTES_PER_ID: usize = 96;

/// The hash of a query's id. Ids may be long, and clients choose them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct IdHash(u64);

/// Ids that can't be used again until a point in time, with a limit on their number. Beyond the limit the ids that
/// would become free first are evicted.
pub(super) struct RetainedIds {
    hasher: RandomState,
    retained_until: HashMap<IdHash, Timestamp>,
    /// The same ids, in the order in which they become free.
    by_time: BTreeSet<(Timestamp, IdHash)>,
    max_ids: usize,
    memory: Reservation,
}

impl RetainedIds {
    /// Creates an empty set for at most `max_ids`, whose memory is reserved in `memory`.
    pub(super) fn new(max_ids: usize, memory: &Rc<MemoryBudget>) -> RetainedIds {
        RetainedIds {
            hasher: RandomState::new(),
            retained_until: HashMap::new(),
            by_time: BTreeSet::new(),
            max_ids,
            memory: memory.reserve(0),
        }
    }

    /// Retains an id until a point in time, or for longer if it is retained already.
    pub(super) fn insert(&mut self, id: &Bytes, until: Timestamp) {
        let hash = self.hash(id);
        let until = self.retained_until.get(&hash).map_or(until, |earlier| until.max(*earlier));
        self.remove(hash);
        while self.by_time.len() >= self.max_ids || !self.memory.try_grow(BYTES_PER_ID) {
            let Some((_, first)) = self.by_time.first() else { return };
            self.remove(*first);
        }
        self.retained_until.insert(hash, until);
        self.by_time.insert((until, hash));
    }

    /// Returns whether an id is retained, after a removal of those that have become free.
    pub(super) fn contains(&mut self, id: &Bytes, now: Timestamp) -> bool {
        while let Some((_, hash)) = self.by_time.first().filter(|(until, _)| *until <= now) {
            self.remove(*hash);
        }
        self.retained_until.contains_key(&self.hash(id))
    }

    fn remove(&mut self, hash: IdHash) {
        if let Some(until) = self.retained_until.remove(&hash) {
            self.by_time.remove(&(until, hash));
            self.memory.resize(self.memory.bytes() - BYTES_PER_ID);
        }
    }

    fn hash(&self, id: &Bytes) -> IdHash {
        IdHash(self.hasher.hash_one(id))
    }
}

#[cfg(test)]
mod tests;
