use super::{
    AttemptAfterIdle, IdleConnectionHistory, RESET_RETENTION, is_idle, was_lost, was_reset_immediately,
};
use crate::inputs::AttemptOutcome::{self, Cancelled, ConnectionLost, Succeeded};
use crate::state::ConnectionUse::{New, Reused};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const ATTEMPT: AttemptAfterIdle = AttemptAfterIdle {
    now: NOW,
    idle_period: TimeSpan(3_000),
    must_succeed: false,
    shortest_objective: TimeSpan(10_000),
};

#[rstest]
fn a_connection_is_idle_after_a_fifth_of_the_objective() {
    assert!(!is_idle(TimeSpan(1_999), TimeSpan(10_000)));
    assert!(is_idle(TimeSpan(2_000), TimeSpan(10_000)));
}

#[rstest]
fn attempts_that_must_succeed_use_a_new_connection_after_half_of_the_objective() {
    let history = IdleConnectionHistory::default();
    let must_succeed = AttemptAfterIdle { must_succeed: true, idle_period: TimeSpan(5_000), ..ATTEMPT };
    assert_eq!(history.choose(must_succeed), Reused);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(5_001), ..must_succeed }), New);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(5_001), ..ATTEMPT }), Reused);
}

/// A middlebox drops connections after an idle period, and the next attempt on such a connection is
/// immediately reset. Connections are replaced from the shortest such period on, until no reset has been seen
/// for a while.
#[rstest]
fn idle_periods_before_resets_are_retained() {
    let mut history = IdleConnectionHistory::default();
    history.record_reset(NOW, TimeSpan(2_500));
    history.record_reset(NOW, TimeSpan(4_000));
    assert_eq!(history.choose(ATTEMPT), New);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(2_499), ..ATTEMPT }), Reused);
    assert_eq!(history.choose(AttemptAfterIdle { now: NOW + RESET_RETENTION, ..ATTEMPT }), Reused);
    // An expired observation no longer counts, even if a new one is recorded.
    history.record_reset(NOW + RESET_RETENTION, TimeSpan(4_000));
    assert_eq!(history.choose(AttemptAfterIdle { now: NOW + RESET_RETENTION, ..ATTEMPT }), Reused);
}

fn history(reused: (usize, usize), new: (usize, usize)) -> IdleConnectionHistory {
    let mut history = IdleConnectionHistory::default();
    (0..reused.1).for_each(|attempt| history.record_end(NOW, Reused, attempt < reused.0, false));
    (0..new.1).for_each(|attempt| history.record_end(NOW, New, attempt < new.0, false));
    history
}

#[rstest]
#[case::a_fifth_of_reused_is_lost((4, 20), (0, 20), true)]
#[case::less_than_a_fifth((3, 20), (0, 20), false)]
#[case::new_lose_half_as_often((4, 20), (2, 20), true)]
#[case::new_lose_almost_as_often((4, 20), (3, 20), false)]
#[case::one_loss_alone((1, 1), (0, 0), false)]
fn losses_on_reused_connections(
    #[case] reused: (usize, usize),
    #[case] new: (usize, usize),
    #[case] expected: bool,
) {
    assert_eq!(history(reused, new).reused_connections_fail(NOW), expected);
    assert_eq!(history(reused, new).choose(ATTEMPT), if expected { New } else { Reused });
}

/// An unresponsive attempt counts as lost before it ends, because other attempts are sent in the meantime.
/// Its end must not be counted again.
#[rstest]
fn an_unresponsive_attempt_counts_once() {
    let mut history = history((3, 19), (0, 0));
    history.record_unresponsive(NOW);
    assert!(history.reused_connections_fail(NOW));
    history.record_end(NOW, Reused, true, true);
    assert!(history.reused_connections_fail(NOW));
    let mut eventually_answered = history.clone();
    eventually_answered.record_end(NOW, Reused, false, true);
    assert!(!eventually_answered.reused_connections_fail(NOW));
}

#[rstest]
#[case::failed(true, ConnectionLost, false, 1, true)]
#[case::succeeded(false, Succeeded, true, 9, false)]
#[case::cancelled_late_and_unresponsive(false, Cancelled, true, 6, true)]
#[case::cancelled_early(false, Cancelled, true, 5, false)]
#[case::cancelled_at_an_answering_node(false, Cancelled, false, 6, false)]
fn lost_attempts(
    #[case] is_node_failure: bool,
    #[case] outcome: AttemptOutcome,
    #[case] node_was_unresponsive: bool,
    #[case] duration: i64,
    #[case] expected: bool,
) {
    let average = TimeSpan(5);
    assert_eq!(
        was_lost(is_node_failure, outcome, node_was_unresponsive, TimeSpan(duration), average),
        expected
    );
}

#[rstest]
fn a_reset_within_two_turns_preceded_the_attempt() {
    assert!(was_reset_immediately(TimeSpan(100), TimeSpan(50)));
    assert!(!was_reset_immediately(TimeSpan(101), TimeSpan(50)));
}

/// Old losses must not prevent the reuse of connections.
#[rstest]
fn losses_decay() {
    let mut history = history((4, 20), (0, 0));
    assert!(history.reused_connections_fail(NOW));
    let later = NOW + TimeSpan(300_000);
    assert!(!history.reused_connections_fail(later));
    history.record_reset(later, TimeSpan(3_000));
    assert_eq!(history.choose(AttemptAfterIdle { now: later, ..ATTEMPT }), New);
}
