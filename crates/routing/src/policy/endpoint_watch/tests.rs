use super::{FailedRequest, MIN_LIST_AGE, RESPONSE_TIME, delay_after_failure, max_silence};
use crate::time::TimeSpan;
use rstest::rstest;

/// Returns a request that failed at once.
fn failed(earlier_failures: u32) -> FailedRequest {
    FailedRequest { earlier_failures, pending: TimeSpan::ZERO }
}

#[rstest]
#[case::least_jitter(0, 0.0, 2_500)]
#[case::greatest_jitter(0, 1.0, 7_500)]
#[case::doubles(1, 0.5, 10_000)]
#[case::doubles_three_times(3, 0.5, 40_000)]
#[case::doubles_no_further(9, 0.5, 40_000)]
fn failures_double_the_delay(#[case] earlier_failures: u32, #[case] random: f64, #[case] expected: i64) {
    assert_eq!(delay_after_failure(TimeSpan(100_000), failed(earlier_failures), random), TimeSpan(expected));
}

/// Guards against sending to a node that drains (review/10): a request is never answered, and with the delay after it
/// the next one comes too late. Both and the response to the next request must fit into the list's maximum age.
#[rstest]
fn an_unanswered_request_its_delay_and_the_next_response_fit_into_the_list_age(
    #[values(0, 5000, 6000, 9000, 60_000)] list_age_ms: i64,
    #[values(0, 1, 2, 3, 50)] earlier_failures: u32,
    #[values(0, 1, 400, 1000, 2000, 3000, 4000, 5000, 8000)] pending_ms: i64,
) {
    let (list_age, pending) = (TimeSpan(list_age_ms * 10), TimeSpan(pending_ms * 10));
    let failed = FailedRequest { earlier_failures, pending };
    let delays: Vec<TimeSpan> =
        (0..=20).map(|step| delay_after_failure(list_age, failed, f64::from(step) / 20.0)).collect();
    let age = list_age.max(MIN_LIST_AGE);
    let greatest = delays[20];
    assert!(pending + greatest + RESPONSE_TIME <= age || greatest == TimeSpan::ZERO, "{greatest:?}");
    // The requests of a fleet must stay spread over two thirds of the longest delay, also where it is limited.
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]) || greatest.0 < 20, "{delays:?}");
    assert!(greatest >= delays[0].mul_f64(2.9), "{delays:?}");
}

#[rstest]
fn a_silent_watch_is_reopened_after_half_the_maximum_age() {
    assert_eq!(max_silence(TimeSpan(100_000)), TimeSpan(50_000));
    assert_eq!(max_silence(TimeSpan(10)), TimeSpan(25_000));
    assert_eq!(delay_after_failure(TimeSpan(10), failed(0), 0.5), TimeSpan(2_500));
}
