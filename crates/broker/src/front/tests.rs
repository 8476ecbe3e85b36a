//! What closing a connection does to what comes in that moment.

use super::*;
use crate::engine::Engine;
use crate::limits::{Limits, Machine};
use rstest::rstest;
use settings::BrokerSettings;
use std::io::{Read, Write};

/// A front that knows no node, and keeps so many idle connections.
fn front(kept_lines: usize) -> Rc<HttpServer> {
    let machine = Machine { memory_mb: 192, sockets: 1024 };
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    let limits = Rc::new(Limits { max_idle_client_connections: kept_lines, ..limits });
    let engine = Engine::new(BrokerSettings::default(), 1, limits.clone(), None, None);
    HttpServer::new(QueryHandler { engine, limits, wrongs: Default::default() })
}

const HEALTH: &[u8] = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

/// What a client reads up to the end of its connection; an error is a reset.
async fn to_end(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let (mut client, mut text) = (TcpStream::from_std(client).unwrap(), String::new());
    let read = timeout(Duration::from_secs(30), client.read_to_string(&mut text)).await;
    read.expect("it stays open").expect("a reset");
    text
}

/// An idle connection that was answered once.
async fn idle(front: &HttpServer, address: SocketAddr) -> std::net::TcpStream {
    let served = || front.lines.borrow().iter().filter(|line| line.served.get()).count();
    let before = served();
    let mut idle = std::net::TcpStream::connect(address).unwrap();
    idle.write_all(HEALTH).unwrap();
    // Its answer is written in the same step, so that the read below does not keep the thread.
    while served() == before {
        actix_rt::task::yield_now().await;
    }
    assert!(idle.read(&mut [0; 1024]).unwrap() > 0);
    idle
}

/// A request that comes as its connection is let go is answered, and that is the last one.
#[rstest]
fn answers_what_came_as_its_connection_was_let_go() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let front = front(0);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(front.clone().run(listener));
        for _ in 0..20 {
            let mut idle = idle(&front, address).await;
            // Both are heard of at once: the new connection, for which this one goes, and its request.
            let _new = std::net::TcpStream::connect(address).unwrap();
            idle.write_all(HEALTH).unwrap();
            let told = to_end(idle).await;
            assert!(told.starts_with("HTTP/1.1 503") && told.contains("connection: close"), "{told}");
            while front.lines.borrow().iter().any(|line| line.served.get()) {
                actix_rt::task::yield_now().await;
            }
        }
    });
}

/// The same where the front closes: what came on an idle connection in that moment is answered, not reset.
#[rstest]
fn answers_what_came_on_an_idle_connection_as_it_closes() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        for _ in 0..5 {
            let front = front(9);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            actix_rt::spawn(front.clone().run(listener));
            let (mut asks, rests) = (idle(&front, address).await, idle(&front, address).await);
            asks.write_all(HEALTH).unwrap();
            front.close().await;
            let told = to_end(asks).await;
            assert!(told.starts_with("HTTP/1.1 503") && told.contains("connection: close"), "{told}");
            assert_eq!(to_end(rests).await, "");
        }
    });
}

/// At the bound connections wait in the listener's line; when the front closes then, they are taken as there is room.
#[rstest]
fn takes_the_last_in_line_as_there_is_room() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let machine = Machine { memory_mb: 192, sockets: 64 };
        let limits = Rc::new(Limits::new(machine, &BrokerSettings::default()).unwrap());
        let most = limits.max_client_connections + limits.max_surplus_connections;
        let engine = Engine::new(BrokerSettings::default(), 1, limits.clone(), None, None);
        let front = HttpServer::new(QueryHandler { engine, limits, wrongs: Default::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(front.clone().run(listener));
        let mut begun: Vec<_> = (0..most).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        begun.iter_mut().for_each(|client| client.write_all(b"GET /_health HT").unwrap());
        while front.lines.borrow().iter().filter(|line| line.begun.get().is_some()).count() < most {
            actix_rt::task::yield_now().await;
        }
        let mut last = std::net::TcpStream::connect(address).unwrap();
        last.write_all(HEALTH).unwrap();
        let mut close = std::pin::pin!(front.close());
        assert!((&mut close).now_or_never().is_none());
        begun[0].write_all(b"TP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let told = tokio::select! {
            biased;
            told = to_end(last) => told,
            () = close => panic!("it closed over a request in line"),
        };
        assert!(told.starts_with("HTTP/1.1 503"), "{told}");
    });
}

/// What stands in the listener's line when the front closes is answered before it is closed.
#[rstest]
fn answers_the_last_in_line() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let front = front(9);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(front.clone().run(listener));
        sleep(Duration::from_millis(50)).await;
        // Made and written to without a moment for the front to accept it.
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        front.close().await;
        client.set_nonblocking(true).unwrap();
        let mut reply = [0; 12];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(&reply, b"HTTP/1.1 503"); // it knows no node
    });
}
