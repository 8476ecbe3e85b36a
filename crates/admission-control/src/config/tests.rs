//! Tests of the bounds of each setting, which are inclusive or exclusive as documented for operators.

use super::AdmissionConfig;
use routing::TimeSpan;
use rstest::rstest;

#[rstest]
fn the_defaults_are_valid() {
    assert_eq!(AdmissionConfig::default().check(), Ok(()));
}

#[rstest]
#[case("level", "a number greater than 0 and less than 1", |config: &mut AdmissionConfig| config.overload_threshold = 0.0)]
#[case("level", "a number greater than 0 and less than 1", |config: &mut AdmissionConfig| config.overload_threshold = 1.0)]
#[case("level", "a number greater than 0 and less than 1", |config: &mut AdmissionConfig| config.overload_threshold = f64::NAN)]
#[case("window_ms", "at least 100", |config: &mut AdmissionConfig| config.window = TimeSpan(999))]
#[case("decrease", "a number greater than 0 and less than 1", |config: &mut AdmissionConfig| config.decrease_factor = 0.0)]
#[case("decrease", "a number greater than 0 and less than 1", |config: &mut AdmissionConfig| config.decrease_factor = 1.0)]
#[case("increase", "a number greater than 0 and at most 1", |config: &mut AdmissionConfig| config.increase_ratio = 0.0)]
#[case("increase", "a number greater than 0 and at most 1", |config: &mut AdmissionConfig| config.increase_ratio = 1.1)]
#[case("open_above", "at least 1", |config: &mut AdmissionConfig| config.recovery_headroom = 0.9)]
#[case("open_above", "at least 1", |config: &mut AdmissionConfig| config.recovery_headroom = f64::INFINITY)]
#[case("burst_ms", "at least 0", |config: &mut AdmissionConfig| config.burst = TimeSpan(-1))]
#[case("retry_share", "at least 0", |config: &mut AdmissionConfig| config.retry_ratio = -0.1)]
#[case("retry_floor", "at least 0", |config: &mut AdmissionConfig| config.min_retries = -0.1)]
#[case("most_callers", "at least 1", |config: &mut AdmissionConfig| config.max_tenants = 0)]
fn an_error_has_the_operators_key_and_the_allowed_values(
    #[case] key: &str,
    #[case] allowed: &str,
    #[case] change: fn(&mut AdmissionConfig),
) {
    let mut config = AdmissionConfig::default();
    change(&mut config);
    let invalid = config.check().unwrap_err();
    let [value] = &invalid[..] else { panic!("{invalid:?}") };
    assert_eq!((value.key, value.allowed), (key, allowed));
}

#[rstest]
fn inclusive_bounds_are_allowed() {
    let config = AdmissionConfig {
        window: TimeSpan(1000),
        increase_ratio: 1.0,
        recovery_headroom: 1.0,
        burst: TimeSpan::ZERO,
        retry_ratio: 0.0,
        min_retries: 0.0,
        max_tenants: 1,
        ..AdmissionConfig::default()
    };
    assert_eq!(config.check(), Ok(()));
}
