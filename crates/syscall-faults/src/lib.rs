//! Faults of system calls, for tests: a shared object that a test preloads into a process that it starts.
//!
//! It replaces functions of the C library by ones that make the same system call, unless the control file says
//! that this call is to fail (`control`, `decide`). Only TCP sockets and regular files are affected: Linux never
//! interrupts the pipes and sockets by which a runtime wakes itself.

pub mod control;
mod decide;
mod files;
mod polling;
mod sockets;
mod wall_clock;

/// Sets `errno`, and returns what a failed call returns.
fn fail_with(errno: i32) -> i64 {
    // SAFETY: the C library gives a pointer to this thread's own errno, valid while the thread lives.
    unsafe { *libc::__errno_location() = errno };
    -1
}
