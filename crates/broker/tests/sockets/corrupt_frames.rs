//! Invalid frames from nodes, and which responses may still be used.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use std::time::{Duration, Instant};

/// A node writes frames with a wrong length, an unknown id, or noise behind them. What follows can't be
/// interpreted, and a value may be cut or extended. No such value may reach the client, and no shard request
/// may wait for its timeout: all that are in flight on the connection must be retried on another node at once.
#[rstest]
#[case::not_a_length(encode_frame(b"", 0))]
#[case::a_length_that_promises_more(encode_frame(b"5a.3 S 7 -\nbad", 40))]
#[case::an_id_without_attempt(encode_frame(b"5b.3 S 7 -\nbad", 0))]
#[case::no_line_end(encode_frame(b"5a.3 S 7 -", 0))]
#[case::too_long([encode_frame(b"5a.3 S 7 -\nbad", 1), encode_frame(b"5a.9 S 7 -\nbad", 0)].concat())]
#[case::too_short(encode_frame(b"5a.3 S 7 -\nbad", -1))]
#[case::noise_behind_while_more_is_out([encode_frame(b"5a.3 S 7 -\nbad", 0), vec![0xff; 5]].concat())]
fn retries_elsewhere_after_corrupt_frames(#[case] bytes: Vec<u8>) {
    run_test(async {
        let shorten = |startup: &mut StartupConfig| {
            startup.limits.nodes.partial_frame_timeout = Duration::from_millis(50);
        };
        let mut cluster = TestCluster::start_with(2, |_| (), shorten).await;
        let mut client = cluster.send_query("a", "lookup", TWO_SHARDS).await;
        let (first, connection, shard_requests) = cluster.next_batch().await;
        assert_eq!(shard_requests.len(), 2);
        let began = Instant::now();
        cluster.nodes[first].write(connection, &bytes).await;
        let mut retried = 0;
        while retried < 2 {
            let (node, connection, shard_requests) = cluster.next_batch_of_any().await;
            assert_ne!(node, first);
            for shard_request in shard_requests {
                retried += 1;
                cluster.nodes[node].respond(connection, &shard_request.id, 'S', "good").await;
            }
        }
        let reply = client.reply().await.unwrap();
        assert!(began.elapsed() < Duration::from_secs(2), "that was the hedge delay");
        assert!(reply.status == 200 && !reply.body.contains("bad"), "{reply:?}");
    });
}

/// A node writes a valid response with an unreadable load report, or with more bytes behind it while nothing
/// else is in flight. That says nothing of the value: the response must be used. What follows it closes the
/// connection.
#[rstest]
#[case("%%% 7", vec![])]
#[case("-", encode_frame(b"5a.3 S 7 -\nv", 0))]
#[case("-", vec![0xff; 5])]
fn keeps_a_valid_response(#[case] report: &str, #[case] behind: Vec<u8>) {
    run_test(async {
        let mut cluster = TestCluster::start(2).await;
        let mut client = cluster.send_query("a", "once", ONE_SHARD).await;
        let (node, connection, _) = cluster.next_batch().await;
        let valid = encode_frame(format!("5a.3 S 7 {report}\nv").as_bytes(), 0);
        cluster.nodes[node].write(connection, &[&valid[..], &behind].concat()).await;
        let reply = client.reply().await.unwrap();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "{reply:?}");
        if !behind.is_empty() {
            assert_eq!(cluster.next_event().await, (node, connection, PeerEvent::Closed));
        }
    });
}
