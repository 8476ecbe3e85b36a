//! Pressure, over all and within quotas.

use super::{Pressure, WINDOW};
use crate::time::Timestamp;
use rstest::rstest;

const NOW: Timestamp = Timestamp(1_000_000);

#[rstest]
fn one_overloaded_shard_request_alone_is_a_tenth() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, true, 1.0, 1.0);
    assert_eq!(pressure.for_query(NOW, true), 0.1);
}

/// One tenant sends ten times its quota and is refused. Tenants within theirs are served in full; those
/// beyond are trimmed by whichever is worse.
#[rstest]
fn a_storm_beyond_quotas_does_not_lift_the_pressure_of_others() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, false, 50.0, 50.0);
    pressure.record(NOW, true, 0.0, 50.0);
    assert_eq!(pressure.for_query(NOW, true), 0.0);
    assert_eq!(pressure.for_query(NOW, false), 0.5);
    pressure.record(NOW, true, 50.0, 50.0);
    assert_eq!(pressure.for_query(NOW, true), 0.5);
}

/// Under decaying counts the 10,000 refusals of a burst would outweigh later successes for many windows.
#[rstest]
fn a_burst_is_forgotten_with_its_window() {
    let mut pressure = Pressure::default();
    pressure.record(NOW, true, 10_000.0, 10_000.0);
    assert_eq!(pressure.for_query(NOW, true), 1.0);
    assert_eq!(pressure.for_query(NOW + WINDOW, true), 0.0);
}
