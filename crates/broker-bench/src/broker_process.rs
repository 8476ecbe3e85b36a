//! The program as a process of its own, and what it has used by /proc.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The kernel's clock ticks a second, as /proc counts CPU.
const TICKS: f64 = 100.0;
/// User's and system's time among the fields behind the name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A process of the program, which ends with this value.
pub struct BrokerProcess {
    /// Where clients reach it.
    pub listens: SocketAddr,
    child: Child,
}

impl BrokerProcess {
    /// Starts the program with a config file, and waits until it listens.
    pub fn start(program: &Path, config: &Path) -> io::Result<BrokerProcess> {
        let mut child = Command::new(program).env("EDGE_CONFIG", config).stderr(Stdio::piped()).spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| io::Error::other("no standard error"))?;
        let mut broker = BrokerProcess { listens: SocketAddr::from(([127, 0, 0, 1], 0)), child };
        let mut lines = BufReader::new(stderr).lines();
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            let line = lines.next().ok_or_else(|| io::Error::other("it ended"))??;
            // Builds up to 076ab53 log it as `NAME serves on ADDRESS`.
            let address = line.split_once("listen_address=").or_else(|| line.split_once("serves on "));
            if let Some((_, address)) = address {
                broker.listens = address.trim().parse().map_err(io::Error::other)?;
                std::thread::spawn(move || lines.for_each(drop));
                return Ok(broker);
            }
        }
        Err(io::Error::other("it does not serve"))
    }

    fn proc_file(&self, file: &str) -> io::Result<String> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
    }

    /// User's and system's time so far, in microseconds.
    pub fn cpu_us(&self) -> io::Result<f64> {
        let stat = self.proc_file("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
        let times = ticks(USER_TIME_FIELD).zip(ticks(SYSTEM_TIME_FIELD));
        let (user, system) = times.ok_or_else(|| io::Error::other("no times told"))?;
        Ok((user + system) / TICKS * 1e6)
    }

    /// The most memory that was resident so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> io::Result<f64> {
        let status = self.proc_file("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let figure = line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok());
        figure.ok_or_else(|| io::Error::other("no memory told"))
    }

    /// How many descriptors it holds now.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Ends it.
    pub fn end(&mut self) {
        // Whether it had ended by itself makes no difference.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        self.end();
    }
}
