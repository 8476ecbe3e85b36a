//! Steps and the observed part of the window.

use super::{observed_seconds, seconds, step_length};
use routing::Tenths;
use rstest::rstest;

#[rstest]
#[case(Tenths(50_000), Tenths(5_000))]
#[case(Tenths(9), Tenths(1))]
fn a_step_is_a_tenth_of_the_window_and_never_nothing(#[case] window: Tenths, #[case] expected: Tenths) {
    assert_eq!(step_length(window), expected);
}

/// A controller that has just started divides its counts by the time that it has seen. Divided by a whole
/// window they would show a fraction of the traffic; divided by nothing, an infinite rate.
#[rstest]
#[case(Tenths(0), 0.5)]
#[case(Tenths(4_000), 0.5)]
#[case(Tenths(20_000), 2.0)]
#[case(Tenths(50_000), 5.0)]
#[case(Tenths(900_000), 5.0)]
fn observed_time_is_one_step_to_one_window(#[case] since_start: Tenths, #[case] expected_s: f64) {
    assert_eq!(observed_seconds(since_start, Tenths(50_000)), expected_s);
}

#[rstest]
fn tenths_of_milliseconds_are_read_as_seconds() {
    assert_eq!(seconds(Tenths(15_000)), 1.5);
}
