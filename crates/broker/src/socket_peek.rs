//! What can be told of a TCP stream without taking bytes from it.
//!
//! The system may know of bytes or of a close before the runtime's readiness events tell of them. The
//! functions here say which of the two they ask.

use crate::io_errors::retry_interrupted;
use futures_util::FutureExt;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Whether bytes lie unread, asked of the system: no event for them may have come yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek_byte(stream).is_ok_and(|count| count > 0)
}

/// Whether the peer has ended the connection and nothing lies unread before its end, asked of the system. A
/// connection that was reset counts as ended.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    match peek_byte(stream) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Whether an event has told that the peer closed its side, also behind bytes that lie unread.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Whether at least `count` bytes lie unread, asked of the system.
pub fn has_unread_bytes_of(stream: &TcpStream, count: usize) -> bool {
    let mut buffer = vec![MaybeUninit::uninit(); count];
    retry_interrupted(|| SockRef::from(stream).peek(&mut buffer)).is_ok_and(|unread| unread == count)
}

fn peek_byte(stream: &TcpStream) -> io::Result<usize> {
    retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

#[cfg(test)]
mod tests;
