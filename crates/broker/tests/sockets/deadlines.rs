//! The time left that a frame states to its node.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;

const TIME_LEFT: Duration = Duration::from_secs(8);
/// How much more than what is left a frame may state.
const SLACK: Duration = Duration::from_millis(150);

/// A connection comes up seconds after the turn that decided on the attempt. If its frame stated the time that
/// was left at the turn, the node would work on after the client's deadline. The frame must state what is left
/// when its first byte is written.
#[rstest]
fn a_late_connection_carries_the_time_that_is_left() {
    run_test(async {
        let full = FullListener::bind();
        let address = full.address;
        let slow = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(5000.0);
        };
        let cluster = TestCluster::start_with(1, slow, |_| ()).await;
        let mut client = cluster.client().await;
        let sent = Instant::now();
        let time_left_ms = TIME_LEFT.as_millis() as u64;
        client.write(&query_request("a", "lookup", time_left_ms, &body(ONE_SHARD))).await;
        wait_until(|| cluster.broker.engine.in_flight_count() == 1).await;
        // The system tries to connect again after a second, and only then is there a place in the queue.
        let mut connection = full.accept_after_fillers().await;
        let mut frame = vec![0; 1024];
        let count = within_timeout(connection.read(&mut frame)).await.unwrap();
        let left = TIME_LEFT.saturating_sub(sent.elapsed());
        assert!(sent.elapsed() > 3 * SLACK, "the connection did not come up late");
        let text = String::from_utf8_lossy(&frame[5..count]).into_owned();
        let stated_ms = text.split("d=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap();
        let stated = Duration::from_millis(stated_ms.parse().unwrap());
        assert!(stated <= left + SLACK, "{stated:?} stated, {left:?} left");
    });
}
