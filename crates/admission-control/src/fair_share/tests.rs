//! Tests of the division of a rate among tenants, and of the tenants' weights.

use super::{Demand, max_min_shares, tenant_weight};
use routing::{BrokerConfig, Tenant, TenantId};
use rstest::rstest;

fn demand(tenant: u32, per_second: f64, weight: f64) -> Demand {
    Demand { tenant: TenantId(tenant), per_second, weight }
}

/// Returns the shares in order of tenants, and whether each is limited.
fn shares(per_second: f64, headroom: f64, demands: Vec<Demand>) -> Vec<(u32, f64, bool)> {
    let mut shares: Vec<(u32, f64, bool)> = max_min_shares(per_second, headroom, demands)
        .into_iter()
        .map(|share| (share.tenant.0, share.per_second, share.is_limited))
        .collect();
    shares.sort_by_key(|(tenant, ..)| *tenant);
    shares
}

/// The demand of one tenant exceeds the rate. The other tenants receive their demands, and that tenant the remaining
/// rate.
#[rstest]
fn tenants_with_low_demand_are_not_limited() {
    let demands = vec![demand(0, 1000.0, 1.0), demand(1, 10.0, 1.0), demand(2, 20.0, 1.0)];
    assert_eq!(shares(100.0, 0.0, demands), [(0, 70.0, true), (1, 10.0, false), (2, 20.0, false)]);
    let demands = vec![demand(0, 10.0, 1.0), demand(1, 20.0, 1.0), demand(2, 1000.0, 1.0)];
    assert_eq!(shares(100.0, 0.0, demands), [(0, 10.0, false), (1, 20.0, false), (2, 70.0, true)]);
}

#[rstest]
fn tenants_that_all_exceed_their_shares_get_equal_shares() {
    let demands = vec![demand(0, 1000.0, 1.0), demand(1, 500.0, 1.0)];
    assert_eq!(shares(100.0, 0.0, demands), [(0, 50.0, true), (1, 50.0, true)]);
}

#[rstest]
fn the_remaining_rate_is_divided_by_weight() {
    let demands = vec![demand(0, 1000.0, 3.0), demand(1, 1000.0, 1.0), demand(2, 20.0, 4.0)];
    assert_eq!(shares(100.0, 0.0, demands), [(0, 60.0, true), (1, 20.0, true), (2, 20.0, false)]);
}

/// Without headroom, a tenant whose demand grows would be limited immediately.
#[rstest]
fn an_unlimited_tenant_gets_headroom() {
    let demands = vec![demand(0, 1000.0, 1.0), demand(1, 10.0, 1.0)];
    assert_eq!(shares(100.0, 0.5, demands), [(0, 85.0, true), (1, 15.0, false)]);
}

/// If quotas differ by many orders of magnitude, the small weights are lost in the sum of the weights, and the
/// remaining weight is zero once the large one is subtracted. The small tenants' shares must neither become negative
/// nor equal to any demand.
#[rstest]
#[case(1000.0, [100.0, 0.0, 0.0])]
#[case(90.0, [90.0, 50.0, 0.0])]
fn shares_are_valid_if_small_weights_are_lost_to_rounding(#[case] large: f64, #[case] expected: [f64; 3]) {
    let demands = vec![demand(0, large, 1e16), demand(1, 50.0, 1.0), demand(2, 50.0, 1.0)];
    let shares = shares(100.0, 0.0, demands);
    assert_eq!(shares.into_iter().map(|(_, per_second, _)| per_second).collect::<Vec<_>>(), expected);
}

#[rstest]
#[case(&[], 0, 1.0)]
#[case(&[4.0, 2.0], 0, 4.0)]
#[case(&[4.0, 2.0], 7, 3.0)]
#[case(&[0.0], 0, f64::MIN_POSITIVE)]
fn the_weight_is_the_quota_or_the_mean_of_quotas(
    #[case] quotas: &[f64],
    #[case] tenant: u32,
    #[case] expected: f64,
) {
    let mut config = BrokerConfig::default();
    for (tenant, quota) in quotas.iter().enumerate() {
        config.tenants.insert(TenantId(tenant as u32), Tenant { quota_per_s: *quota });
    }
    assert_eq!(tenant_weight(&config, TenantId(tenant)), expected);
}
