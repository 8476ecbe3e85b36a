//! A soak test with random faults, chosen by seed. Brokers are restarted, with several SIGTERM and SIGHUP signals
//! in a row and SIGKILL as early as the specification allows; processes are paused; nodes drain, crash and return;
//! watches become unresponsive; some runs hold many idle client connections. Clients use their connections until
//! the broker closes them. The test fails on a request without a final response, an at-most-once query that ran
//! twice, or a shard request sent to a draining node; none of these may happen in any order of the events.
//!
//! `SOAK_SEEDS=1..51` runs other seeds than the two of CI.

use super::test_peers::*;
use fastrand::Rng;
use node_emulator::{DiscoveryCatalog, HttpClient, NodeServer, NodeSpec, NodeState};
use rstest::rstest;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tempfile::NamedTempFile;

/// The seeds that run in CI.
const CI_SEEDS: Range<u64> = 1..3;
/// The duration of the run of one seed.
const DURATION: Duration = Duration::from_secs(10);
const BROKERS: usize = 2;
const NODES: usize = 4;
const CLIENTS: usize = 8;
/// The number of idle client connections in the runs that hold them.
const IDLE_CONNECTIONS: usize = 150;
/// The processing time of a shard request at a node, in microseconds.
const WORK_US: u64 = 5000;
/// The first letter of the ids of at-most-once queries.
const AT_MOST_ONCE_PREFIX: char = 'o';
/// The time for which a process is paused, in milliseconds.
const PAUSE_MS: u64 = 150;
/// SIGKILL follows this long after the longest deadline, which is counted from SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The time after its deadline within which a final response must come; half of it is for a busy machine.
const RESPONSE_SLACK: Duration = Duration::from_millis(1000);
/// The drain grace period of a broker that runs on real sockets, plus an allowance for a busy machine.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 400);

/// A broker, which is a sequence of processes with the same config.
struct Broker {
    address: Cell<SocketAddr>,
    config: NamedTempFile,
}

/// The state of one run: brokers, nodes, discovery, and the outcomes of the requests.
struct Soak {
    seed: u64,
    deadline: Duration,
    end: Instant,
    brokers: Vec<Broker>,
    nodes: Vec<NodeServer>,
    discovery: DiscoveryCatalog,
    discovery_address: String,
    /// Descriptions of requests that ended without a complete response.
    unanswered: RefCell<Vec<String>>,
    /// Ids of requests on reused connections that were closed without a response. Each request was retried under
    /// another id, and no node may have received the first one.
    retried: RefCell<BTreeSet<String>>,
    responses_by_status: RefCell<BTreeMap<u16, usize>>,
}

impl Soak {
    async fn start(seed: u64) -> Rc<Soak> {
        let spec = NodeSpec { cores: 16, ..NodeSpec::default() };
        let nodes: Vec<NodeServer> =
            (0..NODES).map(|_| NodeServer::start(spec.clone(), |_, _| WORK_US).unwrap()).collect();
        let discovery = DiscoveryCatalog::start().await.unwrap();
        let discovery_address = discovery.address.to_string();
        let deadline = Duration::from_millis(if seed.is_multiple_of(2) { 700 } else { 2000 });
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let start_broker =
            |_| Broker { address: Cell::new(unset), config: config_file(&discovery_address, deadline) };
        let brokers = (0..BROKERS).map(start_broker).collect();
        let end = Instant::now() + DURATION;
        let soak = Soak {
            seed,
            deadline,
            end,
            brokers,
            nodes,
            discovery,
            discovery_address,
            unanswered: RefCell::default(),
            retried: RefCell::default(),
            responses_by_status: RefCell::default(),
        };
        (0..NODES).for_each(|node| soak.set_node_phase(node, "ready"));
        Rc::new(soak)
    }

    fn set_node_phase(&self, node: usize, phase: &str) {
        let id = format!("s-{node}");
        let entry = json!({"id": id, "host_port": self.nodes[node].address.to_string(), "locality": "hall",
            "flavor": "std", "cell": node, "phase": phase, "size": 1.0, "up_since_ms": 0});
        self.discovery.set(&id, entry);
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    /// Starts a process for a broker, and directs new connections to it once it is ready.
    async fn start_process(&self, broker: usize) -> Process {
        let process = Process::start(self.brokers[broker].config.path(), &self.discovery_address);
        process.discard_log();
        within_timeout(async {
            while !is_ready(process.listen_address).await {
                sleep_ms(10).await;
            }
        })
        .await;
        self.brokers[broker].address.set(process.listen_address);
        process
    }

    /// Restarts a broker repeatedly. Each successor is ready before SIGTERM, and SIGKILL comes as early as allowed.
    async fn restart_broker(&self, broker: usize, mut process: Process, mut rng: Rng) {
        while !self.is_over() {
            sleep_ms(rng.u64(200..1500)).await;
            process.signal("STOP");
            sleep_ms(PAUSE_MS).await;
            process.signal("CONT");
            let successor = self.start_process(broker).await;
            let signalled_at = Instant::now();
            for signal in ["TERM", "HUP", "TERM", "HUP"].iter().take(rng.usize(1..5)) {
                process.signal(signal);
                sleep_ms(rng.u64(0..60)).await;
            }
            tokio::time::sleep_until((signalled_at + self.deadline + KILL_MARGIN).into()).await;
            let code = process.kill();
            assert!(
                matches!(code, None | Some(0)),
                "seed {}: expected exit code 0 or SIGKILL, found {code:?}",
                self.seed
            );
            process = successor;
        }
    }

    /// Injects faults until the run is over: drains or crashes a node, or makes discovery unresponsive.
    async fn inject_faults(&self, mut rng: Rng) {
        while !self.is_over() {
            sleep_ms(rng.u64(100..700)).await;
            let node = rng.usize(0..NODES);
            match rng.u32(0..3) {
                0 => self.drain_node(node).await,
                1 => {
                    self.nodes[node].crash();
                    sleep_ms(rng.u64(50..500)).await;
                    self.nodes[node].restart();
                }
                _ => {
                    self.discovery.set_unresponsive(true);
                    sleep_ms(rng.u64(50..800)).await;
                    self.discovery.set_unresponsive(false);
                }
            }
        }
    }

    /// Drains a node, and checks that the node receives no shard request after the drain grace period.
    async fn drain_node(&self, node: usize) {
        self.set_node_phase(node, "draining");
        tokio::time::sleep(DRAIN_GRACE).await;
        let before = self.nodes[node].received().len();
        sleep_ms(300).await;
        let after = self.nodes[node].received().len();
        assert_eq!(
            before, after,
            "seed {}: a draining node received shard requests after its grace period",
            self.seed
        );
        self.set_node_phase(node, "ready");
    }

    /// Sends requests one after another, and reuses the connection until the broker closes it.
    async fn run_client(&self, client: usize, mut rng: Rng) {
        let (mut number, mut open_connection) = (0, None);
        while !self.is_over() {
            number += 1;
            let (class, id_prefix) =
                if rng.u32(0..4) == 0 { ("once", AT_MOST_ONCE_PREFIX) } else { ("lookup", 'l') };
            let id = format!("{id_prefix}{}x{client}x{number}", self.seed);
            open_connection = self.exchange(&id, class, open_connection, rng.usize(0..BROKERS)).await;
            if rng.u32(0..20) == 0 {
                open_connection = None;
            }
            sleep_ms(rng.u64(0..10)).await;
        }
    }

    /// Sends one request and waits for its final response. Returns the connection if it stays open.
    async fn exchange(
        &self,
        id: &str,
        class: &str,
        open_connection: Option<HttpClient>,
        broker: usize,
    ) -> Option<HttpClient> {
        if let Some(mut connection) = open_connection {
            match self.try_exchange(&mut connection, id, class).await {
                Ok(true) => return Some(connection),
                Ok(false) => return None,
                // The broker closed the connection while the request was on its way.
                Err(()) => _ = self.retried.borrow_mut().insert(id.to_owned()),
            }
        }
        let address = self.brokers[broker].address.get();
        let Ok(mut connection) = HttpClient::connect(address).await else { return None };
        let retry_id = format!("{id}a");
        match self.try_exchange(&mut connection, &retry_id, class).await {
            Ok(is_open) => is_open.then_some(connection),
            Err(()) => {
                self.unanswered
                    .borrow_mut()
                    .push(format!("{retry_id}: new connection closed without a response"));
                None
            }
        }
    }

    /// Sends one request and returns whether the connection stays open; returns an error if the connection ended
    /// without a complete response.
    async fn try_exchange(&self, connection: &mut HttpClient, id: &str, class: &str) -> Result<bool, ()> {
        let time_left_ms = self.deadline.as_millis() as u64;
        connection.write(&query_request(id, class, time_left_ms, &body(TWO_SHARDS))).await.map_err(|_| ())?;
        let time_limit = self.deadline + RESPONSE_SLACK;
        let Ok(response) = tokio::time::timeout(time_limit, connection.read_response()).await else {
            self.unanswered.borrow_mut().push(format!("{id}: no response within its deadline"));
            return Ok(false);
        };
        let response = response.ok_or(())?;
        *self.responses_by_status.borrow_mut().entry(response.status).or_default() += 1;
        Ok(!response.head.contains("connection: close"))
    }

    /// Holds idle connections, and replaces the oldest one when there are too many.
    async fn hold_idle_connections(&self) {
        let mut idle = Vec::new();
        while !self.is_over() {
            let address = self.brokers[0].address.get();
            if let Ok(connection) = HttpClient::connect(address).await {
                idle.push(connection);
            }
            if idle.len() > IDLE_CONNECTIONS {
                idle.remove(0);
            }
            sleep_ms(10).await;
        }
    }

    fn check(&self) {
        let seed = self.seed;
        let mut unanswered = self.unanswered.borrow().clone();
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for request in self.nodes.iter().flat_map(NodeServer::received) {
            let query = request.id.split('.').next().unwrap_or_default();
            if self.retried.borrow().contains(query) {
                unanswered.push(format!(
                    "{}: forwarded to a node, but its connection was closed without a response",
                    request.id
                ));
            }
            if request.state == NodeState::Ready && request.id.starts_with(AT_MOST_ONCE_PREFIX) {
                *runs.entry(request.id).or_default() += 1;
            }
        }
        runs.retain(|_, runs| *runs > 1);
        assert!(
            runs.is_empty(),
            "seed {seed}: at-most-once shard requests that ran more than once: {runs:#?}"
        );
        assert!(unanswered.is_empty(), "seed {seed}: requests without a final response: {unanswered:#?}");
        let responses_by_status = self.responses_by_status.borrow();
        println!(
            "seed {seed}: responses by status {responses_by_status:?}, {} requests retried",
            self.retried.borrow().len()
        );
        let served = responses_by_status.get(&200).copied().unwrap_or_default();
        assert!(
            2 * served > responses_by_status.values().sum(),
            "seed {seed}: at most half of the responses have status 200: {responses_by_status:?}"
        );
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut client) = HttpClient::connect(address).await else { return false };
    let _ = client.write(HEALTH_REQUEST).await;
    client.read_response().await.is_some_and(|response| response.status == 200)
}

fn config_file(discovery: &str, deadline: Duration) -> NamedTempFile {
    let mut text = config(&[], discovery);
    use_local_agent(&mut text);
    let deadline_ms = deadline.as_millis() as f64;
    for class in text["settings"]["Services"].as_array_mut().unwrap() {
        class["OnTimeMs"] = json!(deadline_ms / 2.0);
        class["DeadlineMs"] = json!(deadline_ms);
    }
    text["settings"]["Domain"]["Cells"] = json!(NODES);
    text["settings"]["Domain"]["Reach"] = json!(NODES);
    text["settings"]["Limits"]["ConnectTimeoutMs"] = json!(250.0);
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text.to_string()).unwrap();
    file
}

async fn run_seed(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let soak = Soak::start(seed).await;
    let mut processes = Vec::new();
    for broker in 0..BROKERS {
        processes.push(soak.start_process(broker).await);
    }
    let clients = (0..CLIENTS).map(|client| soak.run_client(client, rng.fork()));
    let clients = futures_util::future::join_all(clients.collect::<Vec<_>>());
    let restarts = processes.into_iter().enumerate();
    let restarts = restarts.map(|(broker, process)| soak.restart_broker(broker, process, rng.fork()));
    let restarts = futures_util::future::join_all(restarts.collect::<Vec<_>>());
    let idle_connections = async {
        if seed.is_multiple_of(3) {
            soak.hold_idle_connections().await;
        }
    };
    tokio::join!(clients, restarts, soak.inject_faults(rng.fork()), idle_connections);
    soak.check();
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// Guards against requests without a final response under the combined faults that the module documentation
/// describes.
#[rstest]
fn every_request_gets_a_final_response() {
    for seed in seeds() {
        run_test(run_seed(seed));
    }
}
