//! An outage of discovery of some ten seconds: does a broker learn in time of a drain from before its end?

#[path = "../peers-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// The brokers, each with a discovery address of its own, and how often each meets an outage.
const BROKERS: usize = 40;
const ROUNDS: usize = 4;
/// An outage ends with the third call for the whole list that finds no answer, some ten seconds after it began.
const UNANSWERED_CALLS: u64 = 3;
/// A change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_WITHIN_MS: f64 = 6000.0;
/// The grace of the settings, and the 50 ms by which every time limit is longer on sockets: once for the time at
/// which the change counts as told, once for the grace.
const GRACE_MS: f64 = 250.0;
const SLACK_MS: f64 = 100.0;

fn main() {
    start_watchdog();
    let record = Record::create();
    let brokers: Vec<JoinHandle<usize>> = (0..BROKERS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || play(number, &record))
        })
        .collect();
    let late: usize = brokers.into_iter().map(|broker| broker.join().unwrap_or_else(|_| give_up("a thread"))).sum();
    kill_all();
    record.say(&format!("{late} of {} outages ended in work for a draining node", BROKERS * ROUNDS));
    std::process::exit(i32::from(late > 0));
}

/// Plays the outages of one broker. Returns how many of them broke the rule.
fn play(number: usize, record: &Record) -> usize {
    let arrivals: Arc<Mutex<Vec<Part>>> = Arc::default();
    let mut members = Vec::new();
    for node in 0..4 {
        let arrivals = arrivals.clone();
        let handle = move |part: &Part| {
            arrivals.lock().unwrap().push(part.clone());
            Reply::After(20, 'S', format!("v{}", part.id))
        };
        let address = start_node(node, handle, |_, _| {});
        members.push(Member { id: format!("s-{node}"), address, cell: node as u32 % 2, phase: "ready" });
    }
    let catalog = SharedCatalog::new(members);
    let discovery = Discovery::start(&format!("discovery of b{number}"), catalog.clone(), record.clone());
    let site = Site {
        registry: "subscribe",
        instances: BROKERS as u32,
        effect: "idempotent",
        dedup_ms: 4000,
        second_copies: true,
        max_attempts: 3,
    };
    let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 + number as u64);
    let broker = Broker::start(&format!("b{number}"), &seed, LIMITS, discovery.address, &site.settings());
    broker.wait_ready();
    let ends_at = now_ms() + 100_000.0;
    std::thread::spawn({
        let (listen, record) = (broker.listen, record.clone());
        move || send_queries(number, listen, &record, ends_at)
    });
    sleep_ms(2000 + 137 * number as u64);
    (0..ROUNDS).filter(|round| play_outage(number, *round, &catalog, &discovery, &arrivals, record)).count()
}

/// Plays one outage. Returns whether the draining node got work too late.
fn play_outage(
    number: usize,
    round: usize,
    catalog: &SharedCatalog,
    discovery: &Discovery,
    arrivals: &Mutex<Vec<Part>>,
    record: &Record,
) -> bool {
    let began_at = now_ms();
    if has_trouble() {
        record.line(&format!("b{number}: discovery is down"));
        discovery.silent_calls.store(0, Ordering::SeqCst);
        discovery.cut.store(true, Ordering::SeqCst);
    }
    sleep_ms(5000);
    catalog.set_phase("s-0", "draining");
    while has_trouble() && discovery.silent_calls.load(Ordering::SeqCst) < UNANSWERED_CALLS {
        if now_ms() - began_at > 25_000.0 {
            break;
        }
        sleep_ms(1);
    }
    sleep_ms(2);
    discovery.cut.store(false, Ordering::SeqCst);
    let back_at = now_ms();
    record.line(&format!("b{number}: discovery is back, and knows that s-0 drains"));
    sleep_ms(8000);
    let arrivals = arrivals.lock().unwrap();
    let limit = back_at + TOLD_WITHIN_MS + GRACE_MS + SLACK_MS;
    let to_node = arrivals.iter().filter(|part| part.node == 0);
    let late = to_node.clone().filter(|part| part.at > limit && part.at > back_at).count();
    let last = to_node.map(|part| part.at).fold(0.0, f64::max);
    record.say(&format!(
        "b{number}, outage {round} of {:.1} s: the last part to the draining node {:.0} ms after discovery was back, \
         allowed are {:.0}; {late} came later",
        (back_at - began_at) / 1000.0,
        last - back_at,
        limit - back_at,
    ));
    drop(arrivals);
    catalog.set_phase("s-0", "ready");
    sleep_ms(1500);
    late > 0
}

/// Sends a query for one part every 25 ms.
fn send_queries(number: usize, listen: std::net::SocketAddr, record: &Record, ends_at: f64) {
    let mut connection = Client::new(listen);
    let mut query = 0;
    while now_ms() < ends_at {
        query += 1;
        let id = format!("{number:04x}{query:012x}");
        let body = query_body(&[query % 4], "c41e77d0");
        let answer = connection.ask(&request(&id, "family-lookup", 3000, &body), 4000);
        record.line(&format!("{id}: {:?}", answer.as_ref().map(|(status, _)| *status)));
        sleep_ms(25);
    }
}
