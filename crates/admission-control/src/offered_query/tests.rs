//! Tests of the extraction of queries and their shard requests from the inputs of a turn.

use super::offered_queries;
use routing::{
    ClassId, GroupId, Input, NewQuery, NewShardRequest, QueryId, ShardId, ShardRequestId, TenantId, TimeSpan,
};
use rstest::rstest;

fn query(id: u64, group: u32, client_attempt: u32) -> Input {
    Input::Query(NewQuery {
        id: QueryId(id),
        group: GroupId(group),
        class: ClassId(3),
        tenant: TenantId(4),
        time_left: TimeSpan(20_000),
        work: TimeSpan::ZERO,
        client_attempt,
        min_coverage_only: false,
    })
}

fn shard_request(group: u32) -> Input {
    let (id, shard) = (ShardRequestId(u64::from(group) * 100), ShardId(0));
    Input::ShardRequest(NewShardRequest { id, group: GroupId(group), shard, weight: 1.0 })
}

#[rstest]
fn shard_requests_belong_to_the_latest_query_of_their_group() {
    let inputs = [
        query(1, 7, 0),
        shard_request(7),
        query(2, 8, 2),
        shard_request(8),
        shard_request(7),
        query(3, 7, 0),
        shard_request(7),
        shard_request(9),
    ];
    let offered = offered_queries(&inputs);
    let counts: Vec<(u64, u32)> = offered.iter().map(|query| (query.id.0, query.shard_requests)).collect();
    assert_eq!(counts, [(1, 2), (2, 1), (3, 1)]);
    let retries: Vec<bool> = offered.iter().map(|query| query.is_retry()).collect();
    assert_eq!(retries, [false, true, false]);
    assert_eq!((offered[0].tenant, offered[0].class), (TenantId(4), ClassId(3)));
}
