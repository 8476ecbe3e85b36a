//! Clients that send much at once and leave: nothing may be sent for them afterwards.
//!
//! `DEPARTURE_SEEDS=1..100` runs other seeds than those of CI.

use super::test_peers::*;
use fastrand::Rng;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CI_SEEDS: Range<u64> = 1..17;
/// After a client's close, no attempt may begin later than this.
const MAX_DELAY: Duration = Duration::from_millis(150);
/// The time for which attempts are watched for after the close.
const WATCHED: Duration = Duration::from_millis(700);

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("DEPARTURE_SEEDS") else { return CI_SEEDS };
    let (start, end) = range.split_once("..").expect("DEPARTURE_SEEDS is `FIRST..END`");
    start.parse().unwrap()..end.parse().unwrap()
}

/// Guards against work for a client that has left (review/9): its close stands behind requests that nobody reads, so that
/// retries of its first request, or its further requests, are sent after it. Requests of any number and length are
/// sent at once before the close; nodes respond quickly, or with errors that are retried.
#[rstest]
fn nothing_is_sent_for_a_client_that_sent_much_and_left() {
    run_test(async {
        for seed in seeds() {
            println!("seed {seed}");
            play(seed).await;
        }
    });
}

async fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let allow_many = |config: &mut Value| {
        config["settings"]["Limits"]["MaxOpen"] = json!(1000);
        config["settings"]["Limits"]["MaxAttempts"] = json!(20);
    };
    let mut cluster = TestCluster::start_with(2, allow_many, |_| ()).await;
    let text_bytes = [10, 300, 5000, 20_000, 60_000][rng.usize(0..5)];
    let total_bytes = [30_000, 2_000_000, 3_000_000, 3_600_000][rng.usize(0..4)];
    let response_delay_ms = rng.u64(10..400);
    let result = if rng.u32(0..3) > 0 { 'E' } else { 'S' };
    let text = "y".repeat(text_bytes);
    let more_body = node_emulator::query_body(ONE_SHARD, &text);
    let requests = total_bytes / (more_body.len() + 120) + 1;
    let mut input = vec![query_request("first", "lookup", 4000, &body(TWO_SHARDS))];
    input.extend(
        (0..requests).map(|number| query_request(&format!("more{number}"), "lookup", 4000, &more_body)),
    );
    let closed = send_and_close(cluster.broker.listen_address, input).await;
    let (mut late, mut unanswered) = (Vec::new(), Vec::new());
    while closed.elapsed() < WATCHED {
        respond_to_due(&cluster, &mut unanswered, result).await;
        let event = tokio::time::timeout(Duration::from_millis(5), cluster.events.recv()).await;
        let Ok(Some(ReceivedEvent { node, connection, event: PeerEvent::Batch(requests) })) = event else {
            continue;
        };
        let after = closed.elapsed();
        for request in requests {
            if after > MAX_DELAY {
                late.push((request.id.clone(), after));
            }
            let due = Instant::now() + Duration::from_millis(response_delay_ms);
            unanswered.push(Unanswered { due, node, connection, id: request.id });
        }
    }
    assert!(
        late.is_empty(),
        "seed {seed}, {requests} requests of {text_bytes} bytes, `{result}` after {response_delay_ms} ms: {late:?}"
    );
}

/// A shard request that a node answers when it is due.
struct Unanswered {
    due: Instant,
    node: usize,
    connection: usize,
    id: String,
}

/// Responds to the shard requests that are due.
async fn respond_to_due(cluster: &TestCluster, unanswered: &mut Vec<Unanswered>, result: char) {
    let now = Instant::now();
    for request in unanswered.extract_if(.., |request| request.due <= now) {
        cluster.nodes[request.node].respond(request.connection, &request.id, result, "v").await;
    }
}

/// Writes all requests at once from another thread, and closes the connection. Returns the time of the close.
async fn send_and_close(address: SocketAddr, input: Vec<String>) -> Instant {
    let sending = tokio::task::spawn_blocking(move || {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.set_nodelay(true).unwrap();
        client.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
        // Each request is a segment of its own, which takes more of the receive buffer than its length.
        let _ = input.iter().try_for_each(|request| client.write_all(request.as_bytes()));
        drop(client);
        Instant::now()
    });
    sending.await.unwrap()
}

/// A client that sends without end behind its request hides its close for good, so its request must be failed in the time
/// that bad clients have, and nothing more may be sent for it.
#[rstest]
fn a_request_with_endless_input_behind_it_is_failed() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let (mut reader, mut writer) =
            TcpStream::connect(cluster.broker.listen_address).await.unwrap().into_split();
        writer.write_all(query_request("a", "once", 60_000, &body(ONE_SHARD)).as_bytes()).await.unwrap();
        cluster.next_batch().await;
        let sending = async {
            while writer.write_all(&[b'y'; 100_000]).await.is_ok() {}
            std::future::pending::<()>().await;
        };
        let mut response = [0; 12];
        let receiving = async { reader.read_exact(&mut response).await.map(|_| ()) };
        let received = tokio::time::timeout(Duration::from_secs(3), async {
            tokio::select! {
                () = sending => unreachable!(),
                received = receiving => received,
            }
        });
        received.await.expect("no response within 3 s").unwrap();
        assert_eq!(&response, b"HTTP/1.1 502");
        wait_until(|| cluster.broker.engine.open_queries() == 0).await;
    });
}

/// Input behind a request that ends must not fail the request while its client stays.
#[rstest]
fn a_request_with_much_input_behind_it_is_answered() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        client.write(&"y".repeat(2_000_000)).await;
        sleep_ms(200).await; // longer than endless input is read for
        cluster.nodes[0].respond(connection, "a.3", 'S', "v").await;
        assert_eq!(client.reply_status().await, 200);
    });
}
