//! Fixtures of the rollout tests: broker processes, nodes that answer at once, clients, and settings documents
//! whose version a client can determine from a response.

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

/// Waits until `condition` holds; panics with `description` after 40 seconds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(40);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after 40 s waiting until {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a node of placement group 0 that answers every shard request within a tenth of a millisecond.
pub fn start_node() -> NodeServer {
    NodeServer::start(NodeSpec::default(), |_, _| 100).unwrap()
}

/// Returns the settings of version `number`, whose number of shards and `Retry-After` differ from those of every
/// other version. Even shards are in placement group 0, odd ones in group 1, which has no node.
pub fn document(number: u64) -> Value {
    let class = |name: &str, latency_objective_ms: f64| {
        json!({"Name": name, "OnTimeMs": latency_objective_ms, "DeadlineMs": 5000.0, "Worth": 1.0,
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

/// The parameters with which a broker process is started.
pub struct BrokerStart<'a> {
    pub dir: &'a Path,
    pub name: &'a str,
    pub node_address: SocketAddr,
    pub services: Vec<SocketAddr>,
    /// Additional lines of the section `[control]` in the operator's file.
    pub control: &'a str,
}

/// A broker process that serves queries and its status.
pub struct Broker {
    pub listen_address: SocketAddr,
    pub status_address: SocketAddr,
    child: Child,
    log_lines: mpsc::Receiver<String>,
    pub log: Vec<String>,
}

impl Broker {
    pub fn start(start: &BrokerStart) -> Broker {
        let path = |extension: &str| -> PathBuf { start.dir.join(format!("{}.{extension}", start.name)) };
        let mut settings = document(0);
        (settings["Zone"], settings["Me"]) = (json!(0), json!(1));
        let member = json!({"id": "s-0", "host_port": start.node_address.to_string(), "locality": "hall",
            "flavor": "std", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0});
        // The registry mode is `subscribe` and discovery does not answer, so the cached endpoint list stays in use.
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
        let (sender, log_lines) = mpsc::channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| _ = sender.send(line));
        });
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut broker =
            Broker { listen_address: unset, status_address: unset, child, log_lines, log: Vec::new() };
        let line = broker.wait_for_log("status service");
        broker.status_address = line["address"].as_str().unwrap().parse().unwrap();
        let line = broker.wait_for_log("serving");
        broker.listen_address = line["listen_address"].as_str().unwrap().parse().unwrap();
        broker
    }

    /// Returns the next log line whose message contains `text`.
    pub fn wait_for_log(&mut self, text: &str) -> Value {
        loop {
            let line = self.log_lines.recv_timeout(Duration::from_secs(40));
            let line =
                line.unwrap_or_else(|_| panic!("no log line contains `{text}`; logged: {:#?}", self.log));
            let parsed: Value =
                serde_json::from_str(&line).unwrap_or_else(|_| panic!("log line is not JSON: {line}"));
            self.log.push(line);
            if parsed["message"].as_str().is_some_and(|message| message.contains(text)) {
                return parsed;
            }
        }
    }

    pub fn status(&self) -> BrokerStatus {
        fetch_broker_status(self.status_address)
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

/// Returns the status that the broker with this status address reports.
pub fn fetch_broker_status(address: SocketAddr) -> BrokerStatus {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(fetch_status(address, Duration::from_secs(20))).unwrap()
}

/// A client on a single connection, which checks that each query gets exactly one response.
pub struct Client {
    stream: BufReader<TcpStream>,
    name: String,
    query_count: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    /// The value of `Retry-After` in milliseconds.
    pub retry_after: Option<f64>,
}

impl Client {
    pub fn new(name: &str, broker: SocketAddr) -> Client {
        let stream = TcpStream::connect(broker).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        Client { stream: BufReader::new(stream), name: name.to_owned(), query_count: 0 }
    }

    /// Sends a query that reads one shard, and waits for its response.
    pub fn send_query(&mut self, class: &str, shard: u64) -> Reply {
        self.query_count += 1;
        let body = json!({"slices": [{"slice": shard, "mass": 1.0}], "filter": "x"}).to_string();
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {}-{}\r\nX-Service-Class: {class}\r\n\
             X-Time-Left-Ms: 5000\r\nContent-Length: {}\r\n\r\n",
            self.name,
            self.query_count,
            body.len()
        );
        assert!(self.stream.buffer().is_empty(), "received more than one response to a query");
        self.stream.get_mut().write_all((head + &body).as_bytes()).unwrap();
        let mut headers = BTreeMap::new();
        let mut line = String::new();
        assert!(self.stream.read_line(&mut line).unwrap() > 0, "connection closed without a response");
        let status = line.split(' ').nth(1).unwrap().parse().unwrap();
        loop {
            line.clear();
            self.stream.read_line(&mut line).unwrap();
            let Some((name, value)) = line.trim().split_once(": ") else { break };
            headers.insert(name.to_lowercase(), value.to_owned());
        }
        let mut body = vec![0; headers["content-length"].parse().unwrap()];
        self.stream.read_exact(&mut body).unwrap();
        let retry_after = headers.get("retry-after").map(|text| text.parse::<f64>().unwrap() * 1000.0);
        Reply { status, retry_after }
    }

    /// Returns the version in force, which is determined from the `Retry-After` of a query that no node can serve.
    /// The query reads the last shard of version `min_version`; returns `None` if the broker does not know that
    /// shard and therefore runs an older version.
    pub fn probe_version(&mut self, min_version: u64) -> Option<u64> {
        let Reply { status, retry_after } = self.send_query("probe", 31 + 2 * min_version);
        if status == 400 {
            return None;
        }
        assert_eq!(status, 503, "expected a rejection, as no node holds the shard");
        Some((retry_after.unwrap() - 10.0).round() as u64)
    }
}
