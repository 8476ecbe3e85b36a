//! Clients that send much at once and go: does work for them begin after they have gone?

#[path = "../peers-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// The brokers, each of which meets one such client. Few would do: only the first query of a broker meets the failing node as
/// likely as any other.
const BROKERS: usize = 8;
/// "One of eight nodes is slow or failing": `s-0` answers each part with an error, after so many milliseconds.
const NODES: usize = 8;
const ERROR_AFTER_MS: u64 = 200;
/// What a client sends at once behind its first request: 140 requests of 20 KB each. A body may have 64 KiB.
const MORE_REQUESTS: usize = 140;
const TEXT_BYTES: usize = 20_000;
/// An attempt that begins more than 0.1 s after the close is a break. Time limits are 50 ms longer on sockets.
const ALLOWED_MS: f64 = 150.0;

fn main() {
    start_watchdog();
    let record = Record::create();
    let arrivals: Arc<Mutex<Vec<Part>>> = Arc::default();
    let mut members = Vec::new();
    for node in 0..NODES {
        let arrivals = arrivals.clone();
        let handle = move |part: &Part| {
            arrivals.lock().unwrap().push(part.clone());
            match node {
                0 => Reply::After(ERROR_AFTER_MS, 'E', String::new()),
                _ => Reply::After(20, 'S', format!("v{}", part.id)),
            }
        };
        let address = start_node(node, handle, |_, _| {});
        members.push(Member { id: format!("s-{node}"), address, cell: node as u32, phase: "ready" });
    }
    let catalog = SharedCatalog::new(members);
    let discovery = Discovery::start("discovery", catalog, record.clone());
    let site = Site {
        registry: "subscribe",
        instances: BROKERS as u32,
        effect: "idempotent",
        dedup_ms: 4000,
        second_copies: true,
        max_attempts: 3,
    };
    // A ring of eight nodes, each shard at two of them.
    let settings = site.settings().replace("\"Cells\":2", "\"Cells\":8").replace("\"Ranges\":4", "\"Ranges\":16");
    let mut brokers: Vec<Broker> = (0..BROKERS)
        .map(|n| {
            let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 + n as u64);
            Broker::start(&format!("b{n}"), &seed, LIMITS, discovery.address, &settings)
        })
        .collect();
    brokers.iter().for_each(Broker::wait_ready);
    sleep_ms(1000);

    let mut broken = 0;
    for (number, broker) in brokers.iter_mut().enumerate() {
        let id = format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + number as u64);
        let (first_at, closed_at) = send_and_leave(broker.listen, &id, number);
        record.line(&format!("client {number}: {id} sent at {first_at:.1}, closed at {closed_at:.1}"));
        sleep_ms(2000);
        let arrivals = arrivals.lock().unwrap();
        let own: Vec<&Part> = arrivals.iter().filter(|part| part.id.starts_with(&id)).collect();
        for part in &own {
            record.line(&format!("  {:7.1} ms after the close: {} at s-{}", part.at - closed_at, part.id, part.node));
        }
        let late = own.iter().filter(|part| part.at > closed_at + ALLOWED_MS).count();
        record.say(&format!(
            "client {number} closed {:.0} ms after its request; {} attempts, {late} of them more than {ALLOWED_MS:.0} ms \
             after the close",
            closed_at - first_at,
            own.len(),
        ));
        broken += usize::from(late > 0);
        if let Some(end) = broker.ended() {
            record.say(&format!("the broker has ended: {end}"));
        }
    }
    kill_all();
    record.say(&format!("work began for {broken} of {BROKERS} clients that had gone"));
    std::process::exit(i32::from(broken > 0));
}

/// Sends a query for four parts and, with trouble, many more behind it, and closes the connection. Returns the times
/// of the first request and of the close.
fn send_and_leave(listen: std::net::SocketAddr, id: &str, number: usize) -> (f64, f64) {
    let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| give_up(&e.to_string()));
    let _ = stream.set_nodelay(true);
    let first = request(id, "family-lookup", 4000, &query_body(&[6, 7, 8, 9], "c41e77d0"));
    let _ = stream.write_all(first.as_bytes());
    let first_at = now_ms();
    if has_trouble() {
        let body = query_body(&[0], &"y".repeat(TEXT_BYTES));
        for i in 0..MORE_REQUESTS {
            let more = request(&format!("{number:08x}{i:08x}"), "family-lookup", 4000, &body);
            if stream.write_all(more.as_bytes()).is_err() {
                break;
            }
        }
    }
    drop(stream);
    (first_at, now_ms())
}
