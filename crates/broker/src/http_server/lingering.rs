//! Connections whose last response is written. Their input is read and dropped for a short time: closing a socket with
//! unread bytes resets the connection, and might destroy the response.
//!
//! Such a connection holds its descriptor and nothing else, and is the first to end when descriptors run out.

use super::HttpServer;
use crate::interrupt_safe::InterruptSafe;
use crate::query_handler::RequestError;
use actix_http::StatusCode;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The buffer for input that is dropped. Each lingering connection has one.
const DISCARD_BUFFER_BYTES: usize = 1024;

/// The lingering connections, each by the notification that ends it, oldest first.
#[derive(Default)]
pub(super) struct LingeringConnections(RefCell<VecDeque<Rc<Notify>>>);

impl LingeringConnections {
    /// Returns the number of lingering connections.
    pub(super) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Ends the connection that has lingered the longest.
    pub(super) fn end_oldest(&self) {
        if let Some(oldest) = self.0.borrow().front() {
            oldest.notify_one();
        }
    }

    fn add(&self) -> Rc<Notify> {
        let end = Rc::new(Notify::new());
        self.0.borrow_mut().push_back(end.clone());
        end
    }

    fn remove(&self, ended: &Rc<Notify>) {
        self.0.borrow_mut().retain(|end| !Rc::ptr_eq(end, ended));
    }
}

impl HttpServer {
    /// Writes a last response if there is a closing status, and then reads and drops input within limits.
    pub(super) async fn linger(&self, stream: TcpStream, closing_status: Option<StatusCode>) {
        let end = self.lingering.add();
        let lingering = async {
            let mut stream = InterruptSafe(stream);
            if let Some(status) = closing_status {
                self.query_handler.rejected_requests.count(RequestError::Incomplete(status));
                write_empty_response(&mut stream, status).await?;
            }
            stream.shutdown().await?;
            tokio::select! {
                () = end.notified() => Ok(()),
                discarded = self.discard_input(&mut stream) => discarded,
            }
        };
        // The connection ends whether or not this succeeds.
        let _ = timeout(self.query_handler.limits.clients.linger_timeout, lingering).await;
        self.lingering.remove(&end);
    }

    /// Reads and drops input until its end, or up to the limit.
    async fn discard_input(&self, stream: &mut InterruptSafe<TcpStream>) -> io::Result<()> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut left = self.query_handler.limits.clients.max_linger_bytes;
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                count => left = left.saturating_sub(count),
            }
        }
        Ok(())
    }
}

/// Writes a response without a body and with `Connection: close`.
async fn write_empty_response(stream: &mut InterruptSafe<TcpStream>, status: StatusCode) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await
}
