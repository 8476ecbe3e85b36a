//! The body of a response, which the HTTP library buffers in small parts.

use super::connection::Connection;
use crate::memory_budget::Reservation;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of a response. It holds its memory until the HTTP library has buffered the last part.
pub(super) struct ResponseBody {
    connection: Option<Rc<Connection>>,
    /// The part that is not buffered yet.
    rest: Bytes,
    /// The memory of the body.
    _memory: Option<Reservation>,
}

impl ResponseBody {
    /// Creates the body of a response on `connection`.
    pub fn new(connection: Rc<Connection>, bytes: Bytes, memory: Option<Reservation>) -> ResponseBody {
        connection.set_response_bytes_left(bytes.len());
        ResponseBody { connection: Some(connection), rest: bytes, _memory: memory }
    }

    /// Creates the body of a response on a connection that is not known.
    pub fn without_connection(bytes: Bytes) -> ResponseBody {
        ResponseBody { connection: None, rest: bytes, _memory: None }
    }

    /// Removes and returns the part to buffer next.
    fn next_part(&mut self) -> Bytes {
        let Some(connection) = &self.connection else { return self.rest.split_off(0) };
        let length = self.rest.len().min(connection.limits.clients.response_write_bytes);
        let part = self.rest.split_to(length);
        connection.set_response_bytes_left(self.rest.len());
        part
    }
}

impl MessageBody for ResponseBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context) -> Poll<Option<Result<Bytes, Infallible>>> {
        match self.rest.is_empty() {
            true => Poll::Ready(None),
            false => Poll::Ready(Some(Ok(self.next_part()))),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.set_response_bytes_left(0);
        }
    }
}
