//! A client's socket as the HTTP library reads and writes it, with limits on reading and detection of the client's
//! close.

use super::connection::Connection;
use crate::io_errors::poll_retrying_interrupted;
use crate::socket_peek::{has_at_least_unread, is_read_closed};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

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
}

impl WatchedStream {
    /// Wraps the socket of a connection.
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<Connection>) -> WatchedStream {
        WatchedStream { stream, connection, read_since_decoded: 0, next_close_check: None }
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

    /// Checks for a close at intervals: with bytes unread before the close, no readiness event reports it.
    fn poll_close_behind_unread_bytes(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
        while !is_read_closed(&self.stream.borrow()) {
            let interval = self.connection.limits.clients.close_poll_interval;
            let check = self.next_close_check.get_or_insert_with(|| Box::pin(sleep(interval)));
            ready!(check.as_mut().poll(context));
            self.next_close_check = None;
            self.discard_excess_input();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and drops input, up to a limit at each check, if more is unread than a request may have. Otherwise the
    /// system's receive buffer would fill up, and the close behind it would not be received. The connection then
    /// closes with the response to the current request.
    fn discard_excess_input(&self) {
        let (stream, limits) = (self.stream.borrow(), &self.connection.limits);
        if has_at_least_unread(&stream, limits.requests.max_body_bytes) {
            self.connection.close_after_response.set(true);
            let mut dropped = [0; DISCARD_BUFFER_BYTES];
            let mut left = limits.clients.max_linger_bytes;
            while let Ok(count @ 1..) = stream.try_read(&mut dropped) {
                left = left.saturating_sub(count);
                if left == 0 {
                    break;
                }
            }
        }
    }
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
