//! The HTTP server that clients reach: accepts, routes, and keeps its connections within bounds.

use crate::retrieval::{self, Counter, bad, decline, plain};
use actix_http::error::DispatchError;
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{ConnectionType, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use barleydrum::Tenths;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep};
use tracing::{debug, warn};

/// What is known of one client's connection.
struct Line {
    /// Accepted beyond the bound: its requests are declined.
    surplus: bool,
    /// A request is being served.
    busy: Cell<bool>,
    /// Since when the beginning of a request has been in hand.
    begun: Cell<Option<Instant>>,
    /// Since when the client has not taken all that was written.
    stuck: Cell<Option<Instant>>,
    used: Cell<Instant>,
    served: Cell<bool>,
    go: Notify,
}

impl Line {
    /// Nothing is under way on it. One that is new has `grace` for its first request, which may have been
    /// written already.
    fn is_idle(&self, grace: Duration) -> bool {
        let at_rest = !self.busy.get() && self.begun.get().is_none() && self.stuck.get().is_none();
        at_rest && (self.served.get() || self.used.get().elapsed() > grace)
    }
}

/// A client's socket, watched.
struct Watched {
    stream: TcpStream,
    line: Rc<Line>,
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        if into.filled().len() > before && !self.line.busy.get() {
            self.line.begun.set(self.line.begun.get().or(Some(Instant::now())));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, from);
        let all = matches!(written, Poll::Ready(Ok(count)) if count == from.len());
        let since = self.line.stuck.get().unwrap_or_else(Instant::now);
        self.line.stuck.set((!all).then_some(since));
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

pub struct Front {
    counter: Counter,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Rung when a line has ended.
    line_ended: Notify,
    /// New connections are no longer wanted.
    closing: Cell<bool>,
    close: Notify,
    /// Rung when nothing more is accepted.
    closed: Notify,
}

impl Front {
    pub fn new(counter: Counter) -> Rc<Front> {
        Rc::new(Front {
            counter,
            lines: RefCell::default(),
            line_ended: Notify::new(),
            closing: Cell::default(),
            close: Notify::new(),
            closed: Notify::new(),
        })
    }

    /// Accepts until told to close, and then takes what still stands in line.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let limits = &self.counter.limits;
        let front = self.clone();
        let factory = HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.keep_alive))
            .client_request_timeout(Duration::ZERO) // slow ones are seen to by the sweep
            .client_disconnect_timeout(limits.slow)
            // A client that closes its side has gone away, and its retrieval is dropped.
            .h1_allow_half_closed(false)
            .on_connect_ext(|io: &Watched, data| _ = data.insert(io.line.clone()))
            .h1(fn_service(move |request: Request| {
                let front = front.clone();
                async move { Ok::<_, Infallible>(front.serve(request).await) }
            }));
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        let most = limits.client_lines + limits.surplus_lines;
        let mut sweep = interval(limits.sweep);
        loop {
            let room = self.lines.borrow().len() < most;
            // Guards against connections that fill the bound, fall idle and keep all others waiting.
            if !room {
                self.let_idle_go();
            }
            tokio::select! {
                biased;
                accepted = listener.accept(), if room => match accepted {
                    Ok((stream, _)) => self.clone().welcome(stream, service.clone()),
                    Err(e) => {
                        warn!("a connection could not be accepted: {e}");
                        sleep(limits.sweep / 10).await;
                    }
                },
                () = self.close.notified() => break,
                () = self.line_ended.notified() => {}
                _ = sweep.tick() => self.let_slow_go(),
            }
        }
        // Guards against connections that were made and are not known of yet: closing would reset them.
        if let Ok(listener) = listener.into_std() {
            while self.lines.borrow().len() < most {
                let Ok(stream) = listener.accept().and_then(|(stream, _)| into_async(stream)) else { break };
                self.clone().welcome(stream, service.clone());
            }
        }
        self.closed.notify_one();
    }

    fn welcome<S>(self: Rc<Self>, stream: TcpStream, service: Rc<S>)
    where
        S: Service<(Watched, Option<SocketAddr>), Response = (), Error = DispatchError> + 'static,
    {
        if let Err(e) = stream.set_nodelay(true) {
            debug!("no-delay: {e}");
        }
        let full = self.lines.borrow().len() >= self.counter.limits.client_lines;
        // At the bound the connection that was idle longest makes room; else the new one is declined.
        let made_room = full && self.let_idle_go();
        let line = Rc::new(Line {
            surplus: full && !made_room,
            busy: Cell::default(),
            begun: Cell::default(),
            stuck: Cell::default(),
            used: Cell::new(Instant::now()),
            served: Cell::default(),
            go: Notify::new(),
        });
        self.lines.borrow_mut().push(line.clone());
        actix_rt::spawn(async move {
            let watched = Watched { stream, line: line.clone() };
            tokio::select! {
                ended = service.call((watched, None)) => if let Err(e) = ended {
                    debug!("a client's connection ended: {e}");
                },
                () = line.go.notified() => {}
            }
            self.lines.borrow_mut().retain(|other| !Rc::ptr_eq(other, &line));
            self.line_ended.notify_waiters();
        });
    }

    async fn serve(&self, request: Request) -> Response<Bytes> {
        let Some(line) = request.conn_data::<Rc<Line>>().cloned() else {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "a connection that is not known\n");
        };
        let arrived = line.begun.take().unwrap_or_else(Instant::now);
        let busy = Busy::new(&line);
        let mut response = self.route(request, &line, arrived).await;
        if line.surplus || self.closing.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        drop(busy);
        response
    }

    async fn route(&self, request: Request, line: &Line, arrived: Instant) -> Response<Bytes> {
        let allowed = match request.path() {
            "/api" => Method::POST,
            "/_health" => Method::GET,
            _ => return bad(StatusCode::NOT_FOUND, "an unknown path"),
        };
        if *request.method() != allowed {
            let mut response = bad(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
            if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, allowed);
            }
            return response;
        }
        if allowed == Method::POST {
            return match line.surplus {
                true => decline(Tenths::ZERO),
                false => retrieval::serve(&self.counter, request, arrived).await,
            };
        }
        match self.counter.desk.can_serve() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n"),
        }
    }

    /// Lets the longest idle connection go; tells whether there was one.
    fn let_idle_go(&self) -> bool {
        let lines = self.lines.borrow();
        let idle = lines.iter().filter(|line| line.is_idle(self.counter.limits.sweep));
        let longest = idle.min_by_key(|line| line.used.get());
        longest.inspect(|line| line.go.notify_one()).is_some()
    }

    /// Guards against clients that send or take a byte now and then and hold their connections.
    fn let_slow_go(&self) {
        let now = Instant::now();
        for line in self.lines.borrow().iter() {
            let since = line.begun.get().into_iter().chain(line.stuck.get()).min();
            if since.is_some_and(|since| now - since > self.counter.limits.slow) {
                warn!("a client is too slow and let go");
                line.go.notify_one();
            }
        }
    }

    /// No new connections; those that are idle end now, the others with their answers.
    pub async fn close(&self) {
        self.closing.set(true);
        self.close.notify_one();
        self.closed.notified().await;
        loop {
            let ended = self.line_ended.notified();
            let lines = self.lines.borrow().clone();
            if lines.is_empty() {
                return;
            }
            let idle = lines.iter().filter(|line| line.is_idle(self.counter.limits.sweep));
            idle.for_each(|line| line.go.notify_one());
            tokio::select! {
                () = ended => {}
                () = sleep(self.counter.limits.sweep / 10) => self.let_slow_go(),
            }
        }
    }
}

fn into_async(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Marks a connection as busy for as long as it lives.
struct Busy<'a>(&'a Line);

impl<'a> Busy<'a> {
    fn new(line: &'a Line) -> Busy<'a> {
        line.busy.set(true);
        Busy(line)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.used.set(Instant::now());
        self.0.served.set(true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::desk::Desk;
    use crate::limits::{Limits, Machine};
    use intake::Intake;
    use rstest::rstest;
    use std::io::{Read, Write};

    /// What stands in the listener's line when the front closes is answered before it is closed.
    #[rstest]
    fn answers_the_last_in_line() {
        actix_rt::Runtime::new().unwrap().block_on(async {
            let Intake { prescription, names, .. } = Intake::default();
            let machine = Machine { memory_mb: 192, sockets: 1024 };
            let limits = Rc::new(Limits::new(machine, &Intake::default()).unwrap());
            let desk = Desk::new(prescription, Vec::new(), 1, limits.clone());
            let front = Front::new(Counter { desk, names, categories: Vec::new(), shards: 1, limits });
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
}
