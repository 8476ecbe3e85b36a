//! Case 3: clients that stop in the middle of a request fill the connections, and usual clients get no answer in time.

#[path = "../peers/peers.rs"]
mod peers;

use peers::{Broker, Client, Deployment, Discovery, Node, UsualClient, good, note, query};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The fewest descriptors that the pages allow.
const SOCKETS: usize = 256;
/// "Others connect by hundreds."
const BAD_CLIENTS: usize = 200;
const USUAL_CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);
const QUIET: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(5);
/// The deadline of a class, and the time that its clients wait.
const TIME_LEFT_MS: u32 = 2000;
/// "Up to half a second after its time it only earns nothing", and "every time limit is 50 ms longer".
const SLACK_MS: u32 = 550;

fn main() {
    peers::run_case("review/3", case);
}

fn case() -> Result<bool, String> {
    let deployment = Deployment {
        registry_mode: "automatic",
        deadline_ms: TIME_LEFT_MS,
        objective_ms: 800,
        drain_grace_ms: 1000,
        nodes: 12,
    };
    let reply: peers::Reply = Arc::new(|part| good(part, "5be2a07c19f04d63"));
    let nodes: Result<Vec<Node>, String> = (0..deployment.nodes)
        .map(|cell| Node::start(&format!("s-{cell}"), cell, Duration::from_millis(30), reply.clone()))
        .collect();
    let discovery = Discovery::new(&nodes?, Duration::ZERO);
    let agent = discovery.open()?;
    let broker = Broker::start("3", agent.address, &deployment.settings(), 192, SOCKETS)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(BTreeMap::new()));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, is_over, results) = (broker.address, is_over.clone(), results.clone());
            thread::spawn(move || send_queries(number, address, &is_over, &results))
        })
        .collect();
    thread::sleep(QUIET);
    if !peers::is_control() {
        note(format!("{BAD_CLIENTS} clients connect, send a part of a request, and stay"));
        for number in 0..BAD_CLIENTS {
            let address = broker.address;
            let work = move || stop_in_the_middle(number, address);
            thread::Builder::new().stack_size(128 * 1024).spawn(work).map_err(|e| e.to_string())?;
        }
    }
    thread::sleep(TROUBLE);
    is_over.store(true, Ordering::SeqCst);
    usual.into_iter().for_each(|client| _ = client.join());
    let results = results.lock().unwrap();
    note(format!("answers to the usual clients: {results:?}"));
    match broker.ended() {
        Some(status) => Err(format!("the broker ended: {status}")),
        // A connection that is shut unread is allowed here and is not counted.
        None => Ok(!results.contains_key(peers::NO_ANSWER)),
    }
}

/// A usual client: a query, and a pause.
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
        note(format!("{id}: sent, the client waits {TIME_LEFT_MS} ms"));
        let request = query(&id, "lookup", TIME_LEFT_MS, &[first, first + 1, first + 2]);
        let limit = Duration::from_millis(u64::from(TIME_LEFT_MS + SLACK_MS));
        let answer = client.ask(&id, &request, limit);
        let result = answer.map_or_else(|error| error, |answer| answer.status.to_string());
        *results.lock().unwrap().entry(result).or_default() += 1;
        thread::sleep(PAUSE);
    }
}

/// A bad client: it sends the first half of a head, stays, and reads what is sent to it.
fn stop_in_the_middle(number: usize, address: SocketAddr) {
    let started = Instant::now();
    let Ok(mut client) = Client::connect(address) else {
        return note(format!("bad client {number}: not connected"));
    };
    let request = query(&format!("bad{number:013x}"), "lookup", TIME_LEFT_MS, &[0, 1, 2]);
    client.send(&request[..100]);
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut buffer = [0; 4096];
    let count = client.stream.read(&mut buffer).unwrap_or(0);
    let first = String::from_utf8_lossy(&buffer[..count]).lines().next().unwrap_or("a close").to_owned();
    note(format!("bad client {number}: got {first} after {:.3} s", started.elapsed().as_secs_f64()));
    while client.stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    // It stays: its side of the connection is open until the case ends.
    thread::sleep(QUIET + TROUBLE);
}
