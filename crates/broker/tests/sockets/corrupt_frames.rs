//! Invalid frames from nodes, and the responses that may still be used.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Guards against returning truncated or extended values to the client. A node writes frames with a wrong length,
/// an unknown id, or garbage after a frame, so the rest of the stream can't be parsed. No such value may reach the
/// client, and no shard request may wait for its timeout: all shard requests in flight on the connection must be
/// retried on another node at once.
#[rstest]
#[case::zero_length(encode_frame(b"", 0))]
#[case::length_beyond_the_frame(encode_frame(b"5a.3 S 7 -\nbad", 40))]
#[case::unknown_id(encode_frame(b"5b.3 S 7 -\nbad", 0))]
#[case::no_line_end(encode_frame(b"5a.3 S 7 -", 0))]
#[case::too_long([encode_frame(b"5a.3 S 7 -\nbad", 1), encode_frame(b"5a.9 S 7 -\nbad", 0)].concat())]
#[case::too_short(encode_frame(b"5a.3 S 7 -\nbad", -1))]
#[case::garbage_after_a_frame_with_more_in_flight([encode_frame(b"5a.3 S 7 -\nbad", 0), vec![0xff; 5]].concat())]
fn retries_elsewhere_after_corrupt_frames(#[case] bytes: Vec<u8>) {
    run_test(async {
        let shorten_timeout = |startup: &mut StartupConfig| {
            startup.limits.nodes.partial_frame_timeout = Duration::from_millis(50);
        };
        let mut cluster = TestCluster::start_with(2, |_| (), shorten_timeout).await;
        let mut client = cluster.send_query("a", "lookup", TWO_SHARDS).await;
        let (first, connection, shard_requests) = cluster.next_batch().await;
        assert_eq!(shard_requests.len(), 2);
        let started = Instant::now();
        cluster.nodes[first].write(connection, &bytes).await;
        let mut retried = 0;
        while retried < 2 {
            let (node, connection, shard_requests) = cluster.next_batch_skipping_events().await;
            assert_ne!(node, first);
            for shard_request in shard_requests {
                retried += 1;
                cluster.nodes[node].respond(connection, &shard_request.id, 'S', "good").await;
            }
        }
        let reply = client.reply().await.unwrap();
        assert!(started.elapsed() < Duration::from_secs(2), "retried only after the hedge delay");
        assert!(reply.status == 200 && !reply.body.contains("bad"), "{reply:?}");
    });
}

/// A node writes a valid response with an invalid load report, or with garbage after it while nothing else is in
/// flight. Neither makes the value invalid, so the response must be used. Garbage must close the connection.
#[rstest]
#[case("%%% 7", vec![])]
#[case("-", encode_frame(b"5a.3 S 7 -\nv", 0))]
#[case("-", vec![0xff; 5])]
fn keeps_a_valid_response(#[case] report: &str, #[case] garbage: Vec<u8>) {
    run_test(async {
        let mut cluster = TestCluster::start(2).await;
        let mut client = cluster.send_query("a", "once", ONE_SHARD).await;
        let (node, connection, _) = cluster.next_batch().await;
        let valid = encode_frame(format!("5a.3 S 7 {report}\nv").as_bytes(), 0);
        cluster.nodes[node].write(connection, &[&valid[..], &garbage].concat()).await;
        let reply = client.reply().await.unwrap();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "{reply:?}");
        if !garbage.is_empty() {
            assert_eq!(cluster.next_event().await, (node, connection, PeerEvent::Closed));
        }
    });
}
