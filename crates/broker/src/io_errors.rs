//! Classification of system call errors, in one place for the whole program. Interrupted calls are retried, and
//! errors that are caused by this machine are not counted against a peer.

use std::io::{self, ErrorKind};
use std::task::Poll;

/// Errnos of `socket` and `connect` that are caused by this machine: a resource is exhausted, or there is no route.
const LOCAL_RESOURCE_ERRORS: &[i32] = &[
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

/// Errnos of `accept` that concern only the connection that would have been accepted; the next call may succeed.
const PER_CONNECTION_ACCEPT_ERRORS: &[i32] = &[
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

/// Returns whether an error has one of these errnos.
fn is_one_of(error: &io::Error, errnos: &[i32]) -> bool {
    error.raw_os_error().is_some_and(|errno| errnos.contains(&errno))
}

/// Returns whether a connection could not be made because of a local condition, such as exhausted resources or no
/// route.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    is_one_of(error, LOCAL_RESOURCE_ERRORS)
}

/// Returns whether an error of `accept` concerns only the connection that would have been accepted.
pub fn is_per_connection_accept_error(error: &io::Error) -> bool {
    is_one_of(error, PER_CONNECTION_ACCEPT_ERRORS)
}

/// Repeats a system call until it is not interrupted by a signal.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Repeats a poll until the underlying system call is not interrupted by a signal.
pub fn poll_retrying_interrupted<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match poll() {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
