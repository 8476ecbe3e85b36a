//! Connections to nodes. Sends the calls it is handed, and tells of each attempt exactly one end.

use crate::codec::{FrameDecoder, FrameError, FromNode, ShardRequestMessage, ToNode, is_text};
use crate::limits::Limits;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use routing::{AttemptNumber, AttemptOutcome, NodeId, ShardRequestId};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedRead;
use tracing::{debug, warn};

pub type AttemptId = (ShardRequestId, AttemptNumber);

/// An attempt as it is to be sent.
#[derive(Debug)]
pub struct Sending {
    pub attempt: AttemptId,
    pub shard_request: ShardRequestMessage,
}

/// The one end of an attempt, with the value that it brought.
pub struct Ended {
    pub attempt: AttemptId,
    pub end: AttemptOutcome,
    pub value: Option<Bytes>,
    pub at: Instant,
}

/// How far the frame of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Not,
    Partly,
    Whole,
}

struct Out {
    attempt: AttemptId,
    written: Written,
}

/// One connection to a node, from the first try to connect on.
struct Line {
    node: NodeId,
    address: SocketAddr,
    /// Attempts that are out on it, by the id that the wire knows them by.
    out: RefCell<HashMap<Bytes, Out>>,
    /// What nothing was written of yet.
    queue: RefCell<VecDeque<ToNode>>,
    /// An answer behind which more has come that is not known to be a frame yet.
    held: RefCell<Option<(AttemptId, AttemptOutcome, Bytes)>>,
    /// What was given up on it and may still be answered, the newest last.
    given_up: RefCell<VecDeque<Bytes>>,
    /// Load probes that it has not answered.
    probes: Cell<usize>,
    /// So much was given up that not all of it is remembered.
    forgot: Cell<bool>,
    ring: Notify,
    /// Rung when what was begun on it must not become whole.
    cut: Notify,
    /// It came up, and something was written on it.
    kept: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Since when the node owes the first word to what was written.
    unheard_since: Cell<Option<Instant>>,
    /// Nothing more is put on it; it closes once nothing is out.
    closing: Cell<bool>,
}

pub struct NodePool {
    limits: Rc<Limits>,
    addresses: RefCell<HashMap<NodeId, SocketAddr>>,
    lines: RefCell<HashMap<NodeId, Vec<Rc<Line>>>>,
    attempts: RefCell<HashMap<AttemptId, (Rc<Line>, Bytes)>>,
    /// What probes brought, and nobody has fetched yet; none: the probe failed.
    told: RefCell<Vec<(NodeId, Option<Bytes>)>>,
    /// Ends that nobody has fetched yet.
    ended: RefCell<Vec<Ended>>,
    /// Rung when there are some.
    pub bell: Notify,
}

impl NodePool {
    pub fn new(limits: Rc<Limits>) -> Rc<NodePool> {
        Rc::new(NodePool {
            limits,
            addresses: RefCell::default(),
            lines: RefCell::default(),
            attempts: RefCell::default(),
            told: RefCell::default(),
            ended: RefCell::default(),
            bell: Notify::new(),
        })
    }

    /// Where a node listens from now on; none: it is gone. Idle connections elsewhere are closed.
    pub fn listens(&self, node: NodeId, address: Option<SocketAddr>, wants_work: bool) {
        if !wants_work {
            self.take_all_back(node);
        }
        match address {
            Some(address) => _ = self.addresses.borrow_mut().insert(node, address),
            None => _ = self.addresses.borrow_mut().remove(&node),
        }
        if let Some(lines) = self.lines.borrow().get(&node) {
            lines.iter().filter(|line| Some(line.address) != address).for_each(|line| line.close());
        }
    }

    /// What is out, or on its way there: the node's address and the id on the wire, in order.
    pub fn out(&self) -> Vec<(SocketAddr, Bytes)> {
        let attempts = self.attempts.borrow();
        let mut out: Vec<_> = attempts.values().map(|(line, id)| (line.address, id.clone())).collect();
        out.sort();
        out
    }

    pub fn count_out(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Ends since the last time, in the order in which they came.
    pub fn fetch_ended(&self) -> Vec<Ended> {
        self.ended.take()
    }

    fn end(&self, attempt: AttemptId, end: AttemptOutcome, value: Option<Bytes>) {
        if self.attempts.borrow_mut().remove(&attempt).is_some() {
            self.ended.borrow_mut().push(Ended { attempt, end, value, at: Instant::now() });
            self.bell.notify_one();
        }
    }

    /// Sends one call.
    pub fn send(self: &Rc<Self>, node: NodeId, call: Vec<Sending>) {
        let Some(line) = self.line_for(node, call.len()) else {
            for sending in call {
                let (end, at) = (AttemptOutcome::ConnectFailed, Instant::now());
                self.ended.borrow_mut().push(Ended { attempt: sending.attempt, end, value: None, at });
            }
            return self.bell.notify_one();
        };
        let mut shard_requests = Vec::with_capacity(call.len());
        for Sending { attempt, shard_request } in call {
            let before = line.out.borrow().get(&shard_request.id).map(|out| out.attempt);
            before.into_iter().for_each(|before| _ = self.take_back(before, AttemptOutcome::ConnectFailed));
            let before = line
                .out
                .borrow_mut()
                .insert(shard_request.id.clone(), Out { attempt, written: Written::Not });
            // The same shard request again on one connection: what is heard from now on is the newer attempt's.
            if let Some(before) = before {
                line.note_given_up(shard_request.id.clone(), self.limits.late_answers);
                self.end(before.attempt, AttemptOutcome::ConnectionLost, None);
            }
            self.attempts.borrow_mut().insert(attempt, (line.clone(), shard_request.id.clone()));
            shard_requests.push(shard_request);
        }
        line.queue.borrow_mut().push_back(ToNode::Batch(shard_requests));
        line.ring.notify_one();
    }

    /// Asks a node for its load. Each probe has one end: what the node told, or none when its connection ends.
    pub fn probe(self: &Rc<Self>, node: NodeId) {
        let Some(line) = self.line_for(node, 0) else { return self.tell(node, None) };
        line.probes.set(line.probes.get() + 1);
        line.queue.borrow_mut().push_back(ToNode::Probe);
        line.ring.notify_one();
    }

    /// What probes brought since the last time.
    pub fn fetch_told(&self) -> Vec<(NodeId, Option<Bytes>)> {
        self.told.take()
    }

    fn tell(&self, node: NodeId, words: Option<Bytes>) {
        self.told.borrow_mut().push((node, words));
        self.bell.notify_one();
    }

    /// Gives an attempt up. One that was never written is known not to have run, whatever `end` says.
    pub fn give_up(&self, attempt: AttemptId, end: AttemptOutcome) {
        let Some((line, id)) = self.attempts.borrow().get(&attempt).cloned() else { return };
        let unsent = if end == AttemptOutcome::TimedOut { AttemptOutcome::ConnectFailed } else { end };
        if self.take_back(attempt, unsent) {
            return;
        }
        line.queue.borrow_mut().push_back(ToNode::Cancel(id.clone()));
        let out = line.out.borrow_mut().remove(&id);
        if out.is_some_and(|out| out.written == Written::Partly) {
            line.cut.notify_one();
        }
        line.note_given_up(id, self.limits.late_answers);
        line.idle_since.set(Instant::now());
        line.ring.notify_one();
        self.end(attempt, end, None);
    }

    /// What is not whole by now never gets whole. Guards against frames that a slow peer lets lie half written, which
    /// would reach it in another window than the one that their attempts were counted in. Harm: what else is out on
    /// that connection is dropped with it.
    pub fn no_longer(&self, attempt: AttemptId) {
        if self.take_back(attempt, AttemptOutcome::ConnectFailed) {
            return;
        }
        let attempts = self.attempts.borrow();
        let Some((line, id)) = attempts.get(&attempt) else { return };
        if line.out.borrow().get(id).is_some_and(|out| out.written == Written::Partly) {
            line.cut.notify_one();
        }
    }

    /// Takes an attempt back of which no byte was written; tells whether that could be done. Guards against
    /// shard requests that lie in wait behind a connection that does not come up, or a peer that takes nothing,
    /// and go out after their query's end, their node's drain, or the window that they were counted in.
    pub fn take_back(&self, attempt: AttemptId, end: AttemptOutcome) -> bool {
        let Some((line, id)) = self.attempts.borrow().get(&attempt).cloned() else { return false };
        if line.out.borrow().get(&id).is_none_or(|out| out.written != Written::Not) {
            return false;
        }
        line.out.borrow_mut().remove(&id);
        for queued in line.queue.borrow_mut().iter_mut() {
            if let ToNode::Batch(shard_requests) = queued {
                shard_requests.retain(|shard_request| shard_request.id != id);
            }
        }
        line.ring.notify_one();
        self.end(attempt, end, None);
        true
    }

    /// Takes back all that was not written to a node that wants nothing new.
    fn take_all_back(&self, node: NodeId) {
        let attempts = self.attempts.borrow();
        let mut waiting: Vec<AttemptId> =
            attempts.iter().filter(|(_, (line, _))| line.node == node).map(|(attempt, _)| *attempt).collect();
        drop(attempts);
        waiting.sort();
        waiting.into_iter().for_each(|attempt| _ = self.take_back(attempt, AttemptOutcome::ConnectFailed));
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: NodeId) {
        if let Some(lines) = self.lines.borrow().get(&node) {
            lines.iter().filter(|line| line.is_idle()).for_each(|line| line.close());
        }
    }

    /// A connection with room for so many shard requests, or a new one while there may be more.
    fn line_for(self: &Rc<Self>, node: NodeId, shard_requests: usize) -> Option<Rc<Line>> {
        let address = *self.addresses.borrow().get(&node)?;
        let open: Vec<Rc<Line>> = {
            let lines = self.lines.borrow();
            let lines = lines.get(&node).into_iter().flatten();
            // Guards against connections that fell silent without a word: what is put on them is lost, while
            // the node may serve on others. Where it is the node that is silent, a new one costs a handshake.
            let silent = |line: &&Rc<Line>| line.is_silent(self.limits.unheard);
            lines.clone().filter(silent).for_each(|line| line.close());
            lines.filter(|line| !line.closing.get() && line.address == address).cloned().collect()
        };
        let fits = |line: &&Rc<Line>| {
            let out = line.out.borrow().len();
            out == 0 || out + shard_requests <= self.limits.line_parts
        };
        // The oldest first, so that those beyond need fall idle.
        if let Some(line) = open.iter().find(fits) {
            return Some(line.clone());
        }
        let all: usize = self.lines.borrow().values().map(Vec::len).sum();
        if all >= self.limits.node_lines {
            let lines = self.lines.borrow();
            let idle = lines.values().flatten().filter(|line| line.is_idle() && !line.closing.get());
            match idle.min_by_key(|line| line.idle_since.get()) {
                Some(line) => line.close(),
                // No descriptor is left: what goes out joins the others, and waits unread.
                None => return open.into_iter().min_by_key(|line| line.out.borrow().len()),
            }
        }
        let line = Rc::new(Line {
            node,
            address,
            out: RefCell::default(),
            queue: RefCell::default(),
            held: RefCell::default(),
            given_up: RefCell::default(),
            probes: Cell::default(),
            forgot: Cell::default(),
            ring: Notify::new(),
            cut: Notify::new(),
            kept: Cell::default(),
            idle_since: Cell::new(Instant::now()),
            unheard_since: Cell::default(),
            closing: Cell::new(false),
        });
        self.lines.borrow_mut().entry(node).or_default().push(line.clone());
        actix_rt::spawn(self.clone().live(line.clone()));
        Some(line)
    }

    /// The life of one connection, to its end.
    async fn live(self: Rc<Self>, line: Rc<Line>) {
        let mut spoilt = false;
        match timeout(self.limits.connect, TcpStream::connect(line.address)).await {
            Ok(Ok(mut stream)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    debug!(node = %line.address, "no-delay: {e}");
                }
                line.idle_since.set(Instant::now());
                let (reading, writing) = stream.split();
                let served = async {
                    tokio::select! {
                        spoilt = self.read(&line, reading) => spoilt,
                        () = self.write(&line, writing) => false,
                    }
                };
                spoilt = tokio::select! {
                    biased;
                    () = line.cut.notified() => false,
                    spoilt = served => spoilt,
                };
            }
            Ok(Err(e)) => debug!(node = %line.address, "no connection: {e}"),
            Err(_) => debug!(node = %line.address, "no connection in time"),
        }
        line.closing.set(true);
        self.let_go(&line, true);
        self.lines.borrow_mut().retain(|_, lines| {
            lines.retain(|other| !Rc::ptr_eq(other, &line));
            !lines.is_empty()
        });
        self.move_unwritten(&line);
        (0..line.probes.take()).for_each(|_| self.tell(line.node, None));
        let mut lost: Vec<Out> = line.out.take().into_values().collect();
        lost.sort_by_key(|out| out.attempt);
        for out in lost {
            // Guards against a node that writes noise and is taken for one that fell: its process runs.
            let end = match out.written {
                Written::Whole if spoilt => AttemptOutcome::Errored,
                Written::Whole => AttemptOutcome::ConnectionLost,
                Written::Not | Written::Partly => AttemptOutcome::ConnectFailed,
            };
            self.end(out.attempt, end, None);
        }
    }

    /// Guards against calls that meet the close of a connection at rest: nothing of them was written, so they go on
    /// another, and prove nothing against their node. On a connection that never carried anything they end.
    fn move_unwritten(self: &Rc<Self>, line: &Line) {
        if !line.kept.get() {
            return;
        }
        for queued in line.queue.take() {
            let ToNode::Batch(shard_requests) = queued else { continue };
            let taken = |shard_request: ShardRequestMessage| {
                let out = line.out.borrow_mut().remove(&shard_request.id)?;
                self.attempts.borrow_mut().remove(&out.attempt);
                Some(Sending { attempt: out.attempt, shard_request })
            };
            let call: Vec<Sending> = shard_requests.into_iter().filter_map(taken).collect();
            if !call.is_empty() {
                self.send(line.node, call);
            }
        }
    }

    /// Reads until the node ends the connection, or sends what can't be used: then nothing more that comes on
    /// it can be told apart, and what is out on it may have run. Tells whether that was so.
    async fn read(&self, line: &Line, reading: ReadHalf<'_>) -> bool {
        let mut frames = FramedRead::new(reading, FrameDecoder { max_frame_bytes: self.limits.frame });
        let mut begun = false;
        loop {
            let frame = match timeout(self.limits.half_frame, frames.next()).await {
                Ok(frame) => frame,
                // Guards against a length that promises more than comes: the shard requests out would wait for it.
                Err(_) if begun && !frames.read_buffer().is_empty() => {
                    warn!(node = %line.address, "connection closed on a frame that does not end");
                    self.let_go(line, is_text(frames.read_buffer()));
                    return true;
                }
                Err(_) => {
                    begun = !frames.read_buffer().is_empty();
                    continue;
                }
            };
            begun = false;
            line.idle_since.set(Instant::now());
            line.unheard_since.take();
            let behind_is_text = is_text(frames.read_buffer());
            let framed = !matches!(frame, None | Some(Err(FrameError::Length(_) | FrameError::Io(_))));
            match framed {
                true => self.keep(line),
                false => self.let_go(line, behind_is_text),
            }
            match frame {
                Some(Ok(FromNode::Response { id, outcome: end, value })) => {
                    let out = line.out.borrow_mut().remove(&id);
                    match out {
                        Some(out) => {
                            line.ring.notify_one();
                            line.held.replace(Some((out.attempt, end, value)));
                            if frames.read_buffer().is_empty() {
                                self.keep(line);
                            }
                        }
                        // One that was given up may still answer; then nobody waits for it.
                        None if line.was_given_up(&id) => {}
                        // Guards against answers under a wrong id: the shard request that was meant would wait.
                        None => {
                            warn!(node = %line.address, "connection closed on an answer that none waits for");
                            return true;
                        }
                    }
                }
                Some(Ok(FromNode::LoadReport(words))) if line.probes.get() > 0 => {
                    line.probes.set(line.probes.get() - 1);
                    self.tell(line.node, words);
                }
                Some(Ok(FromNode::LoadReport(_) | FromNode::Pong)) => {}
                Some(Ok(FromNode::ProtocolError(words))) => {
                    warn!(node = %line.address, "the node closes: {words}");
                    return true;
                }
                Some(Err(FrameError::Io(e))) => {
                    debug!(node = %line.address, "connection broke: {e}");
                    return false;
                }
                Some(Err(e)) => {
                    warn!(node = %line.address, "connection closed on a bad frame: {e}");
                    return true;
                }
                None => return false,
            }
        }
    }

    /// Ends the attempt whose answer is held with that answer.
    fn keep(&self, line: &Line) {
        let Some((attempt, end, value)) = line.held.take() else { return };
        self.end(attempt, end, (end == AttemptOutcome::Succeeded).then_some(value));
    }

    /// Guards against a value that is cut, or swollen by the head of the next answer: its length was wrong,
    /// and what comes behind is no frame. Noise behind the last answer due takes nothing from that.
    fn let_go(&self, line: &Line, behind_is_text: bool) {
        if line.out.borrow().is_empty() && !behind_is_text {
            return self.keep(line);
        }
        line.held
            .take()
            .into_iter()
            .for_each(|(attempt, ..)| self.end(attempt, AttemptOutcome::Errored, None));
    }

    /// Writes what is queued, until the peer takes nothing more or the connection has been idle too long. Nothing is
    /// taken from the queue before the peer takes bytes: until then it can be taken back.
    async fn write(&self, line: &Line, writing: WriteHalf<'_>) {
        let mut bytes = BytesMut::new();
        loop {
            if line.queue.borrow().is_empty() {
                if !self.wait_for_work(line).await {
                    return;
                }
                continue;
            }
            match timeout(self.limits.slow, writing.writable()).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => return debug!(node = %line.address, "connection broke: {e}"),
                Err(_) => return warn!(node = %line.address, "the node takes nothing"),
            }
            if line.kept.get() && line.out_is_unwritten() && has_ended(writing.as_ref()) {
                return debug!(node = %line.address, "closed at rest");
            }
            let Some(frame) = line.queue.borrow_mut().pop_front() else { continue };
            let ids = match &frame {
                ToNode::Batch(shard_requests) if shard_requests.is_empty() => continue,
                ToNode::Batch(shard_requests) => {
                    shard_requests.iter().map(|shard_request| shard_request.id.clone()).collect()
                }
                ToNode::Cancel(_) | ToNode::Probe => Vec::new(),
            };
            bytes.clear();
            frame.encode(&mut bytes);
            match writing.try_write(&bytes) {
                Ok(count) => bytes.advance(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    line.queue.borrow_mut().push_front(frame);
                    continue;
                }
                Err(e) => {
                    line.queue.borrow_mut().push_front(frame);
                    return debug!(node = %line.address, "connection broke: {e}");
                }
            }
            line.kept.set(true);
            line.mark(&ids, Written::Partly);
            match timeout(self.limits.slow, write_rest(&writing, &mut bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => return debug!(node = %line.address, "connection broke: {e}"),
                Err(_) => return warn!(node = %line.address, "the node takes nothing"),
            }
            line.mark(&ids, Written::Whole);
            if !ids.is_empty() {
                line.unheard_since.set(line.unheard_since.get().or(Some(Instant::now())));
            }
            line.idle_since.set(Instant::now());
        }
    }

    /// Waits until something may be queued; false: the connection is to close.
    async fn wait_for_work(&self, line: &Line) -> bool {
        if !line.out.borrow().is_empty() {
            line.ring.notified().await;
            return true;
        }
        let until = line.idle_since.get() + self.limits.node_idle;
        if line.closing.get() || Instant::now() >= until {
            line.closing.set(true);
            return false;
        }
        tokio::select! {
            () = line.ring.notified() => {}
            () = sleep_until(until) => {}
        }
        true
    }
}

async fn write_rest(writing: &WriteHalf<'_>, bytes: &mut BytesMut) -> io::Result<()> {
    while !bytes.is_empty() {
        writing.writable().await?;
        match writing.try_write(bytes) {
            Ok(count) => bytes.advance(count),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Whether the peer has ended a connection, asked of the system: word of it may not have come yet.
fn has_ended(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

impl Line {
    fn is_idle(&self) -> bool {
        self.out.borrow().is_empty() && self.probes.get() == 0 && self.queue.borrow().is_empty()
    }

    /// Remembers up to `most` of what was given up.
    fn note_given_up(&self, id: Bytes, most: usize) {
        let mut given_up = self.given_up.borrow_mut();
        given_up.push_back(id);
        if given_up.len() > most {
            given_up.pop_front();
            self.forgot.set(true);
        }
    }

    /// Whether that was given up, as far as it is remembered; each is answered once at the most.
    fn was_given_up(&self, id: &Bytes) -> bool {
        let mut given_up = self.given_up.borrow_mut();
        let at = given_up.iter().position(|given_up| given_up == id);
        at.inspect(|at| _ = given_up.remove(*at)).is_some() || self.forgot.get()
    }

    /// Nothing that was begun on it is out.
    fn out_is_unwritten(&self) -> bool {
        self.out.borrow().values().all(|out| out.written == Written::Not)
    }

    fn is_silent(&self, longest: Duration) -> bool {
        self.unheard_since.get().is_some_and(|since| since.elapsed() > longest)
    }

    fn close(&self) {
        self.closing.set(true);
        self.ring.notify_one();
    }

    fn mark(&self, ids: &[Bytes], written: Written) {
        let mut out = self.out.borrow_mut();
        for id in ids {
            out.get_mut(id).into_iter().for_each(|out| out.written = written);
        }
    }
}
