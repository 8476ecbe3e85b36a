//! Tests of the step length, the observed part of the window and the conversion to seconds.

use super::{observed_seconds, seconds, step_length};
use routing::TimeSpan;
use rstest::rstest;

#[rstest]
#[case(TimeSpan(50_000), TimeSpan(5_000))]
#[case(TimeSpan(9), TimeSpan(1))]
fn a_step_is_a_tenth_of_the_window_and_never_zero(#[case] window: TimeSpan, #[case] expected: TimeSpan) {
    assert_eq!(step_length(window), expected);
}

/// A controller that has just started divides its counts by the observed time. Divided by a whole window, the rates
/// would be too low; divided by zero, they would be infinite.
#[rstest]
#[case(TimeSpan(0), 0.5)]
#[case(TimeSpan(4_000), 0.5)]
#[case(TimeSpan(20_000), 2.0)]
#[case(TimeSpan(50_000), 5.0)]
#[case(TimeSpan(900_000), 5.0)]
fn the_observed_time_is_between_one_step_and_one_window(
    #[case] since_start: TimeSpan,
    #[case] expected_s: f64,
) {
    assert_eq!(observed_seconds(since_start, TimeSpan(50_000)), expected_s);
}

#[rstest]
fn durations_are_converted_to_seconds() {
    assert_eq!(seconds(TimeSpan(15_000)), 1.5);
}
