//! Classifies errors of system calls, in one place for the whole program: an interrupted call is repeated, and a
//! shortage of this machine says nothing of a peer.

use std::io::{self, ErrorKind};
use std::task::Poll;

/// Errnos of `socket` and `connect` which say that this machine is short of something, or has no route.
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

/// Errnos of `accept` which say that one connection is gone; the next one may be accepted.
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

/// Whether an error has one of these errnos.
fn is_one_of(error: &io::Error, errnos: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|errno| errnos.contains(&errno))
}

/// Whether a connection could not be made because this machine is short of something.
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
