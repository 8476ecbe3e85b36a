//! Tests of the shutdown schedule.

use routing::shutdown_deadline::{KILL_MARGIN, LONGEST_COUNTED_DEADLINE, ShutdownSchedule};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(0, 600)]
#[case(700, 1300)]
#[case(3000, 3600)]
#[case(3001, 3600)] // at most three seconds are counted
#[case(90_000, 3600)]
fn open_queries_are_failed_before_the_earliest_kill(#[case] deadline_ms: u64, #[case] fail_after_ms: u64) {
    let longest_deadline = Duration::from_millis(deadline_ms);
    let schedule = ShutdownSchedule::new(longest_deadline);
    assert_eq!(schedule.fail_open_after, Duration::from_millis(fail_after_ms));
    assert_eq!(schedule.accept_period, Duration::from_millis(500));
    let kill = longest_deadline.min(LONGEST_COUNTED_DEADLINE) + KILL_MARGIN;
    assert!(schedule.fail_open_after + schedule.final_response_timeout < kill);
    assert!(schedule.accept_period < schedule.fail_open_after);
}
