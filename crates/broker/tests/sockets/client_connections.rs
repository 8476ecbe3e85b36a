//! Client connections: limits on their number, and slow or idle clients.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Clients send more queries, and hold more connections, than the limits allow. Beyond `MaxOpen` a query must be
/// rejected (503), and none of its shard requests sent. At the connection limit idle connections must be closed, and
/// requests on surplus connections must be rejected.
#[rstest]
fn rejects_queries_and_connections_beyond_the_limits() {
    run_test(async {
        let lower_limits = |config: &mut Value| {
            config["limits"]["sockets"] = json!(64);
            config["settings"]["Limits"]["MaxOpen"] = json!(5);
        };
        let mut cluster = TestCluster::start_with(1, lower_limits, |_| ()).await;
        let _first = cluster.send_query("a", "lookup", &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]).await;
        cluster.next_batch().await;
        assert_eq!(cluster.send_query("c", "lookup", ONE_SHARD).await.reply_status().await, 503);
        // The limit is 19 connections and two surplus ones; idle connections are closed to admit others.
        let mut clients = Vec::new();
        for number in 0..30 {
            let mut client = cluster.client().await;
            client.write(HEALTH_REQUEST).await;
            assert_eq!(client.reply_status().await, 200, "client {number}");
            clients.push(client);
        }
        assert!(clients[0].reply().await.is_none());
        let mut incomplete = Vec::new();
        for _ in 0..18 {
            let mut client = cluster.client().await;
            client.write("POST /api HT").await;
            incomplete.push(client);
        }
        within_timeout(async {
            let mut closes = false;
            while !closes {
                let reply = cluster.send_query("d", "lookup", ONE_SHARD).await.reply().await.unwrap();
                assert_eq!(reply.status, 503);
                closes = reply.head.contains("connection: close");
            }
        })
        .await;
        assert!(cluster.has_no_event());
    });
}

/// All connections up to the limit have an incomplete request. A new connection must wait, and must be served as
/// soon as one of the others is idle.
#[rstest]
fn a_new_connection_replaces_an_idle_one_at_the_limit() {
    run_test(async {
        let limit_sockets = |config: &mut Value| config["limits"]["sockets"] = json!(64);
        let cluster = TestCluster::start_with(1, limit_sockets, |startup| {
            startup.limits.clients.io_timeout = Duration::from_secs(90);
        })
        .await;
        let mut clients = Vec::new();
        for _ in 0..21 {
            let mut client = cluster.client().await;
            client.write("GET /_health HT").await;
            sleep_ms(20).await;
            clients.push(client);
        }
        let mut waiting = cluster.client().await;
        waiting.write(HEALTH_REQUEST).await;
        assert!(tokio::time::timeout(Duration::from_millis(200), waiting.reply()).await.is_err());
        clients[0].write("TP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(clients[0].reply_status().await, 200);
        assert_eq!(waiting.reply_status().await, 200);
    });
}

/// Shard requests that have received their responses must no longer count as open, so that others are admitted.
#[rstest]
fn received_shard_responses_free_capacity() {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["settings"]["Limits"]["MaxOpen"] = json!(5), |_| ())
                .await;
        let mut first =
            cluster.send_query("a", "lookup", &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]).await;
        let (_, connection, _) = cluster.next_batch().await;
        assert_eq!(cluster.send_query("b", "lookup", ONE_SHARD).await.reply_status().await, 503);
        for id in ["a.0", "a.1"] {
            cluster.nodes[0].respond(connection, id, 'S', "v").await;
        }
        // The query is rejected until the broker has read both values.
        let mut third = within_timeout(async {
            loop {
                let mut client = cluster.send_query("c", "lookup", ONE_SHARD).await;
                let reply = tokio::time::timeout(Duration::from_millis(200), client.reply()).await;
                if reply.is_err() {
                    break client;
                }
            }
        })
        .await;
        for id in ["a.2", "a.3"] {
            cluster.nodes[0].respond(connection, id, 'S', "v").await;
        }
        let (_, connection, shard_requests) = cluster.next_batch().await;
        cluster.nodes[0].respond(connection, &shard_requests[0].id, 'S', "v").await;
        assert_eq!(third.reply_status().await, 200);
        assert_eq!(first.reply_status().await, 200);
    });
}

/// Clients connect and send nothing, or stop within a head or a body, and so occupy a connection that others may
/// need. The connection must be closed in time, with 408 if a request was begun; a connection that is idle after a
/// response must stay open.
#[rstest]
fn closes_slow_clients() {
    run_test(async {
        let shorten_timeouts = |startup: &mut StartupConfig| {
            startup.limits.clients.io_timeout = Duration::from_millis(200);
            startup.limits.clients.sweep_interval = Duration::from_millis(50);
        };
        let cluster = TestCluster::start_with(1, |_| (), shorten_timeouts).await;
        let (mut idle, mut silent, mut head, mut body) =
            (cluster.client().await, cluster.client().await, cluster.client().await, cluster.client().await);
        idle.write(HEALTH_REQUEST).await;
        assert_eq!(idle.reply_status().await, 200);
        head.write("POST /api HTTP/1.1\r\n").await;
        body.write("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{").await;
        assert!(silent.reply().await.is_none());
        assert_eq!(head.reply_status().await, 408);
        assert_eq!(body.reply_status().await, 408);
        sleep_ms(500).await;
        idle.write(HEALTH_REQUEST).await;
        assert_eq!(idle.reply_status().await, 200);
    });
}

/// Guards against running out of descriptors because many clients send one request and keep their connections.
/// Beyond the limit the connection that was idle longest must be closed, and the others must stay usable.
#[rstest]
fn limits_idle_connections() {
    run_test(async {
        let cluster =
            TestCluster::start_with(1, |_| (), |startup| startup.limits.clients.max_idle_connections = 2)
                .await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut client = cluster.client().await;
            client.write(HEALTH_REQUEST).await;
            assert_eq!(client.reply_status().await, 200);
            clients.push(client);
        }
        assert!(clients[0].reply().await.is_none());
        clients[1].write(HEALTH_REQUEST).await;
        assert_eq!(clients[1].reply_status().await, 200);
    });
}

/// A hundred clients connect and send nothing, with time limits too long to close them. A client that does send a
/// request must be served at once.
#[rstest]
fn new_connections_replace_silent_ones() {
    run_test(async {
        let limit_sockets = |config: &mut Value| config["limits"]["sockets"] = json!(64);
        let lengthen_timeouts = |startup: &mut StartupConfig| {
            (startup.limits.clients.io_timeout, startup.limits.clients.sweep_interval) =
                (Duration::from_secs(90), Duration::from_secs(90));
        };
        let cluster = TestCluster::start_with(1, limit_sockets, lengthen_timeouts).await;
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(cluster.client().await);
        }
        let mut active = cluster.client().await;
        active.write(HEALTH_REQUEST).await;
        assert_eq!(active.reply_status().await, 200);
    });
}

/// A client sends an invalid request after one that is still being handled. It must stay unread until the first is
/// answered, and must not affect the first.
#[rstest]
fn reads_one_request_of_a_connection_at_a_time() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        client.write("no request at all\r\n\r\n").await;
        sleep_ms(200).await;
        assert!(cluster.has_no_event());
        cluster.nodes[0].respond(connection, "a.3", 'S', "one").await;
        assert!(client.reply().await.unwrap().body.contains("one"));
        assert_eq!(client.reply_status().await, 400);
    });
}

/// A client stops in the middle of a chunked body, sends nothing more and keeps its connection open. The client
/// must get 408 and then the end of the connection, without a reset.
#[rstest]
fn closes_the_connection_of_an_incomplete_chunked_body() {
    run_test(async {
        let cluster = TestCluster::start_with(
            1,
            |_| (),
            |startup| {
                startup.limits.clients.io_timeout = Duration::from_millis(200);
            },
        )
        .await;
        let head = query_request("a", "lookup", 10_000, "");
        let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
        for part in ["", "40\r\n{\"slices\"", "1\r\n{\r\n"] {
            let mut client = TcpStream::connect(cluster.broker.listen_address).await.unwrap();
            client.write_all(format!("{head}{part}").as_bytes()).await.unwrap();
            let mut text = String::new();
            let read = tokio::time::timeout(Duration::from_secs(5), client.read_to_string(&mut text)).await;
            read.expect("connection still open after 5 s").expect("connection reset before its end");
            assert!(text.starts_with("HTTP/1.1 408"), "{text}");
        }
    });
}
