//! Tests of the counts of decisions.

use super::{Decision, DecisionCounts};
use rstest::rstest;

#[rstest]
#[case(Decision::Admit, false, DecisionCounts { admitted: 1, ..DecisionCounts::default() })]
#[case(
    Decision::AdmitAtMinCoverage,
    false,
    DecisionCounts { admitted_at_min_coverage: 1, ..DecisionCounts::default() }
)]
#[case(
    Decision::RejectOverRetryBudget,
    true,
    DecisionCounts { rejected_by_retry_budget: 1, ..DecisionCounts::default() }
)]
#[case(Decision::RejectOverQuota, true, DecisionCounts { rejected_by_quota: 1, ..DecisionCounts::default() })]
fn each_decision_has_its_own_counter(
    #[case] decision: Decision,
    #[case] is_rejection: bool,
    #[case] expected: DecisionCounts,
) {
    let mut counts = DecisionCounts::default();
    counts.record(decision);
    assert_eq!(counts, expected);
    assert_eq!(decision.is_rejection(), is_rejection);
}
