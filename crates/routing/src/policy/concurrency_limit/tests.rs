use super::{ConcurrencyLimit, LimitSample};
use crate::time::TimeSpan;
use rstest::rstest;

const MAX_OPEN: u32 = 200;

/// A sample at the target latency, a quarter of the objective, with the limit of 100 fully used.
const AT_TARGET: LimitSample = LimitSample {
    latency_objective: TimeSpan(4000),
    duration: TimeSpan(1000),
    in_flight_at_send: 100.0,
    limit_was_used: true,
};

#[rstest]
#[case::at_the_target(AT_TARGET, 100.0)]
// At half the target latency, the limit moves a hundredth of the way toward 1.5 times its value, the maximum
// growth.
#[case::faster(LimitSample { duration: TimeSpan(500), ..AT_TARGET }, 100.5)]
#[case::faster_but_unused(LimitSample { duration: TimeSpan(500), limit_was_used: false, ..AT_TARGET }, 100.0)]
#[case::slower(LimitSample { duration: TimeSpan(2000), ..AT_TARGET }, 99.5)]
#[case::slower_and_unused(LimitSample { duration: TimeSpan(2000), limit_was_used: false, ..AT_TARGET }, 99.5)]
#[case::slower_with_few_in_flight(
    LimitSample { duration: TimeSpan(2000), in_flight_at_send: 50.0, ..AT_TARGET },
    99.25
)]
#[case::slower_with_more_than_the_limit(
    LimitSample { duration: TimeSpan(2000), in_flight_at_send: 500.0, ..AT_TARGET },
    99.5
)]
fn adapts(#[case] sample: LimitSample, #[case] expected: f64) {
    let mut limit = ConcurrencyLimit::initial(MAX_OPEN);
    limit.adapt(sample, MAX_OPEN);
    assert_eq!(limit.shard_requests(), expected);
}

#[rstest]
fn stays_within_its_bounds() {
    let mut limit = ConcurrencyLimit::initial(MAX_OPEN);
    for _ in 0..1000 {
        limit.adapt(LimitSample { duration: TimeSpan(1), ..AT_TARGET }, MAX_OPEN);
    }
    assert_eq!(limit.shard_requests(), 200.0);
    limit.lower_to(50);
    assert_eq!(limit.shard_requests(), 50.0);
    for _ in 0..1000 {
        limit.adapt(LimitSample { duration: TimeSpan(1_000_000), ..AT_TARGET }, MAX_OPEN);
    }
    assert_eq!(limit.shard_requests(), 1.0);
}

#[rstest]
fn small_limits_adapt_in_small_steps() {
    let mut limit = ConcurrencyLimit::initial(4);
    limit.adapt(LimitSample { duration: TimeSpan(500), ..AT_TARGET }, 4);
    assert_eq!(limit.shard_requests(), 2.1);
}

#[rstest]
#[case::best_class(1.0, 2.0, 2.0, 100.0)]
#[case::half_the_yield(1.0, 1.0, 2.0, 75.0)]
#[case::beyond_its_quota(0.2, 2.0, 2.0, 60.0)]
#[case::zero_yield(1.0, 0.0, 2.0, 50.0)]
fn capacity_is_assigned_by_yield(
    #[case] quota_share: f64,
    #[case] own_yield: f64,
    #[case] best_yield: f64,
    #[case] expected: f64,
) {
    let limit = ConcurrencyLimit::initial(MAX_OPEN);
    assert_eq!(limit.for_yield(quota_share, own_yield, best_yield), expected);
    assert!(limit.is_used_by(50.0) && !limit.is_used_by(49.0));
}
