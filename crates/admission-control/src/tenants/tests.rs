//! Tests of the table of tenants: how tenants are counted, and when they are removed.

use super::{OVERFLOW_TENANT, TenantTable};
use crate::fair_share::Share;
use routing::{TenantId, TimeSpan, Timestamp};
use rstest::rstest;

const WINDOW: TimeSpan = TimeSpan(50_000);
const BURST: TimeSpan = TimeSpan(10_000);
const RATE: f64 = 100.0;

fn table(max_tenants: usize, tenants: &[u32]) -> TenantTable {
    let mut table = TenantTable::new(WINDOW, max_tenants);
    for tenant in tenants {
        let usage = table.get_or_insert(TenantId(*tenant), Timestamp(0), RATE);
        usage.record_requested(Timestamp(0), WINDOW, 10.0);
    }
    table
}

/// A client that invents a tenant name for each query must not exhaust the memory.
#[rstest]
fn new_tenants_of_a_full_table_are_counted_as_one() {
    let table = table(2, &[5, 6]);
    assert_eq!(table.accounted_tenant(TenantId(6)), TenantId(6));
    assert_eq!(table.accounted_tenant(TenantId(7)), OVERFLOW_TENANT);
}

#[rstest]
fn a_table_with_room_counts_each_tenant_as_itself() {
    assert_eq!(table(2, &[5]).accounted_tenant(TenantId(7)), TenantId(7));
}

/// A tenant that first sends requests in overloaded mode has no computed share, so it starts with an even share and a
/// full bucket.
#[rstest]
fn a_new_tenant_starts_with_an_even_share() {
    let mut table = table(10, &[0]);
    let usage = table.get_or_insert(TenantId(1), Timestamp(0), RATE);
    usage.fill_bucket(Timestamp(0), BURST);
    assert!(!usage.is_limited);
    assert!(usage.bucket_covers(50.0, BURST));
    usage.take_tokens(0.5);
    assert!(!usage.bucket_covers(50.0, BURST), "the depth is half of the rate for a burst of one second");
}

#[rstest]
fn only_tenants_with_requests_count_as_others() {
    let mut table = table(10, &[0]);
    assert!(!table.has_others(TenantId(0), Timestamp(0)));
    assert!(table.has_others(TenantId(1), Timestamp(0)));
    assert!(!table.has_others(TenantId(1), Timestamp(0) + WINDOW), "the requests have left the window");
    table.get_or_insert(TenantId(2), Timestamp(0), RATE);
    assert!(!table.has_others(TenantId(0), Timestamp(0)), "a tenant without requests does not count");
}

#[rstest]
fn a_tenant_is_removed_once_its_requests_have_left_the_window() {
    let mut table = table(1, &[0]);
    table.remove_idle(Timestamp(49_999));
    assert_eq!(table.accounted_tenant(TenantId(1)), OVERFLOW_TENANT);
    table.remove_idle(Timestamp(0) + WINDOW);
    assert_eq!(table.accounted_tenant(TenantId(1)), TenantId(1));
}

#[rstest]
fn demands_are_rates_over_the_observed_time() {
    let table = table(10, &[0, 1]);
    assert_eq!(table.requested(Timestamp(0)), 20.0);
    let demands = table.demands(Timestamp(0), 5.0, |tenant| f64::from(tenant.0) + 1.0);
    let demands: Vec<(u32, f64, f64)> =
        demands.iter().map(|demand| (demand.tenant.0, demand.per_second, demand.weight)).collect();
    assert_eq!(demands, [(0, 2.0, 1.0), (1, 2.0, 2.0)]);
}

#[rstest]
fn shares_are_set_by_tenant() {
    let mut table = table(10, &[0, 1]);
    table.set_shares(vec![Share { tenant: TenantId(1), per_second: 8.0, is_limited: true }]);
    assert!(!table.get_or_insert(TenantId(0), Timestamp(0), RATE).is_limited);
    let usage = table.get_or_insert(TenantId(1), Timestamp(0), RATE);
    usage.fill_bucket(Timestamp(0), BURST);
    assert!(usage.is_limited && usage.bucket_covers(8.0, BURST));
    usage.take_tokens(8.0);
    assert!(!usage.bucket_covers(8.0, BURST));
    table.refill_buckets();
    assert!(table.get_or_insert(TenantId(1), Timestamp(0), RATE).bucket_covers(8.0, BURST));
}

#[rstest]
fn retries_and_first_attempts_are_counted_separately() {
    let mut table = table(10, &[0]);
    let usage = table.get_or_insert(TenantId(0), Timestamp(0), RATE);
    usage.record_admitted(Timestamp(0), WINDOW, false);
    usage.record_admitted(Timestamp(0), WINDOW, false);
    usage.record_admitted(Timestamp(0), WINDOW, true);
    let admitted = usage.admitted_attempts(Timestamp(0), WINDOW);
    assert_eq!((admitted.first_attempts, admitted.retries), (2.0, 1.0));
    let later = usage.admitted_attempts(Timestamp(0) + WINDOW, WINDOW);
    assert_eq!((later.first_attempts, later.retries), (0.0, 0.0));
}
