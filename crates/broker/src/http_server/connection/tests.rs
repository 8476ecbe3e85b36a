//! Tests of the states of a connection and of the read limits in each state.

use super::Connection;
use crate::limits::{Limits, Machine};
use crate::memory_budget::MemoryBudget;
use futures_util::FutureExt;
use rstest::rstest;
use settings::BrokerSettings;
use std::rc::Rc;
use std::task::{Context, Waker};

fn connection() -> Connection {
    let machine = Machine { memory_mb: 192, sockets: 1024 };
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    let memory = MemoryBudget::new(limits.max_held_bytes);
    Connection::new(Rc::new(limits), memory, false)
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
    let guard = connection.begin_request(None);
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
    let guard = connection.begin_request(None);
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
    let _guard = is_handling.then(|| connection.begin_request(None));
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

/// A head that is longer than the HTTP library's initial buffer needs memory of the shared budget, until its request
/// ends. Without memory the request must be rejected.
#[rstest]
fn reserves_memory_for_a_long_head() {
    let (connection, context) = (connection(), Context::from_waker(Waker::noop()));
    connection.record_read(connection.limits.clients.short_head_bytes);
    assert!(connection.may_read_more(&context));
    assert_eq!(connection.memory.held_bytes(), connection.limits.clients.long_head_bytes);
    drop(connection.begin_request(None));
    assert_eq!(connection.memory.held_bytes(), 0);
    let _others = connection.memory.reserve(connection.limits.max_held_bytes);
    connection.record_read(connection.limits.clients.short_head_bytes);
    assert!(!connection.may_read_more(&context));
    assert_eq!(connection.closing_status().map(|status| status.as_u16()), Some(503));
}

/// Of a body with a known length, no more than its rest may be read at once: the requests pipelined behind it would be
/// decoded, and held until the response is written.
#[rstest]
fn reads_bodies_in_small_steps() {
    let connection = connection();
    let sizes = connection.limits.clients.read_sizes;
    assert_eq!(connection.max_read_bytes(0), sizes.head);
    let guard = connection.begin_request(Some(sizes.body + 10));
    assert_eq!(connection.max_read_bytes(0), sizes.body);
    connection.record_read(sizes.body - 10);
    assert_eq!(connection.max_read_bytes(sizes.body - 10), 10);
    connection.record_read(10);
    assert_eq!(connection.max_read_bytes(sizes.body), 0);
    assert_eq!(connection.max_read_bytes(0), 10);
    connection.record_read(10);
    assert_eq!(connection.max_read_bytes(0), sizes.head);
    guard.finish();
    let guard = connection.begin_request(None);
    assert_eq!(connection.max_read_bytes(0), sizes.chunked_body);
    guard.finish_and_close(false);
    assert_eq!(connection.max_read_bytes(0), sizes.dropped_chunked_body);
}

/// A response is written in parts. Until the last one is written, the client counts as not having read it.
#[rstest]
fn a_response_is_blocked_until_its_last_part_is_written() {
    let connection = connection();
    connection.set_response_bytes_left(5);
    connection.record_write(true);
    assert!(connection.write_blocked_since().is_some());
    connection.set_response_bytes_left(0);
    connection.record_write(true);
    assert!(connection.write_blocked_since().is_none());
}
