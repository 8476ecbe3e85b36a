//! A broker among the scripted peers of `node_emulator`, as the tests want it.

use broker::{Running, StartupConfig};
use node_emulator::{HttpClient, ScriptedDiscovery};
pub use node_emulator::{
    HttpResponse, PeerEvent, ReceivedEvent, ScriptedNode, ShardRequest, encode_frame, query_request,
};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Plays a test on a runtime like the program's.
pub fn play(test: impl Future<Output = ()>) {
    actix_rt::Runtime::new().unwrap().block_on(test);
}

/// What must come, with time enough for a busy machine.
pub async fn soon<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(30), what).await.expect("it never came")
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A broker with its stand-ins. Every node holds every shard.
pub struct Stage {
    pub broker: Running,
    pub nodes: Vec<ScriptedNode>,
    pub discovery: Discovery,
    pub heard: mpsc::UnboundedReceiver<ReceivedEvent>,
}

pub fn member(nodes: &[ScriptedNode], at: usize, phase: &str) -> Value {
    json!({"id": format!("s-{at}"), "host_port": nodes[at].address.to_string(), "locality": "hall",
        "flavor": "std", "cell": at, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A config as a broker finds it; of its classes `report` may be partial, and `once` runs at most once. Its list is
/// asked for, so that it serves from what it knew until discovery is heard.
pub fn config(nodes: &[ScriptedNode], discovery: &str) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "OnTimeMs": 8000.0, "DeadlineMs": 16000.0, "Worth": 1.0, "LateShare": 0.1,
            "Effect": effect, "DedupWindowMs": 5000.0})
    };
    let members: Vec<Value> = (0..nodes.len()).map(|at| member(nodes, at, "ready")).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {"Instances": 1, "PeriodMs": 5.0, "RegistryMode": "subscribe", "Areas": ["hall"],
            "Zone": 0, "Tenants": [], "Prices": {"LateFail": 0.05},
            "Services": [class("report", "idempotent"), class("lookup", "idempotent"),
                class("once", "at_most_once")],
            "Domain": {"Cells": nodes.len(), "Reach": nodes.len(), "Ranges": 16, "PerCall": 4,
                "CompleteFrom": [1.0, 1.0, 1.0], "MinShare": [0.4, 1.0, 1.0], "FetchParts": [0, 0, 0]},
            "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 2000.0, "MaxAttempts": 3, "MaxOpen": 100,
                "MayCancel": true, "StreamsPerConn": 32, "RetryAfter": true, "MaxRetryAfterMs": 1500.0},
            "Rules": {"AskWithinMs": 50000.0, "StopSendingWithinMs": 250.0, "ColdFrom": 0.2, "WarmUpMs": 17000.0, "OverloadFactor": 3.0,
                "OverloadForMs": 1000.0}}})
}

/// The list is pushed: an agent of the broker's own has it.
pub fn pushed(config: &mut Value) {
    config["settings"]["RegistryMode"] = json!("automatic");
}

impl Stage {
    pub async fn new(nodes: usize) -> Stage {
        Stage::with(nodes, |_| (), |_| ()).await
    }

    /// With changes to the config, and to what was made of it.
    pub async fn with(
        nodes: usize,
        config: impl FnOnce(&mut Value),
        order: impl FnOnce(&mut StartupConfig),
    ) -> Stage {
        Stage::fitted(nodes, config, order, broker::OperatorConfig::default()).await
    }

    /// The same, fitted as the operator's file says.
    pub async fn fitted(
        nodes: usize,
        config: impl FnOnce(&mut Value),
        order: impl FnOnce(&mut StartupConfig),
        fitting: broker::OperatorConfig,
    ) -> Stage {
        let (tell, heard) = mpsc::unbounded_channel();
        let mut all = Vec::new();
        for at in 0..nodes {
            all.push(ScriptedNode::start(at, tell.clone()).await.unwrap());
        }
        let discovery = Discovery::start().await;
        let mut text = self::config(&all, &discovery.address().to_string());
        config(&mut text);
        let mut read = StartupConfig::read(text.to_string().as_bytes(), |_| None).unwrap();
        order(&mut read);
        let broker = broker::start_fitted(read, fitting).await.unwrap();
        Stage { broker, nodes: all, discovery, heard }
    }

    /// What any node hears next: which node, on which connection, what.
    pub async fn next(&mut self) -> (usize, usize, PeerEvent) {
        let received = soon(self.heard.recv()).await.unwrap();
        (received.node, received.connection, received.event)
    }

    /// The next call at any node.
    pub async fn call(&mut self) -> (usize, usize, Vec<ShardRequest>) {
        match self.next().await {
            (node, line, PeerEvent::Batch(shard_requests)) => (node, line, shard_requests),
            other => panic!("{other:?} is no call"),
        }
    }

    /// Nothing more has been heard by now.
    pub fn is_silent(&mut self) -> bool {
        self.heard.try_recv().is_err()
    }

    pub async fn client(&self) -> Client {
        Client::to(self.broker.listens).await
    }

    /// A client that has asked for these shard requests.
    pub async fn ask(&self, id: &str, class: &str, slices: &[(u32, f64)]) -> Client {
        let mut client = self.client().await;
        client.write(&query_request(id, class, 100_000, &body(slices))).await;
        client
    }
}

/// The program itself, as a process of its own.
pub struct Program {
    pub listens: SocketAddr,
    child: std::process::Child,
    log: RefCell<std::io::BufReader<std::process::ChildStderr>>,
}

impl Program {
    /// With a config file, and a discovery that the environment names.
    pub fn start(config: &std::path::Path, discovery: &str) -> Program {
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_shard-broker"))
            .env("EDGE_CONFIG", config)
            .env("EDGE_DISCOVERY", discovery)
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        let log = RefCell::new(std::io::BufReader::new(child.stderr.take().unwrap()));
        let mut program = Program { listens: SocketAddr::from(([127, 0, 0, 1], 0)), child, log };
        program.listens = program.says("listen_address=").parse().unwrap();
        program
    }

    pub fn signal(&self, name: &str) {
        let (signal, id) = (format!("-{name}"), self.child.id().to_string());
        assert!(std::process::Command::new("kill").args([signal, id]).status().unwrap().success());
    }

    /// Waits for its end; its exit code.
    pub fn exit(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Reads the log up to a line with these words; what follows them on it.
    pub fn says(&self, words: &str) -> String {
        let mut line = String::new();
        while std::io::BufRead::read_line(&mut *self.log.borrow_mut(), &mut line).unwrap() > 0 {
            if let Some((_, after)) = line.split_once(words) {
                return after.trim().to_owned();
            }
            line.clear();
        }
        panic!("the program ended without saying `{words}`");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn body(slices: &[(u32, f64)]) -> String {
    node_emulator::query_body(slices, "c41e77d0")
}

/// A client whose trouble is the test's.
pub struct Client(HttpClient);

impl Client {
    pub async fn to(address: SocketAddr) -> Client {
        Client(HttpClient::connect(address).await.unwrap())
    }

    pub async fn write(&mut self, text: &str) {
        self.0.write(text).await.unwrap();
    }

    /// The next reply; none: the broker closed the connection.
    pub async fn reply(&mut self) -> Option<HttpResponse> {
        soon(self.0.read_response()).await
    }
}

/// Discovery that a test waits for.
pub struct Discovery(ScriptedDiscovery);

impl Discovery {
    pub async fn start() -> Discovery {
        Discovery(ScriptedDiscovery::start().await.unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    pub fn reply(&self, body: impl ToString) {
        self.0.respond(body);
    }

    /// The path of the next call.
    pub async fn called(&mut self) -> String {
        soon(self.0.next_request()).await.unwrap()
    }
}
