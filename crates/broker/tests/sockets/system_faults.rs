//! Fault injection into the system calls of a broker process, by a preloaded library.

#[allow(dead_code, reason = "this file is shared with the library, which uses the other items")]
#[path = "../../../syscall-faults/src/control.rs"]
mod control;

pub use control::Setting;
use control::{CONTROL_BYTES, CONTROL_VARIABLE};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use tempfile::NamedTempFile;

/// The faults of one process, which can be changed while it runs.
pub struct SystemFaults {
    control: NamedTempFile,
}

impl SystemFaults {
    /// Returns settings without faults; `seed` chooses the calls that fail once faults are set.
    pub fn new(seed: u64) -> SystemFaults {
        let control = NamedTempFile::new().unwrap();
        control.as_file().set_len(CONTROL_BYTES as u64).unwrap();
        let faults = SystemFaults { control };
        faults.set(Setting::Seed, seed as i64);
        faults
    }

    /// Sets a value, which takes effect with the next system call.
    pub fn set(&self, setting: Setting, value: i64) {
        self.control.as_file().write_all_at(&value.to_le_bytes(), setting.offset() as u64).unwrap();
    }

    /// Makes one call in `interval` fail with the errno `error`.
    pub fn fail(&self, one_in: Setting, errno: Setting, interval: i64, error: i32) {
        self.set(errno, i64::from(error));
        self.set(one_in, interval);
    }

    /// Returns the number of calls that failed, were interrupted or were cut short.
    pub fn injected_faults(&self) -> i64 {
        let mut bytes = [0; 8];
        let file = File::open(self.control.path()).unwrap();
        file.read_exact_at(&mut bytes, Setting::InjectedFaults.offset() as u64).unwrap();
        i64::from_le_bytes(bytes)
    }

    /// Preloads the library into a process that is about to be started.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library_path()).env(CONTROL_VARIABLE, self.control.path());
    }
}

/// Returns the path of the library, which Cargo builds as a dependency into the directory of the test executable.
fn library_path() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let library_path = test.with_file_name("libsyscall_faults.so");
    assert!(library_path.exists(), "{} does not exist", library_path.display());
    library_path
}
