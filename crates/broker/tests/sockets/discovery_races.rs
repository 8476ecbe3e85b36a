//! Races between requests to discovery: failures beside responses, resets, and silence. Each order is forced:
//! what the agent does is in the system's buffers before the broker is polled again. `docs/acceptance.md` lists
//! them.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A process starts with a cached list, and its local agent does not answer at first. What the agent knows
/// counts as known to the broker from the start, so a node in the cached list may be draining. No shard request
/// may be sent before the agent's list has come.
#[rstest]
fn sends_nothing_before_the_agent_answers() {
    run_test(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = agent.local_addr().unwrap();
        let mut cluster =
            TestCluster::start_with(2, use_local_agent, |startup| startup.discovery = address).await;
        let mut client = cluster.client().await;
        client.write(HEALTH_REQUEST).await;
        assert_eq!(client.reply_status().await, 503);
        let _waits = cluster.send_query("a", "lookup", ONE_SHARD).await;
        wait_until(|| cluster.broker.engine.open_queries() == 1).await;
        // The first call is on a connection that stays silent; the second is answered.
        let (_silent, _) = within_timeout(agent.accept()).await.unwrap();
        let (mut second, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(second.read(&mut [0; 4096])).await.unwrap();
        assert!(cluster.has_no_event());
        let members = [member(&cluster.nodes, 0, "draining"), member(&cluster.nodes, 1, "ready")];
        write_http_response(&mut second, &snapshot(2, &members).to_string()).await;
        let (node, _, shard_requests) = cluster.next_batch().await;
        assert_eq!((node, &shard_requests[0].id[..]), (1, "a.3"));
        client.write(HEALTH_REQUEST).await;
        assert_eq!(client.reply_status().await, 200);
    });
}

async fn write_http_response(stream: &mut TcpStream, body: &str) {
    stream.write_all(http_response(body).as_bytes()).await.unwrap();
}

fn http_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Several requests wait at an agent. One fails in the moment in which another is answered. If the answer were
/// only seen with the next request, the drain grace might be over. It must be used at once.
#[rstest]
#[case::fails_first(true)]
#[case::answered_first(false)]
fn a_response_beside_a_failing_call_is_used_at_once(#[case] fails_first: bool) {
    run_test(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = agent.local_addr().unwrap();
        let interval = Duration::from_secs(3);
        let waits = move |startup: &mut StartupConfig| {
            (
                startup.discovery,
                startup.limits.discovery.list_retry_interval,
                startup.limits.discovery.list_timeout,
            ) = (address, interval, 3 * interval);
        };
        let cluster = TestCluster::start_with(1, use_local_agent, waits).await;
        let body = snapshot(2, &[member(&cluster.nodes, 0, "ready")]).to_string();
        let (mut first, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(first.read(&mut [0; 4096])).await.unwrap();
        let (mut second, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(second.read(&mut [0; 4096])).await.unwrap();
        let called = Instant::now();
        let response = http_response(&body);
        SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        // Both are written with no turn of the broker's between, one before the other in the system.
        match fails_first {
            true => {
                drop(first);
                second.try_write(response.as_bytes()).unwrap();
            }
            false => {
                second.try_write(response.as_bytes()).unwrap();
                drop(first);
            }
        }
        wait_until(|| cluster.broker.engine.can_serve()).await;
        assert!(called.elapsed() < interval, "only with the next call");
    });
}

/// Responses break off, are reset, or are too long. Taken as complete, a cut list would remove nodes that are
/// there. None of it may be used, and the list must be requested again; only without a length does the end of
/// the connection end a response, and a reset never does.
#[rstest]
#[case::no_length_and_a_reset("HTTP/1.1 200 OK\r\n\r\n", "", true, false)]
#[case::no_length_and_an_end("HTTP/1.1 200 OK\r\n\r\n", "", false, true)]
#[case::a_length_and_a_reset("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "", true, false)]
#[case::chunks_that_break_off("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n", "", false, false)]
#[case::too_long("HTTP/1.1 200 OK\r\n\r\n", &" ".repeat(2_100_000), false, false)]
#[case::indented("HTTP/1.1 200 OK\r\n\r\n", "\r\n    \t", false, true)]
fn a_reset_does_not_end_a_response(
    #[case] head: &str,
    #[case] before: &str,
    #[case] is_reset: bool,
    #[case] is_used: bool,
) {
    run_test(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = agent.local_addr().unwrap();
        let cluster =
            TestCluster::start_with(1, use_local_agent, |startup| startup.discovery = address).await;
        let (mut first, _) = within_timeout(agent.accept()).await.unwrap();
        let body = snapshot(2, &[member(&cluster.nodes, 0, "ready")]).to_string();
        within_timeout(first.read(&mut [0; 4096])).await.unwrap();
        let written = first.write_all(format!("{head}{before}{body}").as_bytes()).await;
        // Only one that is too long may find its reader gone.
        assert!(written.is_ok() || before.len() > 1_000_000);
        if is_reset {
            SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(first);
        if is_used {
            wait_until(|| cluster.broker.engine.can_serve()).await;
            return;
        }
        // The next call comes, and nothing was used of the response before.
        let (mut second, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(second.read(&mut [0; 4096])).await.unwrap();
        assert!(!cluster.broker.engine.can_serve());
        write_http_response(&mut second, &body).await;
        wait_until(|| cluster.broker.engine.can_serve()).await;
    });
}

/// A watch is reset again and again. What a silent watch misses counts as notified after some seconds, so it
/// must be reopened sooner than that, also where the settings would allow an older list.
#[rstest]
#[case("subscribe")]
#[case("automatic")]
fn reopens_a_watch_that_was_reset(#[case] mode: &str) {
    run_test(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = agent.local_addr().unwrap();
        let settings = |config: &mut Value| config["settings"]["RegistryMode"] = json!(mode);
        let cluster = TestCluster::start_with(1, settings, |startup| startup.discovery = address).await;
        let body = snapshot(2, &[member(&cluster.nodes, 0, "ready")]).to_string();
        let mut resets = 0;
        let began = Instant::now();
        while resets < 4 {
            let (mut call, _) = within_timeout(agent.accept()).await.unwrap();
            let mut head = [0; 4096];
            while let Ok(count @ 1..) = within_timeout(call.read(&mut head)).await {
                if !head[..count].starts_with(b"GET /catalog/members HTTP") {
                    SockRef::from(&call).set_linger(Some(Duration::ZERO)).unwrap();
                    resets += 1;
                    break;
                }
                write_http_response(&mut call, &body).await;
            }
        }
        // Each within half a second of the reset; by the settings' 50 s it would be some seconds each.
        assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    });
}
