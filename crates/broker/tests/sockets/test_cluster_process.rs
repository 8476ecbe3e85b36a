//! A broker process among emulated nodes, with faults injected into its system calls.

use super::system_faults::SystemFaults;
use super::test_peers::*;
use node_emulator::{DiscoveryCatalog, NodeServer, NodeSpec};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tempfile::NamedTempFile;

/// The processing time of a shard request at a node, in microseconds.
const WORK_US: u64 = 2000;
const TIME_LEFT_MS: u64 = 10_000;

/// A broker process with its nodes and its discovery.
pub struct ClusterProcess {
    pub process: Process,
    pub faults: SystemFaults,
    _nodes: Vec<NodeServer>,
    _discovery: DiscoveryCatalog,
    _config: NamedTempFile,
}

/// The number of queries with each outcome.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Queries whose connection was closed or reset without a complete response.
    pub lost: usize,
}

impl Outcomes {
    fn count(&mut self, response: Option<HttpResponse>) {
        let count = match response.map(|response| response.status) {
            Some(200) => &mut self.served,
            Some(503 | 429) => &mut self.rejected,
            Some(_) => &mut self.failed,
            None => &mut self.lost,
        };
        *count += 1;
    }

    /// Returns the outcomes of `count` queries that were all served.
    pub fn all_served(count: usize) -> Outcomes {
        Outcomes { served: count, ..Outcomes::default() }
    }
}

impl ClusterProcess {
    /// Starts the process with `node_count` nodes and without faults.
    pub async fn start(node_count: usize, change_config: impl FnOnce(&mut Value)) -> ClusterProcess {
        ClusterProcess::start_with_faults(node_count, change_config, |_| ()).await
    }

    /// Starts the process with faults from its first system call on, and waits until it is ready.
    pub async fn start_with_faults(
        node_count: usize,
        change_config: impl FnOnce(&mut Value),
        set_faults: impl FnOnce(&SystemFaults),
    ) -> ClusterProcess {
        let spec = NodeSpec { cores: 16, ..NodeSpec::default() };
        let nodes: Vec<NodeServer> =
            (0..node_count).map(|_| NodeServer::start(spec.clone(), |_, _| WORK_US).unwrap()).collect();
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let cluster = ClusterProcess::start_process(&addresses, change_config, set_faults).await;
        ClusterProcess { _nodes: nodes, ..cluster }
    }

    /// Starts the process among nodes that the test has started, and without faults.
    pub async fn start_among(nodes: &[SocketAddr], change_config: impl FnOnce(&mut Value)) -> ClusterProcess {
        ClusterProcess::start_process(nodes, change_config, |_| ()).await
    }

    async fn start_process(
        nodes: &[SocketAddr],
        change_config: impl FnOnce(&mut Value),
        set_faults: impl FnOnce(&SystemFaults),
    ) -> ClusterProcess {
        let discovery = DiscoveryCatalog::start().await.unwrap();
        for (index, node) in nodes.iter().enumerate() {
            let id = format!("s-{index}");
            let entry = json!({"id": id, "host_port": node.to_string(), "locality": "hall",
                "flavor": "std", "cell": index, "phase": "ready", "size": 1.0, "up_since_ms": 0});
            discovery.set(&id, entry);
        }
        let mut text = config(&[], &discovery.address.to_string());
        text["settings"]["Domain"]["Cells"] = json!(nodes.len());
        text["settings"]["Domain"]["Reach"] = json!(nodes.len());
        change_config(&mut text);
        let config_file = NamedTempFile::new().unwrap();
        std::fs::write(config_file.path(), text.to_string()).unwrap();
        let faults = SystemFaults::new(1);
        set_faults(&faults);
        let process = Process::start_with_faults(config_file.path(), &discovery.address.to_string(), &faults);
        let cluster = ClusterProcess {
            process,
            faults,
            _nodes: Vec::new(),
            _discovery: discovery,
            _config: config_file,
        };
        cluster.wait_until_ready().await;
        cluster
    }

    async fn wait_until_ready(&self) {
        within_timeout(async {
            while self.request(HEALTH_REQUEST).await.is_none_or(|response| response.status != 200) {
                sleep_ms(20).await;
            }
        })
        .await;
    }

    /// Sends one request on a new connection. Returns `None` if the connection ended without a complete response.
    pub async fn request(&self, text: &str) -> Option<HttpResponse> {
        let mut client = node_emulator::HttpClient::connect(self.process.listen_address).await.ok()?;
        client.write(text).await.ok()?;
        within_timeout(client.read_response()).await
    }

    /// Sends a query that reads two shards on a new connection.
    pub async fn query(&self, id: &str) -> Option<HttpResponse> {
        self.request(&query_request(id, "lookup", TIME_LEFT_MS, &body(TWO_SHARDS))).await
    }

    /// Sends `count` queries one after another, with ids that start with `id_prefix`.
    pub async fn query_sequentially(&self, id_prefix: &str, count: usize) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for number in 0..count {
            outcomes.count(self.query(&format!("{id_prefix}{number}")).await);
        }
        outcomes
    }

    /// Sends `count` queries concurrently, with ids that start with `id_prefix`.
    pub async fn query_concurrently(&self, id_prefix: &str, count: usize) -> Outcomes {
        let ids: Vec<String> = (0..count).map(|number| format!("{id_prefix}{number}")).collect();
        let mut outcomes = Outcomes::default();
        let responses = futures_util::future::join_all(ids.iter().map(|id| self.query(id))).await;
        responses.into_iter().for_each(|response| outcomes.count(response));
        outcomes
    }

    /// Sends queries one after another for `duration`, with ids that start with `id_prefix`.
    pub async fn query_for(&self, id_prefix: &str, duration: Duration) -> Outcomes {
        let (end, mut outcomes, mut number) = (Instant::now() + duration, Outcomes::default(), 0);
        while Instant::now() < end {
            number += 1;
            outcomes.count(self.query(&format!("{id_prefix}{number}")).await);
        }
        outcomes
    }
}
