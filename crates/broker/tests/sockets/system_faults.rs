//! Faults of system calls in a process of the program, by the library that is preloaded into it.

#[allow(dead_code, reason = "shared with the library, whose other half these items are")]
#[path = "../../../syscall-faults/src/control.rs"]
mod control;

pub use control::Setting;
use control::{CONTROL_BYTES, CONTROL_VARIABLE};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use tempfile::NamedTempFile;

/// The faults of one process, which may be changed while it runs.
pub struct SystemFaults {
    control: NamedTempFile,
}

impl SystemFaults {
    /// No faults, chosen by this seed.
    pub fn new(seed: u64) -> SystemFaults {
        let control = NamedTempFile::new().unwrap();
        control.as_file().set_len(CONTROL_BYTES as u64).unwrap();
        let faults = SystemFaults { control };
        faults.set(Setting::Seed, seed as i64);
        faults
    }

    /// Sets a number from now on.
    pub fn set(&self, setting: Setting, value: i64) {
        self.control.as_file().write_all_at(&value.to_le_bytes(), setting.offset() as u64).unwrap();
    }

    /// Preloads the library into a process that is about to be started.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env(CONTROL_VARIABLE, self.control.path());
    }
}

/// Built as a dependency, beside the test itself.
fn library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let library = test.with_file_name("libsyscall_faults.so");
    assert!(library.exists(), "{} is not there", library.display());
    library
}
