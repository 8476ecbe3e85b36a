//! A node whose frames a test reads and writes one by one.

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

/// The score in every response; brokers do not read it.
const SCORE: u32 = 77;
/// The load that a response reports where the test gives none.
const DEFAULT_LOAD: &str = "queue=3,qps=1.5";

/// Connections in the order in which they were accepted; none: it is closed.
type Connections = Rc<RefCell<Vec<Option<OwnedWriteHalf>>>>;

/// A node on loopback that sends what it receives to its driver, and writes what its driver has it write. It
/// has no clock and no model, and lives on the thread that drives it, within a `LocalSet`.
pub struct ScriptedNode {
    /// Where it listens, or would.
    pub address: SocketAddr,
    index: usize,
    events: EventSender,
    connections: Connections,
    readers: Rc<RefCell<Vec<JoinHandle<()>>>>,
    acceptor: Option<JoinHandle<()>>,
    /// Holds the address while nobody listens there: connections are refused.
    reserved: Option<TcpSocket>,
}

impl ScriptedNode {
    /// A node that listens; `index` names it in its events.
    ///
    /// # Errors
    /// As of the socket.
    pub async fn start(index: usize, events: EventSender) -> io::Result<ScriptedNode> {
        let mut node = ScriptedNode::reserve(index, events)?;
        node.listen()?;
        Ok(node)
    }

    /// A node that has its address, and refuses connections.
    ///
    /// # Errors
    /// As of the socket.
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

    /// Accepts connections from now on.
    ///
    /// # Errors
    /// As of the socket.
    pub fn listen(&mut self) -> io::Result<()> {
        let Some(socket) = self.reserved.take() else { return Ok(()) };
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let (connections, readers) = (self.connections.clone(), self.readers.clone());
        self.acceptor =
            Some(spawn_local(accept(listener, self.index, self.events.clone(), connections, readers)));
        Ok(())
    }

    /// Ends its process: connections end, and new ones are refused.
    ///
    /// # Errors
    /// As of the socket.
    pub async fn stop(&mut self) -> io::Result<()> {
        let Some(acceptor) = self.acceptor.take() else { return Ok(()) };
        acceptor.abort();
        // The task is gone for sure when this ends, and its socket with it.
        let _ = acceptor.await;
        self.connections.borrow_mut().iter_mut().for_each(|connection| *connection = None);
        for reader in self.readers.take() {
            reader.abort();
            let _ = reader.await;
        }
        self.reserved = Some(reserve_address(self.address)?);
        Ok(())
    }

    /// Writes bytes as they are, to a connection that may be closed.
    ///
    /// # Panics
    /// Where there was never such a connection.
    pub async fn write(&self, connection: usize, bytes: &[u8]) {
        let Some(mut writer) = self.connections.borrow_mut()[connection].take() else { return };
        if writer.write_all(bytes).await.is_ok() {
            self.connections.borrow_mut()[connection] = Some(writer);
        }
    }

    /// Responds to a shard request, with outcome `S`, `E` or `B`.
    pub async fn respond(&self, connection: usize, id: &str, outcome: char, value: &str) {
        self.respond_with_load(connection, id, outcome, DEFAULT_LOAD, value).await;
    }

    /// As [`ScriptedNode::respond`], with a report of its load.
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

    /// Answers a probe for load: a report, `-` for none, `E` for an error.
    pub async fn send_load(&self, connection: usize, load: &str) {
        self.write(connection, &encode_frame(format!("{LOAD_REPORT}{load}").as_bytes(), 0)).await;
    }

    /// Closes a connection.
    ///
    /// # Panics
    /// Where there was never such a connection.
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
        // What is written in one piece is to leave at once; without this it is delayed.
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
