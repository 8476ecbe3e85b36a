//! Injects faults into system calls. The library is a shared object that a test preloads into a process that it
//! starts.
//!
//! The library replaces functions of the C library. Each replacement makes the same system call, unless the settings
//! in the control file (`control`) select the call to fail (`decide`). Reads and writes are affected only on TCP
//! sockets and regular files, because Linux never interrupts the pipes and sockets that async runtimes use to wake
//! themselves.

pub mod control;
mod decide;
mod files;
mod polling;
mod sockets;
mod wall_clock;

/// Sets `errno` and returns -1, the result of a failed call.
fn fail_with(errno: i32) -> i64 {
    // SAFETY: the C library returns a pointer to the `errno` of this thread, valid while the thread lives.
    unsafe { *libc::__errno_location() = errno };
    -1
}
