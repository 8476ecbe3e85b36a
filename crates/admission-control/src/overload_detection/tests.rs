//! Tests of each signal of overload, and of the minimum number of events to which a signal is related.

use super::{OverloadInputs, is_overloaded};
use rstest::rstest;

const THRESHOLD: f64 = 0.1;

const NOT_OVERLOADED: OverloadInputs = OverloadInputs {
    lost_attempts: 0.0,
    ended_attempts: 100.0,
    rejected_queries: 0.0,
    admitted_shard_requests: 100.0,
};

#[rstest]
#[case(10.0, false)]
#[case(11.0, true)]
fn lost_attempts_above_the_threshold_are_overload(#[case] lost_attempts: f64, #[case] expected: bool) {
    assert_eq!(is_overloaded(&OverloadInputs { lost_attempts, ..NOT_OVERLOADED }, THRESHOLD), expected);
}

/// The broker's concurrency limit can be reached while nodes refuse nothing. The only signal of overload is then the
/// number of queries that the broker rejects.
#[rstest]
#[case(10.0, false)]
#[case(11.0, true)]
fn rejected_queries_above_the_threshold_are_overload(#[case] rejected_queries: f64, #[case] expected: bool) {
    assert_eq!(is_overloaded(&OverloadInputs { rejected_queries, ..NOT_OVERLOADED }, THRESHOLD), expected);
}

/// After a period of low traffic, one time-out may be the only event. It must not count as overload.
#[rstest]
#[case(1.0, false)]
#[case(2.0, true)]
fn a_single_event_does_not_count_as_overload(#[case] events: f64, #[case] expected: bool) {
    let lost = OverloadInputs { lost_attempts: events, ended_attempts: events, ..NOT_OVERLOADED };
    assert_eq!(is_overloaded(&lost, THRESHOLD), expected);
    let rejected =
        OverloadInputs { rejected_queries: events, admitted_shard_requests: 0.0, ..NOT_OVERLOADED };
    assert_eq!(is_overloaded(&rejected, THRESHOLD), expected);
}
