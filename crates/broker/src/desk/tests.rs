//! An attempt and the end of its query in one turn.

use super::*;
use crate::limits::Machine;
use rstest::rstest;

/// A turn may attempt a shard request and end its query: then the shard request stays unsent, and is told to.
#[rstest]
#[case(|query, _| Effect::Fail { query })]
#[case(|query, _| Effect::Respond { query, complete: false })]
#[case(|_, shard_request| Effect::Cancel { shard_request, attempt: AttemptNumber(0) })]
fn what_ends_in_its_turn_is_not_sent(#[case] end: fn(QueryId, ShardRequestId) -> Effect) {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let mut broker_settings = BrokerSettings::default();
        broker_settings.broker_config.limits.max_open = 10;
        let limits = Limits::new(Machine { memory_mb: 192, sockets: 1024 }, &broker_settings).unwrap();
        let engine = Engine::new(broker_settings, 1, Rc::new(limits), None, None);
        let address = "127.0.0.1:9".parse().unwrap();
        engine.nodes.set_address(NodeId(1), Some(address), true);
        let shard_requests = vec![RequestedShard { shard: ShardId(0), weight: 1.0 }];
        let (id, text) = (Bytes::from_static(b"a"), Bytes::new());
        let (class, tenant, until) = (ClassId(0), TenantId(0), Instant::now());
        let work = Tenths::ZERO;
        let question = QueryRequest { id, class, tenant, until, work, shard_requests, text, holds: 0 };
        let taken = engine.take(question).unwrap();
        let shard_request = *engine.book.borrow().shard_requests.keys().next().unwrap();
        engine.heard.take();
        let attempt = Effect::Send { shard_request, node: NodeId(1), timeout: Tenths(1000) };
        engine.carry_out(Tenths(0), vec![attempt, end(taken.id, shard_request)]);
        let heard = engine.heard.take();
        assert!(
            matches!(&heard[..], [Input::AttemptEnded(o)] if o.outcome == AttemptOutcome::NotSent),
            "{heard:?}"
        );
        assert!(engine.nodes.fetch_attempt_ends().is_empty());
    });
}

/// What comes once all that was open has been ended is turned away: sent on, it would be lost with the process.
#[rstest]
fn takes_nothing_once_it_ended() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let mut broker_settings = BrokerSettings::default();
        broker_settings.broker_config.limits.max_open = 10;
        let limits = Limits::new(Machine { memory_mb: 192, sockets: 1024 }, &broker_settings).unwrap();
        let engine = Engine::new(broker_settings, 1, Rc::new(limits), None, None);
        let question = |id: &'static str| QueryRequest {
            id: Bytes::from_static(id.as_bytes()),
            class: ClassId(0),
            tenant: TenantId(0),
            until: Instant::now(),
            work: Tenths::ZERO,
            shard_requests: vec![RequestedShard { shard: ShardId(0), weight: 1.0 }],
            text: Bytes::new(),
            holds: 0,
        };
        let open = engine.take(question("a")).unwrap();
        assert_eq!(engine.end_open(), 1);
        assert!(matches!(open.verdict().await, QueryOutcome::Failed));
        assert!(matches!(engine.take(question("b")), Err(AdmissionError::Overloaded)));
    });
}
