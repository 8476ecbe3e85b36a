//! Runs the broker as a child process and reads its resource usage from `/proc`.

use std::io::{self, BufRead, BufReader, Lines};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Clock ticks per second, the unit of CPU times in `/proc`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const US_PER_S: f64 = 1e6;
/// The indexes of user and system time in `/proc/PID/stat`, counted from the field after the process name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
/// The time within which a broker must log its listen address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The text before the address in the line that the broker logs when it listens. Builds up to commit 076ab53 log
/// the second variant.
const LISTEN_MARKERS: [&str; 2] = ["listen_address=", "serves on "];

/// An error of a broker process that is not reported by the operating system. It is the source of an
/// [`io::Error`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum BrokerProcessError {
    #[error("broker process has no standard error pipe")]
    NoStderr,
    #[error("broker process exited before it logged its listen address")]
    EndedEarly,
    #[error("broker process did not log its listen address within {} s", START_TIMEOUT.as_secs())]
    NotListening,
    #[error("/proc/PID/{file} does not contain {value}")]
    MissingValue { file: &'static str, value: &'static str },
}

impl From<BrokerProcessError> for io::Error {
    fn from(error: BrokerProcessError) -> io::Error {
        io::Error::other(error)
    }
}

/// A running broker process, which is killed when this value is dropped.
pub struct BrokerProcess {
    /// The address on which the broker accepts clients.
    pub listen_address: SocketAddr,
    child: Child,
}

impl BrokerProcess {
    /// Starts the broker with a config file and waits until it listens.
    ///
    /// # Errors
    /// Returns an error if the program can't be started, exits early or does not listen in time.
    pub fn start(program: &Path, config: &Path) -> io::Result<BrokerProcess> {
        let mut child = Command::new(program).env("EDGE_CONFIG", config).stderr(Stdio::piped()).spawn()?;
        let stderr = child.stderr.take().ok_or(BrokerProcessError::NoStderr)?;
        let unknown_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // Created before the broker listens, so that dropping it on an error kills the process.
        let mut broker = BrokerProcess { listen_address: unknown_address, child };
        let mut log_lines = BufReader::new(stderr).lines();
        broker.listen_address = read_listen_address(&mut log_lines)?;
        // An unread pipe would fill up and block the broker at its next log line.
        std::thread::spawn(move || log_lines.for_each(drop));
        Ok(broker)
    }

    fn proc_file(&self, file: &str) -> io::Result<String> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
    }

    /// Returns the user and system CPU time used so far, in microseconds.
    ///
    /// # Errors
    /// Returns an error if `/proc` can't be read.
    pub fn cpu_us(&self) -> io::Result<f64> {
        let stat = self.proc_file("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
        let missing = BrokerProcessError::MissingValue { file: "stat", value: "the CPU time" };
        let (user, system) = ticks(USER_TIME_FIELD).zip(ticks(SYSTEM_TIME_FIELD)).ok_or(missing)?;
        Ok((user + system) / CLOCK_TICKS_PER_S * US_PER_S)
    }

    /// Returns the peak resident memory so far, in kilobytes.
    ///
    /// # Errors
    /// Returns an error if `/proc` can't be read.
    pub fn peak_memory_kb(&self) -> io::Result<f64> {
        let status = self.proc_file("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok());
        let missing = BrokerProcessError::MissingValue { file: "status", value: "the peak memory" };
        Ok(peak_kb.ok_or(missing)?)
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    /// Returns an error if `/proc` can't be read.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both calls fail if the process has already exited, which is not an error here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads log lines up to the one with the listen address, and returns that address.
fn read_listen_address(log_lines: &mut Lines<BufReader<ChildStderr>>) -> io::Result<SocketAddr> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let line = log_lines.next().ok_or(BrokerProcessError::EndedEarly)??;
        let address = LISTEN_MARKERS.iter().find_map(|marker| line.split_once(marker));
        if let Some((_, address)) = address {
            return address.trim().parse().map_err(io::Error::other);
        }
    }
    Err(BrokerProcessError::NotListening.into())
}
