//! The bound on the memory that queries, responses and reservations hold.

/// Bytes held, within a bound. What is counted is released by whoever reserved it.
pub(super) struct MemoryBudget {
    /// Bytes held now.
    held_bytes: usize,
    /// The bound on them.
    max_bytes: usize,
}

impl MemoryBudget {
    /// A budget of which nothing is held.
    pub(super) fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget { held_bytes: 0, max_bytes }
    }

    /// Whether this many bytes more are within the bound.
    pub(super) fn has_room_for(&self, bytes: usize) -> bool {
        self.held_bytes + bytes <= self.max_bytes
    }

    /// Counts bytes as held, if they are within the bound; `false`: they are not.
    pub(super) fn try_reserve(&mut self, bytes: usize) -> bool {
        let has_room = self.has_room_for(bytes);
        if has_room {
            self.held_bytes += bytes;
        }
        has_room
    }

    /// Counts bytes as held that were found to be within the bound before.
    pub(super) fn reserve(&mut self, bytes: usize) {
        self.held_bytes += bytes;
    }

    /// Counts bytes as held no more.
    pub(super) fn release(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }
}
