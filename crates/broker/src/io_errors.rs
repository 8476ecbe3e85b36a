//! What an error of a system call says of whom. One table for the whole program: an interrupted call is repeated,
//! and a shortage of this machine says nothing of a peer.

use std::io::{self, ErrorKind};
use std::task::Poll;

/// Errnos by which `socket` and `connect` say that this machine lacks something, or has no way out at all.
const LOCAL_SHORTAGES: &[i32] = &[
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EADDRNOTAVAIL,
    libc::EADDRINUSE,
    libc::EAGAIN,
    libc::EINTR,
    libc::ENETUNREACH,
    libc::ENETDOWN,
];

/// Errnos by which `accept` tells of one connection that is gone; the next one may be well.
const ACCEPTED_CONNECTION_GONE: &[i32] = &[
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EPROTO,
    libc::EPERM,
    libc::ENETDOWN,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
    libc::ETIMEDOUT,
];

fn is_one_of(error: &io::Error, errnos: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|errno| errnos.contains(&errno))
}

/// Whether a connection could not be begun for want of something on this machine.
pub fn is_local_shortage(error: &io::Error) -> bool {
    is_one_of(error, LOCAL_SHORTAGES)
}

/// Whether only the connection that would have been accepted is gone.
pub fn is_accepted_connection_gone(error: &io::Error) -> bool {
    is_one_of(error, ACCEPTED_CONNECTION_GONE)
}

/// Repeats a call for as long as it is interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Polls again for as long as the call behind it is interrupted.
pub fn poll_uninterrupted<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match poll() {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
