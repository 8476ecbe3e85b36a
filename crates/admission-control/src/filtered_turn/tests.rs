//! Tests of which inputs of a turn reach the broker after queries were rejected or limited to their minimum coverage.

use super::TurnDecisions;
use routing::{
    ClassId, GroupId, Input, NewQuery, NewShardRequest, QueryId, ShardId, ShardRequestId, TenantId, TimeSpan,
};
use rstest::rstest;

fn query(id: u64, min_coverage_only: bool) -> Input {
    Input::Query(NewQuery {
        id: QueryId(id),
        group: GroupId(id as u32),
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: TimeSpan(20_000),
        work: TimeSpan::ZERO,
        client_attempt: 0,
        min_coverage_only,
    })
}

fn shard_request(group: u32) -> Input {
    let (id, shard) = (ShardRequestId(u64::from(group) * 100), ShardId(0));
    Input::ShardRequest(NewShardRequest { id, group: GroupId(group), shard, weight: 1.0 })
}

/// Returns the debug text of an input as passed to the broker, as inputs can't be compared.
fn filtered(decisions: &TurnDecisions, input: &Input) -> Option<String> {
    decisions.filter_input(input).map(|input| format!("{input:?}"))
}

/// Shard requests of an unknown query, or the departure of its client, would be errors for the broker, so they are
/// withheld with a rejected query.
#[rstest]
fn all_inputs_of_a_rejected_query_are_withheld() {
    let mut decisions = TurnDecisions::default();
    decisions.reject(QueryId(1), GroupId(1));
    for input in [query(1, false), shard_request(1), Input::ClientLeft(QueryId(1))] {
        assert_eq!(filtered(&decisions, &input), None);
    }
    for input in [query(2, false), shard_request(2), Input::ClientLeft(QueryId(2)), Input::Woken] {
        assert_eq!(filtered(&decisions, &input), Some(format!("{input:?}")));
    }
}

#[rstest]
fn a_query_limited_to_its_minimum_coverage_is_marked() {
    let mut decisions = TurnDecisions::default();
    decisions.limit_to_min_coverage(QueryId(1));
    let expected = [query(1, true), query(2, false), shard_request(1)];
    for (input, expected) in [query(1, false), query(2, false), shard_request(1)].iter().zip(expected) {
        assert_eq!(filtered(&decisions, input), Some(format!("{expected:?}")));
    }
}
