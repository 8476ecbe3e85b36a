//! Replacements of the functions that write, sync and rename files.

use crate::control::Setting;
use crate::decide::{read, should_inject};
use crate::fail_with;
use libc::{c_char, c_int, c_void, size_t, ssize_t};

/// Returns whether a descriptor refers to a regular file.
fn is_regular_file(fd: c_int) -> bool {
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: `status` has the size that `fstat` writes, and an all-zero `stat` is valid if the call fails.
    let mode = unsafe {
        libc::fstat(fd, status.as_mut_ptr());
        status.assume_init().st_mode
    };
    mode & libc::S_IFMT == libc::S_IFREG
}

/// Replaces `write`. Calls on regular files fail as [`Setting::FileWriteOneIn`] states.
///
/// # Safety
/// The requirements of `write` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if read(Setting::FileWriteOneIn) > 0 && is_regular_file(fd) && should_inject(Setting::FileWriteOneIn) {
        return fail_with(read(Setting::FileWriteErrno) as i32) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

/// Replaces `fsync`. Calls fail as [`Setting::SyncOneIn`] states.
///
/// # Safety
/// The requirements of `fsync` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if should_inject(Setting::SyncOneIn) {
        return fail_with(read(Setting::SyncErrno) as i32) as c_int;
    }
    // SAFETY: the caller's argument is passed on unchanged.
    unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }
}

/// Replaces `rename`. Calls fail as [`Setting::RenameOneIn`] states.
///
/// # Safety
/// The requirements of `rename` in the C library apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if should_inject(Setting::RenameOneIn) {
        return fail_with(read(Setting::RenameErrno) as i32) as c_int;
    }
    let cwd = libc::AT_FDCWD;
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_renameat2, cwd, from, cwd, to, 0) as c_int }
}
