//! Graceful shutdown: every accepted query has one response, and the process exits before SIGKILL may follow.

use super::test_peers::*;
use rstest::rstest;
use std::io::{Read, Write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// SIGTERM comes while a query is open, and clients that do not know of it still connect. Closing at once would
/// show as resets. New connections must be served for the accept period, idle ones closed, and all accepted
/// queries answered on connections that then close.
#[rstest]
fn answers_accepted_queries_before_it_shuts_down() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut idle = cluster.client().await;
        let mut before = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        let listens = cluster.broker.listen_address;
        let TestCluster { broker, nodes, mut events, .. } = cluster;
        let shutdown = actix_rt::spawn(broker.shut_down());
        sleep_ms(50).await;
        let mut during = Client::connect(listens).await;
        during.write(&query_request("b", "lookup", 10_000, &body(ONE_SHARD))).await;
        assert!(matches!(
            within_timeout(events.recv()).await,
            Some(ReceivedEvent { node: 0, event: PeerEvent::Batch(_), .. })
        ));
        assert!(idle.reply().await.is_none(), "idle connections are closed");
        assert!(!shutdown.is_finished());
        nodes[0].respond(connection, "a.3", 'S', "one").await;
        nodes[0].respond(connection, "b.3", 'S', "two").await;
        for (client, value) in [(&mut before, "one"), (&mut during, "two")] {
            let reply = client.reply().await.unwrap();
            assert!(reply.body.contains(value) && reply.head.contains("connection: close"), "{reply:?}");
        }
        within_timeout(shutdown).await.unwrap();
        assert!(TcpStream::connect(listens).await.is_err());
    });
}

/// A client has sent bytes behind its last request when the process ends. Closing over unread bytes resets the
/// connection, and the reset may destroy the response. The client must read its whole response, and then the
/// end of the connection.
#[rstest]
fn does_not_reset_a_connection_after_its_last_response() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = TcpStream::connect(cluster.broker.listen_address).await.unwrap();
        client.write_all(query_request("a", "lookup", 100_000, &body(ONE_SHARD)).as_bytes()).await.unwrap();
        let (_, connection, _) = cluster.next_batch().await;
        client.write_all(&vec![b'x'; 100_000]).await.unwrap();
        let listens = cluster.broker.listen_address;
        let shutdown = actix_rt::spawn(cluster.broker.shut_down());
        // The server closes once the listener is gone.
        within_timeout(async { while TcpStream::connect(listens).await.is_ok() {} }).await;
        cluster.nodes[0].respond(connection, "a.3", 'S', "the value").await;
        let text = read_to_end(client).await;
        assert!(text.starts_with("HTTP/1.1 200") && text.contains("the value"), "{text}");
        within_timeout(shutdown).await.unwrap();
    });
}

/// A node hangs and discovery is down when SIGTERM comes, followed by SIGHUP and a second SIGTERM. Waiting for
/// the node would end in a SIGKILL with a query unanswered. The open query must get its one response (502)
/// before the kill, the log must say so, and the exit code must be 0.
#[rstest]
fn shuts_down_before_the_kill_though_a_node_hangs() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await; // its peers serve the process
        let file = std::env::temp_dir().join(format!("shard-broker-shutdown-{}.json", std::process::id()));
        let nowhere = "127.0.0.1:9";
        std::fs::write(&file, config(&cluster.nodes, nowhere).to_string()).unwrap();
        let mut process = Process::start(&file, nowhere);
        let mut client = Client::connect(process.listens).await;
        client.write(&query_request("a", "once", 100_000, &body(ONE_SHARD))).await;
        cluster.next_batch().await;
        for signal in ["TERM", "HUP", "TERM"] {
            process.signal(signal);
        }
        process.wait_for_log("shutting down open_queries=1");
        let reply = client.reply().await.unwrap();
        assert_eq!(reply.status, 502);
        process.wait_for_log("queries failed at the shutdown deadline failed_queries=1");
        process.wait_for_log("shut down");
        assert_eq!(process.exit(), Some(0));
        std::fs::remove_file(&file).unwrap();
    });
}

/// A request arrives on an idle connection in the moment of SIGTERM. Closing that connection as idle would show
/// as a reset. The request must be answered, and the connection closed after that.
#[rstest]
fn answers_a_request_that_arrives_with_the_shutdown_signal() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let file = std::env::temp_dir().join(format!("shard-broker-signal-{}.json", std::process::id()));
        std::fs::write(&file, config(&cluster.nodes, "127.0.0.1:9").to_string()).unwrap();
        let mut process = Process::start(&file, "127.0.0.1:9");
        let mut client = std::net::TcpStream::connect(process.listens).unwrap();
        client.write_all(HEALTH_REQUEST.as_bytes()).unwrap();
        assert!(client.read(&mut [0; 1024]).unwrap() > 0);
        process.signal("TERM");
        client.write_all(query_request("a", "once", 100_000, &body(ONE_SHARD)).as_bytes()).unwrap();
        let (_, connection, _) = cluster.next_batch().await;
        cluster.nodes[0].respond(connection, "a.3", 'S', "the value").await;
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let mut buffer = vec![0; 1024];
        let count = within_timeout(client.read(&mut buffer)).await.unwrap();
        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
        assert!(text.contains("the value"), "{text}");
        process.wait_for_log("shut down");
        assert_eq!(process.exit(), Some(0));
        std::fs::remove_file(&file).unwrap();
    });
}
