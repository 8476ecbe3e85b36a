//! The remaining time that a frame states to its node.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;

const TIME_LEFT: Duration = Duration::from_secs(8);
/// The time by which the stated time may exceed the remaining time.
const SLACK: Duration = Duration::from_millis(150);

/// Guards against a node that works on after the client's deadline. A connection is established seconds after the
/// engine turn that decided on the attempt. The frame must state the time that remains when its first byte is
/// written, not the time that remained at the turn.
#[rstest]
fn a_frame_on_a_late_connection_states_the_remaining_time() {
    run_test(async {
        let listener = FullListener::bind();
        let address = listener.address;
        let use_listener = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(5000.0);
        };
        let cluster = TestCluster::start_with(1, use_listener, |_| ()).await;
        let mut client = cluster.client().await;
        let sent = Instant::now();
        let time_left_ms = TIME_LEFT.as_millis() as u64;
        client.write(&query_request("a", "lookup", time_left_ms, &body(ONE_SHARD))).await;
        wait_until(|| cluster.broker.engine.in_flight_count() == 1).await;
        // The kernel retries the connect after a second, and only then is there room in the accept queue.
        let mut connection = listener.accept_after_fillers().await;
        let mut frame = vec![0; 1024];
        let count = within_timeout(connection.read(&mut frame)).await.unwrap();
        let remaining = TIME_LEFT.saturating_sub(sent.elapsed());
        assert!(sent.elapsed() > 3 * SLACK, "the connection was established too early for the test");
        let text = String::from_utf8_lossy(&frame[5..count]).into_owned();
        let stated_ms = text.split("d=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        let stated = Duration::from_millis(stated_ms.parse().unwrap());
        assert!(stated <= remaining + SLACK, "the frame states {stated:?}, but {remaining:?} remain");
    });
}
