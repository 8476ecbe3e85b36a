//! Races between requests to discovery: failures at the same time as responses, resets, and unanswered requests.
//! Each order is forced: the bytes and closes of the agent are in the kernel's buffers before the broker is polled
//! again. `docs/acceptance.md` lists these tests.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Guards against sending to a draining node at startup. A process starts with a cached list, and its local agent
/// does not answer at first. The broker counts as notified of the agent's state from the start, so a node in the
/// cached list may be draining. No shard request may be sent before the agent's list has arrived.
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
        let _client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        wait_until(|| cluster.broker.engine.open_queries() == 1).await;
        // The first request is never answered; the second one is.
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

/// Guards against exceeding the drain grace period. Several requests wait at an agent, and one fails just as
/// another is answered. The answer must be used at once, not only with the next request.
#[rstest]
#[case::fails_first(true)]
#[case::answered_first(false)]
fn a_response_is_used_at_once_while_another_request_fails(#[case] fails_first: bool) {
    run_test(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = agent.local_addr().unwrap();
        let interval = Duration::from_secs(3);
        let set_timeouts = move |startup: &mut StartupConfig| {
            (
                startup.discovery,
                startup.limits.discovery.list_retry_interval,
                startup.limits.discovery.list_timeout,
            ) = (address, interval, 3 * interval);
        };
        let cluster = TestCluster::start_with(1, use_local_agent, set_timeouts).await;
        let body = snapshot(2, &[member(&cluster.nodes, 0, "ready")]).to_string();
        let (mut first, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(first.read(&mut [0; 4096])).await.unwrap();
        let (mut second, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(second.read(&mut [0; 4096])).await.unwrap();
        let answered_at = Instant::now();
        let response = http_response(&body);
        SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        // The broker is not polled between the two, so both reach the kernel in this order before the broker reads
        // either.
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
        assert!(answered_at.elapsed() < interval, "the response was used only after the next request");
    });
}

/// Guards against using a truncated list, which would remove nodes that still exist. Responses end early, are
/// reset, or are too long. None of them may be used, and the list must be requested again. Only without a length
/// does the end of the connection end a response, and a reset never does.
#[rstest]
#[case::no_length_and_a_reset("HTTP/1.1 200 OK\r\n\r\n", "", true, false)]
#[case::no_length_and_an_end("HTTP/1.1 200 OK\r\n\r\n", "", false, true)]
#[case::a_length_and_a_reset("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "", true, false)]
#[case::truncated_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n", "", false, false)]
#[case::too_long("HTTP/1.1 200 OK\r\n\r\n", &" ".repeat(2_100_000), false, false)]
#[case::indented("HTTP/1.1 200 OK\r\n\r\n", "\r\n    \t", false, true)]
fn uses_only_complete_responses(
    #[case] head: &str,
    #[case] padding: &str,
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
        let written = first.write_all(format!("{head}{padding}{body}").as_bytes()).await;
        // Writing may fail only for the response that is too long, because the broker may already have closed the
        // connection.
        assert!(written.is_ok() || padding.len() > 1_000_000);
        if is_reset {
            SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(first);
        if is_used {
            wait_until(|| cluster.broker.engine.can_serve()).await;
            return;
        }
        // The broker sends another request and has used nothing of the previous response.
        let (mut second, _) = within_timeout(agent.accept()).await.unwrap();
        within_timeout(second.read(&mut [0; 4096])).await.unwrap();
        assert!(!cluster.broker.engine.can_serve());
        write_http_response(&mut second, &body).await;
        wait_until(|| cluster.broker.engine.can_serve()).await;
    });
}

/// A watch is reset repeatedly. The broker counts as notified of a change some seconds after its watch fell silent,
/// so the watch must be reopened sooner than that, even if the settings allow an older list.
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
        let started_at = Instant::now();
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
        // Each watch is reopened within half a second of the reset; by the 50 s of the settings each would take
        // some seconds.
        assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    });
}
