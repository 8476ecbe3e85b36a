//! The HTTP server that clients reach: accepts, routes, and keeps its connections within bounds.

use crate::limits::Limits;
use crate::retrieval::{self, QueryHandler, decline, plain};
use actix_http::error::DispatchError;
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{ConnectionType, HttpService, KeepAlive, Method, Payload, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::FutureExt;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, interval, sleep, timeout};
use tracing::{debug, warn};

/// What is known of one client's connection.
struct Line {
    limits: Rc<Limits>,
    /// Accepted beyond the bound: its requests are rejected.
    surplus: bool,
    /// A request is being served.
    busy: Cell<bool>,
    /// Its request is whole: what comes behind it stays unread until it is answered.
    whole: Cell<bool>,
    /// Since when the beginning of a request has been in hand.
    begun: Cell<Option<Instant>>,
    /// Bytes that came for the request that is being read.
    came: Cell<usize>,
    /// Since when the client has not taken all that was written.
    stuck: Cell<Option<Instant>>,
    used: Cell<Instant>,
    served: Cell<bool>,
    /// A query of its was taken.
    useful: Cell<bool>,
    /// Requests in a row that were wrong.
    wrong: Cell<usize>,
    /// What it is told beside the HTTP server, before it is let go.
    last_word: Cell<Option<StatusCode>>,
    /// It is let go with the answer to the request that came in that moment.
    last: Cell<bool>,
    /// Its last answer is on the way.
    ending: Cell<bool>,
    /// What comes behind that is no body, which the HTTP server would take in.
    behind: Cell<bool>,
    /// Waits to read on.
    reader: Cell<Option<Waker>>,
    go: Notify,
}

impl Line {
    /// Nothing is under way on it. One that is new has a moment for its first request, which may have been
    /// written already.
    fn is_idle(&self) -> bool {
        self.at_rest() && (self.served.get() || self.used.get().elapsed() > self.limits.new_connection_grace)
    }

    fn at_rest(&self) -> bool {
        !self.busy.get() && self.begun.get().is_none() && self.stuck.get().is_none()
    }

    fn end(&self, last_word: Option<StatusCode>) {
        self.last_word.set(last_word);
        self.go.notify_one();
    }

    /// Whether more may be read of the request in hand; one that is too long in spite of that is ended. The
    /// HTTP server reads on and on before it looks at what came.
    fn has_room(&self, cx: &Context) -> bool {
        let most = match (self.ending.get(), self.busy.get()) {
            (true, _) => return self.came.get() < self.limits.max_linger_bytes,
            (false, true) => self.limits.max_chunked_body_bytes,
            (false, false) => self.limits.max_head_bytes,
        };
        if self.came.get() < most {
            return true;
        }
        // It looks at what came before it asks again; then either a head was whole, or it is too long.
        if self.came.replace(usize::MAX) == usize::MAX {
            let status = if self.busy.get() { 413 } else { 431 };
            self.end(StatusCode::from_u16(status).ok());
        } else {
            cx.waker().wake_by_ref();
        }
        false
    }
}

/// A client's socket, watched.
struct Watched {
    stream: Rc<RefCell<TcpStream>>,
    line: Rc<Line>,
    /// When the client's close is looked for behind the bytes that it sent ahead.
    look: Option<Pin<Box<Sleep>>>,
}

impl Watched {
    /// What lies unread hides the close: no event tells of it, so it is looked for.
    fn poll_hidden_close(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        while !is_read_closed(&self.stream.borrow()) {
            let look = self.look.get_or_insert_with(|| Box::pin(sleep(self.line.limits.close_poll_interval)));
            ready!(look.as_mut().poll(cx));
            self.look = None;
            self.drop_flood();
        }
        Poll::Ready(Ok(()))
    }

    /// More than a request may have lies ahead: the close behind it would not even arrive. So it is taken in and
    /// dropped, so much a look, and the connection ends with the answer that is under way.
    fn drop_flood(&self) {
        let (stream, limits) = (self.stream.borrow(), &self.line.limits);
        let mut ahead = vec![MaybeUninit::uninit(); limits.max_body_bytes];
        if SockRef::from(&*stream).peek(&mut ahead).is_ok_and(|count| count == limits.max_body_bytes) {
            self.line.last.set(true);
            let mut dropped = vec![0; limits.max_linger_bytes];
            let _ = stream.try_read(&mut dropped);
        }
    }
}

/// Whether the peer has closed its side, behind what it sent before.
fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Whether bytes lie unread, asked of the system: word of them may not have come yet.
fn has_unread(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|count| count > 0)
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.line.whole.get() {
            // Guards against floods on one connection: but for the close, nothing more is heard of it now.
            let mut byte = [0];
            if ready!(self.stream.borrow_mut().poll_peek(cx, &mut ReadBuf::new(&mut byte)))? == 0 {
                return Poll::Ready(Ok(()));
            }
            self.line.reader.set(Some(cx.waker().clone()));
            return self.poll_hidden_close(cx);
        }
        let (line, mut stream) = (&self.line, self.stream.borrow_mut());
        if !line.has_room(cx) {
            return Poll::Pending;
        }
        let before = into.filled().len();
        ready!(Pin::new(&mut *stream).poll_read(cx, into))?;
        let more = into.filled().len() - before;
        line.came.set(line.came.get().saturating_add(more));
        if more > 0 && !line.busy.get() {
            line.begun.set(line.begun.get().or(Some(Instant::now())));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, from);
        let all = matches!(written, Poll::Ready(Ok(count)) if count == from.len());
        let since = self.line.stuck.get().unwrap_or_else(Instant::now);
        self.line.stuck.set((!all).then_some(since));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

pub struct HttpServer {
    counter: QueryHandler,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Rung when a line has ended.
    line_ended: Notify,
    /// New connections are no longer wanted.
    closing: Cell<bool>,
    close: Notify,
    /// Rung when nothing more is accepted.
    closed: Notify,
}

impl HttpServer {
    pub fn new(counter: QueryHandler) -> Rc<HttpServer> {
        Rc::new(HttpServer {
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
            .keep_alive(KeepAlive::Timeout(limits.keep_alive_timeout))
            .client_request_timeout(Duration::ZERO) // slow ones are seen to by the sweep
            // Guards against resets that destroy an answer: an unread body is taken in for a while.
            .client_disconnect_timeout(limits.linger_timeout)
            // A client that closes its side has gone away, and its query is dropped.
            .h1_allow_half_closed(false)
            .on_connect_ext(|io: &Watched, data| _ = data.insert(io.line.clone()))
            .h1(fn_service(move |request: Request| {
                let front = front.clone();
                async move { Ok::<_, Infallible>(front.serve(request).await) }
            }));
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        let most = limits.max_client_connections + limits.max_surplus_connections;
        let mut sweep = interval(limits.sweep_interval);
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
                        sleep(limits.sweep_interval / 10).await;
                    }
                },
                () = self.close.notified() => break,
                () = self.line_ended.notified() => {}
                () = sleep(limits.new_connection_grace), if !room => {}
                _ = sweep.tick() => {
                    self.let_slow_go();
                    self.counter.wrongs.take().iter().for_each(|line| warn!("{line}"));
                }
            }
        }
        // Guards against connections that were made and are not known of yet: closing would reset them. At the bound
        // they wait for room.
        if let Ok(listener) = listener.into_std() {
            loop {
                while self.lines.borrow().len() >= most {
                    self.let_slow_go();
                    self.let_idle_go();
                    tokio::select! {
                        () = self.line_ended.notified() => {}
                        () = sleep(limits.new_connection_grace) => {}
                    }
                }
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
        let limits = self.counter.limits.clone();
        self.keep_few();
        let full = self.lines.borrow().len() >= limits.max_client_connections;
        // At the bound the connection that was idle longest makes room; else the new one is rejected.
        let made_room = full && self.let_idle_go();
        let line = Rc::new(Line {
            limits,
            surplus: full && !made_room,
            busy: Cell::default(),
            whole: Cell::default(),
            begun: Cell::default(),
            came: Cell::default(),
            stuck: Cell::default(),
            used: Cell::new(Instant::now()),
            served: Cell::default(),
            useful: Cell::default(),
            wrong: Cell::default(),
            last_word: Cell::default(),
            last: Cell::default(),
            ending: Cell::default(),
            behind: Cell::default(),
            reader: Cell::default(),
            go: Notify::new(),
        });
        self.lines.borrow_mut().push(line.clone());
        actix_rt::spawn(async move {
            let stream = Rc::new(RefCell::new(stream));
            let watched = Watched { stream: stream.clone(), line: line.clone(), look: None };
            let unread = {
                let mut served = pin!(service.call((watched, None)));
                loop {
                    tokio::select! {
                        // First: what comes on one that was idle when it was let go is not read by halves.
                        biased;
                        () = line.go.notified() => {
                            let word = line.last_word.get().is_some();
                            // Guards against a request that came in this moment: closing over it would reset it.
                            if !word && line.at_rest() && has_unread(&stream.borrow()) {
                                line.last.set(true);
                                continue;
                            }
                            break word;
                        }
                        ended = &mut served => match ended {
                            Err(DispatchError::Parse(_)) => {
                                self.counter.wrongs.note(400, "no request that can be read");
                                break true;
                            }
                            _ => break line.behind.get(),
                        },
                    }
                }
            };
            if let Some(stream) = Rc::into_inner(stream).filter(|_| unread) {
                self.take_leave(stream.into_inner(), line.last_word.get()).await;
            }
            self.lines.borrow_mut().retain(|other| !Rc::ptr_eq(other, &line));
            self.line_ended.notify_waiters();
        });
    }

    /// Says the last word, and takes in what still comes, within bounds: closing before that would reset the
    /// connection, and might destroy what was said.
    async fn take_leave(&self, mut stream: TcpStream, word: Option<StatusCode>) {
        let limits = &self.counter.limits;
        let leave = async {
            if let Some(status) = word {
                self.counter.wrongs.note(status.as_u16(), "a request that is too long, or does not come");
                let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
            }
            stream.shutdown().await?;
            let mut rest = stream.take(limits.max_linger_bytes as u64);
            tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
        };
        // Whatever becomes of it, the connection is over.
        let _ = timeout(limits.linger_timeout, leave).await;
    }

    async fn serve(&self, mut request: Request) -> Response<Bytes> {
        let Some(line) = request.conn_data::<Rc<Line>>().cloned() else {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "a connection that is not known\n");
        };
        if line.ending.get() {
            // It came ahead, behind the last one that this connection answers: no answer could follow.
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "the connection ends\n");
            response.head_mut().set_connection_type(ConnectionType::Close);
            return response;
        }
        let arrived = line.begun.take().unwrap_or_else(Instant::now);
        line.came.set(0);
        let busy = Busy::new(&line);
        let has_body = !matches!(request.payload(), Payload::None);
        let said_last = request.head().connection_type() == ConnectionType::Close;
        let mut response = self.route(request, &line, arrived).await;
        line.wrong.set(if response.status().is_client_error() { line.wrong.get() + 1 } else { 0 });
        // Guards against tenants that come with the same again and again: another connection costs them more.
        let tired = line.wrong.get() >= self.counter.limits.max_consecutive_bad_requests;
        let unread = has_body && !line.whole.get();
        if said_last || line.surplus || self.closing.get() || line.last.get() || tired || unread {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        line.ending.set(response.head().connection_type() == ConnectionType::Close);
        line.behind.set(line.ending.get() && !unread);
        drop(busy);
        response
    }

    async fn route(&self, request: Request, line: &Line, arrived: Instant) -> Response<Bytes> {
        let allowed = match request.path() {
            "/api" => Method::POST,
            "/_health" => Method::GET,
            _ => return self.counter.bad(StatusCode::NOT_FOUND, "an unknown path"),
        };
        if *request.method() != allowed {
            let mut response = self.counter.bad(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted");
            if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, allowed);
            }
            return response;
        }
        if allowed == Method::POST {
            return match line.surplus {
                true => decline(self.counter.engine.epoch().retry_after),
                false => {
                    let whole = || line.whole.set(true);
                    let response = retrieval::serve(&self.counter, request, arrived, whole).await;
                    line.useful.set(line.useful.get() || !response.status().is_client_error());
                    response
                }
            };
        }
        match self.counter.engine.can_serve() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n"),
        }
    }

    /// Lets an idle connection go; tells whether there was one. Those that never brought a query go
    /// first: who says nothing, or comes again at once with what was refused, takes no one's room.
    fn let_idle_go(&self) -> bool {
        let lines = self.lines.borrow();
        let idle = lines.iter().filter(|line| line.is_idle());
        let first = idle.min_by_key(|line| (line.useful.get(), line.used.get()));
        first.inspect(|line| line.end(None)).is_some()
    }

    /// Guards against tenants that ask once and keep their connection: they may hold only so many to a
    /// broker, and ask no more of it once these are used up.
    fn keep_few(&self) {
        let lines = self.lines.borrow();
        let kept = || lines.iter().filter(|line| line.served.get() && line.is_idle());
        if kept().count() > self.counter.limits.max_idle_client_connections {
            kept().min_by_key(|line| line.used.get()).into_iter().for_each(|line| line.end(None));
        }
    }

    /// Guards against clients that hold their connections: that send or take a byte now and then, or that say
    /// nothing at all from the start.
    fn let_slow_go(&self) {
        let (now, slow) = (Instant::now(), self.counter.limits.client_io_timeout);
        for line in self.lines.borrow().iter() {
            let late = |since: Option<Instant>| since.is_some_and(|since| now - since > slow);
            let silent = !line.served.get() && line.is_idle();
            if late(line.begun.get()) {
                line.end(Some(StatusCode::REQUEST_TIMEOUT));
            } else if late(line.stuck.get()) || silent && late(Some(line.used.get())) {
                line.end(None);
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
            lines.iter().filter(|line| line.is_idle()).for_each(|line| line.end(None));
            tokio::select! {
                () = ended => {}
                () = sleep(self.counter.limits.sweep_interval / 10) => self.let_slow_go(),
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
        self.0.whole.set(false);
        self.0.came.set(0);
        self.0.reader.take().into_iter().for_each(Waker::wake);
        self.0.used.set(Instant::now());
        self.0.served.set(true);
    }
}

#[cfg(test)]
mod tests;
