//! The ids of earlier shard requests of one connection, for which the node may still send a response.
//!
//! A frame names its shard request by an id that another attempt may have as well: a retry or a hedge, or the same part
//! of a later query whose client uses the id again. On one connection a response can't be attributed to the right one
//! of them, so an id is written on a connection only once.

use bytes::Bytes;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};

/// The hash of an id on the wire. Ids may be long, and clients choose them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WireIdHash(u64);

/// The ids of the shard requests that are no longer in flight on a connection.
#[derive(Default)]
pub(super) struct WireIdHistory {
    hasher: RandomState,
    /// Cancelled shard requests that have not been answered, oldest first.
    unanswered: VecDeque<WireIdHash>,
    /// Answered shard requests, oldest first. A node may send a second copy of a response.
    answered: VecDeque<WireIdHash>,
    /// Whether unanswered ids have been evicted, after which any unknown id may belong to a cancelled shard request.
    has_evicted_unanswered: bool,
}

impl WireIdHistory {
    /// Adds a cancelled shard request. Returns `false` if an older one was evicted, because there are more than `limit`.
    pub fn add_cancelled(&mut self, wire_id: &Bytes, limit: usize) -> bool {
        self.unanswered.push_back(self.hash(wire_id));
        let exceeds_limit = self.unanswered.len() > limit;
        if exceeds_limit {
            self.unanswered.pop_front();
            self.has_evicted_unanswered = true;
        }
        !exceeds_limit
    }

    /// Adds an answered shard request, and evicts the oldest one if there are more than `limit`.
    pub fn add_answered(&mut self, wire_id: &Bytes, limit: usize) {
        self.answered.push_back(self.hash(wire_id));
        if self.answered.len() > limit {
            self.answered.pop_front();
        }
    }

    /// Returns whether a response with this id may answer a cancelled shard request, which then counts as answered.
    /// This includes unknown ids if unanswered ones have been evicted.
    pub fn answer_cancelled(&mut self, wire_id: &Bytes, limit: usize) -> bool {
        let hash = self.hash(wire_id);
        let Some(position) = self.unanswered.iter().position(|cancelled| *cancelled == hash) else {
            return self.has_evicted_unanswered;
        };
        self.unanswered.remove(position);
        self.add_answered(wire_id, limit);
        true
    }

    /// Returns whether a shard request with this id is known to have been cancelled or answered.
    pub fn contains(&self, wire_id: &Bytes) -> bool {
        let hash = self.hash(wire_id);
        self.unanswered.contains(&hash) || self.answered.contains(&hash)
    }

    fn hash(&self, wire_id: &Bytes) -> WireIdHash {
        WireIdHash(self.hasher.hash_one(wire_id))
    }
}
