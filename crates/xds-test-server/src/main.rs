//! The test server as a program: serves the versions of a folder (`1.json`, `2.json`, ...), looks for new
//! ones, and takes commands on standard input:
//!
//! - `drop`: drops every stream once;
//! - `vanish SECONDS`: stops the server for a while;
//! - `forget`: forgets every version;
//! - `said`: prints the brokers' requests.

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

/// How often the folder is read.
const FOLDER_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time for which `vanish` stops the server, in seconds.
const MAX_STOP_SECONDS: f64 = 3600.0;
/// How long `vanish` stops the server where its number can't be read, in seconds.
const DEFAULT_STOP_SECONDS: f64 = 1.0;

/// A configuration service for tests, on loopback only.
#[derive(Parser)]
#[command(name = "xds-test-server", version)]
struct Arguments {
    /// Where to listen; a loopback address.
    #[arg(long, default_value = "127.0.0.1:18000")]
    listen: SocketAddr,
    /// The folder of the versions.
    #[arg(long)]
    folder: PathBuf,
    /// The installation that the versions are for.
    #[arg(long)]
    installation: String,
    /// The share of responses at which the stream is dropped.
    #[arg(long, default_value_t = 0.0)]
    drop: f64,
    /// The seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Why the program ends.
#[derive(Debug, Error)]
enum ServerError {
    #[error("{0} is not a loopback address: the test server listens on loopback only")]
    NotLoopback(SocketAddr),
    #[error("can't listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("the versions in {} can't be read: {source}", folder.display())]
    Versions { folder: PathBuf, source: io::Error },
    #[error("standard input can't be read: {0}")]
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

/// Serves until the program is killed, or an error ends it.
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
            () = sleep(FOLDER_INTERVAL) => {}
        }
    }
}

/// Runs one command; an unknown one is answered with the list of commands.
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
        other => println!("`{}` is no command: drop, forget, vanish SECONDS, said", other.join(" ")),
    }
    Ok(())
}

/// Prints a request under the field names that testers' scripts read.
fn print_request(request: &RecordedRequest) {
    let RecordedRequest { node, version, nonce, rejection } = request;
    println!("Said {{ node: {node:?}, version: {version:?}, nonce: {nonce:?}, refusal: {rejection:?} }}");
}

/// The versions in the folder, lowest first; other files are skipped.
fn read_versions(folder: &Path) -> io::Result<BTreeMap<u64, String>> {
    let mut versions = BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let number = path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse().ok());
        if let Some(number) = number.filter(|_| path.extension().is_some_and(|ending| ending == "json")) {
            versions.insert(number, std::fs::read_to_string(&path)?);
        }
    }
    Ok(versions)
}
