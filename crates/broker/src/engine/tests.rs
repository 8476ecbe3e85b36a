//! An attempt and the end of its query in one turn; what a broker that shuts down accepts.

use super::{Engine, QueryOutcome, QueryRequest, RequestedShard, SubmitError};
use crate::limits::{Limits, Machine};
use bytes::Bytes;
use routing::{
    AttemptNumber, AttemptOutcome, ClassId, Effect, Input, NodeId, QueryId, ShardId, ShardRequestId,
    TenantId, TimeSpan, Timestamp,
};
use rstest::rstest;
use settings::BrokerSettings;
use std::rc::Rc;
use tokio::time::Instant;

/// An engine that may hold a few queries, and knows no node.
fn engine() -> Rc<Engine> {
    let mut broker_settings = BrokerSettings::default();
    broker_settings.broker_config.limits.max_open = 10;
    let limits = Limits::new(Machine { memory_mb: 192, sockets: 1024 }, &broker_settings).unwrap();
    Engine::new(broker_settings, 1, Rc::new(limits), None, None)
}

/// A query of one shard request.
fn query_request(id: &'static str) -> QueryRequest {
    QueryRequest {
        id: Bytes::from_static(id.as_bytes()),
        class: ClassId(0),
        tenant: TenantId(0),
        deadline: Instant::now(),
        work: TimeSpan::ZERO,
        shard_requests: vec![RequestedShard { shard: ShardId(0), weight: 1.0 }],
        text: Bytes::new(),
        retained_bytes: 0,
    }
}

/// A turn may send a shard request and end its query: then the shard request stays unsent, and that is
/// reported.
#[rstest]
#[case(|query, _| Effect::Fail { query })]
#[case(|query, _| Effect::Respond { query, complete: false })]
#[case(|_, shard_request| Effect::Cancel { shard_request, attempt: AttemptNumber(0) })]
fn what_ends_in_its_turn_is_not_sent(#[case] end: fn(QueryId, ShardRequestId) -> Effect) {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let engine = engine();
        let address = "127.0.0.1:9".parse().unwrap();
        engine.nodes.set_address(NodeId(1), Some(address), true);
        let accepted = engine.submit(query_request("a")).unwrap();
        let shard_request = engine.queries.borrow().shard_request_ids()[0];
        engine.inputs.take();
        let attempt = Effect::Send { shard_request, node: NodeId(1), timeout: TimeSpan(1000) };
        engine.carry_out(Timestamp(0), vec![attempt, end(accepted.id, shard_request)]);
        let inputs = engine.inputs.take();
        assert!(
            matches!(&inputs[..], [Input::AttemptEnded(result)] if result.outcome == AttemptOutcome::NotSent),
            "{inputs:?}"
        );
        assert!(engine.nodes.take_completed_attempts().is_empty());
    });
}

/// What comes once all open queries have been failed is not accepted: sent on, it would be lost with the
/// process.
#[rstest]
fn accepts_no_query_once_it_shuts_down() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let engine = engine();
        let open = engine.submit(query_request("a")).unwrap();
        assert_eq!(engine.fail_open_queries(), 1);
        assert!(matches!(open.outcome().await, QueryOutcome::Failed));
        assert!(matches!(engine.submit(query_request("b")), Err(SubmitError::Overloaded)));
    });
}
