//! Outages of shared discovery and reloads in quick succession: the time until the broker has the list.

use super::test_peers::*;
use broker::StartupConfig;
use node_emulator::ScriptedDiscovery;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A change counts as notified at the latest this long after discovery could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The time that discovery takes to answer a request.
const RESPONSE_TIME: Duration = Duration::from_secs(1);
/// The time after a reload at which a change counts as notified.
const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The drain grace of the settings, which covers delays within the broker.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Guards against sending to a node that drains for longer than allowed (review/10): discovery recovers just after a
/// request that it never answers, and the next request comes too late. The time between two requests, and that of a
/// response, must stay within the time at which the broker counts as notified, however many requests have failed.
#[rstest]
fn asks_again_in_time_after_an_unanswered_request(#[values(700, 2000, 3000, 4000)] list_timeout_ms: u64) {
    run_test(async move {
        let mut brokers = Vec::new();
        for seed in 0..8 {
            brokers.push(spawn_local(longest_time_between_requests(seed, list_timeout_ms)));
        }
        for (seed, broker) in brokers.into_iter().enumerate() {
            let longest = broker.await.unwrap();
            assert!(
                longest + RESPONSE_TIME <= NOTIFIED_AFTER + DRAIN_GRACE,
                "seed {seed}: {longest:?} between two requests"
            );
        }
    });
}

/// Starts a broker whose discovery accepts every connection and answers nothing, and returns the longest time between
/// two of its requests.
async fn longest_time_between_requests(seed: u64, list_timeout_ms: u64) -> Duration {
    let discovery = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = discovery.local_addr().unwrap();
    let _cluster = TestCluster::start_with(
        1,
        |config| config["seed"] = json!(format!("{seed:016x}")),
        |startup: &mut StartupConfig| {
            startup.discovery = address;
            startup.limits.discovery.list_timeout = Duration::from_millis(list_timeout_ms);
        },
    )
    .await;
    let mut connections = Vec::new();
    let mut longest = Duration::ZERO;
    let mut last: Option<Instant> = None;
    // The delay doubles three times.
    for _ in 0..6 {
        connections.push(within_timeout(discovery.accept()).await.unwrap());
        let now = Instant::now();
        longest = longest.max(last.map_or(Duration::ZERO, |last| now - last));
        last = Some(now);
    }
    longest
}

/// Starts discovery that answers each request for the complete list after a delay, and no watch.
async fn start_slow_discovery(body: Rc<str>, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_slowly(stream, body.clone(), delay));
        }
    });
    address
}

async fn answer_slowly(mut stream: TcpStream, body: Rc<str>, delay: Duration) {
    let mut head = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut head).await {
        if head[..count].starts_with(b"GET /catalog/members HTTP") {
            tokio::time::sleep(delay).await;
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(response.as_bytes()).await;
        }
    }
}

/// Guards against sending to a node that drains for longer than allowed (review/8): reloads follow each other faster
/// than discovery answers, and each drops the request of the one before, so that no list is received until they end.
#[rstest]
#[case::shared_discovery("subscribe", 400, 300)]
#[case::much_slower_discovery("subscribe", 950, 200)]
#[case::local_agent("automatic", 700, 500)]
fn uses_lists_while_reloads_follow_each_other(
    #[case] mode: &str,
    #[case] response_ms: u64,
    #[case] reload_interval_ms: u64,
) {
    run_test(async move {
        let settings = |config: &mut Value| config["settings"]["RegistryMode"] = json!(mode);
        let cluster = TestCluster::start_with(2, settings, |_| ()).await;
        cluster
            .discovery
            .reply(snapshot(2, &[member(&cluster.nodes, 0, "ready"), member(&cluster.nodes, 1, "ready")]));
        wait_until(|| cluster.broker.engine.ready_nodes() == 2).await;
        let drained =
            snapshot(3, &[member(&cluster.nodes, 0, "draining"), member(&cluster.nodes, 1, "ready")]);
        let body: Rc<str> = drained.to_string().into();
        let started = Instant::now();
        while cluster.broker.engine.ready_nodes() == 2 {
            assert!(started.elapsed() < NOTIFIED_AFTER_RELOAD, "no list was used while reloads went on");
            let address = start_slow_discovery(body.clone(), Duration::from_millis(response_ms)).await;
            cluster.broker.discovery_address.send_replace(address);
            sleep_ms(reload_interval_ms).await;
        }
    });
}

/// A list that an earlier address of discovery sends late must not replace a newer one.
#[rstest]
fn an_older_list_from_an_earlier_address_is_not_used() {
    run_test(async {
        let cluster = TestCluster::start_with(2, |_| (), |_| ()).await;
        let members = [member(&cluster.nodes, 0, "ready"), member(&cluster.nodes, 1, "ready")];
        let mut first = ScriptedDiscovery::start().await.unwrap();
        let mut second = ScriptedDiscovery::start().await.unwrap();
        let mut third = ScriptedDiscovery::start().await.unwrap();
        for discovery in [&mut first, &mut second, &mut third] {
            cluster.broker.discovery_address.send_replace(discovery.address);
            within_timeout(discovery.next_request()).await.unwrap();
        }
        second.respond(snapshot(8, &members[..1]));
        wait_until(|| cluster.broker.engine.ready_nodes() == 1).await;
        first.respond(snapshot(7, &members));
        sleep_ms(200).await; // so that a wrong use would show
        assert_eq!(cluster.broker.engine.ready_nodes(), 1);
        // The current address is used whatever its revision is.
        third.respond(snapshot(3, &members));
        wait_until(|| cluster.broker.engine.ready_nodes() == 2).await;
    });
}
