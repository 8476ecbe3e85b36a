use super::TenantRates;
use crate::ids::TenantId;
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);
const TENANT: TenantId = TenantId(1);

// 10 queries per second over 5 brokers are 10 queries in 5 s per broker.
#[rstest]
#[case::at_its_share(10, 10.0, 5, true)]
#[case::beyond_its_share(11, 10.0, 5, false)]
#[case::single_broker(50, 10.0, 1, true)]
#[case::one_query_is_always_within(1, 0.0, 5, true)]
#[case::two_queries_exceed_a_zero_quota(2, 0.0, 5, false)]
fn quotas(#[case] queries: usize, #[case] quota_per_s: f64, #[case] brokers: u32, #[case] expected: bool) {
    let mut rates = TenantRates::default();
    (0..queries).for_each(|_| rates.record(TENANT, NOW));
    assert_eq!(rates.is_within_quota(TENANT, quota_per_s, brokers), expected);
}

#[rstest]
fn idle_tenants_without_a_quota_are_removed() {
    let mut rates = TenantRates::default();
    rates.record(TENANT, NOW);
    let still_known = NOW + TimeSpan(100_000);
    rates.remove_idle(still_known, |_| false);
    assert!(!rates.0.is_empty());
    let expired = NOW + TimeSpan(120_000);
    rates.remove_idle(expired, |tenant| tenant == TENANT);
    assert!(!rates.0.is_empty());
    rates.remove_idle(expired, |_| false);
    assert!(rates.0.is_empty());
}
