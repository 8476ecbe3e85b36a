//! A soak test, by seed. Brokers are restarted, with SIGTERM in series and SIGKILL as early as the pages allow;
//! processes are paused; nodes drain, crash and return; watches fall silent; some runs have a crowd of idle
//! clients. Clients use their open connections until they are closed. A fault shows as a request without a
//! final response, as a query that ran twice though it may run at most once, or as a shard request sent to a
//! draining node. None of these may happen, whatever the order of events.
//!
//! `SOAK_SEEDS=1..51` plays other seeds than the two of CI.

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

/// The seeds that CI plays.
const CI_SEEDS: Range<u64> = 1..3;
/// How long one seed is played.
const DURATION: Duration = Duration::from_secs(10);
const BROKERS: usize = 2;
const NODES: usize = 4;
const CLIENTS: usize = 8;
/// Idle connections in the runs with a crowd.
const CROWD: usize = 150;
/// The work of a shard request at the nodes, in microseconds.
const WORK_US: u64 = 5000;
/// The first letter of ids of queries that may run at most once.
const ONCE: char = 'o';
/// How long a process is paused, in milliseconds.
const HOLD_UP_MS: u64 = 150;
/// SIGKILL comes this long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How late a final response may be; half of it is for a busy machine.
const ANSWER_SLACK: Duration = Duration::from_millis(1000);
/// The drain grace on sockets, and what a busy machine may add.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 400);

/// One broker: the process that takes new connections, and what it is started from.
struct Broker {
    address: Cell<SocketAddr>,
    config: NamedTempFile,
}

/// One run: the brokers, nodes and discovery, and what became of the requests.
struct Soak {
    seed: u64,
    deadline: Duration,
    until: Instant,
    brokers: Vec<Broker>,
    nodes: Vec<NodeServer>,
    discovery: DiscoveryCatalog,
    discovery_address: String,
    /// Requests that ended without a complete response, and how.
    lost: RefCell<Vec<String>>,
    /// Requests whose open connection was closed without a response, and that were sent again under another id. No node
    /// may have received the first.
    sent_again: RefCell<BTreeSet<String>>,
    answered: RefCell<BTreeMap<u16, usize>>,
}

impl Soak {
    async fn start(seed: u64) -> Rc<Soak> {
        let spec = NodeSpec { cores: 16, ..NodeSpec::default() };
        let nodes: Vec<NodeServer> =
            (0..NODES).map(|_| NodeServer::start(spec.clone(), |_, _| WORK_US).unwrap()).collect();
        let discovery = DiscoveryCatalog::start().await.unwrap();
        let discovery_address = discovery.address.to_string();
        let deadline = Duration::from_millis(if seed.is_multiple_of(2) { 700 } else { 2000 });
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let start_broker =
            |_| Broker { address: Cell::new(nowhere), config: config_file(&discovery_address, deadline) };
        let brokers = (0..BROKERS).map(start_broker).collect();
        let until = Instant::now() + DURATION;
        let soak = Soak {
            seed,
            deadline,
            until,
            brokers,
            nodes,
            discovery,
            discovery_address,
            lost: RefCell::default(),
            sent_again: RefCell::default(),
            answered: RefCell::default(),
        };
        (0..NODES).for_each(|node| soak.list_node(node, "ready"));
        Rc::new(soak)
    }

    fn list_node(&self, node: usize, phase: &str) {
        let id = format!("s-{node}");
        let entry = json!({"id": id, "host_port": self.nodes[node].address.to_string(), "locality": "hall",
            "flavor": "std", "cell": node, "phase": phase, "size": 1.0, "up_since_ms": 0});
        self.discovery.set(&id, entry);
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.until
    }

    /// Starts a process for a broker; new connections go to it once it is ready.
    async fn start_process(&self, broker: usize) -> Process {
        let process = Process::start(self.brokers[broker].config.path(), &self.discovery_address);
        process.discard_log();
        within_timeout(async {
            while !is_ready(process.listens).await {
                sleep_ms(10).await;
            }
        })
        .await;
        self.brokers[broker].address.set(process.listens);
        process
    }

    /// Restarts a broker again and again: its successor is ready before SIGTERM, and SIGKILL comes as early as allowed.
    async fn restart_broker(&self, broker: usize, mut process: Process, mut rng: Rng) {
        while !self.is_over() {
            sleep_ms(rng.u64(200..1500)).await;
            process.signal("STOP");
            sleep_ms(HOLD_UP_MS).await;
            process.signal("CONT");
            let successor = self.start_process(broker).await;
            let signalled_at = Instant::now();
            for signal in ["TERM", "HUP", "TERM", "HUP"].iter().take(rng.usize(1..5)) {
                process.signal(signal);
                sleep_ms(rng.u64(0..60)).await;
            }
            tokio::time::sleep_until((signalled_at + self.deadline + KILL_MARGIN).into()).await;
            let code = process.kill();
            assert!(matches!(code, None | Some(0)), "seed {}: exit code {code:?}", self.seed);
            process = successor;
        }
    }

    /// Nodes drain, crash and restart; watches fall silent.
    async fn disturb_nodes(&self, mut rng: Rng) {
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

    /// A node drains: past the drain grace it receives nothing new.
    async fn drain_node(&self, node: usize) {
        self.list_node(node, "draining");
        tokio::time::sleep(DRAIN_GRACE).await;
        let before = self.nodes[node].received().len();
        sleep_ms(300).await;
        let after = self.nodes[node].received().len();
        assert_eq!(before, after, "seed {}: sent to a draining node", self.seed);
        self.list_node(node, "ready");
    }

    /// Sends requests one after another, on a connection that is used until the broker closes it.
    async fn run_client(&self, client: usize, mut rng: Rng) {
        let (mut number, mut kept) = (0, None);
        while !self.is_over() {
            number += 1;
            let (class, kind) = if rng.u32(0..4) == 0 { ("once", ONCE) } else { ("lookup", 'l') };
            let id = format!("{kind}{}x{client}x{number}", self.seed);
            kept = self.exchange(&id, class, kept, rng.usize(0..BROKERS)).await;
            if rng.u32(0..20) == 0 {
                kept = None;
            }
            sleep_ms(rng.u64(0..10)).await;
        }
    }

    /// One request to its final response; returns the connection, if it stays open.
    async fn exchange(
        &self,
        id: &str,
        class: &str,
        kept: Option<HttpClient>,
        broker: usize,
    ) -> Option<HttpClient> {
        if let Some(mut connection) = kept {
            match self.try_exchange(&mut connection, id, class).await {
                Ok(true) => return Some(connection),
                Ok(false) => return None,
                // The broker closed it while the request was on its way.
                Err(()) => _ = self.sent_again.borrow_mut().insert(id.to_owned()),
            }
        }
        let address = self.brokers[broker].address.get();
        let Ok(mut connection) = HttpClient::connect(address).await else { return None };
        let again = format!("{id}a");
        match self.try_exchange(&mut connection, &again, class).await {
            Ok(is_open) => is_open.then_some(connection),
            Err(()) => {
                self.lost.borrow_mut().push(format!("{again}: closed with no answer on a new connection"));
                None
            }
        }
    }

    /// Whether the connection stays open; `Err`: it ended without a complete response.
    async fn try_exchange(&self, connection: &mut HttpClient, id: &str, class: &str) -> Result<bool, ()> {
        let time_left_ms = self.deadline.as_millis() as u64;
        connection.write(&query_request(id, class, time_left_ms, &body(TWO_SHARDS))).await.map_err(|_| ())?;
        let time_limit = self.deadline + ANSWER_SLACK;
        let Ok(response) = tokio::time::timeout(time_limit, connection.read_response()).await else {
            self.lost.borrow_mut().push(format!("{id}: no answer in its time"));
            return Ok(false);
        };
        let response = response.ok_or(())?;
        *self.answered.borrow_mut().entry(response.status).or_default() += 1;
        Ok(!response.head.contains("connection: close"))
    }

    /// Holds idle connections, and replaces those that are closed.
    async fn run_crowd(&self) {
        let mut idle = Vec::new();
        while !self.is_over() {
            let address = self.brokers[0].address.get();
            if let Ok(connection) = HttpClient::connect(address).await {
                idle.push(connection);
            }
            if idle.len() > CROWD {
                idle.remove(0);
            }
            sleep_ms(10).await;
        }
    }

    fn check(&self) {
        let seed = self.seed;
        let mut lost = self.lost.borrow().clone();
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for request in self.nodes.iter().flat_map(NodeServer::received) {
            let query = request.id.split('.').next().unwrap_or_default();
            if self.sent_again.borrow().contains(query) {
                lost.push(format!("{}: forwarded, and its connection closed with no answer", request.id));
            }
            if request.state == NodeState::Ready && request.id.starts_with(ONCE) {
                *runs.entry(request.id).or_default() += 1;
            }
        }
        runs.retain(|_, runs| *runs > 1);
        assert!(runs.is_empty(), "seed {seed}: run more than once {runs:#?}");
        assert!(lost.is_empty(), "seed {seed}: lost {lost:#?}");
        let answered = self.answered.borrow();
        println!("seed {seed}: {answered:?}, {} sent again", self.sent_again.borrow().len());
        let served = answered.get(&200).copied().unwrap_or_default();
        assert!(2 * served > answered.values().sum(), "seed {seed}: {answered:?}");
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

async fn play(seed: u64) {
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
    let crowd = async {
        if seed.is_multiple_of(3) {
            soak.run_crowd().await;
        }
    };
    tokio::join!(clients, restarts, soak.disturb_nodes(rng.fork()), crowd);
    soak.check();
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// Everything at once breaks: see the top of the file. Each request must have its one final response.
#[rstest]
fn every_request_is_answered() {
    for seed in seeds() {
        run_test(play(seed));
    }
}
