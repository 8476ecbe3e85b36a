//! Tests of retry budgets, and of the time to retry after.

use crate::fixture::*;
use admission_control::{AdmissionConfig, AdmissionController, Mode};
use routing::*;
use rstest::rstest;

/// In overloaded mode, retries beyond the budget are rejected immediately with a time to retry after, and neither
/// they nor their shard requests are passed to the broker. First attempts are still admitted.
#[rstest]
fn retries_beyond_their_budget_are_rejected_immediately() {
    let mut admission = controller(AdmissionConfig { min_retries: 2.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let inputs: Vec<Input> = (0..40).flat_map(|_| queries.query(0, 1, 1)).collect();
    let turn = nodes.step(&mut admission, now, inputs);
    let rejected = rejections(&turn.effects);
    assert!(!rejected.is_empty(), "{:?}", turn.effects);
    assert!(
        rejected
            .iter()
            .all(|(_, retry_after)| { *retry_after > TimeSpan::ZERO && *retry_after <= TimeSpan(20_000) })
    );
    let admitted_ids: Vec<QueryId> = query_ids(&turn.inputs);
    assert!(rejected.iter().all(|(id, _)| !admitted_ids.contains(id)));
    let shard_requests = turn.inputs.iter().filter(|input| matches!(input, Input::ShardRequest(_))).count();
    assert_eq!(shard_requests, admitted_ids.len(), "the shard requests of rejected queries are withheld");
    let turn = admission.filter_inputs(now, &queries.query(0, 1, 0));
    assert!(rejections(&turn.effects).is_empty() && query_ids(&turn.inputs).len() == 1);
}

/// If the configuration does not allow a time to retry after, a rejection has none.
#[rstest]
fn no_retry_after_if_the_configuration_forbids_it() {
    let mut config = broker_config(&[]);
    config.limits.send_retry_after = false;
    let mut admission = AdmissionController::new(
        AdmissionConfig { min_retries: 0.0, retry_ratio: 0.0, ..AdmissionConfig::default() },
        &config,
    )
    .unwrap();
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let effects = admission.filter_inputs(now, &queries.query(0, 1, 3)).effects;
    assert_eq!(rejections(&effects).first().map(|(_, retry_after)| *retry_after), Some(TimeSpan::ZERO));
}

/// Rejected queries must not count as first attempts. Otherwise a client that is rejected repeatedly would increase
/// its own retry budget.
#[rstest]
fn rejected_queries_do_not_increase_the_retry_budget() {
    let mut admission = controller(AdmissionConfig { min_retries: 0.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let surge: Vec<Input> = (0..1000).flat_map(|_| queries.query(0, 1, 0)).collect();
    nodes.step(&mut admission, now, surge);
    let retries: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 0, 1)).collect();
    let admitted = query_ids(&nodes.step(&mut admission, now, retries).inputs).len();
    assert!(admitted < 20, "{admitted} of 100 retries admitted after about 30 admitted first attempts");
}

/// A new configuration that arrives in overloaded mode applies from the same turn on.
#[rstest]
fn a_new_configuration_applies_immediately() {
    let mut config = broker_config(&[]);
    let admission_config =
        AdmissionConfig { min_retries: 0.0, retry_ratio: 0.0, ..AdmissionConfig::default() };
    let mut admission = AdmissionController::new(admission_config, &config).unwrap();
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let effects = admission.filter_inputs(now, &queries.query(0, 1, 3)).effects;
    assert_eq!(
        rejections(&effects)[0].1,
        TimeSpan(20_000),
        "the time is half a window, up to the configured maximum"
    );
    config.limits.send_retry_after = false;
    let mut inputs = vec![Input::Config(config.into())];
    inputs.extend(queries.query(0, 1, 3));
    let effects = admission.filter_inputs(now, &inputs).effects;
    assert_eq!(rejections(&effects)[0].1, TimeSpan::ZERO);
}

/// Two tenants that arrive when the table is full share one retry budget.
#[rstest]
#[case(1, false)]
#[case(3, true)]
fn tenants_beyond_the_maximum_share_a_retry_budget(#[case] max_tenants: u32, #[case] is_admitted: bool) {
    let config = AdmissionConfig { max_tenants, min_retries: 2.0, retry_ratio: 0.0, ..Default::default() };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let over_budget: Vec<Input> = (0..3).flat_map(|_| queries.query(5, 0, 1)).collect();
    assert_eq!(rejections(&admission.filter_inputs(now, &over_budget).effects).len(), 1);
    let turn = admission.filter_inputs(now, &queries.query(6, 0, 1));
    assert_eq!(rejections(&turn.effects).is_empty(), is_admitted);
}

/// Tenants without requests for a window are removed from the table, so that new tenants have budgets of their own.
#[rstest]
fn idle_tenants_are_replaced_by_new_ones() {
    let config = AdmissionConfig {
        max_tenants: 2,
        min_retries: 2.0,
        retry_ratio: 0.0,
        enforce_quotas: false,
        ..AdmissionConfig::default()
    };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    for _ in 0..12 {
        now += TimeSpan(5000);
        let mut inputs = queries.query(5, 30, 0);
        inputs.extend(queries.query(6, 30, 0));
        nodes.step(&mut admission, now, inputs);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    let over_budget: Vec<Input> = (0..3).flat_map(|_| queries.query(5, 0, 1)).collect();
    assert_eq!(rejections(&admission.filter_inputs(now, &over_budget).effects).len(), 1);
    let turn = admission.filter_inputs(now, &queries.query(6, 0, 1));
    assert!(rejections(&turn.effects).is_empty(), "the second tenant has a budget of its own");
}
