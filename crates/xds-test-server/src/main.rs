//! The stand-in as a program: serves the versions of a folder (`1.json`, `2.json`, ...), looks for new ones,
//! and takes commands on standard input: `drop`, `vanish SECONDS`, `forget`, `said`.

use clap::Parser;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::time::sleep;
use xds_test_server::{StandIn, Troubles};

/// A stand-in control service, on loopback only.
#[derive(Parser)]
#[command(name = "xds-test-server", version)]
struct Words {
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
    let Words { listen, folder, installation, drop, seed } = Words::parse();
    if !listen.ip().is_loopback() {
        return Err("a stand-in listens on loopback only".into());
    }
    let mut stand_in = StandIn::start(listen, Troubles { seed, drop, ..Troubles::default() })?;
    println!("serves {installation} on {}", stand_in.address);
    let mut known = BTreeMap::new();
    let mut lines = BufReader::new(stdin()).lines();
    let mut open = true;
    loop {
        for (number, text) in versions(&folder)? {
            if known.insert(number, text.clone()).as_ref() != Some(&text) {
                stand_in.publish(number, &installation, text.as_bytes());
                println!("publishes version {number}");
            }
        }
        tokio::select! {
            line = lines.next_line(), if open => match line?.as_deref().map(|l| l.split(' ').collect::<Vec<_>>()) {
                Some(words) => command(&mut stand_in, &words).await?,
                None => open = false,
            },
            () = sleep(Duration::from_millis(200)) => {}
        }
    }
}

async fn command(stand_in: &mut StandIn, words: &[&str]) -> std::io::Result<()> {
    match words {
        ["drop"] => stand_in.drop_streams(),
        ["forget"] => stand_in.forget(),
        ["vanish", seconds] => {
            stand_in.vanish();
            sleep(Duration::from_secs_f64(seconds.parse::<f64>().unwrap_or(1.0).clamp(0.0, 3600.0))).await;
            stand_in.come_back()?;
        }
        ["said"] => stand_in.said().iter().for_each(|said| println!("{said:?}")),
        other => println!("`{}` is no command: drop, forget, vanish SECONDS, said", other.join(" ")),
    }
    Ok(())
}

/// The versions that stand in the folder, lowest first.
fn versions(folder: &Path) -> std::io::Result<BTreeMap<u64, String>> {
    let mut found = BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let number = path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse().ok());
        if let Some(number) = number.filter(|_| path.extension().is_some_and(|ending| ending == "json")) {
            found.insert(number, std::fs::read_to_string(&path)?);
        }
    }
    Ok(found)
}
