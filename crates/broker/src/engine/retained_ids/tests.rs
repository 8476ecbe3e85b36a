//! Tests of how long ids are retained, and of what they hold.

use super::{BYTES_PER_ID, RetainedIds};
use crate::memory_budget::MemoryBudget;
use bytes::Bytes;
use routing::Timestamp;
use rstest::rstest;

fn id(number: u64) -> Bytes {
    number.to_string().into()
}

/// An id must be free again at its time, and a second retention must not shorten the first.
#[rstest]
fn retains_an_id_until_its_latest_time() {
    let mut retained = RetainedIds::new(10, &MemoryBudget::new(10_000));
    retained.insert(&id(1), Timestamp(50));
    retained.insert(&id(1), Timestamp(20));
    assert!(retained.contains(&id(1), Timestamp(49)));
    assert!(!retained.contains(&id(2), Timestamp(49)));
    assert!(!retained.contains(&id(1), Timestamp(50)));
}

/// Guards against memory that grows with the number of ids that clients use. At either limit the id that becomes free
/// first must be evicted, and nothing may stay reserved for it.
#[rstest]
#[case::by_number(4, 1_000_000)]
#[case::by_memory(1000, 4 * BYTES_PER_ID + 1)]
fn evicts_the_id_that_becomes_free_first(#[case] max_ids: usize, #[case] max_bytes: usize) {
    let memory = MemoryBudget::new(max_bytes);
    let mut retained = RetainedIds::new(max_ids, &memory);
    for number in 0..100 {
        retained.insert(&id(number), Timestamp(1000 - number as i64));
    }
    let kept: Vec<u64> = (0..100).filter(|number| retained.contains(&id(*number), Timestamp(0))).collect();
    assert_eq!(kept, [0, 1, 2, 99]);
    assert_eq!(memory.held_bytes(), 4 * BYTES_PER_ID);
    assert!(!retained.contains(&id(99), Timestamp(5000)));
    assert_eq!(memory.held_bytes(), 0);
}
