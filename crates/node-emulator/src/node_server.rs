//! A server that runs the model of a node on a loopback socket in real time, with the frames of the protocol. It
//! records the received shard requests for the assertions of tests.
//!
//! One thread accepts connections, one completes jobs when they are due, and each connection has a thread of its own.
//! All threads share one lock.

mod connection;

use crate::emulated_node::EmulatedNode;
use crate::frame::SUCCEEDED;
use crate::job::JobId;
use crate::load_report::LoadReport;
use crate::node_spec::NodeSpec;
use crate::node_state::NodeState;
use connection::{Writer, serve, write_response};
use routing::Timestamp;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The maximum number of received shard requests that are recorded. Once it is reached, no more are recorded.
const MAX_RECORDED: usize = 1_000_000;

/// The maximum time for which the thread that completes jobs waits before it checks for due jobs again.
const MAX_COMPLETION_WAIT: Duration = Duration::from_millis(100);

/// A margin added to each wait for a completion, so that the job is due when the wait ends.
const COMPLETION_MARGIN_US: u64 = 50;

const US_PER_TENTH_MS: u64 = 100;

/// The value in every response.
const RESPONSE_VALUE: &[u8] = b"v";

/// A shard request received by a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedShardRequest {
    /// The id that the broker assigned to the shard request.
    pub id: String,
    /// The number of the shard.
    pub shard: u32,
    /// The time of receipt, measured from the start of the server.
    pub at: Timestamp,
    /// The state of the node at the time of receipt.
    pub state: NodeState,
}

/// A function that returns the work of a shard request, in microseconds, for its shard and text.
pub type WorkFunction = fn(u32, &[u8]) -> u64;

/// The id of an accepted connection, in ascending order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// A shard request that the node has accepted and not completed.
struct PendingRequest {
    connection: ConnectionId,
    id: String,
    writer: Writer,
}

struct ServerState {
    node: EmulatedNode,
    pending: BTreeMap<JobId, PendingRequest>,
    jobs: BTreeMap<(ConnectionId, String), JobId>,
    connections: BTreeMap<ConnectionId, TcpStream>,
    last_id: u64,
    received: Vec<ReceivedShardRequest>,
    is_stopped: bool,
}

struct Shared {
    state: Mutex<ServerState>,
    /// Notified when jobs were added or cancelled, and when the server is stopped.
    jobs_changed: Condvar,
    started_at: Instant,
    work: WorkFunction,
}

/// An emulated node that serves on loopback until it is dropped.
pub struct NodeServer {
    /// The address on which the node listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl NodeServer {
    /// Starts a warm node on a free loopback port, with threads of its own.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn start(spec: NodeSpec, work: WorkFunction) -> io::Result<NodeServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Mutex::new(ServerState {
            node: EmulatedNode::new(spec, None),
            pending: BTreeMap::new(),
            jobs: BTreeMap::new(),
            connections: BTreeMap::new(),
            last_id: 0,
            received: Vec::new(),
            is_stopped: false,
        });
        let (jobs_changed, started_at) = (Condvar::new(), Instant::now());
        let shared = Arc::new(Shared { state, jobs_changed, started_at, work });
        let (acceptor, completer) = (shared.clone(), shared.clone());
        std::thread::spawn(move || accept(&acceptor, &listener));
        std::thread::spawn(move || complete_jobs(&completer));
        Ok(NodeServer { address, shared })
    }

    /// Emulates a crash: open connections are shut down, and new ones are dropped.
    pub fn crash(&self) {
        self.shared.lock().crash();
    }

    /// Starts the node again at the same address. It has to warm up.
    pub fn restart(&self) {
        let now = self.shared.now();
        self.shared.lock().node.start(now);
    }

    /// Starts draining, as [`EmulatedNode::drain`] does.
    pub fn drain(&self) {
        self.shared.lock().node.drain();
    }

    /// Sets the speed, as [`EmulatedNode::set_speed`] does.
    pub fn set_speed(&self, speed: f64) {
        self.shared.lock().node.set_speed(speed);
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadReport {
        let now = self.shared.now();
        self.shared.lock().node.load(now)
    }

    /// Returns the first 1,000,000 received shard requests, in order of receipt. Later ones are not recorded.
    pub fn received(&self) -> Vec<ReceivedShardRequest> {
        self.shared.lock().received.clone()
    }
}

impl Drop for NodeServer {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_stopped = true;
        state.crash();
        drop(state);
        self.shared.jobs_changed.notify_all();
        // A connection wakes the accepting thread, which then finds the server stopped and returns.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Timestamp {
        Timestamp((self.started_at.elapsed().as_micros() / u128::from(US_PER_TENTH_MS)) as i64)
    }
}

impl ServerState {
    fn crash(&mut self) {
        self.node.crash();
        self.pending.clear();
        self.jobs.clear();
        for connection in std::mem::take(&mut self.connections).into_values() {
            // Fails if the peer has already closed the connection, which has the same result.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Accepts connections until the server is stopped. While the node is down, connections are dropped once accepted:
/// they can't be refused while the listener keeps the address.
fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut state = shared.lock();
        if state.is_stopped {
            return;
        }
        let Ok(stream) = stream else { continue };
        if state.node.state() == NodeState::Down {
            continue;
        }
        let connection = ConnectionId(state.next_id());
        if let Ok(copy) = stream.try_clone() {
            state.connections.insert(connection, copy);
        }
        drop(state);
        let shared = shared.clone();
        std::thread::spawn(move || {
            let _ = serve(&shared, connection, stream);
            shared.lock().connections.remove(&connection);
        });
    }
}

/// Completes jobs when they are due, until the server is stopped.
fn complete_jobs(shared: &Shared) {
    let mut state = shared.lock();
    while !state.is_stopped {
        let now = shared.now();
        while let Some(job) = state.node.complete(now) {
            let load = state.node.load(now);
            if let Some(request) = state.pending.remove(&job) {
                state.jobs.remove(&(request.connection, request.id.clone()));
                write_response(&request.writer, &request.id, SUCCEEDED, load, RESPONSE_VALUE);
            }
        }
        let wait = state.node.next_completion().map_or(MAX_COMPLETION_WAIT, |completion| {
            let tenths_ms = u64::try_from((completion - shared.now()).0).unwrap_or(0);
            Duration::from_micros(tenths_ms * US_PER_TENTH_MS + COMPLETION_MARGIN_US)
        });
        let waited = shared.jobs_changed.wait_timeout(state, wait.min(MAX_COMPLETION_WAIT));
        state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
}
