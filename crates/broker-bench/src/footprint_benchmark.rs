//! `measure lean`: what the platform's program costs, beside an earlier build of it, in turn, on loopback
//! sockets. Nothing is switched on: a feature that is off must cost nothing.

use crate::broker_process::BrokerProcess;
use node_emulator::{NodeServer, NodeSpec};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};

/// Rounds of both, and queries in each.
const ROUNDS: usize = 7;
const RETRIEVALS: u64 = 2_000;
/// The medians may lie so far apart: rounds of one and the same program spread by as much on a shared
/// machine.
const CPU_BOUND: f64 = 1.05;
const MEMORY_BOUND: f64 = 1.10;

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_us: f64,
    resident_kb: f64,
}

/// Plays and prints; whether the bounds were kept.
pub fn measure(program: &Path, against: &Path) -> Result<bool, String> {
    let programs = [program, against];
    let mut costs: [Vec<Cost>; 2] = Default::default();
    for round in 0..ROUNDS {
        for (program, costs) in programs.iter().zip(&mut costs) {
            let cost = play(program).map_err(|e| format!("{}: {e}", program.display()))?;
            println!(
                "round {round} {:<40} {:7.1} us {:8.0} kB",
                program.display(),
                cost.cpu_us,
                cost.resident_kb
            );
            costs.push(cost);
        }
    }
    let median = |costs: &[Cost], figure: fn(&Cost) -> f64| {
        let mut figures: Vec<f64> = costs.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    };
    let [cpu, memory] = [|c: &Cost| c.cpu_us, |c: &Cost| c.resident_kb]
        .map(|figure| (median(&costs[0], figure), median(&costs[1], figure)));
    let size = |path: &Path| std::fs::metadata(path).map_or(0, |meta| meta.len());
    let pass = cpu.0 <= cpu.1 * CPU_BOUND && memory.0 <= memory.1 * MEMORY_BOUND;
    let figures = json!({"cpu_us_a_retrieval": cpu.0, "cpu_us_before": cpu.1, "cpu_ratio": cpu.0 / cpu.1,
        "resident_kb": memory.0, "resident_kb_before": memory.1, "rounds": ROUNDS, "retrievals": RETRIEVALS,
        "bytes_on_disk": size(program), "bytes_on_disk_before": size(against)});
    println!("{}", json!({"measure": "lean", "figures": figures, "pass": pass}));
    Ok(pass)
}

/// A broker with a node that answers at once, and one client; what it used for its queries.
fn play(program: &Path) -> Result<Cost, String> {
    // A tenth of a millisecond for a shard request, with cores for all that one client has out.
    let node = NodeServer::start(NodeSpec::default(), |_, _| 100).map_err(|e| e.to_string())?;
    let address = node.address;
    let folder = std::env::temp_dir().join(format!("broker-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let config: PathBuf = folder.join("config.json");
    std::fs::write(&config, self::config(address).to_string()).map_err(|e| e.to_string())?;
    let mut broker = BrokerProcess::start(program, &config).map_err(|e| e.to_string())?;
    let mut client = BufReader::new(TcpStream::connect(broker.listens).map_err(|e| e.to_string())?);
    for no in 0..RETRIEVALS / 10 {
        ask(&mut client, &format!("w{no}")).map_err(|e| e.to_string())?;
    }
    let before = broker.cpu_us().map_err(|e| e.to_string())?;
    for no in 0..RETRIEVALS {
        ask(&mut client, &format!("r{no}")).map_err(|e| e.to_string())?;
    }
    let cpu_us = broker.cpu_us().map_err(|e| e.to_string())? - before;
    let resident_kb = broker.peak_memory_kb().map_err(|e| e.to_string())?;
    let cost = Cost { cpu_us: cpu_us / RETRIEVALS as f64, resident_kb };
    broker.end();
    // What can't be tidied up is only a small file.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(cost)
}

fn config(node: SocketAddr) -> Value {
    let member = json!({"id": "s-0", "host_port": node.to_string(), "locality": "hall", "flavor": "std",
        "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": [member]},
        "settings": {"Instances": 1, "PeriodMs": 0.1, "RegistryMode": "subscribe", "Areas": ["hall"],
            "Services": [{"Name": "lookup", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 1.0,
                "Effect": "idempotent"}],
            "Domain": {"Cells": 1, "Reach": 1, "Ranges": 16, "PerCall": 4, "CompleteFrom": [1.0],
                "MinShare": [1.0]},
            "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 2000.0, "MaxAttempts": 3, "MaxOpen": 1000,
                "StreamsPerConn": 32}, "Rules": {}}})
}

fn ask(client: &mut BufReader<TcpStream>, id: &str) -> std::io::Result<()> {
    let body = r#"{"slices":[{"slice":3,"mass":0.5},{"slice":9,"mass":0.5}],"filter":"x"}"#;
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: lookup\r\n\
         X-Time-Left-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    client.get_mut().write_all(request.as_bytes())?;
    let (mut line, mut length, mut first) = (String::new(), 0, String::new());
    loop {
        line.clear();
        client.read_line(&mut line)?;
        if first.is_empty() {
            first = line.clone();
        }
        let Some((name, value)) = line.trim().split_once(": ") else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().unwrap_or(0);
        }
    }
    client.read_exact(&mut vec![0; length])?;
    if first.contains(" 200 ") { Ok(()) } else { Err(std::io::Error::other(format!("answered {first}"))) }
}
