//! Races on connections: a close, a request or a response at the same time as another event. Each order is forced:
//! the bytes and closes of the peers are in the kernel's buffers before the broker is polled again.
//! `docs/acceptance.md` lists these tests.

use super::test_peers::*;
use broker::engine::QueryOutcome;
use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Guards against attempts for a client that has disconnected. The client disconnects before the first attempt of
/// its query, with its request complete or incomplete, or with bytes sent after it that hide the close. When a node
/// becomes known, nothing of the query may be sent.
#[rstest]
#[case::incomplete_body(false, "")]
#[case::complete(true, "")]
#[case::trailing_request(true, "GET /_health HTTP/1.1\r\nHo")]
#[case::many_trailing_bytes(true, &"x".repeat(500_000))]
fn sends_nothing_for_a_client_that_disconnected(#[case] is_complete: bool, #[case] trailing: &str) {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["known"]["members"] = json!([]), |_| ()).await;
        cluster.discovery.next_request().await;
        let text = query_request("gone", "lookup", 100_000, &body(ONE_SHARD));
        let mut client = TcpStream::connect(cluster.broker.listen_address).await.unwrap();
        let (first, last) = text.split_at(text.len() - 1);
        client.write_all(first.as_bytes()).await.unwrap();
        if is_complete {
            client.write_all(last.as_bytes()).await.unwrap();
            wait_until(|| cluster.broker.engine.open_queries() == 1).await;
            // While the request is handled, bytes after it stay unread.
            client.set_nodelay(true).unwrap();
            let _ = client.try_write(trailing.as_bytes());
            sleep_ms(20).await; // so that it arrives before the close
        }
        let disconnected = Instant::now();
        drop(client);
        wait_until(|| cluster.broker.engine.open_queries() == 0).await;
        // The query's deadline is 100 s away, and its latency objective 8 s.
        assert!(disconnected.elapsed() < Duration::from_secs(4), "{:?}", disconnected.elapsed());
        cluster.discovery.reply(snapshot(2, &[member(&cluster.nodes, 0, "ready")]));
        wait_until(|| cluster.broker.engine.can_serve()).await;
        let _other = cluster.send_query("stays", "lookup", ONE_SHARD).await;
        assert_eq!(cluster.next_batch().await.2[0].id, "stays.3");
    });
}

/// A client disconnects while its shard request waits for a connection to a node. Nothing may be written on that
/// connection when it is established.
#[rstest]
fn sends_nothing_on_a_late_connection_for_a_client_that_disconnected() {
    run_test(async {
        let listener = FullListener::bind();
        let address = listener.address;
        let use_listener = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
            config["settings"]["Limits"]["ConnIdleMs"] = json!(100.0);
        };
        let cluster = TestCluster::start_with(1, use_listener, |_| ()).await;
        let client = cluster.send_query("gone", "lookup", ONE_SHARD).await;
        wait_until(|| cluster.broker.engine.in_flight_count() == 1).await;
        drop(client);
        wait_until(|| cluster.broker.engine.in_flight_count() == 0).await;
        assert_eq!(listener.read_after_fillers().await, b"");
    });
}

/// Guards against executing a query whose client can get no response. A client pipelines a second request after one
/// with `Connection: close`. Nothing of the second request may be sent to a node.
#[rstest]
fn forwards_nothing_after_the_last_response() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = TcpStream::connect(cluster.broker.listen_address).await.unwrap();
        let last = query_request("a", "lookup", 100_000, &body(ONE_SHARD))
            .replace("Host:", "Connection: close\r\nHost:");
        let requests = last + &query_request("b", "lookup", 100_000, &body(TWO_SHARDS));
        client.write_all(requests.as_bytes()).await.unwrap();
        let (node, connection, shard_requests) = cluster.next_batch().await;
        assert_eq!(shard_requests[0].id, "a.3");
        cluster.nodes[node].respond(connection, "a.3", 'S', "v").await;
        let text = read_to_end(client).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert!(cluster.has_no_event());
        assert_eq!(cluster.broker.engine.open_queries(), 0);
    });
}

/// Guards against writing a batch to a connection that its node has just closed as idle, which would lose the batch
/// and count as an attempt. Nothing was written, so the batch must use another connection, even if the query is
/// at-most-once and only one attempt is allowed.
#[rstest]
fn a_batch_uses_another_connection_when_an_idle_one_closes() {
    run_test(async {
        let one_attempt = |config: &mut Value| config["settings"]["Limits"]["MaxAttempts"] = json!(1);
        let mut cluster = TestCluster::start_with(1, one_attempt, |_| ()).await;
        for round in 0..5 {
            let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
            let (_, connection, _) = cluster.next_batch_skipping_events().await;
            cluster.nodes[0].respond(connection, "a.3", 'S', "v").await;
            assert_eq!(client.reply_status().await, 200, "round {round}");
            wait_until(|| cluster.broker.engine.in_flight_count() == 0).await;
            sleep_ms(20).await; // turns are 5 ms apart, so the next one runs at once
            // The kernel has received the close, but the broker has not read it yet.
            cluster.nodes[0].close(connection);
            let accepted =
                cluster.broker.engine.submit(engine_query("once", 2, Bytes::from_static(b"q"))).unwrap();
            let outcome = actix_rt::spawn(accepted.outcome());
            let (_, connection, _) = cluster.next_batch_skipping_events().await;
            cluster.nodes[0].respond(connection, "once.3", 'S', "v").await;
            let outcome = within_timeout(outcome).await.unwrap();
            assert!(
                matches!(outcome, QueryOutcome::Response { complete: true, .. }),
                "round {round}: {outcome:?}"
            );
        }
    });
}

/// Returns a listener whose connections have small receive buffers.
fn listen_with_small_buffer() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(16).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpListener::from_std(socket.into()).unwrap()
}

/// Returns the ids of the queries whose batches are complete, and the bytes of the last, incomplete frame.
fn read_batch_ids(received: &[u8]) -> (Vec<String>, &[u8]) {
    let (mut ids, mut rest) = (Vec::new(), received);
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let Some((frame, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
            break;
        };
        if frame[0] == b'1' {
            let end = frame.iter().position(|byte| *byte == b'.').unwrap();
            ids.push(String::from_utf8(frame[1..end].to_vec()).unwrap());
        }
        rest = after;
    }
    (ids, rest)
}

/// Guards against executing a query that was rejected and may have been retried. A node stops reading in the middle
/// of a frame, and continues after the attempt's write deadline. The connection must be closed with the frame
/// incomplete.
#[rstest]
fn a_partly_written_frame_is_never_completed_after_its_deadline() {
    run_test(async {
        let node = listen_with_small_buffer();
        let address = node.local_addr().unwrap();
        let use_listener = |config: &mut Value| {
            config["known"]["members"][0]["host_port"] = json!(address.to_string());
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(300.0);
            config["settings"]["Limits"]["MaxOpen"] = json!(100_000);
            config["settings"]["Limits"]["StreamsPerConn"] = json!(10_000);
        };
        let cluster = TestCluster::start_with(1, use_listener, |_| ()).await;
        let text = Bytes::from(vec![b'q'; 50_000]);
        let mut outcomes = Vec::new();
        let sent = Instant::now();
        for number in 0..200 {
            let id: &'static str = format!("q{number}").leak();
            let query = cluster.broker.engine.submit(engine_query(id, 2, text.clone())).unwrap();
            outcomes.push((id, actix_rt::spawn(query.outcome())));
        }
        let (mut connection, _) = within_timeout(node.accept()).await.unwrap();
        // The first frame is complete and never answered, so the end of its query shows that the connection was
        // closed. Until then the node has read nothing.
        let (_, outcome) = outcomes.remove(0);
        let outcome = within_timeout(outcome).await.unwrap();
        assert!(matches!(outcome, QueryOutcome::Failed), "{outcome:?}");
        assert!(
            sent.elapsed() < Duration::from_secs(3),
            "the write deadline of 0.3 s took effect only after {:?}",
            sent.elapsed()
        );
        let (mut received, mut rejected) = (Vec::new(), Vec::new());
        let _ = within_timeout(connection.read_to_end(&mut received)).await;
        for (id, outcome) in outcomes {
            match within_timeout(outcome).await.unwrap() {
                QueryOutcome::Rejected { .. } => rejected.push(id),
                QueryOutcome::Failed => {}
                other => panic!("{id}: {other:?}"),
            }
        }
        let (complete_ids, rest) = read_batch_ids(&received);
        assert!(!rest.is_empty(), "the last frame was completed after its deadline");
        assert!(
            rejected.iter().all(|id| !complete_ids.contains(&(*id).to_owned())),
            "a rejected query was sent to the node"
        );
    });
}
