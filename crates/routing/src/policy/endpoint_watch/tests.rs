use super::{delay_after_failure, max_silence};
use crate::time::TimeSpan;
use rstest::rstest;

#[rstest]
#[case::least_jitter(0, 0.0, 2_500)]
#[case::greatest_jitter(0, 1.0, 7_500)]
#[case::doubles(1, 0.5, 10_000)]
#[case::doubles_three_times(3, 0.5, 40_000)]
#[case::doubles_no_further(9, 0.5, 40_000)]
fn failures_double_the_delay(#[case] earlier_failures: u32, #[case] random: f64, #[case] expected: i64) {
    assert_eq!(delay_after_failure(TimeSpan(100_000), earlier_failures, random), TimeSpan(expected));
}

#[rstest]
fn a_silent_watch_is_reopened_after_half_the_maximum_age() {
    assert_eq!(max_silence(TimeSpan(100_000)), TimeSpan(50_000));
    assert_eq!(max_silence(TimeSpan(10)), TimeSpan(25_000));
    assert_eq!(delay_after_failure(TimeSpan(10), 0, 0.5), TimeSpan(2_500));
}
