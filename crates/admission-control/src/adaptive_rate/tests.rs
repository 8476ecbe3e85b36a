//! Tests of the start, decrease and increase of the admitted rate.

use super::{AdaptiveRate, initial_rate, min_rate};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const WINDOW: TimeSpan = TimeSpan(50_000);

fn started(per_second: f64) -> AdaptiveRate {
    let mut rate = AdaptiveRate::default();
    rate.start(Timestamp(0), per_second);
    rate
}

/// At a rate of zero nothing succeeds, so the end of an overload would never be detected. At the minimum rate, one
/// loss in a window amounts to the threshold.
#[rstest]
fn one_loss_at_the_minimum_rate_equals_the_threshold() {
    assert_eq!(min_rate(0.1, WINDOW), 2.0);
}

#[rstest]
#[case(40.0, 40.0)]
#[case(0.5, 2.0)]
fn the_limit_starts_at_the_served_rate(#[case] served_per_second: f64, #[case] expected: f64) {
    assert_eq!(initial_rate(served_per_second, 2.0), expected);
}

#[rstest]
fn a_decrease_is_multiplicative_down_to_the_minimum_rate() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.75, 2.0);
    assert_eq!(rate.per_second(), 75.0);
    for _ in 0..100 {
        rate.decrease(Timestamp(0), 0.75, 2.0);
    }
    assert_eq!(rate.per_second(), 2.0);
}

/// Attempts admitted before a decrease may time out after it. These late losses must not cause a second decrease.
#[rstest]
#[case(24_999, false)]
#[case(25_000, true)]
fn decreases_are_at_least_half_a_window_apart(#[case] after: i64, #[case] expected: bool) {
    let mut rate = AdaptiveRate::default();
    rate.start(Timestamp(70_000), 100.0);
    assert_eq!(rate.may_decrease(Timestamp(70_000 + after), WINDOW), expected, "after the start");
    rate.decrease(Timestamp(100_000), 0.75, 2.0);
    assert_eq!(rate.may_decrease(Timestamp(100_000 + after), WINDOW), expected, "after a decrease");
}

/// The rate grows by the full ratio per step up to the rate before the last decrease, and above it by a tenth of
/// that, as the rate was too high there before.
#[rstest]
fn the_increase_is_slower_above_the_last_peak() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.5, 2.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 75.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 100.0, "the step ends at the previous peak");
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 105.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 110.0, "above the peak the increase per step is constant");
}

/// The peak is the rate before the last decrease, not the highest rate ever, so a second decrease lowers the peak.
#[rstest]
fn the_peak_is_the_rate_before_the_last_decrease() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.5, 2.0);
    rate.decrease(Timestamp(50_000), 0.5, 2.0);
    rate.increase(1.0);
    assert_eq!(rate.per_second(), 50.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 52.5, "the increase is slower above 50");
}

/// The initial rate is the rate that the nodes served, so the rate grows above it as slowly as above a peak.
#[rstest]
fn the_initial_rate_counts_as_a_peak() {
    let mut rate = started(100.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 105.0);
}

#[rstest]
fn a_stopped_rate_is_zero() {
    let mut rate = started(100.0);
    rate.stop();
    assert_eq!(rate.per_second(), 0.0);
}
