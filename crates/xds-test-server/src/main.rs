//! The test server as a program: serves the versions of a folder (`1.json`, `2.json`, ...), looks for new
//! ones, and takes commands on standard input: `drop`, `vanish SECONDS`, `forget`, `said`.

use clap::Parser;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::time::sleep;
use xds_test_server::{FaultPlan, RecordedRequest, XdsTestServer};

/// How often the folder is read.
const FOLDER_INTERVAL: Duration = Duration::from_millis(200);
/// How long `vanish` stops the server at the most, and without a readable number, in seconds.
const MAX_STOP_SECONDS: f64 = 3600.0;
const DEFAULT_STOP_SECONDS: f64 = 1.0;

/// A stand-in control service, on loopback only.
#[derive(Parser)]
#[command(name = "xds-test-server", version)]
struct Arguments {
    /// Where to listen; a loopback address.
    #[arg(long, default_value = "127.0.0.1:18000")]
    listen: SocketAddr,
    /// The folder of the versions.
    #[arg(long)]
    folder: PathBuf,
    #[arg(long)]
    installation: String,
    /// The share of responses at which the stream is dropped.
    #[arg(long, default_value_t = 0.0)]
    drop: f64,
    /// The seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Arguments { listen, folder, installation, drop: drop_ratio, seed } = Arguments::parse();
    if !listen.ip().is_loopback() {
        return Err("a stand-in listens on loopback only".into());
    }
    let faults = FaultPlan { seed, drop_ratio, ..FaultPlan::default() };
    let mut server = XdsTestServer::start(listen, faults)?;
    println!("serves {installation} on {}", server.address);
    let mut published = BTreeMap::new();
    let mut lines = BufReader::new(stdin()).lines();
    let mut is_input_open = true;
    loop {
        for (number, text) in read_versions(&folder)? {
            if published.insert(number, text.clone()).as_ref() != Some(&text) {
                server.publish(number, &installation, text.as_bytes());
                println!("publishes version {number}");
            }
        }
        tokio::select! {
            line = lines.next_line(), if is_input_open => match line? {
                Some(line) => run_command(&mut server, &line.split(' ').collect::<Vec<_>>()).await?,
                None => is_input_open = false,
            },
            () = sleep(FOLDER_INTERVAL) => {}
        }
    }
}

async fn run_command(server: &mut XdsTestServer, words: &[&str]) -> std::io::Result<()> {
    match words {
        ["drop"] => server.drop_streams(),
        ["forget"] => server.forget_versions(),
        ["vanish", seconds] => {
            let seconds = seconds.parse::<f64>().unwrap_or(DEFAULT_STOP_SECONDS).clamp(0.0, MAX_STOP_SECONDS);
            server.stop();
            sleep(Duration::from_secs_f64(seconds)).await;
            server.restart()?;
        }
        ["said"] => server.requests().iter().for_each(print_request),
        other => println!("`{}` is no command: drop, forget, vanish SECONDS, said", other.join(" ")),
    }
    Ok(())
}

/// Prints a request under the names that scripts of testers read.
fn print_request(request: &RecordedRequest) {
    let RecordedRequest { node, version, nonce, rejection } = request;
    println!("Said {{ node: {node:?}, version: {version:?}, nonce: {nonce:?}, refusal: {rejection:?} }}");
}

/// The versions that stand in the folder, lowest first.
fn read_versions(folder: &Path) -> std::io::Result<BTreeMap<u64, String>> {
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
