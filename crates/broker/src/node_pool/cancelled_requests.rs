//! Cancelled shard requests of one connection, to tell a late response from one under a wrong id.

use bytes::Bytes;
use std::collections::VecDeque;

/// The ids of the latest cancelled shard requests that may still be answered.
#[derive(Default)]
pub(super) struct CancelledRequests {
    /// The newest last.
    wire_ids: VecDeque<Bytes>,
    /// More were cancelled than are remembered: any id may be one of them.
    has_forgotten: bool,
}

impl CancelledRequests {
    /// Remembers a shard request, and forgets the oldest beyond `limit`.
    pub fn add(&mut self, wire_id: Bytes, limit: usize) {
        self.wire_ids.push_back(wire_id);
        if self.wire_ids.len() > limit {
            self.wire_ids.pop_front();
            self.has_forgotten = true;
        }
    }

    /// Whether that shard request was cancelled, as far as it is remembered; each is answered once at the
    /// most.
    pub fn take(&mut self, wire_id: &Bytes) -> bool {
        let position = self.wire_ids.iter().position(|cancelled| cancelled == wire_id);
        if let Some(position) = position {
            self.wire_ids.remove(position);
        }
        position.is_some() || self.has_forgotten
    }
}
