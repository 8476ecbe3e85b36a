//! Connections to nodes that are refused, idle, unresponsive, or at their limits.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The network drops a connection without a close while its node still serves others, so a batch on that connection
/// gets no response. The next batch must use a new connection, but a response that still comes on the first one
/// must be counted.
#[rstest]
fn sends_no_batch_on_an_unresponsive_connection() {
    run_test(async {
        let shorten_timeout = |startup: &mut StartupConfig| {
            startup.limits.nodes.unresponsive_after = Duration::from_millis(100);
        };
        let mut cluster = TestCluster::start_with(1, |_| (), shorten_timeout).await;
        let mut first = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, unresponsive, _) = cluster.next_batch().await;
        sleep_ms(200).await;
        let mut second = cluster.send_query("b", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        assert_ne!(connection, unresponsive);
        cluster.nodes[0].respond(connection, "b.3", 'S', "v").await;
        assert_eq!(second.reply_status().await, 200);
        cluster.nodes[0].respond(unresponsive, "a.3", 'S', "v").await;
        assert_eq!(first.reply_status().await, 200);
    });
}

/// A node refuses connections because its process is down. Nothing can have been executed there, so even an
/// at-most-once query must be retried on the other replica and answered.
#[rstest]
fn retries_elsewhere_when_a_node_refuses_the_connection() {
    run_test(async {
        let refusing_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut cluster = TestCluster::start_with(
            2,
            |config| config["known"]["members"][0]["host_port"] = json!(refusing_address.to_string()),
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

/// Guards against writing a batch to a connection that its node is just closing as idle, which loses the batch and
/// shows as a reset. The broker must close an idle connection before the node would, and must not count a
/// connection as idle while a shard request is in flight on it.
#[rstest]
fn closes_idle_connections_to_nodes() {
    run_test(async {
        let short_idle_timeout =
            |config: &mut Value| config["settings"]["Limits"]["ConnIdleMs"] = json!(400.0);
        let mut cluster = TestCluster::start_with(1, short_idle_timeout, |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        sleep_ms(500).await; // not idle, because a shard request is in flight
        cluster.nodes[0].respond(connection, "a.3", 'S', "v").await;
        let answered_at = Instant::now();
        assert_eq!(client.reply_status().await, 200);
        assert_eq!(cluster.next_event().await, (0, connection, PeerEvent::Closed));
        assert!(answered_at.elapsed() > Duration::from_millis(200));
    });
}

/// A query has more shard requests than one connection may carry. The others must use further connections; if no
/// descriptor is left for one, they must wait on an open connection, and all must be answered.
#[rstest]
#[case(1024, 3)]
#[case(66, 3)]
fn shard_requests_beyond_the_limit_of_a_connection_use_another(
    #[case] sockets: usize,
    #[case] connections: usize,
) {
    run_test(async {
        let limit_connections = |config: &mut Value| {
            config["limits"]["sockets"] = json!(sockets);
            config["settings"]["Limits"]["StreamsPerConn"] = json!(2);
        };
        let mut cluster = TestCluster::start_with(1, limit_connections, |_| ()).await;
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

/// Guards against executing a query twice. A connection to a node is not established before the deadline of the
/// query that waits for the connection, and the client is told that it may retry (503). When the connection is
/// established later, nothing of the query may be written to it.
#[rstest]
fn sends_nothing_after_the_query_ended() {
    run_test(async {
        let listener = FullListener::bind();
        let address = listener.address;
        let use_full_listener = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
            config["settings"]["Limits"]["ConnIdleMs"] = json!(100.0);
        };
        let cluster = TestCluster::start_with(1, use_full_listener, |_| ()).await;
        let mut client = cluster.client().await;
        client.write(&query_request("a", "once", 300, &body(ONE_SHARD))).await;
        // Nothing was written, so the client may retry.
        assert_eq!(client.reply_status().await, 503);
        assert_eq!(listener.read_after_fillers().await, b"");
    });
}
