use super::{Ending, ending, retry_after};
use crate::config::RequestLimits;
use crate::time::TimeSpan;
use rstest::rstest;

/// A client that is told to retry may send the query again, and its effect would happen twice. Once a second
/// phase begins, the first phase was executed, although none of the attempts that are still stored was.
#[rstest]
#[case::idempotent(true, false, true, Ending::Reject)]
#[case::never_executed(false, true, false, Ending::Reject)]
#[case::maybe_executed(false, false, false, Ending::Fail)]
#[case::first_phase_was_executed(false, true, true, Ending::Fail)]
fn a_rejection_promises_that_a_repeat_is_safe(
    #[case] is_idempotent: bool,
    #[case] was_never_executed: bool,
    #[case] in_second_phase: bool,
    #[case] expected: Ending,
) {
    assert_eq!(ending(is_idempotent, was_never_executed, in_second_phase), expected);
}

#[rstest]
#[case::the_objective(true, 5_000, 2_000)]
#[case::the_configured_maximum(true, 1_000, 1_000)]
#[case::not_enabled(false, 5_000, 0)]
fn rejected_clients_receive_a_retry_after(
    #[case] is_told: bool,
    #[case] max_retry_after: i64,
    #[case] expected: i64,
) {
    let limits = RequestLimits {
        send_retry_after: is_told,
        max_retry_after: TimeSpan(max_retry_after),
        ..RequestLimits::default()
    };
    assert_eq!(retry_after(&limits, TimeSpan(2_000)), TimeSpan(expected));
}
