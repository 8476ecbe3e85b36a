//! Tests of the admission controller over several turns. Tests of single rules are in `src`.

mod fixture;
mod modes;
mod quotas;
mod retries;

use admission_control::{AdmissionConfig, AdmissionController};
use fixture::*;
use routing::*;
use rstest::rstest;

#[rstest]
fn all_invalid_values_are_reported() {
    let invalid = AdmissionConfig {
        overload_threshold: 1.5,
        decrease_factor: 0.0,
        max_tenants: 0,
        ..AdmissionConfig::default()
    };
    let keys: Vec<&str> = invalid.check().unwrap_err().iter().map(|value| value.key).collect();
    assert_eq!(keys, ["level", "decrease", "most_callers"]);
    assert!(AdmissionController::new(invalid, &BrokerConfig::default()).is_err());
}

/// Each decision is counted, for the broker's metrics.
#[rstest]
fn decisions_are_counted() {
    let mut admission = controller(AdmissionConfig { min_retries: 0.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let before = admission.decision_counts();
    // The budget is a fifth of the 20 first attempts of each tenant.
    let retries: Vec<Input> = (0..40).flat_map(|_| queries.query(1, 0, 1)).collect();
    let retries_rejected = rejections(&nodes.step(&mut admission, now, retries).effects).len() as u64;
    let surge: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 0)).collect();
    let surge_rejected = rejections(&nodes.step(&mut admission, now, surge).effects).len() as u64;
    let partial: Vec<Input> = (0..7).flat_map(|_| queries.query_of_class(ClassId(1), 0, 1, 0)).collect();
    assert!(rejections(&nodes.step(&mut admission, now, partial).effects).is_empty());
    let after = admission.decision_counts();
    assert!(retries_rejected > 0 && surge_rejected > 0);
    assert_eq!(after.rejected_by_retry_budget - before.rejected_by_retry_budget, retries_rejected);
    assert_eq!(after.rejected_by_quota - before.rejected_by_quota, surge_rejected);
    assert_eq!(after.admitted_at_min_coverage - before.admitted_at_min_coverage, 7);
    assert_eq!(after.admitted - before.admitted, 140 - retries_rejected - surge_rejected);
}
