//! The memory that queries, clients and nodes hold beyond the fixed buffers of their connections.
//!
//! One [`MemoryBudget`] is shared by the HTTP server, the engine and the node pool. Each of them reserves bytes before
//! it holds them, and releases them by dropping the [`Reservation`]. `limits::memory` derives the limit.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// A counter of reserved bytes with an upper limit.
pub struct MemoryBudget {
    held_bytes: Cell<usize>,
    max_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget with no bytes reserved.
    pub fn new(max_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { held_bytes: Cell::new(0), max_bytes })
    }

    /// Returns the number of reserved bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Returns whether this many further bytes are within the limit.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held_bytes.get() + bytes <= self.max_bytes
    }

    /// Reserves bytes. Returns `None` if that would exceed the limit.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        self.has_room_for(bytes).then(|| self.reserve(bytes))
    }

    /// Reserves bytes without a check. The caller must have checked [`MemoryBudget::has_room_for`].
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.held_bytes.set(self.held_bytes.get() + bytes);
        Reservation { budget: self.clone(), bytes }
    }
}

/// Reserved bytes, which are released on drop.
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes. Returns `false`, and reserves none, if that would exceed the limit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(more) = self.budget.try_reserve(bytes) else { return false };
        self.merge(more);
        true
    }

    /// Adds the bytes of another reservation of the same budget.
    pub fn merge(&mut self, mut other: Reservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Moves all bytes into a new reservation.
    pub fn take(&mut self) -> Reservation {
        let bytes = std::mem::take(&mut self.bytes);
        Reservation { budget: self.budget.clone(), bytes }
    }

    /// Sets the number of bytes without a check.
    pub fn resize(&mut self, bytes: usize) {
        let held_by_others = self.budget.held_bytes.get() - self.bytes;
        self.budget.held_bytes.set(held_by_others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.held_bytes.set(self.budget.held_bytes.get() - self.bytes);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "Reservation({} bytes)", self.bytes)
    }
}

#[cfg(test)]
mod tests;
