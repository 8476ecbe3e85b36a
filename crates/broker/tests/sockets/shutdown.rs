//! Graceful shutdown: every accepted query gets one response, and the process exits before SIGKILL may come.

use super::test_peers::*;
use rstest::rstest;
use std::io::{Read, Write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against resets at shutdown. SIGTERM comes while a query is open, and clients that are not aware of the
/// shutdown still connect. New connections must be served for the accept period, idle ones must be closed, and all
/// accepted queries must be answered on connections that then close.
#[rstest]
fn answers_accepted_queries_before_it_shuts_down() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut idle = cluster.client().await;
        let mut before = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        let listen_address = cluster.broker.listen_address;
        let TestCluster { broker, nodes, mut events, .. } = cluster;
        let shutdown = actix_rt::spawn(broker.shut_down());
        sleep_ms(50).await;
        let mut during = Client::connect(listen_address).await;
        during.write(&query_request("b", "lookup", 10_000, &body(ONE_SHARD))).await;
        assert!(matches!(
            within_timeout(events.recv()).await,
            Some(ReceivedEvent { node: 0, event: PeerEvent::Batch(_), .. })
        ));
        assert!(idle.reply().await.is_none(), "idle connection was not closed");
        assert!(!shutdown.is_finished());
        nodes[0].respond(connection, "a.3", 'S', "one").await;
        nodes[0].respond(connection, "b.3", 'S', "two").await;
        for (client, value) in [(&mut before, "one"), (&mut during, "two")] {
            let reply = client.reply().await.unwrap();
            assert!(reply.body.contains(value) && reply.head.contains("connection: close"), "{reply:?}");
        }
        within_timeout(shutdown).await.unwrap();
        assert!(TcpStream::connect(listen_address).await.is_err());
    });
}

/// Guards against closing a connection with unread bytes, which resets the connection and can destroy the response.
/// A client has sent bytes after its last request when the process ends. The client must read the whole response,
/// and then the end of the connection.
#[rstest]
fn does_not_reset_a_connection_after_its_last_response() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = TcpStream::connect(cluster.broker.listen_address).await.unwrap();
        client.write_all(query_request("a", "lookup", 100_000, &body(ONE_SHARD)).as_bytes()).await.unwrap();
        let (_, connection, _) = cluster.next_batch().await;
        client.write_all(&vec![b'x'; 100_000]).await.unwrap();
        let listen_address = cluster.broker.listen_address;
        let shutdown = actix_rt::spawn(cluster.broker.shut_down());
        // The server closes connections only after the listener is closed, which a failing connect shows.
        within_timeout(async { while TcpStream::connect(listen_address).await.is_ok() {} }).await;
        cluster.nodes[0].respond(connection, "a.3", 'S', "the value").await;
        let text = read_to_end(client).await;
        assert!(text.starts_with("HTTP/1.1 200") && text.contains("the value"), "{text}");
        within_timeout(shutdown).await.unwrap();
    });
}

/// Guards against waiting for a node that hangs until SIGKILL leaves a query unanswered. Discovery is down too, and
/// SIGHUP and a second SIGTERM follow the first. The open query must get its one response (502) before SIGKILL may
/// come, the log must report the failed query, and the exit code must be 0.
#[rstest]
fn shuts_down_before_sigkill_while_a_node_hangs() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await; // its nodes serve the process
        let config_path =
            std::env::temp_dir().join(format!("shard-broker-shutdown-{}.json", std::process::id()));
        let unreachable = "127.0.0.1:9";
        std::fs::write(&config_path, config(&cluster.nodes, unreachable).to_string()).unwrap();
        let mut process = Process::start(&config_path, unreachable);
        let mut client = Client::connect(process.listen_address).await;
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
        assert_eq!(process.wait(), Some(0));
        std::fs::remove_file(&config_path).unwrap();
    });
}

/// Guards against closing a connection as idle, and so resetting it, when a request arrives together with SIGTERM.
/// The request must be answered, and the connection closed after the response.
#[rstest]
fn answers_a_request_that_arrives_with_the_shutdown_signal() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let config_path =
            std::env::temp_dir().join(format!("shard-broker-signal-{}.json", std::process::id()));
        std::fs::write(&config_path, config(&cluster.nodes, "127.0.0.1:9").to_string()).unwrap();
        let mut process = Process::start(&config_path, "127.0.0.1:9");
        let mut client = std::net::TcpStream::connect(process.listen_address).unwrap();
        client.write_all(HEALTH_REQUEST.as_bytes()).unwrap();
        assert!(client.read(&mut [0; 1024]).unwrap() > 0);
        process.signal("TERM");
        client.write_all(query_request("a", "once", 100_000, &body(ONE_SHARD)).as_bytes()).unwrap();
        let (_, connection, _) = cluster.next_batch().await;
        cluster.nodes[0].respond(connection, "a.3", 'S', "the value").await;
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let mut buffer = vec![0; 1024];
        let bytes_read = within_timeout(client.read(&mut buffer)).await.unwrap();
        let text = String::from_utf8_lossy(&buffer[..bytes_read]).into_owned();
        assert!(text.contains("the value"), "{text}");
        process.wait_for_log("shut down");
        assert_eq!(process.wait(), Some(0));
        std::fs::remove_file(&config_path).unwrap();
    });
}
