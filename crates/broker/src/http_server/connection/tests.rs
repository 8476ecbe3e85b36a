//! The states of a connection, and what it may read in them.

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
fn a_request_leads_back_to_idle() {
    let connection = connection();
    assert!(connection.is_at_rest());
    connection.note_read(0);
    assert!(connection.is_at_rest());
    connection.note_read(5);
    let since = connection.reading_since().expect("the beginning of a request was read");
    assert!(!connection.is_at_rest());
    let guard = connection.begin_request();
    assert_eq!(guard.arrived, since);
    assert!(connection.is_handling_request() && !connection.is_body_complete());
    connection.note_read(5);
    assert_eq!(connection.reading_since(), None);
    connection.complete_body();
    assert!(connection.is_handling_request() && connection.is_body_complete());
    guard.finish();
    assert!(connection.is_idle() && !connection.is_closing());
}

#[rstest]
#[case(true)]
#[case(false)]
fn nothing_leads_out_of_closing(#[case] must_drain_input: bool) {
    let connection = connection();
    let guard = connection.begin_request();
    guard.finish_and_close(must_drain_input);
    assert!(connection.is_closing() && connection.is_at_rest());
    connection.note_read(5);
    assert!(connection.is_closing() && !connection.is_at_rest());
    assert!(connection.reading_since().is_some());
    assert_eq!(connection.must_drain_input(), must_drain_input);
}

/// At the bound the HTTP library is polled once more, so that it looks at what it has; then the connection is
/// closed.
#[rstest]
#[case::head(false, 431)]
#[case::body(true, 413)]
fn closes_on_a_request_that_is_too_long(#[case] is_handling: bool, #[case] status: u16) {
    let (connection, context) = (connection(), Context::from_waker(Waker::noop()));
    let _guard = is_handling.then(|| connection.begin_request());
    let limits = &connection.limits.requests;
    let most = if is_handling { limits.max_chunked_body_bytes } else { limits.max_head_bytes };
    connection.note_read(most - 1);
    assert!(connection.may_read_more(&context));
    connection.note_read(1);
    assert!(!connection.may_read_more(&context));
    assert!(connection.close_requested().now_or_never().is_none());
    assert!(!connection.may_read_more(&context));
    assert!(connection.close_requested().now_or_never().is_some());
    assert_eq!(connection.closing_status().map(|status| status.as_u16()), Some(status));
}
