//! Tests of fair shares between tenants, and of queries beyond them.

use crate::fixture::*;
use admission_control::{AdmissionConfig, AdmissionController, Mode};
use routing::*;
use rstest::rstest;

/// The nodes serve 40 shard requests per second. One tenant requests 80, another 8. All queries of the second tenant
/// are admitted, and queries of the first beyond its share are rejected immediately.
#[rstest]
fn the_largest_tenant_is_limited_to_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let (mut large_rejected, mut large_admitted) = (0, 0);
    let (mut small_admitted, mut small_offered) = (0, 0);
    for step in 0..40 {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if step < 20 {
            // The window still has the requests of the preceding overload.
            continue;
        }
        let admitted = ids_and_tenants(&turn.inputs);
        large_rejected += rejections(&turn.effects).len();
        large_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 0).count();
        small_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 1).count();
        small_offered += 1;
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert_eq!(
        small_admitted, small_offered,
        "all queries of the small tenant, which is within its share, are admitted"
    );
    assert_eq!(small_offered, 20);
    assert!(
        large_rejected > 60 && large_admitted > 20,
        "queries of the large tenant: rejected {large_rejected}, admitted {large_admitted}"
    );
}

/// If a class allows partial responses, queries beyond a share are served at their minimum coverage and not rejected:
/// the shard requests of greatest weight contribute most of the priority weight with few attempts.
#[rstest]
fn a_partial_query_beyond_its_share_is_admitted_at_min_coverage() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let (mut rejected, mut at_min_coverage) = (0, 0);
    for step in 0..40 {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> =
            (0..10).flat_map(|_| queries.query_of_class(ClassId(1), 0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if step >= 20 {
            let is_at_min_coverage =
                |input: &&Input| matches!(input, Input::Query(query) if query.min_coverage_only);
            rejected += rejections(&turn.effects).len();
            at_min_coverage += turn.inputs.iter().filter(is_at_min_coverage).count();
        }
    }
    assert!(
        rejected == 0 && at_min_coverage > 20,
        "rejected {rejected}, at the minimum coverage {at_min_coverage}"
    );
}

/// Queries of a single tenant are never rejected for exceeding its share: the broker's cutoff handles the excess.
#[rstest]
fn a_single_tenant_is_not_limited_to_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    for _ in 0..20 {
        now += TimeSpan(5000);
        let inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        let turn = nodes.step(&mut admission, now, inputs);
        assert!(rejections(&turn.effects).is_empty(), "{:?}", turn.effects);
        assert_eq!(query_ids(&turn.inputs).len(), 10);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Shares are weighted by the configured quotas: of two tenants that both request more than their shares, the one
/// with four times the quota is admitted with about four times the shard requests.
#[rstest]
fn shares_are_weighted_by_quotas() {
    let mut admission =
        AdmissionController::new(AdmissionConfig::default(), &broker_config(&[4.0, 1.0])).unwrap();
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let mut admitted = [0_usize; 2];
    for _ in 0..40 {
        now += TimeSpan(5000);
        let inputs: Vec<Input> =
            (0..10).flat_map(|_| [queries.query(0, 2, 0), queries.query(1, 2, 0)]).flatten().collect();
        for (_, tenant) in ids_and_tenants(&nodes.step(&mut admission, now, inputs).inputs) {
            admitted[tenant as usize] += 1;
        }
    }
    let ratio = admitted[0] as f64 / admitted[1].max(1) as f64;
    assert!((2.5..6.0).contains(&ratio), "{admitted:?}");
}

/// The number of tracked tenants is bounded: tenants beyond the maximum share one entry.
#[rstest]
fn tenants_beyond_the_maximum_share_one_entry() {
    let mut admission = controller(AdmissionConfig { max_tenants: 3, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let inputs: Vec<Input> = (0..50).flat_map(|tenant| queries.query(tenant, 1, 0)).collect();
    let turn = admission.filter_inputs(now, &inputs);
    assert_eq!(query_ids(&turn.inputs).len() + rejections(&turn.effects).len(), 50);
}

/// If quotas are not enforced, a tenant with excessive demand is not limited to its share, but retries are still
/// limited by their budget.
#[rstest]
fn without_enforced_quotas_only_retries_are_rejected() {
    let config = AdmissionConfig { enforce_quotas: false, ..AdmissionConfig::default() };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    for _ in 0..10 {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        assert!(rejections(&turn.effects).is_empty(), "{:?}", turn.effects);
    }
    let inputs: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 1)).collect();
    assert!(!rejections(&nodes.step(&mut admission, now, inputs).effects).is_empty());
}

/// A tenant beyond its share sends a burst in one turn. Each admitted query takes its tokens, so that the queries
/// beyond the bucket's tokens are rejected, as is another query at the same time.
#[rstest]
fn an_admitted_query_takes_its_tokens() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let inputs: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 0)).collect();
    let turn = nodes.step(&mut admission, now, inputs);
    let admitted = query_ids(&turn.inputs).len();
    assert!((1..40).contains(&admitted), "{admitted} of 100 admitted, while the nodes serve 40 per second");
    assert_eq!(rejections(&turn.effects).len(), 100 - admitted);
    let again = admission.filter_inputs(now, &queries.query(0, 1, 0));
    assert_eq!(rejections(&again.effects).len(), 1);
}
