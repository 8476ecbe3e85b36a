//! Writes, syncs and renames of files.

use crate::control::Setting;
use crate::decide::{is_chosen, read};
use crate::fail_with;
use libc::{c_char, c_int, c_void, size_t, ssize_t};

/// Whether a descriptor is a regular file.
fn is_regular_file(fd: c_int) -> bool {
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: `status` has room for what the call writes, and zeroes are a valid value of it.
    let mode = unsafe {
        libc::fstat(fd, status.as_mut_ptr());
        status.assume_init().st_mode
    };
    mode & libc::S_IFMT == libc::S_IFREG
}

/// As `write`.
///
/// # Safety
/// As of the function of the C library, which holds for all that follow.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    if read(Setting::FileWriteOneIn) > 0 && is_regular_file(fd) && is_chosen(Setting::FileWriteOneIn) {
        return fail_with(read(Setting::FileWriteErrno) as i32) as ssize_t;
    }
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_write, fd, from, length) as ssize_t }
}

/// As `fsync`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if is_chosen(Setting::SyncOneIn) {
        return fail_with(read(Setting::SyncErrno) as i32) as c_int;
    }
    // SAFETY: the caller's argument, as it is.
    unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }
}

/// As `rename`.
///
/// # Safety
/// As of the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if is_chosen(Setting::RenameOneIn) {
        return fail_with(read(Setting::RenameErrno) as i32) as c_int;
    }
    let here = libc::AT_FDCWD;
    // SAFETY: the caller's arguments, as they are.
    unsafe { libc::syscall(libc::SYS_renameat2, here, from, here, to, 0) as c_int }
}
