//! When idle connections are trusted.

use super::{
    AttemptAfterIdle, IdleConnectionHistory, RESET_MEMORY, is_idle, was_lost, was_reset_immediately,
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
fn what_must_succeed_goes_out_on_a_new_connection_after_half_of_the_objective() {
    let history = IdleConnectionHistory::default();
    let must_succeed = AttemptAfterIdle { must_succeed: true, idle_period: TimeSpan(5_000), ..ATTEMPT };
    assert_eq!(history.choose(must_succeed), Reused);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(5_001), ..must_succeed }), New);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(5_001), ..ATTEMPT }), Reused);
}

/// Something between broker and node drops connections after an idle period, and the next attempt on one is
/// reset at once. From the shortest such period on connections are replaced, until that has not been seen for
/// a while.
#[rstest]
fn idle_periods_after_which_connections_were_reset_are_remembered() {
    let mut history = IdleConnectionHistory::default();
    history.record_reset(NOW, TimeSpan(2_500));
    history.record_reset(NOW, TimeSpan(4_000));
    assert_eq!(history.choose(ATTEMPT), New);
    assert_eq!(history.choose(AttemptAfterIdle { idle_period: TimeSpan(2_499), ..ATTEMPT }), Reused);
    assert_eq!(history.choose(AttemptAfterIdle { now: NOW + RESET_MEMORY, ..ATTEMPT }), Reused);
    // What was seen long ago no longer counts, also beside what was seen now.
    history.record_reset(NOW + RESET_MEMORY, TimeSpan(4_000));
    assert_eq!(history.choose(AttemptAfterIdle { now: NOW + RESET_MEMORY, ..ATTEMPT }), Reused);
}

fn history(reused: (usize, usize), new: (usize, usize)) -> IdleConnectionHistory {
    let mut history = IdleConnectionHistory::default();
    (0..reused.1).for_each(|attempt| history.record_end(NOW, Reused, attempt < reused.0, false));
    (0..new.1).for_each(|attempt| history.record_end(NOW, New, attempt < new.0, false));
    history
}

#[rstest]
#[case::a_fifth_is_lost((4, 20), (0, 20), true)]
#[case::less_than_a_fifth((3, 20), (0, 20), false)]
#[case::new_ones_half_as_often((4, 20), (2, 20), true)]
#[case::new_ones_are_lost_too((4, 20), (3, 20), false)]
#[case::one_loss_alone((1, 1), (0, 0), false)]
fn losses_on_reused_connections(
    #[case] reused: (usize, usize),
    #[case] new: (usize, usize),
    #[case] expected: bool,
) {
    assert_eq!(history(reused, new).reused_connections_fail(NOW), expected);
    assert_eq!(history(reused, new).choose(ATTEMPT), if expected { New } else { Reused });
}

/// A silent attempt counts as lost before it ends, since the next ones go out meanwhile. Its end must not
/// count it again.
#[rstest]
fn an_unresponsive_attempt_counts_once() {
    let mut history = history((3, 19), (0, 0));
    history.record_unresponsive(NOW);
    assert!(history.reused_connections_fail(NOW));
    history.record_end(NOW, Reused, true, true);
    assert!(history.reused_connections_fail(NOW));
    let mut answered_after_all = history.clone();
    answered_after_all.record_end(NOW, Reused, false, true);
    assert!(!answered_after_all.reused_connections_fail(NOW));
}

#[rstest]
#[case::failed(true, ConnectionLost, false, 1, true)]
#[case::succeeded(false, Succeeded, true, 9, false)]
#[case::cancelled_late_and_silent(false, Cancelled, true, 6, true)]
#[case::cancelled_early(false, Cancelled, true, 5, false)]
#[case::cancelled_at_a_node_that_answers(false, Cancelled, false, 6, false)]
fn lost_attempts(
    #[case] is_node_failure: bool,
    #[case] outcome: AttemptOutcome,
    #[case] node_was_silent: bool,
    #[case] duration: i64,
    #[case] expected: bool,
) {
    let average = TimeSpan(5);
    assert_eq!(was_lost(is_node_failure, outcome, node_was_silent, TimeSpan(duration), average), expected);
}

#[rstest]
fn a_reset_within_two_turns_was_there_before_the_attempt() {
    assert!(was_reset_immediately(TimeSpan(100), TimeSpan(50)));
    assert!(!was_reset_immediately(TimeSpan(101), TimeSpan(50)));
}

/// What was lost long ago must not keep connections from being used again.
#[rstest]
fn losses_fade() {
    let mut history = history((4, 20), (0, 0));
    assert!(history.reused_connections_fail(NOW));
    let later = NOW + TimeSpan(300_000);
    assert!(!history.reused_connections_fail(later));
    history.record_reset(later, TimeSpan(3_000));
    assert_eq!(history.choose(AttemptAfterIdle { now: later, ..ATTEMPT }), New);
}
