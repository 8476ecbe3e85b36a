//! New configurations in quick succession, while discovery is slow: does a broker learn of a drain in time?

#[path = "../peers-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// How long discovery takes for each answer. The site files give a call 1,000 ms.
const ANSWER_MS: u64 = 900;
/// The time between two new configurations, and how many there are.
const BETWEEN_MS: u64 = 800;
const CONFIGURATIONS: usize = 11;
/// A change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_WITHIN_MS: f64 = 6000.0;
/// The grace of the settings, and the 50 ms by which every time limit is longer on sockets: once for the time at
/// which the change counts as told, once for the grace.
const GRACE_MS: f64 = 250.0;
const SLACK_MS: f64 = 100.0;

fn main() {
    start_watchdog();
    let record = Record::create();
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
    let discoveries: Vec<Discovery> = (0..=CONFIGURATIONS)
        .map(|i| Discovery::start(&format!("discovery {i}"), catalog.clone(), record.clone()))
        .collect();
    discoveries.iter().for_each(|d| d.delay_ms.store(ANSWER_MS, Ordering::SeqCst));
    let site = Site {
        registry: "subscribe",
        instances: 2,
        effect: "idempotent",
        dedup_ms: 4000,
        second_copies: true,
        max_attempts: 3,
    };
    let mut broker = Broker::start("b0", "8c1f30d27a5be964", LIMITS, discoveries[0].address, &site.settings());
    broker.wait_ready();
    sleep_ms(1500);

    let ends_at = now_ms() + 14_000.0;
    let clients = start_clients(&broker, &record, ends_at);
    sleep_ms(1500);
    let mut drained_at = 0.0;
    for i in 0..CONFIGURATIONS {
        if has_trouble() {
            broker.move_discovery(discoveries[i + 1].address);
            discoveries[i].retire();
            record.line(&format!("SIGHUP: the new configuration names discovery {}", i + 1));
        }
        sleep_ms(100);
        if i == 0 {
            catalog.set_phase("s-0", "draining");
            drained_at = now_ms();
            record.line("discovery knows that s-0 drains");
        }
        sleep_ms(BETWEEN_MS - 100);
    }
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    if let Some(end) = broker.ended() {
        record.say(&format!("the broker has ended: {end}"));
    }
    kill_all();

    let limit = drained_at + TOLD_WITHIN_MS + GRACE_MS + SLACK_MS;
    let arrivals = arrivals.lock().unwrap();
    for part in arrivals.iter() {
        record.line(&format!("at {:.1} s-{} ran {}", part.at, part.node, part.id));
    }
    let late: Vec<&Part> = arrivals.iter().filter(|part| part.node == 0 && part.at > limit).collect();
    let last = arrivals.iter().filter(|part| part.node == 0).map(|part| part.at).fold(0.0, f64::max);
    record.say(&format!(
        "{} parts, {answered} queries answered; the last part to the draining node {:.0} ms after discovery knew, \
         allowed are {:.0}; {} came later",
        arrivals.len(),
        last - drained_at,
        limit - drained_at,
        late.len()
    ));
    std::process::exit(i32::from(!late.is_empty()));
}

/// Starts four clients, each of which sends a query for two parts every 100 ms.
fn start_clients(broker: &Broker, record: &Record, ends_at: f64) -> Vec<std::thread::JoinHandle<usize>> {
    let start = |client: u32| {
        let (listen, record) = (broker.listen, record.clone());
        std::thread::spawn(move || {
            let mut connection = Client::new(listen);
            let mut answered = 0;
            let mut number = 0;
            while now_ms() < ends_at {
                number += 1;
                let id = format!("{client:04x}{number:012x}");
                let body = query_body(&[number % 4, (number + 1) % 4], "c41e77d0");
                let answer = connection.ask(&request(&id, "family-lookup", 3000, &body), 4000);
                record.line(&format!("{id}: {:?}", answer.as_ref().map(|(status, _)| *status)));
                answered += usize::from(answer.is_ok_and(|(status, _)| status == 200));
                sleep_ms(100);
            }
            answered
        })
    };
    (0..4).map(start).collect()
}
