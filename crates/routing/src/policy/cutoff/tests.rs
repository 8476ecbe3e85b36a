//! Tests of the cutoff (Rank-S): scores, the base, and the selection of shard requests.

use super::{base, is_active, limit_to_capacity, select_shard_requests};
use crate::policy::test_queries::{class, query, with_states};
use crate::state::ShardRequestState::{Failed, Unsent};
use rstest::rstest;

#[rstest]
#[case::no_pressure(0.0, 1.0)]
#[case::at_the_threshold(0.1, 1.0)]
#[case::halfway(0.55, 5.5)]
#[case::all_lost(1.0, 10.0)]
fn the_base_rises_with_pressure(#[case] pressure: f64, #[case] expected: f64) {
    assert!((base(pressure) - expected).abs() < 1e-12);
    assert_eq!(is_active(pressure), expected > 1.0);
}

fn selected(weights: &[f64], min_coverage: f64, base: f64) -> Vec<usize> {
    select_shard_requests(&query(class(min_coverage, 1.0), weights), base, false, |_| false)
}

// At base 10, the scores of 0.6, 0.3, 0.09, 0.009, 0.001 are 0.6, 0.03, 0.0009, 0.000009, 0.0000001.
const WEIGHTS: [f64; 5] = [0.6, 0.3, 0.09, 0.009, 0.001];

#[rstest]
#[case::no_pressure(0.4, 1.0, &[0, 1, 2, 3, 4])]
#[case::light_shard_requests_stay_unsent(0.4, 10.0, &[0, 1, 2])]
#[case::not_below_the_minimum_coverage(0.995, 10.0, &[0, 1, 2, 3])]
#[case::all_are_needed(1.0, 10.0, &[0, 1, 2, 3, 4])]
fn shard_requests_with_low_scores_stay_unsent(
    #[case] min_coverage: f64,
    #[case] base: f64,
    #[case] expected: &[usize],
) {
    assert_eq!(selected(&WEIGHTS, min_coverage, base), expected);
}

// The heaviest shard request has rank 0, so its score equals its weight at any base.
#[rstest]
#[case::at_the_minimum_score(0.0001, 2.0, true)]
#[case::below_the_minimum_score(0.000099, 2.0, false)]
#[case::everything_is_sent_without_pressure(0.000001, 1.0, true)]
fn the_minimum_score_is_a_ten_thousandth(#[case] weight: f64, #[case] base: f64, #[case] is_sent: bool) {
    assert_eq!(!selected(&[weight], 0.0, base).is_empty(), is_sent);
}

// Ranks 0 and 1 at base 10: weights that differ by more than the rounding error do not share a rank.
#[rstest]
#[case::within_rounding(0.00049, 2)]
#[case::beyond_rounding(0.0004, 1)]
fn weights_within_rounding_share_a_rank(#[case] lighter: f64, #[case] expected: usize) {
    assert_eq!(selected(&[0.0005, lighter], 0.0, 10.0).len(), expected);
}

/// With separate ranks, most of a hundred equal shard requests would score too low as soon as the base
/// exceeds 1.
#[rstest]
fn equal_weights_share_a_rank() {
    assert_eq!(selected(&[0.01; 100], 0.4, 10.0).len(), 100);
}

#[rstest]
fn infeasible_requests_are_sent_last_and_only_for_the_minimum_coverage() {
    let select = |min_coverage| {
        let query = query(class(min_coverage, 1.0), &[0.5, 0.3, 0.2]);
        select_shard_requests(&query, 1.0, false, |shard_request| shard_request.weight == 0.5)
    };
    assert_eq!(select(0.4), [1, 2]);
    assert_eq!(select(0.6), [1, 2, 0]);
}

#[rstest]
fn min_coverage_only_selects_the_heaviest() {
    let query = query(class(0.7, 1.0), &[0.5, 0.3, 0.2]);
    assert_eq!(select_shard_requests(&query, 1.0, true, |_| false), [0, 1]);
}

#[rstest]
fn failed_requests_are_not_selected_again_and_keep_their_ranks() {
    let query = with_states(query(class(0.0, 1.0), &WEIGHTS), &[Unsent, Failed, Unsent, Unsent, Unsent]);
    assert_eq!(select_shard_requests(&query, 10.0, false, |_| false), [0, 2]);
}

// The weights are 0.5, 0.3, 0.2, and 10 shard requests are in flight.
#[rstest]
#[case::room_for_all(0.5, 13, &[0, 1, 2])]
#[case::room_for_two(0.5, 12, &[0, 1])]
#[case::only_the_needed_one(0.5, 10, &[0])]
#[case::two_are_needed(0.6, 10, &[0, 1])]
#[case::all_are_required(1.0, 10, &[0, 1, 2])]
#[case::none_is_needed(0.0, 10, &[])]
fn beyond_the_minimum_coverage_the_limit_decides(
    #[case] min_coverage: f64,
    #[case] limit: usize,
    #[case] expected: &[usize],
) {
    let query = query(class(min_coverage, 1.0), &[0.5, 0.3, 0.2]);
    assert_eq!(limit_to_capacity(&query, &[0, 1, 2], 10, limit), expected);
}
