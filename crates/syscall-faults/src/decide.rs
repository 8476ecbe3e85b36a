//! Decides whether a call fails: by the control file, and by chance from its seed.

use crate::control::{CONTROL_BYTES, CONTROL_VARIABLE, Setting};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering::Relaxed};

/// The mapped control file, as an address; 0: there is none.
static CONTROL: OnceLock<usize> = OnceLock::new();
/// The number of calls that were decided on.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// Maps the control file; 0: there is none.
fn map_control_file() -> usize {
    let Ok(name) = CString::new(CONTROL_VARIABLE) else { return 0 };
    // SAFETY: `name` and the path are strings that end in zero, and the mapping is checked. It is never unmapped.
    unsafe {
        let path = libc::getenv(name.as_ptr());
        if path.is_null() {
            return 0;
        }
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return 0;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let null = std::ptr::null_mut();
        let mapped = libc::mmap(null, CONTROL_BYTES, access, libc::MAP_SHARED, file as i32, 0);
        libc::syscall(libc::SYS_close, file);
        if mapped == libc::MAP_FAILED { 0 } else { mapped as usize }
    }
}

/// The number of the mapped control file for this setting.
fn slot(setting: Setting) -> Option<&'static AtomicI64> {
    let base = *CONTROL.get_or_init(map_control_file);
    // SAFETY: the mapping holds `CONTROL_BYTES`, is aligned to a page and lives as long as the process.
    (base != 0).then(|| unsafe { &*((base + setting.offset()) as *const AtomicI64) })
}

/// A number of the control file; 0 where there is none.
pub(crate) fn read(setting: Setting) -> i64 {
    slot(setting).map_or(0, |slot| slot.load(Relaxed))
}

/// Counts a fault.
pub(crate) fn count_fault() {
    slot(Setting::InjectedFaults).into_iter().for_each(|slot| _ = slot.fetch_add(1, Relaxed));
}

/// Whether this call is one of those that fail; it is counted then.
pub(crate) fn is_chosen(one_in: Setting) -> bool {
    let one_in = read(one_in);
    if one_in <= 0 {
        return false;
    }
    let call = CALLS.fetch_add(1, Relaxed).wrapping_add(read(Setting::Seed) as u64);
    let is_chosen = mix(call).is_multiple_of(one_in as u64);
    if is_chosen {
        count_fault();
    }
    is_chosen
}

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
