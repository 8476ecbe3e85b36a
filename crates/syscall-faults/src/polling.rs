//! Replacements of the epoll functions. They interrupt waits, and record the registrations so that a descriptor's
//! events can be armed again after a shortened transfer.

use crate::control::Setting;
use crate::decide::should_inject;
use crate::fail_with;
use libc::{c_int, c_void, epoll_event};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering::Relaxed};

/// Number of descriptors whose registrations are recorded. Higher descriptors are not armed again.
const MAX_DESCRIPTORS: usize = 1 << 16;

/// Last epoll registration of a descriptor.
struct Registration {
    /// Descriptor of the epoll instance, or -1 if the descriptor is not registered.
    epoll_fd: AtomicI32,
    /// Requested events, a mask of `EPOLL*` flags.
    events: AtomicU32,
    /// User data that epoll reports with the events.
    token: AtomicU64,
}

/// Registrations, indexed by descriptor.
static REGISTRATIONS: [Registration; MAX_DESCRIPTORS] = [const {
    Registration { epoll_fd: AtomicI32::new(-1), events: AtomicU32::new(0), token: AtomicU64::new(0) }
}; MAX_DESCRIPTORS];

/// Arms the events of a descriptor again, so that an edge-triggered wait reports the events that are still ready.
pub(crate) fn rearm(socket: c_int) {
    let Some(registration) = usize::try_from(socket).ok().and_then(|fd| REGISTRATIONS.get(fd)) else {
        return;
    };
    let epoll_fd = registration.epoll_fd.load(Relaxed);
    if epoll_fd < 0 {
        return;
    }
    let (events, token) = (registration.events.load(Relaxed), registration.token.load(Relaxed));
    let mut event = epoll_event { events, u64: token };
    let event = &raw mut event;
    // SAFETY: `event` outlives the call; a descriptor that is no longer registered only causes an error.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll_fd, libc::EPOLL_CTL_MOD, socket, event) };
}

/// Replaces `epoll_ctl` and records the registration. No setting makes this function fail.
///
/// # Safety
/// The requirements of `epoll_ctl` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll_fd: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    if let Some(registration) = usize::try_from(fd).ok().and_then(|fd| REGISTRATIONS.get(fd)) {
        if operation == libc::EPOLL_CTL_DEL || event.is_null() {
            registration.epoll_fd.store(-1, Relaxed);
        } else {
            // SAFETY: the caller passes a pointer to an event, which may be unaligned.
            let event = unsafe { event.read_unaligned() };
            registration.events.store(event.events, Relaxed);
            registration.token.store(event.u64, Relaxed);
            registration.epoll_fd.store(epoll_fd, Relaxed);
        }
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll_fd, operation, fd, event) as c_int }
}

/// Replaces `epoll_wait`. Calls fail with `EINTR` as [`Setting::WaitInterruptedOneIn`] states.
///
/// # Safety
/// The requirements of `epoll_wait` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll_fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_inject(Setting::WaitInterruptedOneIn) {
        return fail_with(libc::EINTR) as c_int;
    }
    let no_mask = std::ptr::null::<c_void>();
    // SAFETY: the caller's arguments are passed on unchanged, with a null signal mask.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, epoll_fd, events, max_events, timeout, no_mask, 8) as c_int
    }
}
