//! Tests of requests and connections that arrive while connections or the server are being closed.

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

/// Creates a server that knows no node, on a machine with this number of sockets.
fn start_server(sockets: usize, change_limits: impl FnOnce(&mut Limits)) -> Rc<HttpServer> {
    let machine = Machine { memory_mb: 192, sockets };
    let mut limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    change_limits(&mut limits);
    let limits = Rc::new(limits);
    let engine = Engine::new(BrokerSettings::default(), 1, limits.clone(), None, None);
    HttpServer::new(QueryHandler { engine, limits, rejected_requests: Default::default() })
}

/// Creates a server that keeps at most this number of idle connections.
fn start_server_with_idle_limit(max_idle_connections: usize) -> Rc<HttpServer> {
    start_server(1024, |limits| limits.clients.max_idle_connections = max_idle_connections)
}

/// Starts accepting connections, and returns the address on which the server listens.
async fn listen(server: &Rc<HttpServer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(server.clone().run(listener));
    address
}

/// Reads until the server closes the connection, and fails if the connection is reset.
async fn read_to_end(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let (mut client, mut text) = (TcpStream::from_std(client).unwrap(), String::new());
    let read = timeout(Duration::from_secs(30), client.read_to_string(&mut text)).await;
    read.expect("the connection was not closed").expect("the connection was reset");
    text
}

/// Opens a connection, completes one request on it, and leaves it idle.
async fn connect_idle(server: &HttpServer, address: SocketAddr) -> std::net::TcpStream {
    let count_served = || {
        server.connections.borrow().iter().filter(|connection| connection.has_served_request.get()).count()
    };
    let before = count_served();
    let mut idle = std::net::TcpStream::connect(address).unwrap();
    idle.write_all(HEALTH_REQUEST).unwrap();
    // The response is written in the same step, so the read below does not block the thread.
    while count_served() == before {
        actix_rt::task::yield_now().await;
    }
    assert!(idle.read(&mut [0; 1024]).unwrap() > 0);
    idle
}

fn assert_is_last_response(text: &str) {
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("connection: close"), "{text}");
}

/// A request that arrives while its idle connection is being closed to make room must be answered. Without that, the
/// client would see a reset; the response is the last one on the connection.
#[rstest]
fn answers_a_request_that_arrives_as_its_idle_connection_is_closed() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server_with_idle_limit(0);
        let address = listen(&server).await;
        for _ in 0..20 {
            let mut idle = connect_idle(&server, address).await;
            // The new connection, for which the idle one is closed, and the request on the idle one become ready at
            // the same time.
            let _new = std::net::TcpStream::connect(address).unwrap();
            idle.write_all(HEALTH_REQUEST).unwrap();
            assert_is_last_response(&read_to_end(idle).await);
            while server.connections.borrow().iter().any(|connection| connection.has_served_request.get()) {
                actix_rt::task::yield_now().await;
            }
        }
    });
}

/// A request that arrives on an idle connection while the server closes must be answered, and the connection must not
/// be reset.
#[rstest]
fn answers_a_request_that_arrives_on_an_idle_connection_as_the_server_closes() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        for _ in 0..5 {
            let server = start_server_with_idle_limit(9);
            let address = listen(&server).await;
            let mut requesting = connect_idle(&server, address).await;
            let idle = connect_idle(&server, address).await;
            requesting.write_all(HEALTH_REQUEST).unwrap();
            server.close().await;
            assert_is_last_response(&read_to_end(requesting).await);
            assert_eq!(read_to_end(idle).await, "");
        }
    });
}

/// Connections that wait in the listener's queue because the limit is reached must be accepted once there is room,
/// even if the server is closing by then.
#[rstest]
fn accepts_queued_connections_as_there_is_room() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server(64, |_| ());
        let max_connections = server.max_connections();
        let address = listen(&server).await;
        let mut incomplete: Vec<_> =
            (0..max_connections).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        incomplete.iter_mut().for_each(|client| client.write_all(b"GET /_health HT").unwrap());
        let is_reading = |connection: &&Rc<Connection>| connection.reading_since().is_some();
        while server.connections.borrow().iter().filter(is_reading).count() < max_connections {
            actix_rt::task::yield_now().await;
        }
        let mut last = std::net::TcpStream::connect(address).unwrap();
        last.write_all(HEALTH_REQUEST).unwrap();
        let mut close = pin!(server.close());
        assert!((&mut close).now_or_never().is_none());
        incomplete[0].write_all(b"TP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let text = tokio::select! {
            biased;
            text = read_to_end(last) => text,
            () = close => panic!("the server closed before it answered a queued request"),
        };
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    });
}

/// A connection that is still in the listener's queue when the server closes must have its request answered.
#[rstest]
fn answers_a_queued_connection_as_the_server_closes() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let server = start_server_with_idle_limit(9);
        let address = listen(&server).await;
        sleep(Duration::from_millis(50)).await;
        // The client connects and writes before the server can run to accept the connection.
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(HEALTH_REQUEST).unwrap();
        server.close().await;
        client.set_nonblocking(true).unwrap();
        let mut reply = [0; 12];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"HTTP/1.1 503"); // the server knows no node
    });
}
