//! Pictures that operators report: many clients that stop within large requests, and one client that sends at full speed.
//! Judged from outside: the memory of the process, and the answers to other clients.
//!
//! `HOSTILE_SEEDS=1..100` runs other seeds than those of CI.

use super::memory_limit::PeakMemory;
use super::test_cluster_process::ClusterProcess;
use super::test_peers::*;
use fastrand::Rng;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CI_SEEDS: Range<u64> = 1..4;
const DURATION: Duration = Duration::from_secs(2);
/// The time that usual clients wait for an answer.
const TIME_LEFT: Duration = Duration::from_millis(1000);
/// An answer that comes this long after the client's time is lost.
const LOST_AFTER: Duration = Duration::from_millis(550);
const USUAL_CLIENTS: usize = 4;
const PAUSE_MS: u64 = 30;
const KIB_PER_MB: usize = 1024;

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("HOSTILE_SEEDS") else { return CI_SEEDS };
    let (start, end) = range.split_once("..").expect("HOSTILE_SEEDS is `FIRST..END`");
    start.parse().unwrap()..end.parse().unwrap()
}

/// What usual clients got.
#[derive(Debug, Default)]
struct Answers {
    served: usize,
    rejected: usize,
    slowest: Duration,
    /// Requests without an answer, with another status, or that were answered too late.
    lost: Vec<String>,
}

/// Sends queries on new connections for a while, one after the other.
async fn send_usual_queries(cluster: &ClusterProcess, name: String) -> Answers {
    let (end, mut answers, mut number) = (Instant::now() + DURATION, Answers::default(), 0);
    while Instant::now() < end {
        number += 1;
        let id = format!("{name}x{number}");
        let time_left_ms = TIME_LEFT.as_millis() as u64;
        let sent = Instant::now();
        let response = cluster.request(&query_request(&id, "lookup", time_left_ms, &body(TWO_SHARDS))).await;
        let took = sent.elapsed();
        answers.slowest = answers.slowest.max(took);
        match response.map(|response| response.status) {
            Some(200) if took < TIME_LEFT + LOST_AFTER => answers.served += 1,
            Some(503) if took < TIME_LEFT + LOST_AFTER => answers.rejected += 1,
            status => answers.lost.push(format!("{id}: {status:?} after {took:?}")),
        }
        sleep_ms(PAUSE_MS).await;
    }
    answers
}

/// Runs usual clients for a while, and returns what all of them got.
async fn run_usual_clients(cluster: &ClusterProcess) -> Answers {
    let clients = (0..USUAL_CLIENTS).map(|client| send_usual_queries(cluster, format!("usual{client}")));
    join_all(clients).await.into_iter().fold(Answers::default(), |mut all, one| {
        all.served += one.served;
        all.rejected += one.rejected;
        all.slowest = all.slowest.max(one.slowest);
        all.lost.extend(one.lost);
        all
    })
}

/// Starts a broker with these resources, among nodes that respond.
async fn start_cluster(memory_mb: usize, sockets: usize) -> ClusterProcess {
    let cluster = ClusterProcess::start(2, |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets});
    })
    .await;
    cluster.process.discard_log();
    cluster
}

/// How a client of the first picture sends its request.
#[derive(Clone, Copy, Debug)]
enum SlowKind {
    /// It writes a large body in small pieces.
    Slowly,
    /// It stops within a large body.
    Stops,
    /// It sends a head of very many short fields, and stops before its end.
    ManyFields,
}

fn send_slowly(address: SocketAddr, kind: SlowKind, body_bytes: usize, number: usize) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let head =
        query_request(&format!("slow{number}"), "lookup", 3000, "").replace("Content-Length: 0\r\n\r\n", "");
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let start = match kind {
        SlowKind::ManyFields => head + &(0..90).map(|field| format!("{field}:\r\n")).collect::<String>(),
        SlowKind::Stops => {
            format!("{head}Content-Length: {body_bytes}\r\n\r\n{}", "y".repeat(body_bytes - 1))
        }
        SlowKind::Slowly => format!("{head}Content-Length: {body_bytes}\r\n\r\n"),
    };
    let _ = stream.write_all(start.as_bytes());
    let end = Instant::now() + DURATION;
    while Instant::now() < end {
        if matches!(kind, SlowKind::Slowly) && stream.write_all(&[b'y'; 600]).is_err() {
            return;
        }
        match stream.read(&mut [0; 256]) {
            Ok(1..) | Err(_) => {}
            Ok(0) => return,
        }
    }
}

/// Picture: hundreds of clients connect at once, and write slowly, stop within a large request, or send heads of very many
/// short fields; a process passed its memory limit. Clients hold a third of the descriptors at most.
#[rstest]
fn many_slow_clients_take_no_process_over_its_memory() {
    run_test(async {
        for seed in seeds() {
            let mut rng = Rng::with_seed(seed);
            let memory_mb = [32, 48, 64, 96][rng.usize(0..4)];
            let sockets = [512, 768, 1024][rng.usize(0..3)];
            let body_bytes = [20_000, 40_000, 65_000][rng.usize(0..3)];
            let cluster = start_cluster(memory_mb, sockets).await;
            let (peak, address) = (PeakMemory::sample(cluster.process.id()), cluster.process.listen_address);
            let kinds = [SlowKind::Slowly, SlowKind::Stops, SlowKind::ManyFields];
            let slow: Vec<JoinHandle<()>> = (0..sockets / 3 - 2 * USUAL_CLIENTS)
                .map(|number| {
                    let kind = kinds[rng.usize(0..kinds.len())];
                    std::thread::spawn(move || send_slowly(address, kind, body_bytes, number))
                })
                .collect();
            let answers = run_usual_clients(&cluster).await;
            let peak_kib = peak.stop();
            println!(
                "seed {seed}: {memory_mb} MB, {sockets} sockets, bodies of {body_bytes}: peak {peak_kib} KiB, {answers:?}"
            );
            assert!(peak_kib < memory_mb * KIB_PER_MB, "seed {seed}: the broker held {peak_kib} KiB");
            assert!(answers.lost.is_empty(), "seed {seed}: {answers:?}");
            slow.into_iter().for_each(|client| client.join().unwrap());
        }
    });
}

/// What the client of the second picture sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests for a path that does not exist.
    UnknownPath,
    /// Queries that can't be read.
    Unsound,
    /// Sound queries, each under a new id.
    NewIds,
    /// Readiness checks.
    Health,
}

impl Flood {
    fn request(self, number: usize) -> String {
        match self {
            Flood::UnknownPath => format!("GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n"),
            Flood::Unsound => query_request(&format!("bad{number}"), &format!("class{number}"), 900, "{}"),
            Flood::NewIds => query_request(&format!("new{number}"), "lookup", 900, &body(ONE_SHARD)),
            Flood::Health => HEALTH_REQUEST.to_owned(),
        }
    }
}

/// Sends requests at full speed on one connection, and on another when that ends, until it is stopped. Reads what is
/// sent back.
fn flood(address: SocketAddr, kind: Flood, batch: usize, is_stopped: &AtomicBool, sent: &AtomicUsize) {
    while !is_stopped.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
        let Ok(mut reader) = stream.try_clone() else { continue };
        let reading =
            std::thread::spawn(move || while reader.read(&mut [0; 65_536]).is_ok_and(|count| count > 0) {});
        while !is_stopped.load(Ordering::Relaxed) {
            let first = sent.fetch_add(batch, Ordering::Relaxed);
            let requests: String = (first..first + batch).map(|number| kind.request(number)).collect();
            if stream.write_all(requests.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        reading.join().unwrap();
    }
}

/// Picture: while one client sent small or unsound requests on one connection at full speed, also under ever new names,
/// other clients got their answers late or never, or memory grew without end.
#[rstest]
#[case::unknown_path(Flood::UnknownPath)]
#[case::unsound(Flood::Unsound)]
#[case::new_ids(Flood::NewIds)]
#[case::health(Flood::Health)]
fn one_client_at_full_speed_keeps_no_other_waiting(#[case] kind: Flood) {
    run_test(async move {
        for seed in seeds() {
            let mut rng = Rng::with_seed(seed);
            let (memory_mb, batch) = ([32, 64, 192][rng.usize(0..3)], [1, 20, 300][rng.usize(0..3)]);
            let cluster = start_cluster(memory_mb, 512).await;
            let (peak, address) = (PeakMemory::sample(cluster.process.id()), cluster.process.listen_address);
            let (is_stopped, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
            let (stop, count) = (is_stopped.clone(), sent.clone());
            let flooding = std::thread::spawn(move || flood(address, kind, batch, &stop, &count));
            let answers = run_usual_clients(&cluster).await;
            is_stopped.store(true, Ordering::Relaxed);
            flooding.join().unwrap();
            let (peak_kib, sent) = (peak.stop(), sent.load(Ordering::Relaxed));
            println!(
                "seed {seed}: {kind:?}, {sent} sent in batches of {batch}: peak {peak_kib} KiB, {answers:?}"
            );
            assert!(peak_kib < memory_mb * KIB_PER_MB, "seed {seed}: the broker held {peak_kib} KiB");
            assert!(answers.lost.is_empty(), "seed {seed}: {answers:?}");
            assert!(answers.served > answers.rejected, "seed {seed}: {answers:?}");
        }
    });
}
