//! Steps of the wall clock while the program runs. Nodes publish their start times by the wall clock, so a step
//! must not change the warm-up state that the broker assumes for a node.

use super::system_faults::{Setting, SystemFaults};
use super::test_peers::*;
use node_emulator::{NodeServer, NodeSpec};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// The processing time of a shard request at a node.
const WORK: Duration = Duration::from_millis(50);
const CLIENTS: usize = 8;
const WINDOW: Duration = Duration::from_secs(1);

fn start_node() -> NodeServer {
    NodeServer::start(NodeSpec { cores: 16, ..NodeSpec::default() }, |_, _| WORK.as_micros() as u64).unwrap()
}

fn wall_clock_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Sends queries one after another until `end`.
async fn send_queries(broker: SocketAddr, client_number: usize, end: Instant) {
    let mut client = Client::connect(broker).await;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{client_number}x{number}");
        client.write(&query_request(&id, "lookup", 10_000, &body(ONE_SHARD))).await;
        assert_eq!(client.reply_status().await, 200, "{id}");
    }
}

async fn send_traffic(broker: SocketAddr, first_client: usize, duration: Duration) {
    let end = Instant::now() + duration;
    let clients = (first_client..first_client + CLIENTS).map(|number| send_queries(broker, number, end));
    futures_util::future::join_all(clients).await;
}

/// Returns the number of shard requests that the node received within [`WINDOW`] after the first one.
fn count_received_in_first_window(node: &NodeServer) -> usize {
    let received = node.received();
    let end = received.first().map(|first| first.at.0 + WINDOW.as_micros() as i64 / 100);
    received.iter().filter(|request| Some(request.at.0) <= end).count()
}

/// A broker process with one warm node, whose wall clock is then stepped, and a second node that starts after the
/// step.
struct SteppedBroker {
    process: Process,
    nodes: [NodeServer; 2],
    _discovery: Discovery,
    _faults: SystemFaults,
    _config: tempfile::NamedTempFile,
}

async fn start_and_step(step_ms: i64, warm_up_ms: f64) -> SteppedBroker {
    let nodes = [start_node(), start_node()];
    let mut discovery = Discovery::start().await;
    let entry = |index: usize, up_since_ms: i64| {
        json!({"id": format!("s-{index}"), "host_port": nodes[index].address.to_string(), "locality": "hall",
            "flavor": "std", "cell": index, "phase": "ready", "size": 1.0, "up_since_ms": up_since_ms})
    };
    let mut text = config(&[], &discovery.address().to_string());
    text["settings"]["Domain"]["Cells"] = json!(2);
    text["settings"]["Domain"]["Reach"] = json!(2);
    text["settings"]["Rules"]["WarmUpMs"] = json!(warm_up_ms);
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text.to_string()).unwrap();
    let faults = SystemFaults::new(1);
    let process = Process::start_with_faults(file.path(), &discovery.address().to_string(), &faults);
    assert_eq!(discovery.next_request().await, "/catalog/members");
    discovery.reply(snapshot(1, &[entry(0, 0)]));
    assert_eq!(discovery.next_request().await, "/catalog/members?after=1&wait_ms=4000");
    // The broker measures latencies before the cold node starts.
    send_traffic(process.listen_address, 0, WINDOW).await;
    faults.set(Setting::ClockStepMs, step_ms);
    let started = entry(1, wall_clock_ms() + step_ms);
    discovery.reply(json!({"revision": 2, "complete": false, "members": [started]}));
    // The next watch shows that the list is in use; a watch that timed out may come before it.
    within_timeout(async {
        while discovery.next_request().await != "/catalog/members?after=2&wait_ms=4000" {}
    })
    .await;
    SteppedBroker { process, nodes, _discovery: discovery, _faults: faults, _config: file }
}

/// Guards against treating a cold node as warm, which would give it a full share of the traffic and make it
/// collapse. The wall clock is stepped back by an hour before the node starts, so by the broker's own count the
/// start time lies an hour in the past. In its first window the node must receive no more than the settings allow a
/// warming node: 3 times a fifth of the window, in shard requests of mean work.
#[rstest]
fn a_cold_node_stays_cold_when_the_clock_is_stepped_back() {
    run_test(async {
        let stepped = start_and_step(-HOUR_MS, 17_000.0).await;
        send_traffic(stepped.process.listen_address, CLIENTS, 2 * WINDOW).await;
        let allowed = 3.0 * 0.2 * WINDOW.as_secs_f64() / WORK.as_secs_f64();
        let bound = allowed + 3.0 * (allowed + 3.0).sqrt();
        let received = count_received_in_first_window(&stepped.nodes[1]);
        assert!(
            received as f64 <= bound,
            "the cold node received {received} shard requests in its first second, at most {bound} are allowed"
        );
        assert!(received > 0);
    });
}

/// Guards against treating a node as not yet started, which would leave it unused for an hour. The wall clock is
/// stepped forward by an hour before the node starts, so the start time lies an hour ahead. The node must get its
/// share of the traffic once its warm-up is over.
#[rstest]
fn a_node_warms_up_when_the_clock_is_stepped_forward() {
    run_test(async {
        let stepped = start_and_step(HOUR_MS, 1500.0).await;
        send_traffic(stepped.process.listen_address, CLIENTS, 2 * WINDOW).await;
        let before = stepped.nodes.each_ref().map(|node| node.received().len());
        send_traffic(stepped.process.listen_address, 2 * CLIENTS, WINDOW).await;
        let [warm, new] = [0, 1].map(|index| stepped.nodes[index].received().len() - before[index]);
        assert!(
            4 * new >= warm + new,
            "the new node received {new} of {} shard requests after its warm-up",
            warm + new
        );
    });
}
