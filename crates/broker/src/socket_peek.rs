//! Inspection of a TCP stream without reading from it.
//!
//! The system may have received bytes or a close before the runtime has a readiness event for them. The doc of each
//! function says which of the two it checks.

use crate::io_errors::retry_interrupted;
use futures_util::FutureExt;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Asks the system whether bytes are unread; there may be no readiness event for them yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek_byte(stream).is_ok_and(|count| count > 0)
}

/// Asks the system whether the peer has closed the connection with no bytes unread before the close. A reset counts
/// as a close.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    match peek_byte(stream) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Returns whether there was a readiness event for the peer's close, even if bytes are unread before the close.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Asks the system whether at least `count` bytes are unread.
pub fn has_at_least_unread(stream: &TcpStream, count: usize) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); count];
    retry_interrupted(|| SockRef::from(stream).peek(&mut buffer)).is_ok_and(|unread| unread == count)
}

/// Peeks at the next byte. Returns 1, or 0 if the peer has closed the connection, or an error if no byte has been
/// received.
fn peek_byte(stream: &TcpStream) -> io::Result<usize> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

#[cfg(test)]
mod tests;
