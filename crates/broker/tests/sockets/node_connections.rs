//! Connections to nodes that are refused, idle, unresponsive, or at their limit.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A connection is dropped on the way without a close, while its node serves others. It shows as silence after
/// a batch. The next batch must go on a new connection; a response that comes on the first one all the same
/// must still count.
#[rstest]
fn sends_nothing_more_on_an_unresponsive_connection() {
    run_test(async {
        let shorten = |startup: &mut StartupConfig| {
            startup.limits.nodes.unresponsive_after = Duration::from_millis(100);
        };
        let mut cluster = TestCluster::start_with(1, |_| (), shorten).await;
        let mut first = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, silent, _) = cluster.next_batch().await;
        sleep_ms(200).await;
        let mut second = cluster.send_query("b", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        assert_ne!(connection, silent);
        cluster.nodes[0].respond(connection, "b.3", 'S', "v").await;
        assert_eq!(second.reply_status().await, 200);
        cluster.nodes[0].respond(silent, "a.3", 'S', "v").await;
        assert_eq!(first.reply_status().await, 200);
    });
}

/// A node refuses connections because its process is down. That proves that nothing was executed there, so even
/// a query that may run at most once must be retried on the other replica and answered.
#[rstest]
fn retries_elsewhere_when_a_node_refuses_the_connection() {
    run_test(async {
        let refuses = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut cluster = TestCluster::start_with(
            2,
            |config| config["known"]["members"][0]["host_port"] = json!(refuses.to_string()),
            |_| (),
        )
        .await;
        for id in ["a", "b", "c", "d"] {
            let mut client = cluster.send_query(id, "once", ONE_SHARD).await;
            let (node, connection, shard_requests) = cluster.next_batch().await;
            assert_eq!(node, 1);
            cluster.nodes[1].respond(connection, &shard_requests[0].id, 'S', "v").await;
            assert_eq!(client.reply_status().await, 200);
        }
    });
}

/// Nodes close connections that were idle for their idle timeout. A batch written in that moment is lost and
/// shows as a reset. The broker must close an idle connection before its node would, and must not count a
/// connection as idle while a shard request is in flight on it.
#[rstest]
fn closes_idle_connections_to_nodes() {
    run_test(async {
        let short = |config: &mut Value| config["settings"]["Limits"]["ConnIdleMs"] = json!(400.0);
        let mut cluster = TestCluster::start_with(1, short, |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        sleep_ms(500).await; // out, and so not idle
        cluster.nodes[0].respond(connection, "a.3", 'S', "v").await;
        let ended = Instant::now();
        assert_eq!(client.reply_status().await, 200);
        assert_eq!(cluster.next_event().await, (0, connection, PeerEvent::Closed));
        assert!(ended.elapsed() > Duration::from_millis(200));
    });
}

/// A query has more shard requests than one connection may carry. The others must go on further connections;
/// where no descriptor is left for one, they must wait on an open connection, and all must be answered.
#[rstest]
#[case(1024, 3)]
#[case(66, 3)]
fn shard_requests_beyond_a_connections_limit_use_another(#[case] sockets: usize, #[case] connections: usize) {
    run_test(async {
        let narrow = |config: &mut Value| {
            config["limits"]["sockets"] = json!(sockets);
            config["settings"]["Limits"]["StreamsPerConn"] = json!(2);
        };
        let mut cluster = TestCluster::start_with(1, narrow, |_| ()).await;
        let shards: Vec<(u32, f64)> = (0..6).map(|shard| (shard, 1.0 / 6.0)).collect();
        let mut client = cluster.send_query("a", "report", &shards).await;
        let (mut used, mut received) = (std::collections::BTreeSet::new(), 0);
        while received < 6 {
            let (_, connection, shard_requests) = cluster.next_batch().await;
            assert!(shard_requests.len() <= 2);
            used.insert(connection);
            received += shard_requests.len();
            for shard_request in shard_requests {
                cluster.nodes[0].respond(connection, &shard_request.id, 'S', "v").await;
            }
        }
        assert!(used.len() <= connections, "{used:?}");
        let reply = client.reply().await.unwrap();
        assert!(reply.status == 200 && reply.body.contains("\"entire\":true"), "{reply:?}");
    });
}

/// A connection to a node does not come up, and the query that waits for it reaches its deadline. The client is
/// told that it may send it again (503). When the connection is established at last, nothing of the query may
/// be written to it, or it could be executed twice.
#[rstest]
fn sends_nothing_after_the_query_ended() {
    run_test(async {
        let full = FullListener::bind();
        let address = full.address;
        let unreachable = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
            config["settings"]["Limits"]["ConnIdleMs"] = json!(100.0);
        };
        let cluster = TestCluster::start_with(1, unreachable, |_| ()).await;
        let mut client = cluster.client().await;
        client.write(&query_request("a", "once", 300, &body(ONE_SHARD))).await;
        // Nothing was written, so the client may send it again.
        assert_eq!(client.reply_status().await, 503);
        assert_eq!(full.read_after_fillers().await, b"");
    });
}
