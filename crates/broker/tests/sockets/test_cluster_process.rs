//! The program in a process of its own, whose system calls may fail, among emulated nodes.

use super::system_faults::SystemFaults;
use super::test_peers::*;
use node_emulator::{DiscoveryCatalog, NodeServer, NodeSpec};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tempfile::NamedTempFile;

/// The work of a shard request at the nodes, in microseconds.
const WORK_US: u64 = 2000;
const TIME_LEFT_MS: u64 = 10_000;

/// A process of the program, its nodes and its discovery.
pub struct ClusterProcess {
    pub process: Process,
    pub faults: SystemFaults,
    _nodes: Vec<NodeServer>,
    _discovery: DiscoveryCatalog,
    _config: NamedTempFile,
}

/// What became of the queries that were sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    /// The connection was closed or reset without a complete response.
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

    /// All of them served, and none of them anything else.
    pub fn all_served(count: usize) -> Outcomes {
        Outcomes { served: count, ..Outcomes::default() }
    }
}

impl ClusterProcess {
    /// Starts the process among this number of nodes, without faults at first.
    pub async fn start(node_count: usize, change_config: impl FnOnce(&mut Value)) -> ClusterProcess {
        ClusterProcess::start_with_faults(node_count, change_config, |_| ()).await
    }

    /// Starts the process with faults from its first call on, and waits until it is ready.
    pub async fn start_with_faults(
        node_count: usize,
        change_config: impl FnOnce(&mut Value),
        set_faults: impl FnOnce(&SystemFaults),
    ) -> ClusterProcess {
        let spec = NodeSpec { cores: 16, ..NodeSpec::default() };
        let nodes: Vec<NodeServer> =
            (0..node_count).map(|_| NodeServer::start(spec.clone(), |_, _| WORK_US).unwrap()).collect();
        let discovery = DiscoveryCatalog::start().await.unwrap();
        for (at, node) in nodes.iter().enumerate() {
            let id = format!("s-{at}");
            let entry = json!({"id": id, "host_port": node.address.to_string(), "locality": "hall",
                "flavor": "std", "cell": at, "phase": "ready", "size": 1.0, "up_since_ms": 0});
            discovery.set(&id, entry);
        }
        let mut text = config(&[], &discovery.address.to_string());
        text["settings"]["Domain"]["Cells"] = json!(node_count);
        text["settings"]["Domain"]["Reach"] = json!(node_count);
        change_config(&mut text);
        let file = NamedTempFile::new().unwrap();
        std::fs::write(file.path(), text.to_string()).unwrap();
        let faults = SystemFaults::new(1);
        set_faults(&faults);
        let process = Process::start_with_faults(file.path(), &discovery.address.to_string(), &faults);
        let cluster = ClusterProcess { process, faults, _nodes: nodes, _discovery: discovery, _config: file };
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

    /// One request on a connection of its own; `None`: the connection ended without a complete response.
    pub async fn request(&self, text: &str) -> Option<HttpResponse> {
        let mut client = node_emulator::HttpClient::connect(self.process.listens).await.ok()?;
        client.write(text).await.ok()?;
        within_timeout(client.read_response()).await
    }

    /// Sends a query.
    pub async fn query(&self, id: &str) -> Option<HttpResponse> {
        self.request(&query_request(id, "lookup", TIME_LEFT_MS, &body(TWO_SHARDS))).await
    }

    /// Sends queries one after another.
    pub async fn query_in_turn(&self, name: &str, count: usize) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for number in 0..count {
            outcomes.count(self.query(&format!("{name}{number}")).await);
        }
        outcomes
    }

    /// Sends queries side by side.
    pub async fn query_together(&self, name: &str, count: usize) -> Outcomes {
        let ids: Vec<String> = (0..count).map(|number| format!("{name}{number}")).collect();
        let mut outcomes = Outcomes::default();
        let responses = futures_util::future::join_all(ids.iter().map(|id| self.query(id))).await;
        responses.into_iter().for_each(|response| outcomes.count(response));
        outcomes
    }

    /// Sends queries one after another for this time.
    pub async fn query_for(&self, name: &str, duration: Duration) -> Outcomes {
        let (until, mut outcomes, mut number) = (Instant::now() + duration, Outcomes::default(), 0);
        while Instant::now() < until {
            number += 1;
            outcomes.count(self.query(&format!("{name}{number}")).await);
        }
        outcomes
    }
}
