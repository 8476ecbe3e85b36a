//! Tests of the retry budget.

use super::{AdmittedAttempts, RetryBudget};
use rstest::rstest;

/// Rejected clients that retry immediately prolong an overload after its cause has been removed, so their retries are
/// limited to a fraction of their first attempts, plus a minimum.
#[rstest]
#[case(0.0, 2.0, false)]
#[case(0.0, 3.0, true)]
#[case(10.0, 4.0, false)]
#[case(10.0, 5.0, true)]
#[case(100.0, 22.0, false)]
#[case(100.0, 23.0, true)]
fn the_budget_is_a_minimum_plus_a_ratio_of_first_attempts(
    #[case] first_attempts: f64,
    #[case] retries: f64,
    #[case] expected: bool,
) {
    let budget = RetryBudget { ratio: 0.2, min_retries: 3.0 };
    assert_eq!(budget.is_exceeded(AdmittedAttempts { first_attempts, retries }), expected);
}

#[rstest]
fn an_empty_budget_admits_no_retry() {
    let budget = RetryBudget { ratio: 0.0, min_retries: 0.0 };
    assert!(budget.is_exceeded(AdmittedAttempts { first_attempts: 1000.0, retries: 0.0 }));
}
