//! Sockets and waits.

use crate::control::Setting;
use crate::decide::{count_fault, is_chosen, read};
use crate::fail_with;
use libc::{c_int, c_void, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering::Relaxed};

/// Descriptors whose registration with a poll is remembered.
const MAX_DESCRIPTORS: usize = 1 << 16;

/// By which poll a descriptor is watched, for what, and under which token.
struct Registration {
    poll: AtomicI32,
    events: AtomicU32,
    token: AtomicU64,
}

static REGISTRATIONS: [Registration; MAX_DESCRIPTORS] = [const {
    Registration { poll: AtomicI32::new(-1), events: AtomicU32::new(0), token: AtomicU64::new(0) }
}; MAX_DESCRIPTORS];

fn is_tcp(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let into = (&raw mut domain).cast::<c_void>();
    // SAFETY: `into` and `length` describe `domain`, which outlives the call.
    let result =
        unsafe { libc::getsockopt(socket, libc::SOL_SOCKET, libc::SO_DOMAIN, into, &raw mut length) };
    result == 0 && (domain == libc::AF_INET || domain == libc::AF_INET6)
}

/// How much of a transfer of `length` bytes is made. Keeps readiness true: what an edge-triggered poll was told of
/// is armed again, as the kernel would tell of it again only with new bytes.
fn bounded(socket: c_int, length: size_t) -> size_t {
    let most = read(Setting::MaxTransferBytes);
    if most <= 0 || length <= most as size_t || !is_tcp(socket) {
        return length;
    }
    count_fault();
    most as size_t
}

fn arm_again(socket: c_int) {
    let Some(registration) = usize::try_from(socket).ok().and_then(|at| REGISTRATIONS.get(at)) else {
        return;
    };
    let poll = registration.poll.load(Relaxed);
    if poll < 0 {
        return;
    }
    let (events, token) = (registration.events.load(Relaxed), registration.token.load(Relaxed));
    let mut event = epoll_event { events, u64: token };
    let event = &raw mut event;
    // SAFETY: `event` lives on this stack; a descriptor that is not registered any more only gives an error.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, poll, libc::EPOLL_CTL_MOD, socket, event) };
}

/// Makes a transfer, cut where it is to be, and arms the socket's events again where it was.
fn transfer(socket: c_int, length: size_t, make: impl FnOnce(size_t) -> i64) -> ssize_t {
    let bounded = bounded(socket, length);
    let result = make(bounded);
    if bounded < length && result >= 0 {
        arm_again(socket);
    }
    result as ssize_t
}

fn is_interrupted(socket: c_int, one_in: Setting) -> bool {
    read(one_in) > 0 && is_tcp(socket) && is_chosen(one_in)
}

/// As `epoll_ctl`; remembers what was registered.
///
/// # Safety
/// As of the function of the C library, which holds for all that follow.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    if let Some(registration) = usize::try_from(fd).ok().and_then(|at| REGISTRATIONS.get(at)) {
        if operation == libc::EPOLL_CTL_DEL || event.is_null() {
            registration.poll.store(-1, Relaxed);
        } else {
            // SAFETY: the caller gives an event; it may stand unaligned.
            let event = unsafe { event.read_unaligned() };
            registration.events.store(event.events, Relaxed);
            registration.token.store(event.u64, Relaxed);
            registration.poll.store(poll, Relaxed);
        }
    }
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, poll, operation, fd, event) as c_int }
}

/// As `epoll_wait`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if is_chosen(Setting::WaitInterruptedOneIn) {
        return fail_with(libc::EINTR) as c_int;
    }
    let no_mask = std::ptr::null::<c_void>();
    // SAFETY: the caller's arguments, as they are, and no signal mask.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, poll, events, most, timeout, no_mask, 8) as c_int }
}

/// As `accept4`.
///
/// # Safety
/// As of the function of the C library.
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

/// A transfer by pieces; one that is cut moves bytes of the first piece that has any.
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
