//! Tests of reserving and releasing memory.

use super::MemoryBudget;
use rstest::rstest;

#[rstest]
fn reserves_up_to_the_limit() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.try_reserve(60).expect("60 of 100 bytes are within the limit");
    assert!(budget.try_reserve(41).is_none());
    assert!(!first.try_grow(41));
    assert!(first.try_grow(40));
    assert_eq!((first.bytes(), budget.held_bytes()), (100, 100));
    first.resize(30);
    assert!(budget.has_room_for(70) && !budget.has_room_for(71));
    let second = budget.try_reserve(70).expect("the first reservation has shrunk");
    first.merge(second);
    assert_eq!((first.bytes(), budget.held_bytes()), (100, 100));
    drop(first);
    assert_eq!(budget.held_bytes(), 0);
}
