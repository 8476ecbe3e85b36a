//! The model of a node on a loopback socket, with the frames of the protocol and in real time. It records what it
//! received, so that a test can check the rules by that.
//!
//! One thread accepts connections, one completes jobs as they come due, and one serves each connection. They share
//! one lock.

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

/// Received shard requests are recorded up to this many.
const MAX_RECORDED: usize = 1_000_000;

/// The thread that completes jobs looks again after this at the latest.
const MAX_COMPLETION_WAIT: Duration = Duration::from_millis(100);

/// Added to a wait for a completion, so that the job is due when it ends.
const COMPLETION_MARGIN_US: u64 = 50;

const US_PER_TENTH: u64 = 100;

/// The value of every response.
const RESPONSE_VALUE: &[u8] = b"v";

/// A shard request as its node received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedShardRequest {
    /// Its id.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// Since the server was started.
    pub at: Timestamp,
    /// The node's state at that moment.
    pub state: NodeState,
}

/// Microseconds of work of a shard request, by its shard and its text.
pub type WorkFunction = fn(u32, &[u8]) -> u64;

/// An accepted connection, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// A shard request that the node has not finished.
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
    /// Jobs were added or cancelled, or the server was stopped.
    jobs_changed: Condvar,
    started_at: Instant,
    work: WorkFunction,
}

/// A node that serves on loopback, until this is dropped.
pub struct NodeServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl NodeServer {
    /// Listens on a free port, with threads of its own.
    ///
    /// # Errors
    /// As of the socket.
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

    /// Ends its process: connections are reset, and new ones are dropped.
    pub fn crash(&self) {
        self.shared.lock().crash();
    }

    /// Starts it again under its address; it has to warm up.
    pub fn restart(&self) {
        let now = self.shared.now();
        self.shared.lock().node.start(now);
    }

    /// As [`EmulatedNode::drain`].
    pub fn drain(&self) {
        self.shared.lock().node.drain();
    }

    /// As [`EmulatedNode::set_speed`].
    pub fn set_speed(&self, speed: f64) {
        self.shared.lock().node.set_speed(speed);
    }

    /// Its load at this moment.
    pub fn load(&self) -> LoadReport {
        let now = self.shared.now();
        self.shared.lock().node.load(now)
    }

    /// Shard requests that it received, in their order.
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
        // A connection wakes the accepting thread, which then sees that the server is stopped.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Timestamp {
        Timestamp((self.started_at.elapsed().as_micros() / u128::from(US_PER_TENTH)) as i64)
    }
}

impl ServerState {
    fn crash(&mut self) {
        self.node.crash();
        self.pending.clear();
        self.jobs.clear();
        for connection in std::mem::take(&mut self.connections).into_values() {
            // Fails where the peer has closed it already, which is as good.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Accepts connections. Without a process they are dropped as they come: as near to a refusal as loopback allows
/// while the address is kept.
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

/// Completes jobs as they come due.
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
            let tenths = u64::try_from((completion - shared.now()).0).unwrap_or(0);
            Duration::from_micros(tenths * US_PER_TENTH + COMPLETION_MARGIN_US)
        });
        let waited = shared.jobs_changed.wait_timeout(state, wait.min(MAX_COMPLETION_WAIT));
        state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
}
