//! Each signal of overload, and the least number of events that one is taken of.

use super::{OverloadInputs, is_overloaded};
use rstest::rstest;

const LEVEL: f64 = 0.1;

const CALM: OverloadInputs = OverloadInputs {
    lost_attempts: 0.0,
    ended_attempts: 100.0,
    rejected_queries: 0.0,
    admitted_shard_requests: 100.0,
};

#[rstest]
#[case(10.0, false)]
#[case(11.0, true)]
fn lost_attempts_above_the_level_are_overload(#[case] lost_attempts: f64, #[case] expected: bool) {
    assert_eq!(is_overloaded(&OverloadInputs { lost_attempts, ..CALM }, LEVEL), expected);
}

/// The broker's concurrency limit can be full while nodes refuse nothing. The overload then shows only in the
/// queries that the broker rejects.
#[rstest]
#[case(10.0, false)]
#[case(11.0, true)]
fn rejected_queries_above_the_level_are_overload(#[case] rejected_queries: f64, #[case] expected: bool) {
    assert_eq!(is_overloaded(&OverloadInputs { rejected_queries, ..CALM }, LEVEL), expected);
}

/// After a quiet spell one time-out is all of the events that there are. It must not limit the rate.
#[rstest]
#[case(1.0, false)]
#[case(2.0, true)]
fn one_event_among_few_is_no_overload(#[case] events: f64, #[case] expected: bool) {
    let lost = OverloadInputs { lost_attempts: events, ended_attempts: events, ..CALM };
    assert_eq!(is_overloaded(&lost, LEVEL), expected);
    let rejected = OverloadInputs { rejected_queries: events, admitted_shard_requests: 0.0, ..CALM };
    assert_eq!(is_overloaded(&rejected, LEVEL), expected);
}
