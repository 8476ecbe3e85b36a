//! Which demand exceeds the limit.

use super::Demand;
use rstest::rstest;

const FITS: Demand =
    Demand { in_flight: 4, needed: 6, limit: 10.0, misses_min_coverage: false, was_probed: false };

#[rstest]
#[case::fits(FITS, false)]
#[case::one_too_many(Demand { needed: 7, ..FITS }, true)]
#[case::busy_and_out_of_reach(Demand { misses_min_coverage: true, ..FITS }, true)]
#[case::idle_broker_takes_any_width(Demand { in_flight: 0, needed: 1000, ..FITS }, false)]
#[case::idle_broker_asks_nodes_that_failed(Demand { in_flight: 0, misses_min_coverage: true, ..FITS }, false)]
#[case::idle_broker_believes_fresh_probes(
    Demand { in_flight: 0, misses_min_coverage: true, was_probed: true, ..FITS },
    true
)]
#[case::probes_alone_hold_nothing(Demand { in_flight: 0, was_probed: true, ..FITS }, false)]
fn exceeds_limit(#[case] demand: Demand, #[case] expected: bool) {
    assert_eq!(demand.exceeds_limit(), expected);
}
