use super::{
    can_substitute, cannot_cover_minimum, covers_minimum, has_min_coverage, is_complete, is_late_useful,
    is_response_due,
};
use crate::config::RequestClass;
use crate::policy::test_queries::{class, query, with_states};
use crate::state::Query;
use crate::state::ShardRequestState::{self, Failed, InFlight, Queued, Received, Unsent};
use crate::time::Timestamp;
use rstest::rstest;

fn halves(class: RequestClass, states: [ShardRequestState; 2]) -> Query {
    with_states(query(class, &[0.5, 0.5]), &states)
}

fn in_second_phase(mut query: Query) -> Query {
    query.in_second_phase = true;
    query
}

#[rstest]
#[case::enough(0.4, 0.4, true)]
#[case::rounded(0.4, 0.39996, true)]
#[case::too_little(0.4, 0.39994, false)]
fn a_response_covers_the_minimum(#[case] min_coverage: f64, #[case] weight: f64, #[case] expected: bool) {
    assert_eq!(covers_minimum(&query(class(min_coverage, 1.0), &[1.0]), weight), expected);
}

/// The class's minimum coverage applies to the first phase. The second phase of a class without partial
/// responses needs all of its shard requests, even if a first phase would be complete with less.
#[rstest]
fn a_second_phase_without_partial_responses_needs_all_shard_requests() {
    let first_phase = query(class(0.9, 0.9), &[1.0]);
    assert!(covers_minimum(&first_phase, 0.9));
    let second_phase = in_second_phase(first_phase);
    assert!(!covers_minimum(&second_phase, 0.9));
    assert!(!covers_minimum(&second_phase, 0.999));
    assert!(covers_minimum(&second_phase, 1.0));
    let partial = in_second_phase(query(class(0.4, 0.9), &[1.0]));
    assert!(covers_minimum(&partial, 0.4));
}

#[rstest]
fn only_received_shard_requests_count_for_a_response() {
    assert!(has_min_coverage(&halves(class(0.5, 1.0), [Received, Failed])));
    assert!(!has_min_coverage(&halves(class(0.5, 1.0), [InFlight, Queued])));
    assert!(!is_complete(&halves(class(0.5, 1.0), [Received, InFlight])));
    assert!(is_complete(&halves(class(0.5, 0.5), [Received, InFlight])));
}

#[rstest]
#[case::all_after_a_complete_first_phase(true, [Received, Received], true)]
#[case::all_after_a_partial_first_phase(false, [Received, Received], false)]
#[case::one_missing(true, [Received, Failed], false)]
fn a_second_phase_is_complete(
    #[case] first_phase_complete: bool,
    #[case] states: [ShardRequestState; 2],
    #[case] expected: bool,
) {
    let mut query = in_second_phase(halves(class(0.4, 0.5), states));
    query.first_phase_complete = first_phase_complete;
    assert_eq!(is_complete(&query), expected);
}

#[rstest]
#[case::all_received([Received, Received], true)]
#[case::the_rest_failed([Received, Failed], true)]
#[case::the_rest_was_not_sent([Received, Unsent], true)]
#[case::the_rest_is_in_flight([Received, InFlight], false)]
#[case::the_rest_is_queued([Received, Queued], false)]
#[case::too_little([Failed, Failed], false)]
fn a_response_is_due(#[case] states: [ShardRequestState; 2], #[case] expected: bool) {
    assert_eq!(is_response_due(&halves(class(0.5, 1.0), states), Timestamp(9_000)), expected);
}

#[rstest]
#[case::before_its_end(4_999, false)]
#[case::at_its_end(5_000, true)]
fn a_first_phase_waits_for_half_of_the_objective(#[case] now: i64, #[case] expected: bool) {
    let two_phases = RequestClass { second_phase_shard_requests: 1, ..class(0.5, 1.0) };
    let first_phase = halves(two_phases, [Received, InFlight]);
    assert_eq!(is_response_due(&first_phase, Timestamp(now)), expected);
    assert!(!is_response_due(&in_second_phase(first_phase), Timestamp(now)));
}

#[rstest]
#[case::still_in_flight([InFlight, Failed], false, false)]
#[case::is_queued([Queued, Failed], false, false)]
#[case::an_unsent_one_can_substitute([Unsent, Failed], true, true)]
#[case::all_failed([Failed, Failed], true, false)]
fn failed_shard_requests_can_be_substituted(
    #[case] states: [ShardRequestState; 2],
    #[case] unreachable: bool,
    #[case] substitutable: bool,
) {
    let query = halves(class(0.5, 1.0), states);
    assert_eq!((cannot_cover_minimum(&query), can_substitute(&query)), (unreachable, substitutable));
}

#[rstest]
#[case::late_response_has_value(0.5, [InFlight, Failed], true)]
#[case::late_response_has_no_value(0.0, [InFlight, Failed], false)]
#[case::not_in_flight(0.5, [Queued, Failed], false)]
fn a_late_response_is_useful(
    #[case] late_weight_share: f64,
    #[case] states: [ShardRequestState; 2],
    #[case] expected: bool,
) {
    let class = RequestClass { late_weight_share, ..class(0.5, 1.0) };
    assert_eq!(is_late_useful(&halves(class, states)), expected);
}
