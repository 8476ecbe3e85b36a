//! The program as a process, its signals and its log.

use super::system_faults::SystemFaults;
use std::cell::RefCell;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};

/// The program in a process of its own, which is killed when this is dropped.
pub struct Process {
    pub listens: SocketAddr,
    child: Child,
    log: RefCell<Option<BufReader<ChildStderr>>>,
}

impl Process {
    /// With a config file, and a discovery that the environment names.
    pub fn start(config: &Path, discovery: &str) -> Process {
        Process::spawn(&mut Process::command(config, discovery))
    }

    /// The same, whose system calls have these faults.
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
        let mut process = Process { listens: SocketAddr::from(([127, 0, 0, 1], 0)), child, log };
        process.listens = process.wait_for_log("listen_address=").parse().unwrap();
        process
    }

    pub fn signal(&self, name: &str) {
        let (signal, id) = (format!("-{name}"), self.child.id().to_string());
        assert!(Command::new("kill").args([signal, id]).status().unwrap().success());
    }

    /// Reads its log to the end on a thread: a pipe that nobody reads would block the process.
    pub fn discard_log(&self) {
        if let Some(mut log) = self.log.borrow_mut().take() {
            std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        }
    }

    /// Kills it, if it still runs; its exit code, if it had ended.
    pub fn kill(&mut self) -> Option<i32> {
        let _ = self.child.kill();
        self.exit()
    }

    /// Waits for its end; its exit code, if it was not killed.
    pub fn exit(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Reads the log up to a line with this text; what follows the text on it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut line = String::new();
        let mut log = self.log.borrow_mut();
        let log = log.as_mut().expect("the log is read elsewhere");
        while log.read_line(&mut line).unwrap() > 0 {
            if let Some((_, after)) = line.split_once(text) {
                return after.trim().to_owned();
            }
            line.clear();
        }
        panic!("the program ended without logging `{text}`");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
