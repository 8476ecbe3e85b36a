//! The model on a loopback socket, with frames as the protocol has them. Real time comes in here. It records
//! what it received, so that a test can hold the rules against that.

use crate::MAX_FRAME_BYTES;
use crate::emulated_node::EmulatedNode;
use crate::job::{JobId, SubmitOutcome};
use crate::load_report::LoadReport;
use crate::node_spec::NodeSpec;
use crate::node_state::NodeState;
use routing::Tenths;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Received shard requests are recorded up to this many.
const MAX_RECORDED: usize = 1_000_000;

/// The thread that completes jobs looks again after this at the latest.
const MAX_COMPLETION_WAIT: Duration = Duration::from_millis(100);

/// Added to a wait for a completion, so that the job is due when it ends.
const COMPLETION_MARGIN_US: u64 = 50;

/// A shard request as its node received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedShardRequest {
    /// Its id.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// Since the server was started.
    pub at: Tenths,
    /// The node's state at that moment.
    pub state: NodeState,
}

/// Microseconds of work of a shard request, by its shard and its text.
pub type WorkFunction = fn(u32, &[u8]) -> u64;

/// An accepted connection, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

type Writer = Arc<Mutex<TcpStream>>;

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

    /// As [`EmulatedNode::slow_down`].
    pub fn slow_down(&self, speed: f64) {
        self.shared.lock().node.slow_down(speed);
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
        // Wakes the listener, which then sees that it is stopped.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Tenths {
        Tenths((self.started_at.elapsed().as_micros() / 100) as i64)
    }
}

impl ServerState {
    fn crash(&mut self) {
        self.node.crash();
        self.pending.clear();
        self.jobs.clear();
        for connection in std::mem::take(&mut self.connections).into_values() {
            // One that its peer has closed already needs nothing more.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Without a process a connection is dropped as it comes: on loopback that is as near to a refusal as it gets
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
                respond(&request.writer, &request.id, 'S', load, b"v");
            }
        }
        let wait = state.node.next_completion().map_or(MAX_COMPLETION_WAIT, |completion| {
            let tenths = u64::try_from((completion - shared.now()).0).unwrap_or(0);
            Duration::from_micros(tenths * 100 + COMPLETION_MARGIN_US)
        });
        let waited = shared.jobs_changed.wait_timeout(state, wait.min(MAX_COMPLETION_WAIT));
        state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
}

fn write_frame(writer: &Writer, frame: &[u8]) {
    let mut writer = writer.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let length = (frame.len() as u32).to_le_bytes();
    // A broker that has closed its connection needs no response.
    let _ = writer.write_all(&[&length[..], frame].concat());
}

fn respond(writer: &Writer, id: &str, outcome: char, load: LoadReport, value: &[u8]) {
    write_frame(writer, &[format!("5{id} {outcome} 1 {load}\n").as_bytes(), value].concat());
}

fn serve(shared: &Shared, connection: ConnectionId, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer: Writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = [0; 4];
        reader.read_exact(&mut length)?;
        let length = u32::from_le_bytes(length) as usize;
        if !(1..=MAX_FRAME_BYTES).contains(&length) {
            write_frame(&writer, b"Xa frame of a wrong length");
            return Ok(());
        }
        let mut frame = vec![0; length];
        reader.read_exact(&mut frame)?;
        match frame[0] {
            b'1' => accept_batch(shared, connection, &writer, &frame[1..])?,
            b'2' => cancel(shared, connection, &String::from_utf8_lossy(&frame[1..])),
            b'3' => write_frame(&writer, b"3S"),
            b'4' => {
                let now = shared.now();
                let load = shared.lock().node.load(now);
                write_frame(&writer, format!("4{load}").as_bytes());
            }
            _ => {
                write_frame(&writer, b"Xan unknown letter");
                return Ok(());
            }
        }
    }
}

/// A batch's shard requests, each a line `ID SHARD LIST LENGTH` and so many bytes.
fn accept_batch(
    shared: &Shared,
    connection: ConnectionId,
    writer: &Writer,
    mut rest: &[u8],
) -> io::Result<()> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    while !rest.is_empty() {
        let mut head = String::new();
        rest.read_line(&mut head)?;
        let mut fields = head.trim_end().split(' ');
        let (id, shard) = fields.next().zip(fields.next()).ok_or_else(invalid)?;
        let shard: u32 = shard.parse().map_err(|_| invalid())?;
        let length: usize = fields.nth(1).and_then(|text| text.parse().ok()).ok_or_else(invalid)?;
        let (text, after) = rest.split_at_checked(length).ok_or_else(invalid)?;
        rest = after;
        accept_shard_request(shared, connection, writer, id, shard, text);
    }
    shared.jobs_changed.notify_all();
    Ok(())
}

fn accept_shard_request(
    shared: &Shared,
    connection: ConnectionId,
    writer: &Writer,
    id: &str,
    shard: u32,
    text: &[u8],
) {
    let now = shared.now();
    let mut state = shared.lock();
    // Guards against what was still to be read on a connection of a process that crashed: the next one never
    // had it.
    if !state.connections.contains_key(&connection) {
        return;
    }
    if state.received.len() < MAX_RECORDED {
        let node_state = state.node.state();
        state.received.push(ReceivedShardRequest { id: id.to_owned(), shard, at: now, state: node_state });
    }
    let job = JobId(state.next_id());
    match state.node.submit(now, job, (shared.work)(shard, text)) {
        SubmitOutcome::Started | SubmitOutcome::Queued => {
            let request = PendingRequest { connection, id: id.to_owned(), writer: writer.clone() };
            state.pending.insert(job, request);
            state.jobs.insert((connection, id.to_owned()), job);
        }
        SubmitOutcome::Refused => respond(writer, id, 'B', state.node.load(now), b""),
        SubmitOutcome::Unreachable | SubmitOutcome::Collapsed => state.crash(),
    }
}

fn cancel(shared: &Shared, connection: ConnectionId, id: &str) {
    let now = shared.now();
    let mut state = shared.lock();
    if let Some(job) = state.jobs.remove(&(connection, id.to_owned())) {
        state.pending.remove(&job);
        state.node.cancel(now, job);
    }
    drop(state);
    shared.jobs_changed.notify_all();
}
