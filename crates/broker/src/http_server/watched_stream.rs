//! A client's socket as the HTTP library reads and writes it, with limits on reading and detection of the client's
//! close.

use super::connection::Connection;
use crate::io_errors::poll_retrying_interrupted;
use crate::socket_peek::{has_at_least_unread, is_read_closed};
use actix_http::StatusCode;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// The buffer for input that is dropped.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// A client's socket that records its reads and writes in its `Connection`.
pub(super) struct WatchedStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<Connection>,
    /// The number of bytes read since the HTTP library last decoded its buffer.
    read_since_decoded: usize,
    /// The timer of the next check for a close behind unread bytes.
    next_close_check: Option<Pin<Box<Sleep>>>,
    /// The time since which excess input has been discarded without reaching its end.
    discarding_since: Option<Instant>,
}

/// The input behind a request, after an attempt to discard its excess.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExcessInput {
    /// The client has closed the connection, and everything before the close was read.
    Ended,
    /// No excess input is left.
    Discarded,
    /// More input may be unread, and a close behind it.
    Remaining,
}

impl WatchedStream {
    /// Wraps the socket of a connection.
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<Connection>) -> WatchedStream {
        WatchedStream {
            stream,
            connection,
            read_since_decoded: 0,
            next_close_check: None,
            discarding_since: None,
        }
    }

    /// Returns the connection in which reads and writes are recorded.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    /// Waits for the client's close without reading the bytes that it sends while a request is handled.
    fn poll_close(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
        let mut byte = [0];
        let peek = || self.stream.borrow_mut().poll_peek(context, &mut ReadBuf::new(&mut byte));
        if ready!(poll_retrying_interrupted(peek))? == 0 {
            return Poll::Ready(Ok(()));
        }
        self.connection.pause_reader(context);
        self.poll_close_behind_unread_bytes(context)
    }

    /// Checks for a close at once and then at intervals: with bytes unread before the close, no readiness event reports
    /// it.
    fn poll_close_behind_unread_bytes(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
        while !is_read_closed(&self.stream.borrow()) {
            if let Some(check) = &mut self.next_close_check {
                ready!(check.as_mut().poll(context));
            }
            let interval = match self.discard_excess_input() {
                ExcessInput::Ended => return Poll::Ready(Ok(())),
                ExcessInput::Discarded => self.connection.limits.clients.close_poll_interval,
                ExcessInput::Remaining => self.connection.limits.clients.discard_interval,
            };
            self.next_close_check = Some(Box::pin(sleep(interval)));
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and drops input, if more is unread than a request may have. Otherwise the system's receive buffer would
    /// fill up, and the close behind it would not be received. The connection then closes with the response to the
    /// current request. If the input does not end in time, the request is failed: whether its client is still there
    /// is not known.
    fn discard_excess_input(&mut self) -> ExcessInput {
        let limits = self.connection.limits.clone();
        if self.discarding_since.is_none()
            && !has_at_least_unread(&self.stream.borrow(), limits.requests.max_body_bytes)
        {
            return ExcessInput::Discarded;
        }
        self.connection.close_after_response.set(true);
        let excess = discard_input(&self.stream.borrow(), limits.clients.max_discarded_bytes);
        let since = *self.discarding_since.get_or_insert_with(Instant::now);
        match excess {
            ExcessInput::Discarded => self.discarding_since = None,
            ExcessInput::Remaining if since.elapsed() >= limits.clients.max_discard_time => {
                self.connection.request_close(Some(StatusCode::BAD_GATEWAY));
            }
            ExcessInput::Remaining | ExcessInput::Ended => {}
        }
        excess
    }
}

/// Reads and drops up to `max_bytes`.
fn discard_input(stream: &TcpStream, max_bytes: usize) -> ExcessInput {
    let mut dropped = [0; DISCARD_BUFFER_BYTES];
    let mut left = max_bytes;
    while left > 0 {
        match stream.try_read(&mut dropped) {
            Ok(0) => return ExcessInput::Ended,
            Ok(count) => left = left.saturating_sub(count),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ExcessInput::Discarded,
            Err(_) => return ExcessInput::Ended,
        }
    }
    ExcessInput::Remaining
}

impl WatchedStream {
    /// Reads as much as the state of the connection permits. The HTTP library itself reads until nothing is unread, and
    /// only then decodes its buffer.
    fn poll_read_some(&mut self, context: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        // Nothing more is read once the request's body is complete: pipelined input could otherwise exhaust the
        // memory.
        if self.connection.is_body_complete() {
            return self.poll_close(context);
        }
        self.next_close_check = None;
        if !self.connection.may_read_more(context) {
            return Poll::Pending;
        }
        let max_bytes = self.connection.max_read_bytes(self.read_since_decoded);
        if max_bytes == 0 {
            // The library decodes its buffer before the next read.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(into.initialize_unfilled_to(max_bytes.min(into.remaining())));
        let read = || Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, &mut part);
        ready!(poll_retrying_interrupted(read))?;
        let count = part.filled().len();
        into.advance(count);
        self.read_since_decoded += count;
        self.connection.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let result = self.poll_read_some(context, into);
        if result.is_pending() {
            self.read_since_decoded = 0;
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let write = || Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, from);
        let written = poll_retrying_interrupted(write);
        self.connection.record_write(matches!(written, Poll::Ready(Ok(count)) if count == from.len()));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
