//! A broker that runs as a separate process, with its signals and its log.

use super::system_faults::SystemFaults;
use std::cell::RefCell;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// A broker process, which is killed when this value is dropped.
pub struct Process {
    pub listen_address: SocketAddr,
    child: Child,
    log: RefCell<Option<BufReader<ChildStderr>>>,
}

impl Process {
    /// Starts the program with a config file and the discovery address, which is passed in the environment.
    pub fn start(config: &Path, discovery: &str) -> Process {
        Process::spawn(&mut Process::command(config, discovery))
    }

    /// Starts the program like [`Process::start`], with faults injected into its system calls.
    pub fn start_with_faults(config: &Path, discovery: &str, faults: &SystemFaults) -> Process {
        let mut command = Process::command(config, discovery);
        faults.preload(&mut command);
        Process::spawn(&mut command)
    }

    fn command(config: &Path, discovery: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shard-broker"));
        command.env("EDGE_CONFIG", config).env("EDGE_DISCOVERY", discovery);
        command
    }

    fn spawn(command: &mut Command) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = RefCell::new(child.stderr.take().map(BufReader::new));
        let mut process = Process { listen_address: SocketAddr::from(([127, 0, 0, 1], 0)), child, log };
        process.listen_address = process.wait_for_log("listen_address=").parse().unwrap();
        process
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let (signal, id) = (format!("-{name}"), self.child.id().to_string());
        assert!(Command::new("kill").args([signal, id]).status().unwrap().success());
    }

    /// Reads the log to its end on another thread, because a full pipe would block the process.
    pub fn discard_log(&self) {
        if let Some(mut log) = self.log.borrow_mut().take() {
            std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        }
    }

    /// Kills the process if it is still running. Returns its exit code, or `None` if a signal ended the process.
    pub fn kill(&mut self) -> Option<i32> {
        let _ = self.child.kill();
        self.wait()
    }

    /// Waits until the process ends. Returns its exit code, or `None` if a signal ended the process.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Reads the log up to the first line that contains `text`, and returns the part of that line after `text`.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut line = String::new();
        let mut log = self.log.borrow_mut();
        let log = log.as_mut().expect("wait_for_log called after discard_log");
        while log.read_line(&mut line).unwrap() > 0 {
            if let Some((_, after)) = line.split_once(text) {
                return after.trim().to_owned();
            }
            line.clear();
        }
        panic!("process ended without logging `{text}`");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
