//! Which queries are too unlikely to become complete.

use super::{OverloadRate, WINDOW, is_unlikely};
use crate::time::Timestamp;
use rstest::rstest;

// With r = 0.5 and 3 attempts a shard request is lost with 0.125; 0.875^26 = 0.031, 0.875^27 = 0.027.
#[rstest]
#[case::just_likely_enough(0.5, 3, 26, false)]
#[case::just_too_unlikely(0.5, 3, 27, true)]
#[case::fewer_attempts(0.5, 2, 26, true)]
#[case::calm(0.0, 3, 1000, false)]
#[case::zero_attempts_count_as_one(0.5, 0, 6, true)]
fn unlikely(
    #[case] overload_rate: f64,
    #[case] max_attempts: u32,
    #[case] shard_requests: usize,
    #[case] expected: bool,
) {
    assert_eq!(is_unlikely(overload_rate, max_attempts, shard_requests), expected);
}

/// A query that is rejected for this rule counts nowhere. If the rate did not forget by itself, nothing would
/// be tried again.
#[rstest]
fn the_rate_forgets_after_its_window() {
    let mut rate = OverloadRate::default();
    (0..20).for_each(|attempt| rate.record(Timestamp(0), attempt < 10));
    assert_eq!(rate.read(Timestamp(0)), 0.5);
    assert_eq!(rate.read(Timestamp::ZERO + WINDOW), 0.0);
}
