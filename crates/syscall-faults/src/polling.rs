//! Calls of epoll: waits that are interrupted, and what is registered, to arm it again after a transfer that was cut
//! short.

use crate::control::Setting;
use crate::decide::is_chosen;
use crate::fail_with;
use libc::{c_int, c_void, epoll_event};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering::Relaxed};

/// The number of descriptors whose registration is remembered.
const MAX_DESCRIPTORS: usize = 1 << 16;

/// How a descriptor was registered last.
struct Registration {
    /// The epoll descriptor; -1: none.
    poll: AtomicI32,
    /// The events that are waited for.
    events: AtomicU32,
    /// The token that is reported with them.
    token: AtomicU64,
}

/// By descriptor.
static REGISTRATIONS: [Registration; MAX_DESCRIPTORS] = [const {
    Registration { poll: AtomicI32::new(-1), events: AtomicU32::new(0), token: AtomicU64::new(0) }
}; MAX_DESCRIPTORS];

/// Arms the events of a descriptor again, so that a poll reports what is still ready.
pub(crate) fn rearm(socket: c_int) {
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
