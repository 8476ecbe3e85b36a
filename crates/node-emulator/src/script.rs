//! Peers on loopback that do just what they are told: hosts whose frames are read and written one by one, a
//! discovery whose replies are given or whose list is kept, clients. Who drives them decides when anything
//! happens; they have no clock and no model. They live on the thread that drives them, within a `LocalSet`.

use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinHandle, spawn_local};

/// A shard request as a call carries it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardRequest {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
}

/// What a host hears on one of its connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Call(Vec<ShardRequest>),
    GiveUp(String),
    /// A probe for load.
    Probe,
    /// A frame that is none of these; it can't be used.
    Other,
    Closed,
}

/// Which host heard it, on which of its connections, what.
pub type Tell = mpsc::UnboundedSender<(usize, usize, Heard)>;

type Lines = Rc<RefCell<Vec<Option<OwnedWriteHalf>>>>;

/// A host that does what it is told.
pub struct Node {
    pub address: SocketAddr,
    at: usize,
    tell: Tell,
    lines: Lines,
    readers: Rc<RefCell<Vec<JoinHandle<()>>>>,
    accepting: Option<JoinHandle<()>>,
    /// Holds the address while nobody listens there: what connects is refused.
    reserved: Option<TcpSocket>,
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Node {
    pub async fn start(at: usize, tell: Tell) -> io::Result<Node> {
        let mut node = Node::reserved(at, tell)?;
        node.listen()?;
        Ok(node)
    }

    /// One that has its address, and refuses what connects.
    pub fn reserved(at: usize, tell: Tell) -> io::Result<Node> {
        let socket = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        let (lines, readers) = (Lines::default(), Rc::default());
        Ok(Node { address, at, tell, lines, readers, accepting: None, reserved: Some(socket) })
    }

    pub fn listen(&mut self) -> io::Result<()> {
        let Some(socket) = self.reserved.take() else { return Ok(()) };
        let listener = socket.listen(1024)?;
        let (at, tell, lines, readers) =
            (self.at, self.tell.clone(), self.lines.clone(), self.readers.clone());
        self.accepting = Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // What is written in one piece is to leave at once; without that it only comes later.
                let _ = stream.set_nodelay(true);
                let (reading, writing) = stream.into_split();
                let line = lines.borrow().len();
                lines.borrow_mut().push(Some(writing));
                let tell = tell.clone();
                readers.borrow_mut().push(spawn_local(read_frames(reading, at, line, tell)));
            }
        }));
        Ok(())
    }

    /// Its process is gone: connections end, and what connects is refused.
    pub async fn fall(&mut self) -> io::Result<()> {
        let Some(accepting) = self.accepting.take() else { return Ok(()) };
        accepting.abort();
        // Gone for sure when this ends, and its socket with it.
        let _ = accepting.await;
        self.lines.borrow_mut().iter_mut().for_each(|line| *line = None);
        for reader in self.readers.take() {
            reader.abort();
            let _ = reader.await;
        }
        self.reserved = Some(reserve(self.address)?);
        Ok(())
    }

    /// Writes bytes as they are, to a connection that may be gone.
    pub async fn write(&self, line: usize, bytes: &[u8]) {
        let Some(mut writing) = self.lines.borrow_mut()[line].take() else { return };
        if writing.write_all(bytes).await.is_ok() {
            self.lines.borrow_mut()[line] = Some(writing);
        }
    }

    /// Ends a shard request, as `S`, `E` or `B`.
    pub async fn end(&self, line: usize, id: &str, end: char, value: &str) {
        self.end_with(line, id, end, "queue=3,qps=1.5", value).await;
    }

    /// The same, with a report of its load.
    pub async fn end_with(&self, line: usize, id: &str, end: char, report: &str, value: &str) {
        let rest = format!("5{id} {end} 77 {report}\n{value}");
        self.write(line, &framed(rest.as_bytes(), 0)).await;
    }

    /// Answers a probe for load: a report, `-` for none, `E` for an error.
    pub async fn tell(&self, line: usize, words: &str) {
        self.write(line, &framed(format!("4{words}").as_bytes(), 0)).await;
    }

    pub fn close(&self, line: usize) {
        self.lines.borrow_mut()[line] = None;
    }
}

/// A frame whose length is told as so many bytes more than there are.
pub fn framed(rest: &[u8], more: i32) -> Vec<u8> {
    [&(rest.len() as i32 + more).to_le_bytes()[..], rest].concat()
}

/// A longer frame is none of a broker's.
const FRAME: usize = 1 << 20;

async fn read_frames(mut reading: OwnedReadHalf, at: usize, line: usize, tell: Tell) {
    loop {
        let heard = read_frame(&mut reading).await.unwrap_or(Heard::Closed);
        let over = heard == Heard::Closed;
        if tell.send((at, line, heard)).is_err() || over {
            return;
        }
    }
}

async fn read_frame(from: &mut (impl AsyncReadExt + Unpin)) -> Option<Heard> {
    let length = from.read_u32_le().await.ok()? as usize;
    if length > FRAME {
        return None;
    }
    let mut frame = vec![0; length];
    from.read_exact(&mut frame).await.ok()?;
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok();
    Some(match frame.split_first() {
        Some((b'2', id)) => text(id).map_or(Heard::Other, Heard::GiveUp),
        Some((b'4', [])) => Heard::Probe,
        Some((b'1', shard_requests)) => parts_of(shard_requests).map_or(Heard::Other, Heard::Call),
        _ => Heard::Other,
    })
}

/// A call's shard requests, each a line `ID SHARD LIST LENGTH` and so many bytes.
fn parts_of(mut rest: &[u8]) -> Option<Vec<ShardRequest>> {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok();
    let mut shard_requests = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = text(&rest[..end])?;
        let [id, shard, list, length] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
        let (value, after) = rest[end + 1..].split_at_checked(length.parse().ok()?)?;
        let (id, shard, list) = (id.to_owned(), shard.parse().ok()?, list.to_owned());
        shard_requests.push(ShardRequest { id, shard, list, text: text(value)? });
        rest = after;
    }
    Some(shard_requests)
}

// ---- discovery

/// The head of the next request; none: the tenant has gone.
async fn read_head(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(head)
}

fn path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

fn reply(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Discovery that answers each call with the next reply that it is given, or stays silent.
pub struct Discovery {
    pub address: SocketAddr,
    calls: mpsc::UnboundedReceiver<String>,
    replies: Rc<RefCell<VecDeque<String>>>,
    more: Rc<Notify>,
}

impl Discovery {
    pub async fn start() -> io::Result<Discovery> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (tell, calls) = mpsc::unbounded_channel();
        let replies: Rc<RefCell<VecDeque<String>>> = Rc::default();
        let more = Rc::new(Notify::new());
        let (queue, bell) = (replies.clone(), more.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (tell, queue, bell) = (tell.clone(), queue.clone(), bell.clone());
                spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(head) = read_head(&mut stream).await {
                        let _ = tell.send(path(&head).to_owned());
                        let body = loop {
                            let next = queue.borrow_mut().pop_front();
                            match next {
                                Some(body) => break body,
                                None => bell.notified().await,
                            }
                        };
                        if stream.write_all(reply(&body).as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Discovery { address, calls, replies, more })
    }

    pub fn reply(&self, body: impl ToString) {
        self.replies.borrow_mut().push_back(body.to_string());
        self.more.notify_one();
    }

    /// The path of the next call; none: it is gone.
    pub async fn called(&mut self) -> Option<String> {
        self.calls.recv().await
    }
}

/// What a list's entry was changed by, and what it says.
type Entries = BTreeMap<String, (u64, Value)>;

/// Discovery that keeps a list, and holds a call that waits for changes until there are some, or its time is
/// up.
pub struct Catalog {
    pub address: SocketAddr,
    kept: Rc<Kept>,
}

#[derive(Default)]
struct Kept {
    revision: Cell<u64>,
    entries: RefCell<Entries>,
    changed: Notify,
    /// Calls that wait for a change behind the newest.
    waiting: Cell<usize>,
}

/// A call is counted for as long as it waits.
struct Waiting<'a>(&'a Kept);

impl<'a> Waiting<'a> {
    fn new(kept: &'a Kept) -> Waiting<'a> {
        kept.waiting.set(kept.waiting.get() + 1);
        Waiting(kept)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

impl Catalog {
    pub async fn start() -> io::Result<Catalog> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (address, kept) = (listener.local_addr()?, Rc::<Kept>::default());
        let serving = kept.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // As for hosts.
                let _ = stream.set_nodelay(true);
                let kept = serving.clone();
                spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    while let Some(head) = read_head(&mut stream).await {
                        let body = kept.answer(path(&head)).await;
                        if stream.write_all(reply(&body.to_string()).as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Catalog { address, kept })
    }

    /// Enters a node, or what is new of it.
    pub fn set(&self, id: &str, entry: Value) {
        let revision = self.kept.revision.get() + 1;
        self.kept.revision.set(revision);
        self.kept.entries.borrow_mut().insert(id.to_owned(), (revision, entry));
        self.kept.changed.notify_waiters();
    }

    /// Tenants that have heard all there is, and wait for more.
    pub fn waiting(&self) -> usize {
        self.kept.waiting.get()
    }
}

impl Kept {
    async fn answer(&self, path: &str) -> Value {
        let figure = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let Some(after) = figure("after") else { return self.listing(0, true) };
        let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0));
        if after >= self.revision.get() {
            let _waiting = Waiting::new(self);
            // Changed, or its time is up: either way it is told what there is.
            let _ = tokio::time::timeout(wait, self.changed.notified()).await;
        }
        self.listing(after, false)
    }

    fn listing(&self, after: u64, all: bool) -> Value {
        let entries = self.entries.borrow();
        let newer: Vec<&Value> =
            entries.values().filter(|(at, _)| *at > after).map(|(_, entry)| entry).collect();
        json!({"revision": self.revision.get(), "complete": all, "members": newer})
    }
}

// ---- clients

pub struct Client(BufReader<TcpStream>);

#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Client {
    pub async fn to(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Client(BufReader::new(stream)))
    }

    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes()).await
    }

    /// The next reply; none: the broker closed the connection.
    pub async fn reply(&mut self) -> Option<Reply> {
        let head = read_head(&mut self.0).await?.to_lowercase();
        let length =
            head.split("content-length: ").nth(1).map_or("0", |rest| rest.lines().next().unwrap_or("0"));
        let mut body = vec![0; length.parse().ok()?];
        self.0.read_exact(&mut body).await.ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Reply { status, body: String::from_utf8(body).ok()?, head })
    }
}

/// A query's body: shards and weights.
pub fn body(slices: &[(u32, f64)], text: &str) -> String {
    let slices: Vec<Value> =
        slices.iter().map(|(slice, mass)| json!({"slice": slice, "mass": mass})).collect();
    json!({"slices": slices, "filter": text}).to_string()
}

pub fn request(id: &str, class: &str, left_ms: u64, body: &str) -> String {
    request_of(None, id, class, left_ms, body)
}

/// The same, by a tenant that is named.
pub fn request_of(tenant: Option<&str>, id: &str, class: &str, left_ms: u64, body: &str) -> String {
    let tenant = tenant.map_or(String::new(), |tenant| format!("X-Account: {tenant}\r\n"));
    format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\n{tenant}X-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
