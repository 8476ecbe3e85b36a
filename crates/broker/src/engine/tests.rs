//! Tests of attempts whose query ends in the same turn, and of submissions during the shutdown.

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

/// Returns an engine without nodes that accepts a few queries.
fn engine() -> Rc<Engine> {
    let mut broker_settings = BrokerSettings::default();
    broker_settings.broker_config.limits.max_open = 10;
    let limits = Limits::new(Machine { memory_mb: 192, sockets: 1024 }, &broker_settings).unwrap();
    Engine::new(broker_settings, 1, Rc::new(limits), None, None)
}

/// Returns a query with one shard request.
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

/// If a turn starts an attempt and also cancels it or ends its query, the attempt must not be sent to the node and
/// must be reported as not sent.
#[rstest]
#[case(|query, _| Effect::Fail { query })]
#[case(|query, _| Effect::Respond { query, complete: false })]
#[case(|_, shard_request| Effect::Cancel { shard_request, attempt: AttemptNumber(0) })]
fn does_not_send_attempts_that_end_in_the_same_turn(#[case] end: fn(QueryId, ShardRequestId) -> Effect) {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let engine = engine();
        let address = "127.0.0.1:9".parse().unwrap();
        engine.nodes.set_address(NodeId(1), Some(address), true);
        let accepted = engine.submit(query_request("a")).unwrap();
        let shard_request = engine.queries.borrow().shard_request_ids()[0];
        engine.inputs.take();
        let attempt = Effect::Send { shard_request, node: NodeId(1), timeout: TimeSpan(1000) };
        engine.apply_effects(Timestamp(0), vec![attempt, end(accepted.id, shard_request)]);
        let inputs = engine.inputs.take();
        assert!(
            matches!(&inputs[..], [Input::AttemptEnded(result)] if result.outcome == AttemptOutcome::NotSent),
            "{inputs:?}"
        );
        assert!(engine.nodes.take_completed_attempts().is_empty());
    });
}

/// A query that is submitted after all open queries were failed must be rejected. If it were accepted, it would be
/// lost when the process exits.
#[rstest]
fn rejects_queries_during_shutdown() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let engine = engine();
        let open = engine.submit(query_request("a")).unwrap();
        assert_eq!(engine.fail_open_queries(), 1);
        assert!(matches!(open.outcome().await, QueryOutcome::Failed));
        assert!(matches!(engine.submit(query_request("b")), Err(SubmitError::Overloaded)));
    });
}
