//! Client connections: their number, slow ones, idle ones.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Clients send more queries, and hold more connections, than the limits allow. Beyond `MaxOpen` a query must
/// be rejected (503) and nothing of it sent; at the bound on connections idle ones must make room, and requests
/// on surplus ones must be rejected.
#[rstest]
fn rejects_beyond_its_limits() {
    run_test(async {
        let few = |config: &mut Value| {
            config["limits"]["sockets"] = json!(64);
            config["settings"]["Limits"]["MaxOpen"] = json!(5);
        };
        let mut cluster = TestCluster::start_with(1, few, |_| ()).await;
        let _first = cluster.send_query("a", "lookup", &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]).await;
        cluster.next_batch().await;
        assert_eq!(cluster.send_query("c", "lookup", ONE_SHARD).await.reply_status().await, 503);
        // 19 connections, and two beyond that; those that are idle make room.
        let mut held = Vec::new();
        for at in 0..30 {
            let mut client = cluster.client().await;
            client.write(HEALTH_REQUEST).await;
            assert_eq!(client.reply_status().await, 200, "client {at}");
            held.push(client);
        }
        assert!(held[0].reply().await.is_none());
        let mut stuck = Vec::new();
        for _ in 0..18 {
            let mut client = cluster.client().await;
            client.write("POST /api HT").await;
            stuck.push(client);
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

/// Every place is taken by a connection with an incomplete request. A new connection must wait, and be served
/// as soon as one of the others is idle.
#[rstest]
fn idle_connections_make_room_at_the_limit() {
    run_test(async {
        let few = |config: &mut Value| config["limits"]["sockets"] = json!(64);
        let cluster = TestCluster::start_with(1, few, |startup| {
            startup.limits.clients.io_timeout = Duration::from_secs(90);
        })
        .await;
        let mut held = Vec::new();
        for _ in 0..21 {
            let mut client = cluster.client().await;
            client.write("GET /_health HT").await;
            sleep_ms(20).await;
            held.push(client);
        }
        let mut waits = cluster.client().await;
        waits.write(HEALTH_REQUEST).await;
        assert!(tokio::time::timeout(Duration::from_millis(200), waits.reply()).await.is_err());
        held[0].write("TP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(held[0].reply_status().await, 200);
        assert_eq!(waits.reply_status().await, 200);
    });
}

/// Shard requests that have their responses are not open any more, and make room for others.
#[rstest]
fn received_shard_responses_make_room() {
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
        // The values are on their way: until they are in, it is rejected still.
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

/// Clients connect and send nothing, or stop within a head or a body. Each holds a place that others may need.
/// It must be closed in time, with 408 where a request was begun; a connection that is idle after a response
/// must stay open.
#[rstest]
fn closes_slow_clients() {
    run_test(async {
        let quick = |startup: &mut StartupConfig| {
            startup.limits.clients.io_timeout = Duration::from_millis(200);
            startup.limits.clients.sweep_interval = Duration::from_millis(50);
        };
        let cluster = TestCluster::start_with(1, |_| (), quick).await;
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

/// Many clients send one request and keep their connection, which would use up the descriptors. Beyond the
/// bound the connection that was idle longest must be closed, and the others stay usable.
#[rstest]
fn keeps_few_idle_connections() {
    run_test(async {
        let cluster =
            TestCluster::start_with(1, |_| (), |startup| startup.limits.clients.max_idle_connections = 2)
                .await;
        let mut kept = Vec::new();
        for _ in 0..4 {
            let mut client = cluster.client().await;
            client.write(HEALTH_REQUEST).await;
            assert_eq!(client.reply_status().await, 200);
            kept.push(client);
        }
        assert!(kept[0].reply().await.is_none());
        kept[1].write(HEALTH_REQUEST).await;
        assert_eq!(kept[1].reply_status().await, 200);
    });
}

/// A hundred clients connect and send nothing, with time limits that do not help. A client that does send a
/// request must be served at once.
#[rstest]
fn silent_connections_make_room() {
    run_test(async {
        let few = |config: &mut Value| config["limits"]["sockets"] = json!(64);
        let patient = |startup: &mut StartupConfig| {
            (startup.limits.clients.io_timeout, startup.limits.clients.sweep_interval) =
                (Duration::from_secs(90), Duration::from_secs(90));
        };
        let cluster = TestCluster::start_with(1, few, patient).await;
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(cluster.client().await);
        }
        let mut usual = cluster.client().await;
        usual.write(HEALTH_REQUEST).await;
        assert_eq!(usual.reply_status().await, 200);
    });
}

/// A client sends an invalid request behind one that is still handled. It must stay unread until the first is
/// answered, and must not harm it.
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

/// A client stops in the middle of a chunked body and keeps its connection open. It must get 408 and the end of
/// its connection, without a reset, though it sends nothing more.
#[rstest]
fn closes_the_connection_of_half_a_chunked_body() {
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
            read.expect("it stays open").expect("a reset");
            assert!(text.starts_with("HTTP/1.1 408"), "{text}");
        }
    });
}
