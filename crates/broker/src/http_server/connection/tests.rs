//! Tests of the states of a connection and of the read limits in each state.

use super::Connection;
use crate::limits::{Limits, Machine};
use futures_util::FutureExt;
use rstest::rstest;
use settings::BrokerSettings;
use std::rc::Rc;
use std::task::{Context, Waker};

fn connection() -> Connection {
    let machine = Machine { memory_mb: 192, sockets: 1024 };
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    Connection::new(Rc::new(limits), false)
}

#[rstest]
fn connection_is_idle_after_a_request() {
    let connection = connection();
    assert!(connection.is_quiescent());
    connection.record_read(0);
    assert!(connection.is_quiescent());
    connection.record_read(5);
    let since = connection.reading_since().expect("the read of the first bytes was not recorded");
    assert!(!connection.is_quiescent());
    let guard = connection.begin_request();
    assert_eq!(guard.arrived, since);
    assert!(connection.is_handling_request() && !connection.is_body_complete());
    connection.record_read(5);
    assert_eq!(connection.reading_since(), None);
    connection.complete_body();
    assert!(connection.is_handling_request() && connection.is_body_complete());
    guard.finish();
    assert!(connection.is_idle() && !connection.is_closing());
}

#[rstest]
#[case(true)]
#[case(false)]
fn closing_is_final(#[case] must_drain_input: bool) {
    let connection = connection();
    let guard = connection.begin_request();
    guard.finish_and_close(must_drain_input);
    assert!(connection.is_closing() && connection.is_quiescent());
    connection.record_read(5);
    assert!(connection.is_closing() && !connection.is_quiescent());
    assert!(connection.reading_since().is_some());
    assert_eq!(connection.must_drain_input(), must_drain_input);
}

/// A request that is longer than the limit closes the connection. At the limit the HTTP library is polled once more,
/// so that it parses its buffer; only the next read closes the connection.
#[rstest]
#[case::head(false, 431)]
#[case::body(true, 413)]
fn closes_on_a_request_that_is_too_long(#[case] is_handling: bool, #[case] status: u16) {
    let (connection, context) = (connection(), Context::from_waker(Waker::noop()));
    let _guard = is_handling.then(|| connection.begin_request());
    let limits = &connection.limits.requests;
    let max_bytes = if is_handling { limits.max_chunked_body_bytes } else { limits.max_head_bytes };
    connection.record_read(max_bytes - 1);
    assert!(connection.may_read_more(&context));
    connection.record_read(1);
    assert!(!connection.may_read_more(&context));
    assert!(connection.close_requested().now_or_never().is_none());
    assert!(!connection.may_read_more(&context));
    assert!(connection.close_requested().now_or_never().is_some());
    assert_eq!(connection.closing_status().map(|status| status.as_u16()), Some(status));
}
