use super::{binding_period, derive_config, keeps_yield};
use crate::config::{BrokerConfig, RequestClass, RetryBudget, SafetyRules};
use crate::effective_config::ClassPolicy;
use crate::policy::test_queries::{class, query};
use crate::time::TimeSpan;
use rstest::rstest;
use std::sync::Arc;

fn rules(warm_up: i64, overload_window: i64, budget_window: i64) -> BrokerConfig {
    let retry_budget = RetryBudget { min_retries: 1.0, ratio: 0.1, window: TimeSpan(budget_window) };
    let rules = SafetyRules {
        warm_up_period: TimeSpan(warm_up),
        overload_window: TimeSpan(overload_window),
        retry_budget: Some(retry_budget),
        ..SafetyRules::default()
    };
    BrokerConfig { rules, ..BrokerConfig::default() }
}

/// If a change took effect at once, one window could admit twice a budget.
#[rstest]
#[case::retry_window_with_send_delay(rules(1, 1, 1_000), 1_100)]
#[case::warm_up(rules(2_000, 1, 1_000), 2_000)]
#[case::overload_window(rules(1, 3_000, 1_000), 3_000)]
fn a_configuration_binds_for_its_longest_window(#[case] old: BrokerConfig, #[case] expected: i64) {
    assert_eq!(binding_period(&derive_config(old), TimeSpan(100)), TimeSpan(expected));
}

fn policy(priority_weight: f64, min_coverage: f64) -> Arc<ClassPolicy> {
    query(RequestClass { priority_weight, ..class(min_coverage, 1.0) }, &[1.0]).policy
}

#[rstest]
fn a_yield_is_kept_while_its_class_is_unchanged() {
    let old = policy(1.0, 0.5);
    assert!(keeps_yield(Some(&old), Some(&policy(1.0, 0.5))));
    assert!(!keeps_yield(Some(&old), Some(&policy(2.0, 0.5))));
    assert!(!keeps_yield(Some(&old), Some(&policy(1.0, 0.4))));
    assert!(!keeps_yield(Some(&old), None));
    assert!(!keeps_yield(None, None));
}
