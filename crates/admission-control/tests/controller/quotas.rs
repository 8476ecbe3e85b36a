//! Fair shares between tenants, and what becomes of queries beyond them.

use crate::fixture::*;
use admission_control::{AdmissionConfig, AdmissionController, Mode};
use routing::*;
use rstest::rstest;

/// Nodes that serve 40 shard requests a second; one tenant requests 80, another 8. The second is admitted
/// whole; the first is rejected for what is beyond its share, at once.
#[rstest]
fn the_largest_tenant_is_held_to_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let (mut large_rejected, mut large_admitted) = (0, 0);
    let (mut small_admitted, mut small_offered) = (0, 0);
    for step in 0..40 {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if step < 20 {
            // What each requested before is still in the window.
            continue;
        }
        let admitted = ids_and_tenants(&turn.inputs);
        large_rejected += rejections(&turn.effects).len();
        large_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 0).count();
        small_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 1).count();
        small_offered += 1;
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert_eq!(small_admitted, small_offered, "the small tenant is admitted, within its share");
    assert_eq!(small_offered, 20);
    assert!(
        large_rejected > 60 && large_admitted > 20,
        "of the large tenant: rejected {large_rejected}, admitted {large_admitted}"
    );
}

/// Where a class takes partial answers, what is beyond a share is served at its minimum coverage, not
/// rejected: the heaviest shard requests earn most of its priority weight for a few attempts.
#[rstest]
fn beyond_its_share_a_partial_query_is_admitted_at_min_coverage() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
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

/// A tenant alone is never rejected for its share: its excess is the broker's to cut.
#[rstest]
fn a_lone_tenant_is_not_rejected_for_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
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

/// Configured quotas weigh: of two tenants that both request more than their share, the one with four times the
/// quota gets about four times the shard requests.
#[rstest]
fn quotas_weigh_the_shares() {
    let mut admission =
        AdmissionController::new(AdmissionConfig::default(), &broker_config(&[4.0, 1.0])).unwrap();
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
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

/// Memory is bounded: past the most tenants, the rest share one.
#[rstest]
fn tenants_past_the_most_share_one() {
    let mut admission = controller(AdmissionConfig { max_tenants: 3, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let inputs: Vec<Input> = (0..50).flat_map(|tenant| queries.query(tenant, 1, 0)).collect();
    let turn = admission.filter_inputs(now, &inputs);
    assert_eq!(query_ids(&turn.inputs).len() + rejections(&turn.effects).len(), 50);
}

/// An operator has quotas not enforced: a tenant that storms among others is not held to its share. Retries
/// still have their budget.
#[rstest]
fn without_enforced_quotas_only_retries_are_rejected() {
    let config = AdmissionConfig { enforce_quotas: false, ..AdmissionConfig::default() };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
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

/// A tenant beyond its share sends a burst in one turn: what its bucket holds is admitted, and each admitted query
/// takes its tokens, so that the rest, and one more at the same time, is rejected.
#[rstest]
fn an_admitted_query_takes_its_tokens() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let inputs: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 0)).collect();
    let turn = nodes.step(&mut admission, now, inputs);
    let admitted = query_ids(&turn.inputs).len();
    assert!((1..40).contains(&admitted), "{admitted} of 100, where the nodes serve 40 a second");
    assert_eq!(rejections(&turn.effects).len(), 100 - admitted);
    let again = admission.filter_inputs(now, &queries.query(0, 1, 0));
    assert_eq!(rejections(&again.effects).len(), 1);
}
