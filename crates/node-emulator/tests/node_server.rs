//! Tests of the node server at the level of protocol frames.

use node_emulator::{NodeServer, NodeSpec, NodeState};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn start_node(cores: usize, queue_capacity: usize) -> NodeServer {
    // A shard request takes one second on shard 1, and a negligible time on other shards.
    NodeServer::start(NodeSpec { cores, queue_capacity, ..NodeSpec::default() }, |shard, _| {
        if shard == 1 { 1_000_000 } else { 100 }
    })
    .unwrap()
}

struct Connection {
    stream: TcpStream,
}

impl Connection {
    fn open(node: &NodeServer) -> Connection {
        let stream = TcpStream::connect(node.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Connection { stream }
    }

    fn write(&mut self, frame: &str) {
        let frame = frame.as_bytes();
        self.stream.write_all(&[&(frame.len() as u32).to_le_bytes()[..], frame].concat()).unwrap();
    }

    /// Reads the next frame. Returns `None` if the node closed the connection.
    fn read(&mut self) -> Option<String> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_le_bytes(length) as usize];
        self.stream.read_exact(&mut frame).ok()?;
        String::from_utf8(frame).ok()
    }
}

#[rstest]
fn responds_to_batches_and_probes() {
    let node = start_node(4, 8);
    let mut connection = Connection::open(&node);
    connection.write("1q.3 3 d=240 2\nxyq.4 4 d=240 0\n");
    let mut responses = [connection.read().unwrap(), connection.read().unwrap()];
    responses.sort();
    assert!(responses[0].starts_with("5q.3 S 1 queue=") && responses[0].ends_with("\nv"), "{responses:?}");
    assert!(responses[1].starts_with("5q.4 S 1 queue="));
    connection.write("3");
    assert_eq!(connection.read().unwrap(), "3S");
    connection.write("4");
    assert_eq!(connection.read().unwrap(), "4queue=0,qps=2,inflight=0");
    let received: Vec<_> =
        node.received().into_iter().map(|received| (received.id, received.shard, received.state)).collect();
    assert_eq!(received, [("q.3".to_owned(), 3, NodeState::Ready), ("q.4".to_owned(), 4, NodeState::Ready)]);
}

/// A node refuses shard requests if its queue is full or it is draining. A cancelled shard request frees its place in
/// the queue and is not answered.
#[rstest]
fn refuses_and_cancels() {
    let node = start_node(1, 1);
    let mut connection = Connection::open(&node);
    connection.write("1a.1 1 d=9 0\nb.1 1 d=9 0\nc.1 1 d=9 0\n");
    assert!(connection.read().unwrap().starts_with("5c.1 B "));
    connection.write("2b.1");
    node.drain();
    connection.write("1d.1 1 d=9 0\n");
    let mut responses = [connection.read().unwrap(), connection.read().unwrap()];
    responses.sort();
    assert!(responses[0].starts_with("5a.1 S "), "the accepted shard request is completed: {responses:?}");
    assert!(responses[1].starts_with("5d.1 B "), "{responses:?}");
    assert_eq!(node.received().last().unwrap().state, NodeState::Draining);
}

/// A crash ends the connections, and new ones are dropped. After a restart the node serves at the same address.
#[rstest]
fn crashes_and_restarts() {
    let node = start_node(1, 1);
    let mut connection = Connection::open(&node);
    connection.write("1a.1 1 d=9 0\n");
    node.crash();
    assert_eq!(connection.read(), None);
    let mut connection = Connection::open(&node);
    assert_eq!(connection.read(), None);
    node.restart();
    let mut connection = Connection::open(&node);
    connection.write("1b.2 2 d=9 0\n");
    assert!(connection.read().unwrap().starts_with("5b.2 S "));
}

#[rstest]
#[case("9what")]
#[case("1a.1 one d=9 0\n")]
#[case("1a.1 1 d=9 50\nshort")]
fn closes_on_an_invalid_frame(#[case] frame: &str) {
    let node = start_node(1, 1);
    let mut connection = Connection::open(&node);
    connection.write(frame);
    while connection.read().is_some() {}
    let mut other = Connection::open(&node);
    other.write("3");
    assert_eq!(other.read().unwrap(), "3S");
}
