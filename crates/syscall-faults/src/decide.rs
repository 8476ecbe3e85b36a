//! Decides which calls fail, pseudorandomly with the ratios and the seed in the control file.

use crate::control::{CONTROL_BYTES, CONTROL_VARIABLE, Setting};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// Address of the mapped control file, or 0 if there is none.
static CONTROL: OnceLock<usize> = OnceLock::new();
/// Number of decisions made so far.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// Maps the control file and returns the address of the mapping. Returns 0 if the environment variable
/// [`CONTROL_VARIABLE`], which names the file, is not set, or if the file can't be mapped.
fn map_control_file() -> usize {
    let Ok(name) = CString::new(CONTROL_VARIABLE) else { return 0 };
    // SAFETY: `name` and the path are null-terminated strings, the result of `mmap` is checked, and the mapping is
    // never removed.
    unsafe {
        let path = libc::getenv(name.as_ptr());
        if path.is_null() {
            return 0;
        }
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return 0;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let null = std::ptr::null_mut();
        let mapped = libc::mmap(null, CONTROL_BYTES, protection, libc::MAP_SHARED, file as i32, 0);
        libc::syscall(libc::SYS_close, file);
        if mapped == libc::MAP_FAILED { 0 } else { mapped as usize }
    }
}

/// Returns the value of `setting` in the mapped control file, or `None` if no file is mapped.
fn slot(setting: Setting) -> Option<&'static AtomicI64> {
    let address = *CONTROL.get_or_init(map_control_file);
    // SAFETY: the mapping has `CONTROL_BYTES` bytes, is aligned to a page and lives as long as the process.
    (address != 0).then(|| unsafe { &*((address + setting.offset()) as *const AtomicI64) })
}

/// Returns the current value of `setting`, or 0 if no control file is mapped.
pub(crate) fn read(setting: Setting) -> i64 {
    slot(setting).map_or(0, |slot| slot.load(Relaxed))
}

/// Increments [`Setting::InjectedFaults`].
pub(crate) fn count_fault() {
    slot(Setting::InjectedFaults).into_iter().for_each(|slot| _ = slot.fetch_add(1, Relaxed));
}

/// Returns whether the current call must fail, and counts the fault if so. If the value of `one_in` is n, one in n
/// calls fails.
pub(crate) fn should_inject(one_in: Setting) -> bool {
    let one_in = read(one_in);
    if one_in <= 0 {
        return false;
    }
    let call = CALLS.fetch_add(1, Relaxed).wrapping_add(read(Setting::Seed) as u64);
    let is_selected = mix(call).is_multiple_of(one_in as u64);
    if is_selected {
        count_fault();
    }
    is_selected
}

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
