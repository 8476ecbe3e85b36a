//! What closing a connection does to what arrives in that moment.

use super::HttpServer;
use super::connection::Connection;
use crate::engine::Engine;
use crate::limits::{Limits, Machine};
use crate::query_handler::QueryHandler;
use futures_util::FutureExt;
use rstest::rstest;
use settings::BrokerSettings;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const HEALTH_REQUEST: &[u8] = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server that knows no node, on a machine with so many sockets.
fn start_server(sockets: usize, change_limits: impl FnOnce(&mut Limits)) -> Rc<HttpServer> {
    let machine = Machine { memory_mb: 192, sockets };
    let mut limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    change_limits(&mut limits);
    let limits = Rc::new(limits);
    let engine = Engine::new(BrokerSettings::default(), 1, limits.clone(), None, None);
    HttpServer::new(QueryHandler { engine, limits, rejected_requests: Default::default() })
}

/// A server that keeps so many idle connections.
fn start_server_keeping(kept_connections: usize) -> Rc<HttpServer> {
    start_server(1024, |limits| limits.clients.max_idle_connections = kept_connections)
}

/// Lets the server accept connections; where it listens.
async fn listen(server: &Rc<HttpServer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(server.clone().run(listener));
    address
}

/// What a client reads up to the end of its connection; an error is a reset.
async fn read_to_end(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let (mut client, mut text) = (TcpStream::from_std(client).unwrap(), String::new());
    let read = timeout(Duration::from_secs(30), client.read_to_string(&mut text)).await;
    read.expect("it stays open").expect("a reset");
    text
}

/// An idle connection that was answered once.
async fn connect_idle(server: &HttpServer, address: SocketAddr) -> std::net::TcpStream {
    let count_served = || {
        server.connections.borrow().iter().filter(|connection| connection.has_served_request.get()).count()
    };
    let before = count_served();
    let mut idle = std::net::TcpStream::connect(address).unwrap();
    idle.write_all(HEALTH_REQUEST).unwrap();
    // Its response is written in the same step, so that the read below does not keep the thread.
    while count_served() == before {
        actix_rt::task::yield_now().await;
    }
    assert!(idle.read(&mut [0; 1024]).unwrap() > 0);
    idle
}

fn assert_is_last_response(text: &str) {
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("connection: close"), "{text}");
}

/// A request that arrives as its connection is closed for another is answered, and that is the last response.
#[rstest]
fn answers_a_request_that_arrives_as_its_idle_connection_is_closed() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server_keeping(0);
        let address = listen(&server).await;
        for _ in 0..20 {
            let mut idle = connect_idle(&server, address).await;
            // Both events come at once: the new connection, for which this one is closed, and its request.
            let _new = std::net::TcpStream::connect(address).unwrap();
            idle.write_all(HEALTH_REQUEST).unwrap();
            assert_is_last_response(&read_to_end(idle).await);
            while server.connections.borrow().iter().any(|connection| connection.has_served_request.get()) {
                actix_rt::task::yield_now().await;
            }
        }
    });
}

/// The same where the server closes: what arrived on an idle connection in that moment is answered, not
/// reset.
#[rstest]
fn answers_a_request_that_arrives_on_an_idle_connection_as_the_server_closes() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        for _ in 0..5 {
            let server = start_server_keeping(9);
            let address = listen(&server).await;
            let mut requesting = connect_idle(&server, address).await;
            let resting = connect_idle(&server, address).await;
            requesting.write_all(HEALTH_REQUEST).unwrap();
            server.close().await;
            assert_is_last_response(&read_to_end(requesting).await);
            assert_eq!(read_to_end(resting).await, "");
        }
    });
}

/// At the bound connections wait in the listener's queue; when the server closes then, they are accepted as
/// there is room.
#[rstest]
fn accepts_queued_connections_as_there_is_room() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server(64, |_| ());
        let most = server.max_connections();
        let address = listen(&server).await;
        let mut begun: Vec<_> = (0..most).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        begun.iter_mut().for_each(|client| client.write_all(b"GET /_health HT").unwrap());
        let is_reading = |connection: &&Rc<Connection>| connection.reading_since().is_some();
        while server.connections.borrow().iter().filter(is_reading).count() < most {
            actix_rt::task::yield_now().await;
        }
        let mut last = std::net::TcpStream::connect(address).unwrap();
        last.write_all(HEALTH_REQUEST).unwrap();
        let mut close = pin!(server.close());
        assert!((&mut close).now_or_never().is_none());
        begun[0].write_all(b"TP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let text = tokio::select! {
            biased;
            text = read_to_end(last) => text,
            () = close => panic!("it closed over a queued request"),
        };
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    });
}

/// What stands in the listener's queue when the server closes is answered before its connection is closed.
#[rstest]
fn answers_a_queued_connection_as_the_server_closes() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server_keeping(9);
        let address = listen(&server).await;
        sleep(Duration::from_millis(50)).await;
        // Made and written to without a moment for the server to accept it.
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(HEALTH_REQUEST).unwrap();
        server.close().await;
        client.set_nonblocking(true).unwrap();
        let mut reply = [0; 12];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"HTTP/1.1 503"); // it knows no node
    });
}
