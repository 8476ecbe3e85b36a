//! A broker among the scripted peers of `node_emulator`, and helpers that the tests share.

pub use super::test_process::Process;
use broker::engine::{QueryRequest, RequestedShard};
use broker::{RunningBroker, StartupConfig};
use bytes::Bytes;
use node_emulator::{HttpClient, ScriptedDiscovery};
pub use node_emulator::{
    HttpResponse, PeerEvent, ReceivedEvent, ScriptedNode, ShardRequest, encode_frame, query_request,
};
use routing::{ClassId, ShardId, TenantId, TimeSpan};
use serde_json::{Value, json};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// The shards of a query, each with its weight.
pub const TWO_SHARDS: &[(u32, f64)] = &[(3, 0.5), (9, 0.5)];
pub const ONE_SHARD: &[(u32, f64)] = &[(3, 1.0)];

pub const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

/// Runs a test on an `actix_rt` runtime, as the program has.
pub fn run_test(test: impl Future<Output = ()>) {
    actix_rt::Runtime::new().unwrap().block_on(test);
}

/// Awaits `future`; panics after 30 s, which is long enough for a busy machine.
pub async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(30), future).await.expect("timed out after 30 s")
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    within_timeout(async {
        while !condition() {
            sleep_ms(5).await;
        }
    })
    .await;
}

/// Reads from a connection until its end; panics if the connection is reset.
pub async fn read_to_end(mut client: TcpStream) -> String {
    let mut text = String::new();
    within_timeout(client.read_to_string(&mut text)).await.expect("connection reset before its end");
    text
}

/// Returns a query as the HTTP server submits it to the engine.
pub fn engine_query(id: &'static str, class: u16, text: Bytes) -> QueryRequest {
    QueryRequest {
        id: Bytes::from_static(id.as_bytes()),
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: tokio::time::Instant::now() + Duration::from_secs(60),
        work: TimeSpan::ZERO,
        shard_requests: vec![RequestedShard { shard: ShardId(3), weight: 1.0 }],
        retained_bytes: text.len(),
        text,
    }
}

/// A listener whose accept queue is full: a further connection is established only after one in the queue was
/// accepted.
pub struct FullListener {
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<std::net::TcpStream>,
}

impl FullListener {
    pub fn bind() -> FullListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let fill = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let fillers = std::iter::from_fn(|| fill().ok()).collect();
        FullListener { address, listener, fillers }
    }

    /// Accepts the connections that fill the queue, and returns the next one.
    pub async fn accept_after_fillers(self) -> TcpStream {
        for _ in self.fillers {
            within_timeout(self.listener.accept()).await.unwrap();
        }
        within_timeout(self.listener.accept()).await.unwrap().0
    }

    /// Accepts the connections that fill the queue, and returns all bytes received on the next one.
    pub async fn read_after_fillers(self) -> Vec<u8> {
        let mut connection = self.accept_after_fillers().await;
        let mut received = Vec::new();
        within_timeout(connection.read_to_end(&mut received)).await.unwrap();
        received
    }
}

/// A broker with its nodes and its discovery. Every node holds every shard.
pub struct TestCluster {
    pub broker: RunningBroker,
    pub nodes: Vec<ScriptedNode>,
    pub discovery: Discovery,
    /// The events at the nodes, each with the index of the node and of the connection.
    pub events: mpsc::UnboundedReceiver<ReceivedEvent>,
}

/// Returns the entry of the node `nodes[index]` in an endpoint list. `phase` is its state: `ready` or `draining`.
pub fn member(nodes: &[ScriptedNode], index: usize, phase: &str) -> Value {
    json!({"id": format!("s-{index}"), "host_port": nodes[index].address.to_string(), "locality": "hall",
        "flavor": "std", "cell": index, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Returns a snapshot of an endpoint list.
pub fn snapshot(revision: u64, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": true, "members": members})
}

/// Returns a config file. Its class `report` allows partial responses, and its class `once` is at-most-once. The
/// registry mode is `subscribe`, so the broker serves by the cached list until discovery answers.
pub fn config(nodes: &[ScriptedNode], discovery: &str) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "OnTimeMs": 8000.0, "DeadlineMs": 16000.0, "Worth": 1.0, "LateShare": 0.1,
            "Effect": effect, "DedupWindowMs": 5000.0})
    };
    let members: Vec<Value> = (0..nodes.len()).map(|index| member(nodes, index, "ready")).collect();
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
            "Rules": {"AskWithinMs": 50000.0, "StopSendingWithinMs": 250.0, "ColdFrom": 0.2,
                "WarmUpMs": 17000.0, "OverloadFactor": 3.0, "OverloadForMs": 1000.0}}})
}

/// Sets the registry mode to `automatic`, in which discovery is a local agent.
pub fn use_local_agent(config: &mut Value) {
    config["settings"]["RegistryMode"] = json!("automatic");
}

impl TestCluster {
    pub async fn start(node_count: usize) -> TestCluster {
        TestCluster::start_with(node_count, |_| (), |_| ()).await
    }

    /// Starts a cluster with changes to the config file and to the startup configuration that was read from it.
    pub async fn start_with(
        node_count: usize,
        change_config: impl FnOnce(&mut Value),
        change_startup: impl FnOnce(&mut StartupConfig),
    ) -> TestCluster {
        TestCluster::start_with_operator_config(
            node_count,
            change_config,
            change_startup,
            broker::OperatorConfig::default(),
        )
        .await
    }

    /// Starts a cluster like [`TestCluster::start_with`], with an operator's file.
    pub async fn start_with_operator_config(
        node_count: usize,
        change_config: impl FnOnce(&mut Value),
        change_startup: impl FnOnce(&mut StartupConfig),
        operator: broker::OperatorConfig,
    ) -> TestCluster {
        let (sender, events) = mpsc::unbounded_channel();
        let mut nodes = Vec::new();
        for index in 0..node_count {
            nodes.push(ScriptedNode::start(index, sender.clone()).await.unwrap());
        }
        let discovery = Discovery::start().await;
        let mut text = config(&nodes, &discovery.address().to_string());
        change_config(&mut text);
        let mut startup = StartupConfig::read(text.to_string().as_bytes(), |_| None).unwrap();
        change_startup(&mut startup);
        let broker = broker::start_with_operator_config(startup, operator).await.unwrap();
        TestCluster { broker, nodes, discovery, events }
    }

    /// Returns the next event at any node, with the index of the node and of the connection.
    pub async fn next_event(&mut self) -> (usize, usize, PeerEvent) {
        let received = within_timeout(self.events.recv()).await.unwrap();
        (received.node, received.connection, received.event)
    }

    /// Returns the shard requests of the next batch at any node, with the index of the node and of the connection;
    /// panics if another event comes first.
    pub async fn next_batch(&mut self) -> (usize, usize, Vec<ShardRequest>) {
        match self.next_event().await {
            (node, connection, PeerEvent::Batch(shard_requests)) => (node, connection, shard_requests),
            other => panic!("expected a batch, received {other:?}"),
        }
    }

    /// Returns the next batch like [`TestCluster::next_batch`], but discards other events before it.
    pub async fn next_batch_skipping_events(&mut self) -> (usize, usize, Vec<ShardRequest>) {
        loop {
            if let (node, connection, PeerEvent::Batch(shard_requests)) = self.next_event().await {
                return (node, connection, shard_requests);
            }
        }
    }

    /// Answers the shard request `id` of the next batch with a value, and returns the index of the node.
    pub async fn answer_next_batch(&mut self, id: &str) -> usize {
        let (node, connection, _) = self.next_batch().await;
        self.nodes[node].respond(connection, id, 'S', "v").await;
        node
    }

    /// Returns whether no event is pending; a pending event is consumed.
    pub fn has_no_event(&mut self) -> bool {
        self.events.try_recv().is_err()
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.broker.listen_address).await
    }

    /// Connects a client and sends a query that reads `shards`; returns the client.
    pub async fn send_query(&self, id: &str, class: &str, shards: &[(u32, f64)]) -> Client {
        let mut client = self.client().await;
        client.write(&query_request(id, class, 100_000, &body(shards))).await;
        client
    }
}

/// Returns the body of a query that reads these shards with these weights.
pub fn body(shards: &[(u32, f64)]) -> String {
    node_emulator::query_body(shards, "c41e77d0")
}

/// A client that panics on errors.
pub struct Client {
    client: HttpClient,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        Client { client: HttpClient::connect(address).await.unwrap() }
    }

    pub async fn write(&mut self, text: &str) {
        self.client.write(text).await.unwrap();
    }

    /// Returns the next response, or `None` if the broker closed the connection.
    pub async fn reply(&mut self) -> Option<HttpResponse> {
        within_timeout(self.client.read_response()).await
    }

    /// Returns the status of the next response; panics if the broker closed the connection.
    pub async fn reply_status(&mut self) -> u16 {
        self.reply().await.unwrap().status
    }
}

/// A discovery service whose responses the test scripts.
pub struct Discovery {
    discovery: ScriptedDiscovery,
}

impl Discovery {
    pub async fn start() -> Discovery {
        Discovery { discovery: ScriptedDiscovery::start().await.unwrap() }
    }

    pub fn address(&self) -> SocketAddr {
        self.discovery.address
    }

    pub fn reply(&self, body: impl ToString) {
        self.discovery.respond(body);
    }

    /// Waits for the next request and returns its path.
    pub async fn next_request(&mut self) -> String {
        within_timeout(self.discovery.next_request()).await.unwrap()
    }
}
