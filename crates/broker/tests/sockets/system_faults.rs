//! Faults of system calls in a process of the program, by the library that is preloaded into it.

#[allow(dead_code, reason = "shared with the library, whose other half these items are")]
#[path = "../../../syscall-faults/src/control.rs"]
mod control;

pub use control::Setting;
use control::{CONTROL_BYTES, CONTROL_VARIABLE};
use std::fs::File;
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

    /// One call in `chance` fails with this errno.
    pub fn fail(&self, one_in: Setting, errno: Setting, chance: i64, error: i32) {
        self.set(errno, i64::from(error));
        self.set(one_in, chance);
    }

    /// The number of calls that failed, were interrupted or cut short.
    pub fn injected(&self) -> i64 {
        let mut bytes = [0; 8];
        let file = File::open(self.control.path()).unwrap();
        file.read_exact_at(&mut bytes, Setting::InjectedFaults.offset() as u64).unwrap();
        i64::from_le_bytes(bytes)
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
