//! Looks at a TCP stream without reading from it.
//!
//! The system may know of bytes or of a close before the runtime has a readiness event for them. Each function says
//! which of the two it asks.

use crate::io_errors::retry_interrupted;
use futures_util::FutureExt;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Whether bytes are unread, asked of the system: there may be no event for them yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek_byte(stream).is_ok_and(|count| count > 0)
}

/// Whether the peer has closed the connection and no byte is unread before the close, asked of the system. A reset counts
/// as a close.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    match peek_byte(stream) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Whether there was an event for the peer's close, even with bytes unread before it.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Whether at least `count` bytes are unread, asked of the system.
pub fn has_unread_bytes_of(stream: &TcpStream, count: usize) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); count];
    retry_interrupted(|| SockRef::from(stream).peek(&mut buffer)).is_ok_and(|unread| unread == count)
}

/// Peeks at the next byte: 1, or 0 where the peer has closed; an error where there is none yet.
fn peek_byte(stream: &TcpStream) -> io::Result<usize> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

#[cfg(test)]
mod tests;
