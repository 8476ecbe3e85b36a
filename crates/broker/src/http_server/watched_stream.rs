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

/// A client's socket that records its reads and writes in its `Connection`.
pub(super) struct WatchedStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<Connection>,
    /// The timer of the next check for a close behind unread bytes.
    next_close_check: Option<Pin<Box<Sleep>>>,
}

impl WatchedStream {
    /// Wraps the socket of a connection.
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<Connection>) -> WatchedStream {
        WatchedStream { stream, connection, next_close_check: None }
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
            let mut dropped = vec![0; limits.clients.max_linger_bytes];
            let _ = stream.try_read(&mut dropped);
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        // Nothing more is read once the request's body is complete: pipelined input could otherwise exhaust the
        // memory.
        if self.connection.is_body_complete() {
            return self.poll_close(context);
        }
        if !self.connection.may_read_more(context) {
            return Poll::Pending;
        }
        let before = into.filled().len();
        let read = || Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, into);
        ready!(poll_retrying_interrupted(read))?;
        self.connection.record_read(into.filled().len() - before);
        Poll::Ready(Ok(()))
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
