//! Guards against accidental changes of routing decisions, such as a condition or the order of two random draws
//! that is lost when a rule is rewritten. Such a change degrades the service slightly, and no single case detects
//! it. The test runs the adapter as a process with random clients, nodes and faults, and compares a digest of all
//! reply bytes with a stored one.
//!
//! A commit that intends to change decisions updates the stored digest and states so. A refactoring must not change
//! it.

mod cluster;
mod wire;

use cluster::Cluster;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use wire::{Effect, read_reply};

const SEEDS: u64 = 40;
const BATCHES: usize = 600;
const MIN_OF_EACH_KIND: usize = 20;
/// BLAKE3 digest of all replies including their length fields, in the order of the seeds.
const REPLIES_DIGEST: &str = "5ce52f11d5a1a8d5ea876d195ea9909b573092e1b4cf2b1870ad8fdcc4e6d1f8";

/// Adapter process, run as the simulator runs it.
struct Adapter {
    process: Child,
    input: ChildStdin,
    output: ChildStdout,
}

impl Adapter {
    fn start() -> Adapter {
        let mut command = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"));
        let mut process = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (input, output) = (process.stdin.take().unwrap(), process.stdout.take().unwrap());
        Adapter { process, input, output }
    }

    /// Sends a batch and returns the reply with its length field.
    fn exchange(&mut self, batch: &[u8]) -> Vec<u8> {
        self.input.write_all(batch).unwrap();
        self.input.flush().unwrap();
        let mut length = [0; 4];
        self.output.read_exact(&mut length).unwrap();
        let mut reply = length.to_vec();
        reply.resize(length.len() + u32::from_le_bytes(length) as usize, 0);
        self.output.read_exact(&mut reply[length.len()..]).unwrap();
        reply
    }

    fn end(mut self) {
        drop(self.input);
        assert!(self.process.wait().unwrap().success());
    }
}

#[rstest]
fn replies_match_stored_digest() {
    let mut hasher = blake3::Hasher::new();
    let mut counts = BTreeMap::<&str, usize>::new();
    for seed in 1..=SEEDS {
        let (mut adapter, mut cluster) = (Adapter::start(), Cluster::new(seed));
        for _ in 0..BATCHES {
            let reply = adapter.exchange(&cluster.next_batch());
            hasher.update(&reply);
            for effect in read_reply(&reply[4..]) {
                *counts.entry(kind(effect)).or_default() += 1;
                cluster.apply(effect);
            }
        }
        *counts.entry("retry").or_default() += cluster.retries;
        *counts.entry("hedge").or_default() += cluster.hedges;
        adapter.end();
    }
    // Without a minimum of each kind, the digest would not cover the decisions.
    let is_rare = |kind: &&&str| counts.get(**kind).is_none_or(|count| *count < MIN_OF_EACH_KIND);
    let rare: Vec<&&str> = KINDS.iter().filter(is_rare).collect();
    assert!(rare.is_empty(), "expected at least {MIN_OF_EACH_KIND} of each of {rare:?}, got {counts:?}");
    assert_eq!(hasher.finalize().to_hex().as_str(), REPLIES_DIGEST, "{counts:?}");
}

const KINDS: [&str; 12] = [
    "send",
    "retry",
    "hedge",
    "reject",
    "fail",
    "cancel",
    "wake",
    "probe",
    "close idle",
    "log",
    "watch",
    "respond",
];

fn kind(effect: Effect) -> &'static str {
    match effect {
        Effect::Send { .. } => "send",
        Effect::Reject { .. } => "reject",
        Effect::Fail { .. } => "fail",
        Effect::Cancel { .. } => "cancel",
        Effect::Wake { .. } => "wake",
        Effect::Probe { .. } => "probe",
        Effect::CloseIdle { .. } => "close idle",
        Effect::Log => "log",
        Effect::WatchEndpoints => "watch",
        Effect::Respond { .. } => "respond",
    }
}
