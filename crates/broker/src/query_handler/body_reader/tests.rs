//! Tests of the memory that is reserved for a body.

use super::{BodyReader, GROWTH_BYTES, HandlerError, RequestError};
use crate::memory_budget::MemoryBudget;
use rstest::rstest;

/// Memory must be reserved for what was received, in small steps, and never less than the buffer holds.
#[rstest]
#[case::announced(Some(10_000))]
#[case::in_chunks(None)]
fn reserves_what_is_received(#[case] announced_bytes: Option<usize>) {
    let memory = MemoryBudget::new(usize::MAX);
    let mut reader = BodyReader::new(&memory, announced_bytes, 65_536);
    assert_eq!(memory.held_bytes(), 0);
    for received in (0..10_000).step_by(100) {
        reader.append(&[b'x'; 100]).unwrap();
        assert!(memory.held_bytes() >= reader.buffer.capacity());
        assert!(memory.held_bytes() <= received + 100 + GROWTH_BYTES);
    }
}

#[rstest]
fn rejects_a_body_without_memory_or_beyond_the_limit() {
    let mut reader = BodyReader::new(&MemoryBudget::new(8192), None, 65_536);
    reader.append(&[b'x'; 8192]).unwrap();
    assert_eq!(reader.append(b"x"), Err(HandlerError::Rejected));
    let mut reader = BodyReader::new(&MemoryBudget::new(8192), None, 10);
    assert_eq!(reader.append(&[b'x'; 11]), Err(HandlerError::Request(RequestError::BodyTooLong)));
}
