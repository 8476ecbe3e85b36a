//! How the admitted rate starts, falls and rises.

use super::{AdaptiveRate, initial_rate, min_rate};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const WINDOW: TimeSpan = TimeSpan(50_000);

fn started(per_second: f64) -> AdaptiveRate {
    let mut rate = AdaptiveRate::default();
    rate.start(Timestamp(0), per_second);
    rate
}

/// A rate of nothing can't find out that the overload is over: the least is what shows one loss as the level.
#[rstest]
fn the_lowest_rate_makes_one_loss_the_level() {
    assert_eq!(min_rate(0.1, WINDOW), 2.0);
}

#[rstest]
#[case(40.0, 40.0)]
#[case(0.5, 2.0)]
fn the_limit_starts_at_what_was_served(#[case] served_per_second: f64, #[case] expected: f64) {
    assert_eq!(initial_rate(served_per_second, 2.0), expected);
}

#[rstest]
fn a_decrease_multiplies_down_to_the_lowest_rate() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.75, 2.0);
    assert_eq!(rate.per_second(), 75.0);
    for _ in 0..100 {
        rate.decrease(Timestamp(0), 0.75, 2.0);
    }
    assert_eq!(rate.per_second(), 2.0);
}

/// Losses show late: attempts admitted before a decrease time out after it. They must not be answered by a
/// second decrease.
#[rstest]
#[case(24_999, false)]
#[case(25_000, true)]
fn half_a_window_passes_between_decreases(#[case] after: i64, #[case] expected: bool) {
    let mut rate = AdaptiveRate::default();
    rate.start(Timestamp(70_000), 100.0);
    assert_eq!(rate.may_decrease(Timestamp(70_000 + after), WINDOW), expected, "after the start");
    rate.decrease(Timestamp(100_000), 0.75, 2.0);
    assert_eq!(rate.may_decrease(Timestamp(100_000 + after), WINDOW), expected, "after a decrease");
}

/// Up to the rate before the last decrease the rate grows each step; past it, by a tenth of that, as there it
/// was too high before.
#[rstest]
fn the_increase_slows_down_at_the_last_peak() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.5, 2.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 75.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 100.0, "not past the peak in one step");
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 105.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 110.0, "by the same amount each step");
}

/// The peak is where the rate was last decreased, not where it was ever highest: a second decrease lowers it.
#[rstest]
fn the_last_peak_is_that_of_the_last_decrease() {
    let mut rate = started(100.0);
    rate.decrease(Timestamp(0), 0.5, 2.0);
    rate.decrease(Timestamp(50_000), 0.5, 2.0);
    rate.increase(1.0);
    assert_eq!(rate.per_second(), 50.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 52.5, "slower past 50");
}

/// A limit that has just started is at what the nodes served: from there on it grows slowly, as past a peak.
#[rstest]
fn the_initial_rate_counts_as_a_peak() {
    let mut rate = started(100.0);
    rate.increase(0.5);
    assert_eq!(rate.per_second(), 105.0);
}

#[rstest]
fn a_stopped_rate_is_none() {
    let mut rate = started(100.0);
    rate.stop();
    assert_eq!(rate.per_second(), 0.0);
}
