use super::{OverloadRate, WINDOW, is_unlikely};
use crate::time::Timestamp;
use rstest::rstest;

// With r = 0.5 and 3 attempts, a shard request fails with probability 0.125; 0.875^26 = 0.031 and 0.875^27 =
// 0.027.
#[rstest]
#[case::just_above_the_threshold(0.5, 3, 26, false)]
#[case::just_below_the_threshold(0.5, 3, 27, true)]
#[case::fewer_attempts(0.5, 2, 26, true)]
#[case::no_overload(0.0, 3, 1000, false)]
#[case::zero_attempts_count_as_one(0.5, 0, 6, true)]
fn unlikely(
    #[case] overload_rate: f64,
    #[case] max_attempts: u32,
    #[case] shard_requests: usize,
    #[case] expected: bool,
) {
    assert_eq!(is_unlikely(overload_rate, max_attempts, shard_requests), expected);
}

/// Queries rejected by this policy are not counted, so if the rate did not expire by itself, no query would
/// ever be tried again.
#[rstest]
fn the_rate_expires_with_its_window() {
    let mut rate = OverloadRate::default();
    (0..20).for_each(|attempt| rate.record(Timestamp(0), attempt < 10));
    assert_eq!(rate.read(Timestamp(0)), 0.5);
    assert_eq!(rate.read(Timestamp::ZERO + WINDOW), 0.0);
}
