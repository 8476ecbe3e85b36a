//! Clients that send much at once and go: does work for them begin after they have gone?

#[path = "../peers-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

const CLIENTS: usize = 8;
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
    for node in 0..4 {
        let arrivals = arrivals.clone();
        // An error for each part, after 180 to 360 ms by its shard.
        let handle = move |part: &Part| {
            arrivals.lock().unwrap().push(part.clone());
            Reply::After(180 + 60 * u64::from(part.shard), 'E', String::new())
        };
        let address = start_node(node, handle, |_, _| {});
        members.push(Member { id: format!("s-{node}"), address, cell: node as u32 % 2, phase: "ready" });
    }
    let catalog = SharedCatalog::new(members);
    let discovery = Discovery::start("discovery", catalog, record.clone());
    let site = Site {
        registry: "subscribe",
        instances: 2,
        effect: "idempotent",
        dedup_ms: 4000,
        second_copies: true,
        max_attempts: 3,
    };
    let mut broker = Broker::start("b0", "8c1f30d27a5be964", LIMITS, discovery.address, &site.settings());
    broker.wait_ready();
    sleep_ms(1000);

    let mut broken = 0;
    for number in 0..CLIENTS {
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
    }
    if let Some(end) = broker.ended() {
        record.say(&format!("the broker has ended: {end}"));
    }
    kill_all();
    record.say(&format!("work began for {broken} of {CLIENTS} clients that had gone"));
    std::process::exit(i32::from(broken > 0));
}

/// Sends a query for four parts and, with trouble, many more behind it, and closes the connection. Returns the times
/// of the first request and of the close.
fn send_and_leave(listen: std::net::SocketAddr, id: &str, number: usize) -> (f64, f64) {
    let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| give_up(&e.to_string()));
    let _ = stream.set_nodelay(true);
    let first = request(id, "family-lookup", 4000, &query_body(&[0, 1, 2, 3], "c41e77d0"));
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
