//! The broker as a process of its own, and what it has used, as `/proc` tells.

use std::io::{self, BufRead, BufReader, Lines};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Clock ticks in a second, as `/proc` counts CPU time.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const US_PER_S: f64 = 1e6;
/// Where user and system time stand in `/proc/PID/stat`, counted from the field after the process's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
/// How long a program may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// What stands before the address in the line that the program logs when it listens. Builds up to 076ab53 log the
/// second one.
const LISTEN_MARKERS: [&str; 2] = ["listen_address=", "serves on "];

/// Why a process can't be used, beside what the system says. It comes as the source of an [`io::Error`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum BrokerProcessError {
    #[error("the program has no standard error")]
    NoStderr,
    #[error("the program ended before it listened")]
    EndedEarly,
    #[error("the program does not listen within {} s", START_TIMEOUT.as_secs())]
    NotListening,
    #[error("/proc/PID/{file} does not tell {figure}")]
    MissingFigure { file: &'static str, figure: &'static str },
}

impl From<BrokerProcessError> for io::Error {
    fn from(error: BrokerProcessError) -> io::Error {
        io::Error::other(error)
    }
}

/// A process of the program; it is killed when this is dropped.
pub struct BrokerProcess {
    /// Where clients reach it.
    pub listens: SocketAddr,
    child: Child,
}

impl BrokerProcess {
    /// Starts the program with a config file, and waits until it listens.
    ///
    /// # Errors
    /// Where it can't be started, ends at once, or does not listen in time.
    pub fn start(program: &Path, config: &Path) -> io::Result<BrokerProcess> {
        let mut child = Command::new(program).env("EDGE_CONFIG", config).stderr(Stdio::piped()).spawn()?;
        let stderr = child.stderr.take().ok_or(BrokerProcessError::NoStderr)?;
        let unknown_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        // Made before it is known to listen, so that an error ends the process.
        let mut broker = BrokerProcess { listens: unknown_address, child };
        let mut log_lines = BufReader::new(stderr).lines();
        broker.listens = read_listen_address(&mut log_lines)?;
        // A pipe that nobody reads would fill up and stop the program at its next log line.
        std::thread::spawn(move || log_lines.for_each(drop));
        Ok(broker)
    }

    fn proc_file(&self, file: &str) -> io::Result<String> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
    }

    /// User and system time so far, in microseconds.
    ///
    /// # Errors
    /// Where `/proc` can't be read.
    pub fn cpu_us(&self) -> io::Result<f64> {
        let stat = self.proc_file("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
        let missing = BrokerProcessError::MissingFigure { file: "stat", figure: "the CPU time" };
        let (user, system) = ticks(USER_TIME_FIELD).zip(ticks(SYSTEM_TIME_FIELD)).ok_or(missing)?;
        Ok((user + system) / CLOCK_TICKS_PER_S * US_PER_S)
    }

    /// The most memory that was resident so far, in kilobytes.
    ///
    /// # Errors
    /// Where `/proc` can't be read.
    pub fn peak_memory_kb(&self) -> io::Result<f64> {
        let status = self.proc_file("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let figure = line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok());
        let missing = BrokerProcessError::MissingFigure { file: "status", figure: "the peak memory" };
        Ok(figure.ok_or(missing)?)
    }

    /// How many file descriptors it has open.
    ///
    /// # Errors
    /// Where `/proc` can't be read.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Kills it, and waits for its end.
    pub fn end(&mut self) {
        // Both fail where it has ended by itself, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Reads log lines up to the one that names the address on which the program listens.
fn read_listen_address(log_lines: &mut Lines<BufReader<ChildStderr>>) -> io::Result<SocketAddr> {
    let give_up_at = Instant::now() + START_TIMEOUT;
    while Instant::now() < give_up_at {
        let line = log_lines.next().ok_or(BrokerProcessError::EndedEarly)??;
        let address = LISTEN_MARKERS.iter().find_map(|marker| line.split_once(marker));
        if let Some((_, address)) = address {
            return address.trim().parse().map_err(io::Error::other);
        }
    }
    Err(BrokerProcessError::NotListening.into())
}
