//! Case 2: bad clients with 60 MB bodies in chunks take a broker over its limit on memory.

#[path = "../peers/peers.rs"]
mod peers;

use peers::{Broker, Client, Deployment, Discovery, Node, UsualClient, note, query, query_head};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limits that the pages allow: 32 to 192 MB, 256 to 1,024 descriptors.
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 1024;
/// With the usual clients under a third of the descriptors (341): "Clients hold a third of the descriptors at most".
const BAD_CLIENTS: usize = 320;
/// "60 MB bodies."
const BODY_BYTES: usize = 60_000_000;
const CHUNK_BYTES: usize = 16_384;
const USUAL_CLIENTS: usize = 10;
/// How many bodies the bad clients have begun.
static BODIES: AtomicUsize = AtomicUsize::new(0);
const QUIET: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(10);

fn main() {
    peers::run_case("review/2", case);
}

fn case() -> Result<bool, String> {
    let deployment = Deployment {
        registry_mode: "automatic",
        deadline_ms: 5000,
        objective_ms: 2000,
        drain_grace_ms: 250,
        nodes: 12,
        replicas: 4,
        max_attempts: 3,
        second_copies: true,
        lookup_effect: "idempotent",
    };
    let reply: peers::Reply = Arc::new(|part| peers::good(part, "5be2a07c19f04d63"));
    let nodes: Result<Vec<Node>, String> = (0..deployment.nodes)
        .map(|cell| Node::start(&format!("s-{cell}"), cell, Duration::from_millis(30), reply.clone()))
        .collect();
    let discovery = Discovery::new(&nodes?, Duration::ZERO);
    let agent = discovery.open()?;
    let broker = Arc::new(Broker::start("2", agent.address, &deployment.settings(), MEMORY_MB, SOCKETS)?);

    let is_over = Arc::new(AtomicBool::new(false));
    let peak_kb = Arc::new(AtomicUsize::new(0));
    let killed_at_kb = Arc::new(AtomicUsize::new(0));
    spawn_platform(&broker, MEMORY_MB * 1024, &peak_kb, &killed_at_kb);
    let results = Arc::new(Mutex::new(BTreeMap::new()));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, is_over, results) = (broker.address, is_over.clone(), results.clone());
            thread::spawn(move || send_queries(number, address, &is_over, &results))
        })
        .collect();
    thread::sleep(QUIET);
    let peak = peak_kb.load(Ordering::SeqCst);
    note(format!("before the disruption: peak {peak} KiB, answers {:?}", results.lock().unwrap()));

    if !peers::is_control() {
        note(format!("{BAD_CLIENTS} clients begin bodies of {BODY_BYTES} bytes in chunks of {CHUNK_BYTES}"));
        for number in 0..BAD_CLIENTS {
            let (address, is_over) = (broker.address, is_over.clone());
            let work = move || send_endless_body(number, address, &is_over);
            thread::Builder::new().stack_size(256 * 1024).spawn(work).map_err(|e| e.to_string())?;
        }
    }
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until && broker.ended().is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    let ended = broker.ended();
    is_over.store(true, Ordering::SeqCst);
    usual.into_iter().for_each(|client| _ = client.join());

    note(format!("bodies begun by bad clients: {}", BODIES.load(Ordering::SeqCst)));
    note(format!("answers to the usual clients: {:?}", results.lock().unwrap()));
    note(format!("peak memory: {} KiB of {} KiB", peak_kb.load(Ordering::SeqCst), MEMORY_MB * 1024));
    match (killed_at_kb.load(Ordering::SeqCst), ended) {
        (0, None) => Ok(true),
        (0, Some(status)) => {
            note(format!("the broker ended by itself: {status}"));
            Ok(false)
        }
        (kb, _) => {
            note(format!("the platform killed the broker at {kb} KiB"));
            Ok(false)
        }
    }
}

/// The platform: "Over `memory_mb` the broker is killed."
fn spawn_platform(broker: &Arc<Broker>, limit_kb: usize, peak: &Arc<AtomicUsize>, killed: &Arc<AtomicUsize>) {
    let (broker, peak, killed) = (Arc::downgrade(broker), peak.clone(), killed.clone());
    thread::spawn(move || {
        while let Some(broker) = broker.upgrade() {
            let Some(kb) = broker.resident_kb() else { return };
            peak.fetch_max(kb, Ordering::SeqCst);
            if kb > limit_kb {
                killed.store(kb, Ordering::SeqCst);
                broker.kill();
                return;
            }
            drop(broker);
            thread::sleep(Duration::from_millis(10));
        }
    });
}

/// A usual client: a query every 100 ms.
fn send_queries(
    number: usize,
    address: SocketAddr,
    is_over: &AtomicBool,
    results: &Mutex<BTreeMap<String, usize>>,
) {
    let mut client = UsualClient::new(address);
    for count in 0_u32.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let (id, first) = (format!("{number:04x}{count:012x}"), (count * 3 + number as u32) % 30);
        let request = query(&id, "lookup", 3000, &[first, first + 1, first + 2]);
        let answer = client.ask(&id, &request, Duration::from_millis(3500));
        let result = answer.map_or_else(|error| error, |answer| answer.status.to_string());
        *results.lock().unwrap().entry(result).or_default() += 1;
        thread::sleep(Duration::from_millis(100));
    }
}

/// A bad client: it sends a body of 60 MB at full speed and reads what is sent to it. When it is turned away, it does
/// the same again.
fn send_endless_body(number: usize, address: SocketAddr, is_over: &AtomicBool) {
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "y".repeat(CHUNK_BYTES));
    let chunks_per_write = 65536 / chunk.len() + 1;
    let block = chunk.repeat(chunks_per_write);
    let blocks = BODY_BYTES / (chunks_per_write * CHUNK_BYTES);
    let mut round = 0;
    while !is_over.load(Ordering::SeqCst) {
        round += 1;
        let Ok(client) = Client::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut stream = client.stream;
        let Ok(mut reader) = stream.try_clone() else { return };
        let reading = thread::Builder::new().stack_size(64 * 1024).spawn(move || {
            let mut buffer = [0; 4096];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let head = query_head(&format!("bad{number:05x}{round:08x}"), "lookup", 3000);
        let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        BODIES.fetch_add(usize::from(is_open), Ordering::SeqCst);
        for _ in 0..blocks {
            if !is_open || is_over.load(Ordering::SeqCst) {
                break;
            }
            is_open = stream.write_all(block.as_bytes()).is_ok();
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        if let Ok(reading) = reading {
            let _ = reading.join();
        }
    }
}
