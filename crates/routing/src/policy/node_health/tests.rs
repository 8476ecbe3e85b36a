use super::{is_new_failure, is_uninformative};
use crate::inputs::AttemptOutcome::{self, Cancelled, ConnectionLost, NotSent, TimedOut};
use crate::state::Execution::{self, MaybeExecuted, Unsent};
use crate::time::Timestamp;
use rstest::rstest;

#[rstest]
#[case::never_sent(Unsent, NotSent, false, false, true)]
#[case::timed_out(MaybeExecuted, TimedOut, true, true, false)]
#[case::connection_was_closed_before(MaybeExecuted, ConnectionLost, true, false, true)]
#[case::node_closed_the_connection(MaybeExecuted, ConnectionLost, false, false, false)]
#[case::cancelled_early(MaybeExecuted, Cancelled, false, true, true)]
#[case::cancelled_late(MaybeExecuted, Cancelled, false, false, false)]
fn uninformative_ends(
    #[case] execution: Execution,
    #[case] outcome: AttemptOutcome,
    #[case] on_reused_connection: bool,
    #[case] is_before_latency: bool,
    #[case] expected: bool,
) {
    assert_eq!(is_uninformative(execution, outcome, on_reused_connection, is_before_latency), expected);
}

/// A node that hangs fails all attempts that are in flight there. They count as one consecutive failure and
/// not as ten; otherwise the node would be avoided for a long time after a short pause.
#[rstest]
#[case::sent_after_the_last_failure(true, 101, 100, true)]
#[case::in_flight_together(true, 99, 100, false)]
#[case::no_failure(false, 101, 100, false)]
fn consecutive_failures(
    #[case] is_node_failure: bool,
    #[case] sent_at: i64,
    #[case] last_failure_at: i64,
    #[case] expected: bool,
) {
    assert_eq!(is_new_failure(is_node_failure, Timestamp(sent_at), Timestamp(last_failure_at)), expected);
}
