//! Calls on TCP sockets: accept, connect, reads and writes.

use crate::control::Setting;
use crate::decide::{count_fault, is_chosen, read};
use crate::fail_with;
use crate::polling::rearm;
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};

/// Whether a descriptor is an internet socket.
fn is_tcp(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let into = (&raw mut domain).cast::<c_void>();
    // SAFETY: `into` and `length` describe `domain`, which outlives the call.
    let result =
        unsafe { libc::getsockopt(socket, libc::SOL_SOCKET, libc::SO_DOMAIN, into, &raw mut length) };
    result == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
}

/// How many bytes of a transfer of `length` bytes are moved, by [`Setting::MaxTransferBytes`].
fn bounded(socket: c_int, length: size_t) -> size_t {
    let most = read(Setting::MaxTransferBytes);
    if most <= 0 || length <= most as size_t || !is_tcp(socket) {
        return length;
    }
    count_fault();
    most as size_t
}

/// Makes a transfer of at most the allowed length. Where that cut it short, the socket's events are armed again: an
/// edge-triggered poll would report the rest only with new bytes.
fn transfer(socket: c_int, length: size_t, make: impl FnOnce(size_t) -> i64) -> ssize_t {
    let bounded = bounded(socket, length);
    let result = make(bounded);
    if bounded < length && result >= 0 {
        rearm(socket);
    }
    result as ssize_t
}

/// Whether this call on a TCP socket is to be interrupted.
fn is_interrupted(socket: c_int, one_in: Setting) -> bool {
    read(one_in) > 0 && is_tcp(socket) && is_chosen(one_in)
}

/// As `accept4`.
///
/// # Safety
/// As of the function of the C library, which holds for all that follow.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if is_chosen(Setting::AcceptOneIn) {
        return fail_with(read(Setting::AcceptErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// As `socket`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_internet = domain == libc::AF_INET || domain == libc::AF_INET6;
    if is_internet && is_chosen(Setting::SocketOneIn) {
        return fail_with(read(Setting::SocketErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// As `connect`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if read(Setting::ConnectOneIn) > 0 && is_tcp(socket) && is_chosen(Setting::ConnectOneIn) {
        return fail_with(read(Setting::ConnectErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// As `recv`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_interrupted(socket, Setting::ReadInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    let (no_address, no_length) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    // SAFETY: the caller's buffer, of which no more than its length is used.
    let make = |length: size_t| unsafe {
        libc::syscall(libc::SYS_recvfrom, socket, into, length, flags, no_address, no_length)
    };
    if flags & libc::MSG_PEEK != 0 {
        return make(length) as ssize_t;
    }
    transfer(socket, length, make)
}

/// As `send`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_interrupted(socket, Setting::WriteInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    let no_address = std::ptr::null::<sockaddr>();
    // SAFETY: the caller's buffer, of which no more than its length is used.
    transfer(socket, length, |length| unsafe {
        libc::syscall(libc::SYS_sendto, socket, from, length, flags, no_address, 0)
    })
}

/// As `readv`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if is_interrupted(fd, Setting::ReadInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    // SAFETY: the caller's pieces, as they are.
    unsafe { transfer_pieces(libc::SYS_readv, fd, pieces, count) }
}

/// As `writev`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if is_interrupted(fd, Setting::WriteInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    // SAFETY: the caller's pieces, as they are.
    unsafe { transfer_pieces(libc::SYS_writev, fd, pieces, count) }
}

/// A vectored transfer. One that is cut short moves bytes of the first piece that is not empty.
unsafe fn transfer_pieces(call: libc::c_long, fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller gives `count` pieces.
    let slice = unsafe { std::slice::from_raw_parts(pieces, count.max(0) as usize) };
    let total = slice.iter().map(|piece| piece.iov_len).sum();
    let first = slice.iter().find(|piece| piece.iov_len > 0);
    transfer(fd, total, |bounded| match first {
        Some(first) if bounded < total => {
            let piece = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(bounded) };
            // SAFETY: one piece, within the caller's first.
            unsafe { libc::syscall(call, fd, &raw const piece, 1) }
        }
        // SAFETY: the caller's pieces, as they are.
        _ => unsafe { libc::syscall(call, fd, pieces, count) },
    })
}
