//! Tests of each condition of the quota check.

use super::{QuotaDecision, QuotaInputs, check_quota};
use rstest::rstest;

/// The inputs for a query beyond the share of its tenant, which is one of several.
const BEYOND_SHARE: QuotaInputs = QuotaInputs {
    is_limited: true,
    bucket_covers: false,
    allows_partial: false,
    has_other_tenants: true,
    is_enforced: true,
};

/// A surge of one tenant would reduce the coverage of all tenants' queries, so queries beyond its share are rejected.
#[rstest]
fn a_query_beyond_the_share_is_rejected() {
    assert_eq!(check_quota(&BEYOND_SHARE), QuotaDecision::Reject);
}

#[rstest]
#[case(QuotaInputs { is_limited: false, ..BEYOND_SHARE })]
#[case(QuotaInputs { bucket_covers: true, ..BEYOND_SHARE })]
fn a_query_within_the_share_takes_tokens(#[case] inputs: QuotaInputs) {
    assert_eq!(check_quota(&inputs), QuotaDecision::WithinQuota);
    assert_eq!(
        check_quota(&QuotaInputs { allows_partial: true, ..inputs }),
        QuotaDecision::WithinQuota,
        "a query within the share is not limited to its minimum coverage"
    );
}

/// The share of a single tenant protects no other tenants, and the broker's cutoff serves more of its queries than
/// rejections would. If quotas are not enforced, the same applies to all tenants.
#[rstest]
#[case(QuotaInputs { has_other_tenants: false, ..BEYOND_SHARE })]
#[case(QuotaInputs { is_enforced: false, ..BEYOND_SHARE })]
fn a_share_applies_only_among_several_tenants_and_if_enforced(
    #[case] inputs: QuotaInputs,
    #[values(true, false)] allows_partial: bool,
) {
    assert_eq!(check_quota(&QuotaInputs { allows_partial, ..inputs }), QuotaDecision::Exempt);
}

#[rstest]
fn a_class_that_allows_partial_responses_is_served_at_its_minimum_coverage() {
    let inputs = QuotaInputs { allows_partial: true, ..BEYOND_SHARE };
    assert_eq!(check_quota(&inputs), QuotaDecision::MinCoverageOnly);
}
