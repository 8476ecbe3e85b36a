//! Faults of system calls, for tests: a shared object that a test preloads into a process of its own.
//!
//! It replaces functions of the C library by ones that make the same system call, unless the control file says
//! that this call is to fail. Only TCP sockets and regular files are concerned: pipes and sockets by which a
//! runtime wakes itself are never interrupted by Linux, and are left alone.

pub mod control;
mod decide;
mod files;
mod sockets;
mod wall_clock;

/// Sets `errno`, and gives what a failed call returns.
fn fail_with(errno: i32) -> i64 {
    // SAFETY: the C library gives a pointer to this thread's own errno, valid while the thread lives.
    unsafe { *libc::__errno_location() = errno };
    -1
}
