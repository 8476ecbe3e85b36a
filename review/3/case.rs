//! Case 3: a node writes an answer whose length does not fit, and the client is served a value that no node made.

#[path = "../peers/peers.rs"]
mod peers;

use peers::{
    Broker, Deployment, Discovery, Node, Part, UsualClient, Written, good, items, note, query, served,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const USUAL_CLIENTS: usize = 4;
const QUERIES_PER_CLIENT: u32 = 120;
const PAUSE: Duration = Duration::from_millis(100);
/// One answer in this many is spoilt.
const ANSWERS_PER_SPOILT: u64 = 8;
/// By how much the length of a spoilt answer is too small.
const MISSING_BYTES: u32 = 10;

/// The values that nodes made, by the id of the part.
type MadeValues = Arc<Mutex<BTreeMap<String, BTreeSet<String>>>>;

fn main() {
    peers::run_case("review/3", case);
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
    let made = MadeValues::default();
    let nodes: Result<Vec<Node>, String> = (0..deployment.nodes)
        .map(|cell| {
            let (name, made) = (format!("s-{cell}"), made.clone());
            let reply = Arc::new(move |part: &Part| answer(&format!("s-{cell}"), part, &made));
            Node::start(&name, cell, Duration::from_millis(20), reply)
        })
        .collect();
    let discovery = Discovery::new(&nodes?, Duration::ZERO);
    let agent = discovery.open()?;
    let broker = Broker::start("3", agent.address, &deployment.settings(), 192, 1024)?;
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, made) = (broker.address, made.clone());
            thread::spawn(move || send_queries(number, address, &made))
        })
        .collect();
    let wrong: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    note(format!("values served that no node made: {wrong}"));
    match broker.ended() {
        Some(status) => Err(format!("the broker ended: {status}")),
        None => Ok(wrong == 0),
    }
}

/// The value of a part at a node: by shard 16 hex digits, a record of several lines, or a text of 20,000 bytes.
fn value(node: &str, part: &Part) -> String {
    match part.shard % 3 {
        0 => format!("{:016x}", hash(&format!("{node} {}", part.id))),
        1 => format!(
            "{{\n  \"part\": \"{}\",\n  \"node\": \"{node}\",\n  \"left\": \"-1.25\",\n  \"right\": \"-0.75\"\n}}\n",
            part.id
        ),
        _ => format!("{node} {} ", part.id).repeat(1000).chars().take(20_000).collect(),
    }
}

/// Makes an answer. One in some is spoilt: its length is too small by a few bytes.
fn answer(node: &str, part: &Part, made: &MadeValues) -> Written {
    let value = value(node, part);
    made.lock().unwrap().entry(part.id.clone()).or_default().insert(value.clone());
    let is_spoilt = !peers::is_control() && hash(&format!("{} {node}", part.id)) % ANSWERS_PER_SPOILT == 0;
    if !is_spoilt {
        return good(part, &value);
    }
    let frame = served(part, &value);
    let length = frame.len() as u32 - MISSING_BYTES;
    note(format!("{node}: answers {} with length {length} instead of {}", part.id, frame.len()));
    Written { bytes: [&length.to_le_bytes()[..], &frame].concat(), is_spoilt: true }
}

/// Sends queries one after the other, and returns how many values were served that no node made.
fn send_queries(number: usize, address: SocketAddr, made: &MadeValues) -> usize {
    let (mut client, mut wrong) = (UsualClient::new(address), 0);
    for count in 0..QUERIES_PER_CLIENT {
        let id = format!("{number:04x}{count:012x}");
        let first = (count * 3 + number as u32 * 5) % 33;
        let request = query(&id, "lookup", 3000, &[first, first + 1, first + 2]);
        if let Ok(answer) = client.ask(&id, &request, Duration::from_millis(3500)) {
            if answer.status == 200 {
                wrong += items(&answer.body).iter().filter(|item| !was_made(&id, item, made)).count();
            }
        }
        thread::sleep(PAUSE);
    }
    wrong
}

fn was_made(query: &str, (shard, value): &(u32, String), made: &MadeValues) -> bool {
    let part = format!("{query}.{shard}");
    let was_made = made.lock().unwrap().get(&part).is_some_and(|values| values.contains(value));
    if !was_made {
        let end: String = value.chars().skip(value.chars().count().saturating_sub(30)).collect();
        note(format!("{part}: served {} bytes that no node made, ending with {end:?}", value.len()));
    }
    was_made
}

/// A hash that is the same in every run (FNV-1a).
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
