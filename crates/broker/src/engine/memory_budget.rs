//! The memory limit for queries, responses and reservations.

/// A counter of reserved bytes with an upper limit. Each caller releases the bytes that it has reserved.
pub(super) struct MemoryBudget {
    held_bytes: usize,
    max_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget with no bytes reserved.
    pub(super) fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget { held_bytes: 0, max_bytes }
    }

    /// Returns whether this many further bytes are within the limit.
    pub(super) fn has_room_for(&self, bytes: usize) -> bool {
        self.held_bytes + bytes <= self.max_bytes
    }

    /// Reserves bytes if they are within the limit, and returns whether it has.
    pub(super) fn try_reserve(&mut self, bytes: usize) -> bool {
        let has_room = self.has_room_for(bytes);
        if has_room {
            self.held_bytes += bytes;
        }
        has_room
    }

    /// Reserves bytes without a check. The caller must have checked [`MemoryBudget::has_room_for`].
    pub(super) fn reserve(&mut self, bytes: usize) {
        self.held_bytes += bytes;
    }

    /// Releases reserved bytes.
    pub(super) fn release(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }
}
