//! The memory of a broker process under clients that send or hold as much as they can.

use super::test_cluster_process::ClusterProcess;
use super::test_peers::*;
use node_emulator::HttpClient;
use rstest::rstest;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

const MEMORY_MB: usize = 32;
const SOCKETS: usize = 512;
/// A third of the descriptors, the most that clients may hold.
const CLIENTS: usize = SOCKETS / 3;
const DURATION: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const MAX_KIB: usize = MEMORY_MB * 1024;
/// The length of the text of a long query, and of a long value.
const QUERY_BYTES: usize = 60_000;
const VALUE_BYTES: usize = 50_000;

/// What a bad client sends on each connection.
#[derive(Clone)]
struct BadRequest {
    /// The bytes that are sent first.
    start: Vec<u8>,
    /// The bytes that are then sent again and again, until the connection ends.
    repeated: Vec<u8>,
}

impl BadRequest {
    fn new(start: String, repeated: String) -> BadRequest {
        BadRequest { start: start.into_bytes(), repeated: repeated.into_bytes() }
    }
}

/// Returns the head of a query without its last line end.
fn query_head(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: lookup\r\nX-Time-Left-Ms: 3000\r\n"
    )
}

/// A body in chunks of this length that never ends.
fn endless_chunks(chunk_bytes: usize) -> BadRequest {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "y".repeat(chunk_bytes));
    let chunks = chunk.repeat(32_768 / chunk.len() + 1);
    BadRequest::new(format!("{}Transfer-Encoding: chunked\r\n\r\n", query_head("c")), chunks)
}

/// A body that lacks its last byte.
fn incomplete_body() -> BadRequest {
    let head = format!("{}Content-Length: 65000\r\n\r\n", query_head("b"));
    BadRequest::new(head + &"y".repeat(64_999), String::new())
}

/// A long head of as many headers as the HTTP library accepts, without its end.
fn incomplete_long_head() -> BadRequest {
    let headers: String = (0..90).map(|number| format!("X-{number}: {}\r\n", "z".repeat(160))).collect();
    BadRequest::new(query_head("h") + &headers, String::new())
}

/// Requests with many headers that are sent without waiting for responses.
fn pipelined_requests() -> BadRequest {
    let headers: String = (0..90).map(|number| format!("{number}:\r\n")).collect();
    let request = format!("GET /_health HTTP/1.1\r\nHost:x\r\n{headers}\r\n");
    BadRequest::new(String::new(), request.repeat(40))
}

/// Sends a bad request and reads what is sent back, again and again.
async fn send_bad_requests(address: SocketAddr, request: BadRequest) {
    loop {
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep_ms(20).await;
            continue;
        };
        let (mut reader, mut writer) = stream.into_split();
        let writing = async {
            writer.write_all(&request.start).await?;
            while !request.repeated.is_empty() {
                writer.write_all(&request.repeated).await?;
            }
            std::future::pending::<std::io::Result<()>>().await
        };
        let reading = async {
            let mut buffer = [0; 4096];
            while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        };
        tokio::select! {
            _ = writing => {}
            () = reading => {}
        }
    }
}

/// Samples the memory of a process until it is stopped, and returns the peak in KiB.
pub struct PeakMemory {
    sampler: JoinHandle<()>,
    peak_kib: Rc<Cell<usize>>,
}

impl PeakMemory {
    pub fn sample(process_id: u32) -> PeakMemory {
        let peak_kib = Rc::new(Cell::new(0));
        let peak = peak_kib.clone();
        let sampler = spawn_local(async move {
            loop {
                peak.set(peak.get().max(resident_kib(process_id)));
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        PeakMemory { sampler, peak_kib }
    }

    pub fn stop(self) -> usize {
        self.sampler.abort();
        self.peak_kib.get()
    }
}

fn resident_kib(process_id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    resident.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn limit_memory(config: &mut serde_json::Value) {
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
}

/// Guards against a broker that the platform kills for memory (review/2): bodies in chunks were read into buffers that
/// no limit counted. As many bad clients as may connect must not take the process over its memory, and the usual
/// queries beside and after them must be served.
#[rstest]
#[case::chunks(endless_chunks(700))]
#[case::long_chunks(endless_chunks(40_000))]
#[case::tiny_chunks(endless_chunks(1))]
#[case::incomplete_body(incomplete_body())]
#[case::incomplete_long_head(incomplete_long_head())]
#[case::pipelined_requests(pipelined_requests())]
fn bad_clients_stay_within_the_memory(#[case] request: BadRequest) {
    run_test(async {
        let cluster = ClusterProcess::start(2, limit_memory).await;
        cluster.process.discard_log();
        let peak = PeakMemory::sample(cluster.process.id());
        let address = cluster.process.listen_address;
        let clients: Vec<JoinHandle<()>> =
            (0..CLIENTS).map(|_| spawn_local(send_bad_requests(address, request.clone()))).collect();
        let outcomes = cluster.query_for("beside", DURATION).await;
        clients.iter().for_each(JoinHandle::abort);
        let peak_kib = peak.stop();
        assert!(peak_kib < MAX_KIB, "the broker held {peak_kib} KiB of {MAX_KIB}");
        assert_eq!((outcomes.failed, outcomes.lost), (0, 0), "{outcomes:?}");
        let served = within_timeout(async {
            while cluster.query("after").await.is_none_or(|response| response.status != 200) {
                sleep_ms(20).await;
            }
        });
        served.await;
    });
}

/// Sends queries one after the other on one connection, and counts those that were served.
async fn send_long_queries(address: SocketAddr, number: usize, served: &Cell<usize>) {
    let Ok(mut client) = HttpClient::connect(address).await else { return };
    let body = node_emulator::query_body(ONE_SHARD, &"q".repeat(QUERY_BYTES));
    for count in 0.. {
        let request = query_request(&format!("{number}-{count}"), "lookup", 30_000, &body);
        if client.write(&request).await.is_err() {
            return;
        }
        let Some(response) = client.read_response().await else { return };
        served.set(served.get() + usize::from(response.status == 200));
    }
}

/// Responds to every shard request with a long value.
async fn respond_with_long_values(
    nodes: Vec<ScriptedNode>,
    mut events: mpsc::UnboundedReceiver<ReceivedEvent>,
) {
    let value = "v".repeat(VALUE_BYTES);
    while let Some(ReceivedEvent { node, connection, event }) = events.recv().await {
        let PeerEvent::Batch(shard_requests) = event else { continue };
        for shard_request in shard_requests {
            nodes[node].respond(connection, &shard_request.id, 'S', &value).await;
        }
    }
}

/// Guards against the same fault where usual clients alone cause it: kept connections on which long queries were sent
/// and long values received, whose buffers were not counted.
#[rstest]
fn usual_clients_with_long_queries_and_values_stay_within_the_memory() {
    run_test(async {
        let (sender, events) = mpsc::unbounded_channel();
        let nodes = vec![
            ScriptedNode::start(0, sender.clone()).await.unwrap(),
            ScriptedNode::start(1, sender).await.unwrap(),
        ];
        let cluster = ClusterProcess::start_among(&[nodes[0].address, nodes[1].address], limit_memory).await;
        cluster.process.discard_log();
        let responder = spawn_local(respond_with_long_values(nodes, events));
        let peak = PeakMemory::sample(cluster.process.id());
        let (address, served) = (cluster.process.listen_address, Rc::new(Cell::new(0)));
        let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
            .map(|number| {
                let served = served.clone();
                spawn_local(async move { send_long_queries(address, number, &served).await })
            })
            .collect();
        tokio::time::sleep(DURATION).await;
        clients.iter().for_each(JoinHandle::abort);
        let peak_kib = peak.stop();
        responder.abort();
        assert!(peak_kib < MAX_KIB, "the broker held {peak_kib} KiB of {MAX_KIB}");
        assert!(served.get() > CLIENTS, "{} queries were served", served.get());
    });
}
