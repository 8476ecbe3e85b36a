//! Each clause of the quota.

use super::{QuotaDecision, QuotaInputs, check_quota};
use rstest::rstest;

/// A query of a storming tenant among others, beyond its share.
const BEYOND_SHARE: QuotaInputs = QuotaInputs {
    is_limited: true,
    bucket_covers: false,
    allows_partial: false,
    has_other_tenants: true,
    is_enforced: true,
};

/// One tenant's storm would trim everyone's queries. What is beyond its share is rejected.
#[rstest]
fn beyond_the_share_a_query_is_rejected() {
    assert_eq!(check_quota(&BEYOND_SHARE), QuotaDecision::Reject);
}

#[rstest]
#[case(QuotaInputs { is_limited: false, ..BEYOND_SHARE })]
#[case(QuotaInputs { bucket_covers: true, ..BEYOND_SHARE })]
fn within_the_share_a_query_takes_tokens(#[case] inputs: QuotaInputs) {
    assert_eq!(check_quota(&inputs), QuotaDecision::WithinQuota);
    assert_eq!(
        check_quota(&QuotaInputs { allows_partial: true, ..inputs }),
        QuotaDecision::WithinQuota,
        "not trimmed within the share"
    );
}

/// A tenant alone has nobody to be fair to; the broker's cutoff serves more of its queries than a rejection.
/// Where the operator has quotas not enforced, the same holds for all.
#[rstest]
#[case(QuotaInputs { has_other_tenants: false, ..BEYOND_SHARE })]
#[case(QuotaInputs { is_enforced: false, ..BEYOND_SHARE })]
fn a_share_is_held_only_against_others_and_where_enforced(
    #[case] inputs: QuotaInputs,
    #[values(true, false)] allows_partial: bool,
) {
    assert_eq!(check_quota(&QuotaInputs { allows_partial, ..inputs }), QuotaDecision::Exempt);
}

#[rstest]
fn a_class_that_takes_partial_responses_is_served_at_its_minimum_coverage() {
    let inputs = QuotaInputs { allows_partial: true, ..BEYOND_SHARE };
    assert_eq!(check_quota(&inputs), QuotaDecision::MinCoverageOnly);
}
