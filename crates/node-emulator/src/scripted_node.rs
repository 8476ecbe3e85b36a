//! A node whose frames are read and written by a test.

use crate::frame::{LOAD_REPORT, RESPONSE, encode_frame};
use crate::node_event::{EventSender, PeerEvent, ReceivedEvent, read_event};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{JoinHandle, spawn_local};

const LISTEN_BACKLOG: u32 = 1024;

/// The score in every response, which brokers ignore.
const SCORE: u32 = 77;
/// The load in a response for which the test supplies none.
const DEFAULT_LOAD: &str = "queue=3,qps=1.5";

/// The write halves of connections in order of acceptance, with `None` for closed ones.
type Connections = Rc<RefCell<Vec<Option<OwnedWriteHalf>>>>;

/// A node on loopback that reports each received frame as an event and writes only the frames that the test requests.
/// It has no clock and no model of a node. Requires a `LocalSet`, on whose thread its tasks run.
pub struct ScriptedNode {
    /// The address of the node, which stays the same while it does not listen.
    pub address: SocketAddr,
    index: usize,
    events: EventSender,
    connections: Connections,
    readers: Rc<RefCell<Vec<JoinHandle<()>>>>,
    acceptor: Option<JoinHandle<()>>,
    /// The bound socket that reserves the address while the node does not listen, so that connections are refused.
    reserved: Option<TcpSocket>,
}

impl ScriptedNode {
    /// Starts a node on a free loopback port. Its events have `index` as their node.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start(index: usize, events: EventSender) -> io::Result<ScriptedNode> {
        let mut node = ScriptedNode::reserve(index, events)?;
        node.listen()?;
        Ok(node)
    }

    /// Reserves an address for a node that refuses connections until [`ScriptedNode::listen`] is called.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn reserve(index: usize, events: EventSender) -> io::Result<ScriptedNode> {
        let socket = reserve_address(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        Ok(ScriptedNode {
            address: socket.local_addr()?,
            index,
            events,
            connections: Connections::default(),
            readers: Rc::default(),
            acceptor: None,
            reserved: Some(socket),
        })
    }

    /// Starts to accept connections. Does nothing if the node already does.
    ///
    /// # Errors
    /// Returns an error if it can't listen.
    pub fn listen(&mut self) -> io::Result<()> {
        let Some(socket) = self.reserved.take() else { return Ok(()) };
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let (connections, readers) = (self.connections.clone(), self.readers.clone());
        self.acceptor =
            Some(spawn_local(accept(listener, self.index, self.events.clone(), connections, readers)));
        Ok(())
    }

    /// Closes all connections and refuses new ones, as a node does whose process has ended.
    ///
    /// # Errors
    /// Returns an error if the address can't be reserved again.
    pub async fn stop(&mut self) -> io::Result<()> {
        let Some(acceptor) = self.acceptor.take() else { return Ok(()) };
        acceptor.abort();
        // Waits until the task has ended, so that its listening socket is closed.
        let _ = acceptor.await;
        self.connections.borrow_mut().iter_mut().for_each(|connection| *connection = None);
        for reader in self.readers.take() {
            reader.abort();
            let _ = reader.await;
        }
        self.reserved = Some(reserve_address(self.address)?);
        Ok(())
    }

    /// Writes `bytes` to a connection without changes. Does nothing if the connection is closed.
    ///
    /// # Panics
    /// Panics if no connection with this index was accepted.
    pub async fn write(&self, connection: usize, bytes: &[u8]) {
        let Some(mut writer) = self.connections.borrow_mut()[connection].take() else { return };
        if writer.write_all(bytes).await.is_ok() {
            self.connections.borrow_mut()[connection] = Some(writer);
        }
    }

    /// Responds to the shard request `id` with outcome `S` (succeeded), `E` (error) or `B` (overloaded).
    pub async fn respond(&self, connection: usize, id: &str, outcome: char, value: &str) {
        self.respond_with_load(connection, id, outcome, DEFAULT_LOAD, value).await;
    }

    /// Responds to a shard request as [`ScriptedNode::respond`] does, with the given load report.
    pub async fn respond_with_load(
        &self,
        connection: usize,
        id: &str,
        outcome: char,
        load: &str,
        value: &str,
    ) {
        let payload = format!("{RESPONSE}{id} {outcome} {SCORE} {load}\n{value}");
        self.write(connection, &encode_frame(payload.as_bytes(), 0)).await;
    }

    /// Answers a load probe with a load report, `-` for no report or `E` for an error.
    pub async fn send_load(&self, connection: usize, load: &str) {
        self.write(connection, &encode_frame(format!("{LOAD_REPORT}{load}").as_bytes(), 0)).await;
    }

    /// Closes a connection.
    ///
    /// # Panics
    /// Panics if no connection with this index was accepted.
    pub fn close(&self, connection: usize) {
        self.connections.borrow_mut()[connection] = None;
    }
}

fn reserve_address(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept(
    listener: TcpListener,
    node: usize,
    events: EventSender,
    connections: Connections,
    readers: Rc<RefCell<Vec<JoinHandle<()>>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        // Frames are written in one piece, and Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let connection = connections.borrow().len();
        connections.borrow_mut().push(Some(writer));
        readers.borrow_mut().push(spawn_local(read_events(reader, node, connection, events.clone())));
    }
}

async fn read_events(mut reader: OwnedReadHalf, node: usize, connection: usize, events: EventSender) {
    loop {
        let event = read_event(&mut reader).await.unwrap_or(PeerEvent::Closed);
        let is_closed = event == PeerEvent::Closed;
        if events.send(ReceivedEvent { node, connection, event }).is_err() || is_closed {
            return;
        }
    }
}
