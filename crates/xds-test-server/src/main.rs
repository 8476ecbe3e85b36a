//! Command-line program of the test server. It serves the versions in a directory (`1.json`, `2.json`, ...), polls
//! for new ones, and reads commands from standard input:
//!
//! - `drop`: drops all open streams;
//! - `vanish SECONDS`: stops the server for this time and restarts it;
//! - `forget`: removes all versions;
//! - `said`: prints the requests received from brokers.

use clap::Parser;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::time::sleep;
use xds_test_server::{FaultPlan, RecordedRequest, XdsTestServer};

/// Interval at which the directory is polled for versions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time in seconds for which `vanish` stops the server.
const MAX_STOP_SECONDS: f64 = 3600.0;
/// Time in seconds for which `vanish` stops the server if its argument is not a number.
const DEFAULT_STOP_SECONDS: f64 = 1.0;

/// Configuration service for tests, on loopback only.
#[derive(Parser)]
#[command(name = "xds-test-server", version)]
struct Arguments {
    /// The loopback address and port to listen on.
    #[arg(long, default_value = "127.0.0.1:18000")]
    listen: SocketAddr,
    /// The directory that contains the versions.
    #[arg(long)]
    folder: PathBuf,
    /// The installation to which the versions apply.
    #[arg(long)]
    installation: String,
    /// The probability (0 to 1) that the stream is dropped at a response.
    #[arg(long, default_value_t = 0.0)]
    drop: f64,
    /// The seed for all random decisions.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The reason why the program exits with an error.
#[derive(Debug, Error)]
enum ServerError {
    #[error("{0} is not a loopback address; the test server listens on loopback only")]
    NotLoopback(SocketAddr),
    #[error("failed to listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("failed to read the versions in {}: {source}", folder.display())]
    Versions { folder: PathBuf, source: io::Error },
    #[error("failed to read standard input: {0}")]
    Commands(#[source] io::Error),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match serve(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xds-test-server: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until the program is killed or an error occurs.
async fn serve(arguments: Arguments) -> Result<(), ServerError> {
    let Arguments { listen, folder, installation, drop: drop_ratio, seed } = arguments;
    if !listen.ip().is_loopback() {
        return Err(ServerError::NotLoopback(listen));
    }
    let faults = FaultPlan { seed, drop_ratio, ..FaultPlan::default() };
    let mut server = XdsTestServer::start(listen, faults)
        .map_err(|source| ServerError::Listen { address: listen, source })?;
    println!("serves {installation} on {}", server.address);
    let mut published = BTreeMap::new();
    let mut lines = BufReader::new(stdin()).lines();
    let mut is_input_open = true;
    loop {
        let versions = read_versions(&folder)
            .map_err(|source| ServerError::Versions { folder: folder.clone(), source })?;
        for (number, text) in versions {
            if published.insert(number, text.clone()).as_ref() != Some(&text) {
                server.publish(number, &installation, text.as_bytes());
                println!("publishes version {number}");
            }
        }
        tokio::select! {
            line = lines.next_line(), if is_input_open => match line.map_err(ServerError::Commands)? {
                Some(line) => run_command(&mut server, &line.split(' ').collect::<Vec<_>>()).await?,
                None => is_input_open = false,
            },
            () = sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Runs one command, or prints the list of commands if it is unknown.
async fn run_command(server: &mut XdsTestServer, words: &[&str]) -> Result<(), ServerError> {
    match words {
        ["drop"] => server.drop_streams(),
        ["forget"] => server.clear_versions(),
        ["vanish", seconds] => {
            let seconds = seconds.parse::<f64>().unwrap_or(DEFAULT_STOP_SECONDS).clamp(0.0, MAX_STOP_SECONDS);
            server.stop();
            sleep(Duration::from_secs_f64(seconds)).await;
            let address = server.address;
            server.restart().map_err(|source| ServerError::Listen { address, source })?;
        }
        ["said"] => server.requests().iter().for_each(print_request),
        other => println!("unknown command `{}`; use drop, forget, vanish SECONDS or said", other.join(" ")),
    }
    Ok(())
}

/// Prints a request in a fixed format with field names that test scripts match.
fn print_request(request: &RecordedRequest) {
    let RecordedRequest { node, version, nonce, rejection } = request;
    println!("Said {{ node: {node:?}, version: {version:?}, nonce: {nonce:?}, refusal: {rejection:?} }}");
}

/// Reads the versions in the directory, in ascending order of their numbers. Other files are skipped.
fn read_versions(folder: &Path) -> io::Result<BTreeMap<u64, String>> {
    let mut versions = BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let number = path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse().ok());
        if let Some(number) = number.filter(|_| path.extension().is_some_and(|suffix| suffix == "json")) {
            versions.insert(number, std::fs::read_to_string(&path)?);
        }
    }
    Ok(versions)
}
