//! Replacement of `clock_gettime`, which offsets the wall clock by [`Setting::ClockStepMs`].

use crate::control::Setting;
use crate::decide::read;
use libc::{c_int, clockid_t, timespec};

const MS_PER_SECOND: i64 = 1000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_SECOND: i64 = 1_000_000_000;

/// Replaces `clock_gettime`. Real-time clocks are offset; monotonic clocks are not.
///
/// # Safety
/// The requirements of `clock_gettime` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        let step_ms = read(Setting::ClockStepMs);
        // SAFETY: `clock_gettime` succeeded, so `time` is a valid pointer to an initialized `timespec`.
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + step_ms % MS_PER_SECOND * NS_PER_MS;
        time.tv_sec += step_ms / MS_PER_SECOND + nanoseconds.div_euclid(NS_PER_SECOND);
        time.tv_nsec = nanoseconds.rem_euclid(NS_PER_SECOND);
    }
    result
}
