//! Cancelled shard requests of one connection, used to tell a late response from a response with a wrong id.

use bytes::Bytes;
use std::collections::VecDeque;

/// The ids of the most recently cancelled shard requests that may still be answered.
#[derive(Default)]
pub(super) struct CancelledRequests {
    /// Oldest first.
    wire_ids: VecDeque<Bytes>,
    /// Whether ids have been evicted, after which any unknown id may belong to a cancelled shard request.
    has_evicted: bool,
}

impl CancelledRequests {
    /// Adds a shard request, and evicts the oldest one if there are more than `limit`.
    pub fn add(&mut self, wire_id: Bytes, limit: usize) {
        self.wire_ids.push_back(wire_id);
        if self.wire_ids.len() > limit {
            self.wire_ids.pop_front();
            self.has_evicted = true;
        }
    }

    /// Removes a shard request, as each is answered at most once, and returns whether it was cancelled. Also returns
    /// `true` for an unknown id if ids have been evicted.
    pub fn take(&mut self, wire_id: &Bytes) -> bool {
        let position = self.wire_ids.iter().position(|cancelled| cancelled == wire_id);
        if let Some(position) = position {
            self.wire_ids.remove(position);
        }
        position.is_some() || self.has_evicted
    }
}
