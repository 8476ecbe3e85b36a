use super::{RetryHistory, default_budget};
use crate::config::{RequestLimits, RetryBudget};
use crate::ids::{AttemptNumber, ShardRequestId};
use crate::state::AttemptId;
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const BUDGET: RetryBudget = RetryBudget { min_retries: 2.0, ratio: 0.1, window: TimeSpan(10_000) };

fn attempt(number: u16) -> AttemptId {
    AttemptId { shard_request: ShardRequestId(1), number: AttemptNumber(number) }
}

/// Returns a history in which the given numbers of requests were accepted and retried at `at`.
fn history(at: Timestamp, accepted: usize, retries: u16) -> RetryHistory {
    let mut history = RetryHistory::default();
    (0..accepted).for_each(|_| history.record_accepted(at));
    (0..retries).for_each(|number| history.record_retry(at, attempt(number)));
    history
}

#[rstest]
#[case::min_retries(0, 1, true)]
#[case::min_retries_are_spent(0, 2, false)]
#[case::a_ratio_of_accepted_requests(30, 4, true)]
#[case::the_ratio_is_spent(30, 5, false)]
#[case::no_fraction_of_a_retry(39, 5, false)]
fn the_budget_is_a_minimum_and_a_ratio(
    #[case] accepted: usize,
    #[case] retries: u16,
    #[case] expected: bool,
) {
    assert_eq!(history(NOW, accepted, retries).allows_retry(&BUDGET, NOW, TimeSpan::ZERO), expected);
}

/// An attempt that reaches its node late may count there in a later window than the one in which it was
/// decided on.
#[rstest]
#[case::accepted_within(history(NOW - TimeSpan(9_900), 10, 2), true)]
#[case::accepted_too_long_ago(history(NOW - TimeSpan(9_901), 10, 2), false)]
fn accepted_requests_count_for_a_window_shortened_by_the_send_delay(
    #[case] history: RetryHistory,
    #[case] expected: bool,
) {
    assert_eq!(history.allows_retry(&BUDGET, NOW, TimeSpan(100)), expected);
}

#[rstest]
#[case::still_counts(10_100, false)]
#[case::no_longer_counts(10_101, true)]
fn retries_count_for_a_longer_window(#[case] age: i64, #[case] expected: bool) {
    let history = history(NOW - TimeSpan(age), 0, 2);
    assert_eq!(history.allows_retry(&BUDGET, NOW, TimeSpan(100)), expected);
}

#[rstest]
fn unsent_attempts_do_not_count() {
    let mut history = history(NOW, 0, 2);
    history.withdraw(attempt(1));
    assert!(history.allows_retry(&BUDGET, NOW, TimeSpan::ZERO));
}

#[rstest]
fn removing_expired_entries_does_not_change_decisions() {
    let mut history = history(NOW - TimeSpan(10_000), 10, 2);
    history.remove_expired(NOW, BUDGET.window, TimeSpan::ZERO);
    assert_eq!((history.accepted_at.len(), history.retries.len()), (10, 2));
    history.remove_expired(NOW + TimeSpan(1), BUDGET.window, TimeSpan::ZERO);
    assert_eq!((history.accepted_at.len(), history.retries.len()), (0, 0));
}

#[rstest]
fn the_default_budget_allows_a_quarter() {
    let limits = RequestLimits { max_attempts: 3, ..RequestLimits::default() };
    let budget = default_budget(&limits);
    assert_eq!((budget.min_retries, budget.ratio, budget.window), (3.0, 0.25, TimeSpan(50_000)));
}
