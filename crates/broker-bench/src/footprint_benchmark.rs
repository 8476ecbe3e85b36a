//! `measure footprint`: compares the CPU time per query and the memory of the broker with those of an earlier
//! build, in alternating rounds on loopback sockets. All optional features are off, because a disabled feature
//! must cost nothing. Some JSON keys predate the terms of the code and are kept because scripts read them.

use crate::benchmark_error::BenchmarkError;
use crate::broker_process::BrokerProcess;
use node_emulator::{NodeServer, NodeSpec};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;

/// The number of rounds of each program.
const ROUNDS: usize = 7;
/// The number of measured queries in each round, after a warm-up of a tenth as many.
const QUERIES: u64 = 2_000;
/// The maximum ratios of the program's medians to those of the earlier build. Rounds of the same program differ by
/// as much on a shared machine.
const MAX_CPU_RATIO: f64 = 1.05;
const MAX_MEMORY_RATIO: f64 = 1.10;

/// The resource usage of a program in one round.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// The CPU time per query, in microseconds.
    cpu_us: f64,
    /// The peak resident memory, in kilobytes.
    resident_kb: f64,
}

impl Cost {
    /// Returns the median CPU time and the median peak memory of all rounds.
    fn median(costs: &[Cost]) -> Cost {
        let median = |figure: fn(&Cost) -> f64| {
            let mut figures: Vec<f64> = costs.iter().map(figure).collect();
            figures.sort_by(f64::total_cmp);
            figures[figures.len() / 2]
        };
        Cost { cpu_us: median(|cost| cost.cpu_us), resident_kb: median(|cost| cost.resident_kb) }
    }
}

/// Measures both programs and prints the figures. Returns whether the program is within its bounds.
///
/// # Errors
///
/// Returns an error if a program does not start, does not respond or rejects a query.
pub fn measure(program: &Path, earlier: &Path) -> Result<bool, BenchmarkError> {
    let (mut costs, mut earlier_costs) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        for (program, costs) in [(program, &mut costs), (earlier, &mut earlier_costs)] {
            let cost = measure_round(program)
                .map_err(|source| BenchmarkError::Program { program: program.to_owned(), source })?;
            println!(
                "round {round} {:<40} {:7.1} us {:8.0} kB",
                program.display(),
                cost.cpu_us,
                cost.resident_kb
            );
            costs.push(cost);
        }
    }
    let (cost, earlier_cost) = (Cost::median(&costs), Cost::median(&earlier_costs));
    let passes = cost.cpu_us <= earlier_cost.cpu_us * MAX_CPU_RATIO
        && cost.resident_kb <= earlier_cost.resident_kb * MAX_MEMORY_RATIO;
    let file_size = |path: &Path| std::fs::metadata(path).map_or(0, |metadata| metadata.len());
    let figures = json!({
        "cpu_us_a_retrieval": cost.cpu_us,
        "cpu_us_before": earlier_cost.cpu_us,
        "cpu_ratio": cost.cpu_us / earlier_cost.cpu_us,
        "resident_kb": cost.resident_kb,
        "resident_kb_before": earlier_cost.resident_kb,
        "rounds": ROUNDS,
        "retrievals": QUERIES,
        "bytes_on_disk": file_size(program),
        "bytes_on_disk_before": file_size(earlier),
    });
    println!("{}", json!({"measure": "lean", "figures": figures, "pass": passes}));
    Ok(passes)
}

/// Starts a broker, a node that responds immediately and one client, and measures the broker's resource usage for
/// the client's queries.
fn measure_round(program: &Path) -> io::Result<Cost> {
    // A shard request takes a tenth of a millisecond, on as many cores as one client uses at a time.
    let node = NodeServer::start(NodeSpec::default(), |_, _| 100)?;
    let folder = std::env::temp_dir().join(format!("broker-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let config = folder.join("config.json");
    std::fs::write(&config, broker_config(node.address).to_string())?;
    let mut broker = BrokerProcess::start(program, &config)?;
    let mut client = BufReader::new(TcpStream::connect(broker.listen_address)?);
    for number in 0..QUERIES / 10 {
        send_query(&mut client, &format!("w{number}"))?;
    }
    let cpu_us_before = broker.cpu_us()?;
    for number in 0..QUERIES {
        send_query(&mut client, &format!("r{number}"))?;
    }
    let cpu_us = broker.cpu_us()? - cpu_us_before;
    let cost = Cost { cpu_us: cpu_us / QUERIES as f64, resident_kb: broker.peak_memory_kb()? };
    broker.kill();
    // If the removal fails, the directory stays among the system's temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(cost)
}

fn broker_config(node: SocketAddr) -> Value {
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

/// Sends a query and reads the whole response.
///
/// # Errors
///
/// Returns an error if the connection fails or the status of the response is not 200.
fn send_query(client: &mut BufReader<TcpStream>, id: &str) -> io::Result<()> {
    let body = r#"{"slices":[{"slice":3,"mass":0.5},{"slice":9,"mass":0.5}],"filter":"x"}"#;
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: lookup\r\n\
         X-Time-Left-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    client.get_mut().write_all(request.as_bytes())?;
    let mut status_line = String::new();
    client.read_line(&mut status_line)?;
    let body_length = read_content_length(client)?;
    client.read_exact(&mut vec![0; body_length])?;
    if status_line.contains(" 200 ") {
        Ok(())
    } else {
        Err(io::Error::other(format!("query {id}: expected status 200, got {status_line}")))
    }
}

/// Reads the headers of a response and returns the length of its body, or 0 if no length is given.
fn read_content_length(client: &mut impl BufRead) -> io::Result<usize> {
    let (mut line, mut length) = (String::new(), 0);
    loop {
        line.clear();
        client.read_line(&mut line)?;
        if line.trim().is_empty() {
            return Ok(length);
        }
        if let Some((name, value)) = line.trim().split_once(": ")
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.parse().unwrap_or(0);
        }
    }
}
