use super::AdmissionRequest;
use rstest::rstest;

const FITS: AdmissionRequest =
    AdmissionRequest { in_flight: 4, needed: 6, limit: 10.0, is_query_infeasible: false, was_probed: false };

#[rstest]
#[case::fits(FITS, false)]
#[case::exceeds_the_limit_by_one(AdmissionRequest { needed: 7, ..FITS }, true)]
#[case::busy_and_infeasible(AdmissionRequest { is_query_infeasible: true, ..FITS }, true)]
#[case::idle_broker_accepts_any_size(AdmissionRequest { in_flight: 0, needed: 1000, ..FITS }, false)]
#[case::idle_broker_retries_failed_nodes(
    AdmissionRequest { in_flight: 0, is_query_infeasible: true, ..FITS },
    false
)]
#[case::idle_broker_trusts_recent_probes(
    AdmissionRequest { in_flight: 0, is_query_infeasible: true, was_probed: true, ..FITS },
    true
)]
#[case::probes_alone_do_not_exceed(AdmissionRequest { in_flight: 0, was_probed: true, ..FITS }, false)]
fn exceeds_limit(#[case] demand: AdmissionRequest, #[case] expected: bool) {
    assert_eq!(demand.exceeds_limit(), expected);
}
