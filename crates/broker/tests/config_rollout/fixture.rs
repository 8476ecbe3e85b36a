//! What the tests share: processes of the program, nodes that answer at once, clients, and documents that a client can
//! tell apart.

use config_rollout_client::status_query::{BrokerStatus, fetch_status};
use node_emulator::{NodeServer, NodeSpec};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

pub const INSTALLATION: &str = "halls";

/// Waits until the condition holds; panics with its description after 40 seconds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(40);
    while !holds() {
        assert!(Instant::now() < deadline, "not true in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A node of placement group 0 that answers every shard request within a tenth of a millisecond.
pub fn node() -> NodeServer {
    NodeServer::start(NodeSpec::default(), |_, _| 100).unwrap()
}

/// Version `number`: its number of shards and its `Retry-After` distinguish it from every other. Even shards are in
/// placement group 0, odd ones in group 1, which has no node.
pub fn document(number: u64) -> Value {
    let class = |name: &str, objective: f64| {
        json!({"Name": name, "OnTimeMs": objective, "DeadlineMs": 5000.0, "Worth": 1.0,
            "Effect": "idempotent"})
    };
    json!({"Instances": 3, "PeriodMs": 5.0, "RegistryMode": "subscribe", "Areas": ["hall"], "Tenants": [],
        "Services": [class("lookup", 2000.0), class("probe", 60.0)],
        "Domain": {"Cells": 2, "Reach": 1, "Ranges": 32 + 2 * number, "PerCall": 4,
            "CompleteFrom": [1.0, 1.0], "MinShare": [1.0, 1.0]},
        "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 2000.0, "MaxAttempts": 3, "MaxOpen": 1000,
            "MayCancel": true, "StreamsPerConn": 32, "RetryAfter": true,
            "MaxRetryAfterMs": 10.0 + number as f64},
        "Rules": {"AskWithinMs": 50000.0, "StopSendingWithinMs": 250.0, "ColdFrom": 0.2, "WarmUpMs": 17000.0,
            "OverloadFactor": 3.0, "OverloadForMs": 1000.0}})
}

/// What a broker is started with.
pub struct BrokerStart<'a> {
    pub folder: &'a Path,
    pub name: &'a str,
    pub node: SocketAddr,
    pub services: Vec<SocketAddr>,
    /// Further lines of `[control]`.
    pub control: &'a str,
}

/// The program, serving.
pub struct Broker {
    pub listens: SocketAddr,
    pub status_address: SocketAddr,
    child: Child,
    lines: mpsc::Receiver<String>,
    pub log: Vec<String>,
}

impl Broker {
    pub fn start(start: &BrokerStart) -> Broker {
        let path = |ending: &str| -> PathBuf { start.folder.join(format!("{}.{ending}", start.name)) };
        let mut settings = document(0);
        (settings["Zone"], settings["Me"]) = (json!(0), json!(1));
        let member = json!({"id": "s-0", "host_port": start.node.to_string(), "locality": "hall",
            "flavor": "std", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0});
        // Discovery is down and shared, so the cached list stays in use.
        let config = json!({"name": start.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": true, "members": [member]}, "settings": settings});
        std::fs::write(path("json"), config.to_string()).unwrap();
        let services: Vec<String> = start.services.iter().map(SocketAddr::to_string).collect();
        let operator = format!(
            "[log]\nformat = json\n[control]\ninstallation = {INSTALLATION}\nservices = {}\n\
             status_listen = 127.0.0.1:0\n{}\n",
            services.join(", "),
            start.control
        );
        std::fs::write(path("ini"), operator).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_shard-broker"))
            .args(["serve", "--config"])
            .arg(path("json"))
            .arg("--operator")
            .arg(path("ini"))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| _ = sender.send(line));
        });
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut broker = Broker { listens: nowhere, status_address: nowhere, child, lines, log: Vec::new() };
        let line = broker.wait_for_log("status service");
        broker.status_address = line["address"].as_str().unwrap().parse().unwrap();
        let line = broker.wait_for_log("serving");
        broker.listens = line["listen_address"].as_str().unwrap().parse().unwrap();
        broker
    }

    /// The next line of the log with these words in its message.
    pub fn wait_for_log(&mut self, words: &str) -> Value {
        loop {
            let line = self.lines.recv_timeout(Duration::from_secs(40));
            let line = line.unwrap_or_else(|_| panic!("`{words}` is not logged, but {:#?}", self.log));
            let parsed: Value = serde_json::from_str(&line).unwrap_or_else(|_| panic!("no JSON: {line}"));
            self.log.push(line);
            if parsed["message"].as_str().is_some_and(|message| message.contains(words)) {
                return parsed;
            }
        }
    }

    pub fn status(&self) -> BrokerStatus {
        fetch(self.status_address)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the broker with this status service reports.
pub fn fetch(address: SocketAddr) -> BrokerStatus {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(fetch_status(address, Duration::from_secs(20))).unwrap()
}

/// A client on one connection, which checks that there is one response to each query.
pub struct Client {
    stream: BufReader<TcpStream>,
    name: String,
    queries: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    /// Milliseconds.
    pub retry_after: Option<f64>,
}

impl Client {
    pub fn new(name: &str, broker: SocketAddr) -> Client {
        let stream = TcpStream::connect(broker).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        Client { stream: BufReader::new(stream), name: name.to_owned(), queries: 0 }
    }

    /// Sends a query of one shard, and waits for its response.
    pub fn send_query(&mut self, class: &str, shard: u64) -> Reply {
        self.queries += 1;
        let body = json!({"slices": [{"slice": shard, "mass": 1.0}], "filter": "x"}).to_string();
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {}-{}\r\nX-Service-Class: {class}\r\n\
             X-Time-Left-Ms: 5000\r\nContent-Length: {}\r\n\r\n",
            self.name,
            self.queries,
            body.len()
        );
        assert!(self.stream.buffer().is_empty(), "more than one response");
        self.stream.get_mut().write_all((head + &body).as_bytes()).unwrap();
        let mut fields = BTreeMap::new();
        let mut line = String::new();
        assert!(self.stream.read_line(&mut line).unwrap() > 0, "no response");
        let status = line.split(' ').nth(1).unwrap().parse().unwrap();
        loop {
            line.clear();
            self.stream.read_line(&mut line).unwrap();
            let Some((name, value)) = line.trim().split_once(": ") else { break };
            fields.insert(name.to_lowercase(), value.to_owned());
        }
        let mut body = vec![0; fields["content-length"].parse().unwrap()];
        self.stream.read_exact(&mut body).unwrap();
        let retry_after = fields.get("retry-after").map(|text| text.parse::<f64>().unwrap() * 1000.0);
        Reply { status, retry_after }
    }

    /// The version in force, from the `Retry-After` of a query that no node can serve. Its shard is the last one of version
    /// `least`. `None`: the broker does not know the shard, so it runs an older version.
    pub fn probe(&mut self, least: u64) -> Option<u64> {
        let Reply { status, retry_after } = self.send_query("probe", 31 + 2 * least);
        if status == 400 {
            return None;
        }
        assert_eq!(status, 503, "no node holds it");
        Some((retry_after.unwrap() - 10.0).round() as u64)
    }
}
