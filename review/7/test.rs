//! The id of another client's open request, as that client leaves: is anyone served a value made for the other?

#[path = "../peers-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

const ROUNDS: usize = 20;
/// How long a node works on a part. Neither a cancel nor a close stops it, and it answers in the end.
const WORK_MS: u64 = 300;
/// How long the first client waits before it leaves.
const PATIENCE_MS: u64 = 40;

fn main() {
    start_watchdog();
    let record = Record::create();
    let mut members = Vec::new();
    for node in 0..4 {
        let (arrived, given_up) = (record.clone(), record.clone());
        let handle = move |part: &Part| {
            arrived.line(&format!("  s-{} runs {} for `{}`", part.node, part.id, part.text));
            Reply::After(WORK_MS, 'S', format!("made-for-{}", part.text))
        };
        let on_cancel = move |node, id: &str| given_up.line(&format!("  s-{node} is told that {id} is given up"));
        let address = start_node(node, handle, on_cancel);
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

    let mut foreign = 0;
    for round in 0..ROUNDS {
        let answer = play(broker.listen, round, &record);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {}", body.trim()),
            Err(error) => format!("no answer ({error})"),
        };
        let is_foreign = text.contains("made-for-first");
        foreign += usize::from(is_foreign);
        record.say(&format!("round {round}: the second client asked for `second-{round}` and got {text}"));
        sleep_ms(1000);
    }
    if let Some(end) = broker.ended() {
        record.say(&format!("the broker has ended: {end}"));
    }
    kill_all();
    record.say(&format!("{foreign} of {ROUNDS} answers hold a value that was made for another client"));
    std::process::exit(i32::from(foreign > 0));
}

/// A client sends a query and leaves; at once another one sends a query for the same shards, with the id of the first
/// one (with trouble) or one of its own. Returns the answer to the second.
fn play(listen: SocketAddr, round: usize, record: &Record) -> std::io::Result<(u16, String)> {
    let id = format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + 2 * round as u64);
    let other = format!("{:016x}", 0x9b1f_03aa_0000_0001_u64 + 2 * round as u64);
    let mut second = Client::new(listen);
    let mut first = TcpStream::connect(listen)?;
    let shards = [0, 1, 2, 3];
    first.write_all(request(&id, "family-lookup", 3000, &query_body(&shards, &format!("first-{round}"))).as_bytes())?;
    record.line(&format!("the first client sends {id}"));
    sleep_ms(PATIENCE_MS);
    drop(first);
    record.line("the first client leaves");
    let id = if has_trouble() { id } else { other };
    record.line(&format!("the second client sends {id}"));
    second.ask(&request(&id, "family-lookup", 3000, &query_body(&shards, &format!("second-{round}"))), 4000)
}
