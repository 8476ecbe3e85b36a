//! Replacements of the functions that create, accept, connect, read and write TCP sockets.

use crate::control::Setting;
use crate::decide::{count_fault, read, should_inject};
use crate::fail_with;
use crate::polling::rearm;
use libc::{c_int, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};

/// Returns whether a descriptor is an IPv4 or IPv6 socket.
fn is_tcp(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let value = (&raw mut domain).cast::<c_void>();
    // SAFETY: `value` and `length` describe `domain`, which outlives the call.
    let result =
        unsafe { libc::getsockopt(socket, libc::SOL_SOCKET, libc::SO_DOMAIN, value, &raw mut length) };
    result == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
}

/// Returns how many bytes a transfer of `length` bytes may move, limited on TCP sockets by
/// [`Setting::MaxTransferBytes`]. Counts a fault if the limit shortens the transfer.
fn limited_length(socket: c_int, length: size_t) -> size_t {
    let max = read(Setting::MaxTransferBytes);
    if max <= 0 || length <= max as size_t || !is_tcp(socket) {
        return length;
    }
    count_fault();
    max as size_t
}

/// Calls `call_with_length` with the allowed length. If that is shorter than `length`, the socket's events are armed
/// again, because an edge-triggered epoll would report the remaining bytes only when new bytes arrive.
fn transfer(socket: c_int, length: size_t, call_with_length: impl FnOnce(size_t) -> i64) -> ssize_t {
    let limited = limited_length(socket, length);
    let result = call_with_length(limited);
    if limited < length && result >= 0 {
        rearm(socket);
    }
    result as ssize_t
}

/// Returns whether the current call on `socket` must be interrupted. Only TCP sockets are.
fn is_interrupted(socket: c_int, one_in: Setting) -> bool {
    read(one_in) > 0 && is_tcp(socket) && should_inject(one_in)
}

/// Replaces `accept4`. Calls fail as [`Setting::AcceptOneIn`] states.
///
/// # Safety
/// The requirements of `accept4` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_inject(Setting::AcceptOneIn) {
        return fail_with(read(Setting::AcceptErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int }
}

/// Replaces `socket`. Calls for IPv4 and IPv6 fail as [`Setting::SocketOneIn`] states.
///
/// # Safety
/// The requirements of `socket` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_internet = domain == libc::AF_INET || domain == libc::AF_INET6;
    if is_internet && should_inject(Setting::SocketOneIn) {
        return fail_with(read(Setting::SocketErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// Replaces `connect`. Calls over TCP fail as [`Setting::ConnectOneIn`] states.
///
/// # Safety
/// The requirements of `connect` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if read(Setting::ConnectOneIn) > 0 && is_tcp(socket) && should_inject(Setting::ConnectOneIn) {
        return fail_with(read(Setting::ConnectErrno) as i32) as c_int;
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int }
}

/// Replaces `recv`. Calls are interrupted or shortened on TCP sockets; `MSG_PEEK` is never shortened.
///
/// # Safety
/// The requirements of `recv` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_interrupted(socket, Setting::ReadInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    let (no_address, no_length) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    // SAFETY: the caller's buffer is passed on with at most its own length.
    let call_with_length = |length: size_t| unsafe {
        libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, no_address, no_length)
    };
    if flags & libc::MSG_PEEK != 0 {
        return call_with_length(length) as ssize_t;
    }
    transfer(socket, length, call_with_length)
}

/// Replaces `send`. Calls are interrupted or shortened on TCP sockets.
///
/// # Safety
/// The requirements of `send` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if is_interrupted(socket, Setting::WriteInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    let no_address = std::ptr::null::<sockaddr>();
    // SAFETY: the caller's buffer is passed on with at most its own length.
    transfer(socket, length, |length| unsafe {
        libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, no_address, 0)
    })
}

/// Replaces `readv`. Calls are interrupted or shortened on TCP sockets.
///
/// # Safety
/// The requirements of `readv` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if is_interrupted(fd, Setting::ReadInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    // SAFETY: the caller's buffers are passed on unchanged.
    unsafe { transfer_vectored(libc::SYS_readv, fd, buffers, count) }
}

/// Replaces `writev`. Calls are interrupted or shortened on TCP sockets.
///
/// # Safety
/// The requirements of `writev` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if is_interrupted(fd, Setting::WriteInterruptedOneIn) {
        return fail_with(libc::EINTR) as ssize_t;
    }
    // SAFETY: the caller's buffers are passed on unchanged.
    unsafe { transfer_vectored(libc::SYS_writev, fd, buffers, count) }
}

/// Makes a vectored transfer. If it must be shortened, only bytes of the first non-empty buffer are transferred.
///
/// # Safety
/// `buffers` must point to `count` valid buffers, as for `readv` and `writev`.
unsafe fn transfer_vectored(
    syscall_number: libc::c_long,
    fd: c_int,
    buffers: *const iovec,
    count: c_int,
) -> ssize_t {
    // SAFETY: the caller passes `count` buffers.
    let slice = unsafe { std::slice::from_raw_parts(buffers, count.max(0) as usize) };
    let total = slice.iter().map(|buffer| buffer.iov_len).sum();
    let first = slice.iter().find(|buffer| buffer.iov_len > 0);
    transfer(fd, total, |limited| match first {
        Some(first) if limited < total => {
            let buffer = iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(limited) };
            // SAFETY: the one buffer lies within the caller's buffer.
            unsafe { libc::syscall(syscall_number, fd, &raw const buffer, 1) }
        }
        // SAFETY: the caller's buffers are passed on unchanged.
        _ => unsafe { libc::syscall(syscall_number, fd, buffers, count) },
    })
}
