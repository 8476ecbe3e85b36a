//! Tests of the time after which a rejected query may be sent again.

use super::retry_after;
use routing::{RequestLimits, TimeSpan};
use rstest::rstest;

#[rstest]
#[case(50_000, true, 60_000, 25_000)]
#[case(50_000, true, 10_000, 10_000)]
#[case(50_000, true, 0, 1)]
#[case(50_000, false, 60_000, 0)]
fn the_time_is_half_a_window_up_to_the_configured_maximum(
    #[case] window: i64,
    #[case] retry_after_allowed: bool,
    #[case] max_retry_after: i64,
    #[case] expected: i64,
) {
    let limits = RequestLimits {
        send_retry_after: retry_after_allowed,
        max_retry_after: TimeSpan(max_retry_after),
        ..RequestLimits::default()
    };
    assert_eq!(retry_after(TimeSpan(window), &limits), TimeSpan(expected));
}
