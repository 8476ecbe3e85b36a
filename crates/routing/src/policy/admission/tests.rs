//! Which demand exceeds the limit.

use super::AdmissionRequest;
use rstest::rstest;

const FITS: AdmissionRequest =
    AdmissionRequest { in_flight: 4, needed: 6, limit: 10.0, misses_min_coverage: false, was_probed: false };

#[rstest]
#[case::fits(FITS, false)]
#[case::one_too_many(AdmissionRequest { needed: 7, ..FITS }, true)]
#[case::busy_and_out_of_reach(AdmissionRequest { misses_min_coverage: true, ..FITS }, true)]
#[case::idle_broker_takes_any_width(AdmissionRequest { in_flight: 0, needed: 1000, ..FITS }, false)]
#[case::idle_broker_asks_nodes_that_failed(AdmissionRequest { in_flight: 0, misses_min_coverage: true, ..FITS }, false)]
#[case::idle_broker_believes_fresh_probes(
    AdmissionRequest { in_flight: 0, misses_min_coverage: true, was_probed: true, ..FITS },
    true
)]
#[case::probes_alone_hold_nothing(AdmissionRequest { in_flight: 0, was_probed: true, ..FITS }, false)]
fn exceeds_limit(#[case] demand: AdmissionRequest, #[case] expected: bool) {
    assert_eq!(demand.exceeds_limit(), expected);
}
