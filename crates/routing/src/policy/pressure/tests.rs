use super::{Pressure, WINDOW};
use crate::time::Timestamp;
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

#[rstest]
fn a_single_overloaded_shard_request_counts_as_a_tenth() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, true, 1.0, 1.0);
    assert_eq!(pressure.for_query(NOW, true), 0.1);
}

/// A tenant sends ten times its quota and is rejected. Tenants within their quotas are served in full, and
/// those beyond are subject to the higher of the two pressures.
#[rstest]
fn a_burst_beyond_quota_does_not_raise_the_pressure_of_others() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, false, 50.0, 50.0);
    pressure.record(NOW, true, 0.0, 50.0);
    assert_eq!(pressure.for_query(NOW, true), 0.0);
    assert_eq!(pressure.for_query(NOW, false), 0.5);
    pressure.record(NOW, true, 50.0, 50.0);
    assert_eq!(pressure.for_query(NOW, true), 0.5);
}

/// With decaying counts, the 10,000 rejections of a burst would outweigh later successes for many windows.
#[rstest]
fn a_burst_expires_with_its_window() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, true, 10_000.0, 10_000.0);
    assert_eq!(pressure.for_query(NOW, true), 1.0);
    assert_eq!(pressure.for_query(NOW + WINDOW, true), 0.0);
}
