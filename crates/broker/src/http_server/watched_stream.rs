//! A client's socket as the HTTP library reads and writes it, watched for floods and for the client's close.

use super::connection::Connection;
use crate::io_errors::poll_uninterrupted;
use crate::socket_peek::{has_unread_bytes_of, is_read_closed};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A client's socket that keeps its `Connection` up to date.
pub(super) struct WatchedStream {
    stream: Rc<RefCell<TcpStream>>,
    connection: Rc<Connection>,
    /// When the client's close is looked for next, behind the bytes that it sent ahead.
    next_close_check: Option<Pin<Box<Sleep>>>,
}

impl WatchedStream {
    /// Watches a socket for its connection.
    pub fn new(stream: Rc<RefCell<TcpStream>>, connection: Rc<Connection>) -> WatchedStream {
        WatchedStream { stream, connection, next_close_check: None }
    }

    /// The connection that is kept up to date.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }

    /// Waits for the client's close, and reads nothing of what it sends ahead while a request is handled.
    fn poll_close(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
        let mut byte = [0];
        let peek = || self.stream.borrow_mut().poll_peek(context, &mut ReadBuf::new(&mut byte));
        if ready!(poll_uninterrupted(peek))? == 0 {
            return Poll::Ready(Ok(()));
        }
        self.connection.pause_reader(context);
        self.poll_hidden_close(context)
    }

    /// Looks for the close at intervals: with bytes unread before it, no readiness event tells of it.
    fn poll_hidden_close(&mut self, context: &mut Context) -> Poll<io::Result<()>> {
        while !is_read_closed(&self.stream.borrow()) {
            let interval = self.connection.limits.clients.close_poll_interval;
            let check = self.next_close_check.get_or_insert_with(|| Box::pin(sleep(interval)));
            ready!(check.as_mut().poll(context));
            self.next_close_check = None;
            self.drop_flood();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and drops input, a bounded part at each check, where more is unread than a request may have: else the
    /// system's buffer would fill, and the close behind it would not arrive. The connection closes with the response
    /// to the current request.
    fn drop_flood(&self) {
        let (stream, limits) = (self.stream.borrow(), &self.connection.limits);
        if has_unread_bytes_of(&stream, limits.requests.max_body_bytes) {
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
        // While a request is handled nothing more is read: a client that sends ahead would fill the memory.
        if self.connection.is_body_complete() {
            return self.poll_close(context);
        }
        if !self.connection.may_read_more(context) {
            return Poll::Pending;
        }
        let before = into.filled().len();
        let read = || Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, into);
        ready!(poll_uninterrupted(read))?;
        self.connection.note_read(into.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        let write = || Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, from);
        let written = poll_uninterrupted(write);
        self.connection.note_write(matches!(written, Poll::Ready(Ok(count)) if count == from.len()));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
