//! `measure fleet-size`: compares the resource usage of one broker with 200 nodes and with sixteen times as many,
//! under the same traffic on loopback sockets. The documentation on fleet sizes states the same bounds.

use crate::broker_process::BrokerProcess;
use node_emulator::{
    DiscoveryCatalog, EventSender, HttpClient, PeerEvent, ScriptedNode, query_body, query_request,
};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, interval, sleep};

const FEW_NODES: usize = 200;
const MANY_NODES: usize = 3200;
const PLACEMENT_GROUPS: usize = 12;
const REPLICA_GROUPS: usize = 4;
const SHARDS: u32 = 36;
const SHARDS_PER_QUERY: u32 = 18;
const CLIENTS: usize = 8;
/// The interval between queries of a client. All clients together send some tens of queries per second, the rate
/// that a broker of a large fleet receives.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// The time that a node takes for a shard request. It is long compared with a connection handshake, as it is in
/// users' deployments.
const SHARD_REQUEST_DURATION: Duration = Duration::from_millis(100);
/// The interval between changes of a node's state in discovery.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between samples of the broker's file descriptor count.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// The deadline of each query, as the client sends it in `X-Time-Left-Ms`.
const TIME_LEFT_MS: u64 = 2000;
const BYTES_PER_KB: f64 = 1000.0;

/// The resource usage and the success rate of a broker in one run.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUsage {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    share_served: f64,
}

/// The upper bound of a figure with many nodes: `factor` times the figure with few nodes, plus a fixed part, plus a
/// part for each thousand nodes, in the unit of the figure.
struct Bound {
    name: &'static str,
    figure: fn(&ResourceUsage) -> f64,
    factor: f64,
    fixed: f64,
    per_thousand_nodes: f64,
}

#[rustfmt::skip]
const BOUNDS: &[Bound] = &[
    Bound { name: "cpu_s",       figure: |n| n.cpu_s,       factor: 1.4, fixed: 0.02, per_thousand_nodes: 0.03 },
    Bound { name: "memory_mb",   figure: |n| n.memory_mb,   factor: 1.5, fixed: 8.0,  per_thousand_nodes: 4.0 },
    Bound { name: "descriptors", figure: |n| n.descriptors, factor: 2.0, fixed: 40.0, per_thousand_nodes: 0.0 },
    Bound { name: "connections", figure: |n| n.connections, factor: 2.5, fixed: 40.0, per_thousand_nodes: 0.0 },
    Bound { name: "list_kb",     figure: |n| n.list_kb,     factor: 2.0, fixed: 64.0, per_thousand_nodes: 500.0 },
];
/// The minimum ratio of the share of queries served with many nodes to the share served with few.
const MIN_SHARE_RATIO: f64 = 0.85;

/// Runs both fleets and prints the figures. Returns whether all figures are within their bounds.
///
/// # Errors
///
/// Returns an error if the program does not start, or if a socket or `/proc` fails.
pub fn measure(program: &Path, duration: Duration) -> io::Result<bool> {
    let few = run_fleet_in_runtime(program, FEW_NODES, duration)?;
    let many = run_fleet_in_runtime(program, MANY_NODES, duration)?;
    let mut passes = many.share_served >= MIN_SHARE_RATIO * few.share_served;
    println!(
        "share served: {:.3} among {FEW_NODES}, {:.3} among {MANY_NODES}",
        few.share_served, many.share_served
    );
    let mut figures =
        json!({"share_served": [few.share_served, many.share_served], "nodes": [FEW_NODES, MANY_NODES]});
    for Bound { name, figure, factor, fixed, per_thousand_nodes } in BOUNDS {
        let (with_few, with_many) = (figure(&few), figure(&many));
        let bound = with_few * factor + fixed + per_thousand_nodes * MANY_NODES as f64 / 1000.0;
        passes &= with_many <= bound;
        println!("{name:<12} {with_few:9.2} {with_many:9.2}   at most {bound:9.2}");
        figures[*name] = json!([with_few, with_many, bound]);
    }
    println!("{}", json!({"measure": "fleet-size", "figures": figures, "pass": passes}));
    Ok(passes)
}

fn run_fleet_in_runtime(program: &Path, nodes: usize, duration: Duration) -> io::Result<ResourceUsage> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_fleet(program, nodes, duration))
}

/// Nodes that respond after [`SHARD_REQUEST_DURATION`], with a count of the connections made to them.
struct Fleet {
    nodes: Rc<Vec<ScriptedNode>>,
    connections: Rc<Cell<usize>>,
}

impl Fleet {
    async fn start(count: usize) -> io::Result<Fleet> {
        let (sender, mut events): (EventSender, _) = mpsc::unbounded_channel();
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(ScriptedNode::start(index, sender.clone()).await?);
        }
        let fleet = Fleet { nodes: Rc::new(nodes), connections: Rc::default() };
        let (nodes, connections) = (fleet.nodes.clone(), fleet.connections.clone());
        spawn_local(async move {
            let mut known: Vec<usize> = vec![0; count];
            while let Some(received) = events.recv().await {
                // Each node numbers its connections from 0, and every connection carries a batch, so the highest
                // number seen yields the count.
                let new_connections = (received.connection + 1).saturating_sub(known[received.node]);
                known[received.node] += new_connections;
                connections.set(connections.get() + new_connections);
                if let PeerEvent::Batch(shard_requests) = received.event {
                    let nodes = nodes.clone();
                    spawn_local(async move {
                        sleep(SHARD_REQUEST_DURATION).await;
                        for request in shard_requests {
                            nodes[received.node].respond(received.connection, &request.id, 'S', "v").await;
                        }
                    });
                }
            }
        });
        Ok(fleet)
    }

    fn entry(&self, node: usize, phase: &str) -> Value {
        json!({"id": format!("s-{node:08x}"), "host_port": self.nodes[node].address.to_string(),
            "locality": "hall", "flavor": "std", "cell": node % PLACEMENT_GROUPS, "phase": phase,
            "size": 1.0, "up_since_ms": 0})
    }
}

async fn run_fleet(program: &Path, node_count: usize, duration: Duration) -> io::Result<ResourceUsage> {
    let fleet = Fleet::start(node_count).await?;
    let discovery = DiscoveryCatalog::start().await?;
    for node in 0..node_count {
        discovery.set(&format!("s-{node:08x}"), fleet.entry(node, "ready"));
    }
    let folder = std::env::temp_dir().join(format!("broker-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("fleet-size.json");
    std::fs::write(&file, broker_config(&discovery.address.to_string()).to_string())?;
    let mut broker = BrokerProcess::start(program, &file)?;
    wait_until_ready(&broker).await;
    let counts = Rc::<RefCell<QueryCounts>>::default();
    let until = Instant::now() + duration;
    let clients = (0..CLIENTS)
        .map(|client| spawn_local(run_client(broker.listen_address, client, until, counts.clone())));
    let clients: Vec<_> = clients.collect();
    let descriptors = change_nodes_and_sample(&broker, &fleet, &discovery, until).await?;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    let QueryCounts { served, sent } = *counts.borrow();
    let usage = ResourceUsage {
        cpu_s: broker.cpu_us()? / 1e6,
        memory_mb: broker.peak_memory_kb()? / 1024.0,
        descriptors: descriptors as f64,
        connections: fleet.connections.get() as f64,
        list_kb: discovery.bytes_sent() as f64 / BYTES_PER_KB,
        share_served: served as f64 / sent.max(1) as f64,
    };
    broker.kill();
    std::fs::remove_dir_all(&folder)?;
    Ok(usage)
}

#[derive(Clone, Copy, Debug, Default)]
struct QueryCounts {
    served: usize,
    sent: usize,
}

async fn wait_until_ready(broker: &BrokerProcess) {
    loop {
        if let Ok(mut client) = HttpClient::connect(broker.listen_address).await {
            // A failed write means that the broker is not ready yet.
            let _ = client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if client.read_response().await.is_some_and(|response| response.status == 200) {
                return;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Drains one node after another and makes each ready again until `until`, while it samples the broker's file
/// descriptors. Returns the maximum number that was open at the same time.
async fn change_nodes_and_sample(
    broker: &BrokerProcess,
    fleet: &Fleet,
    discovery: &DiscoveryCatalog,
    until: Instant,
) -> io::Result<usize> {
    let (mut samples, mut changes) = (interval(SAMPLE_INTERVAL), interval(CHANGE_INTERVAL));
    let (mut max_descriptors, mut change) = (0, 0);
    while Instant::now() < until {
        tokio::select! {
            _ = samples.tick() => max_descriptors = max_descriptors.max(broker.descriptors()?),
            _ = changes.tick() => {
                let (node, phase) = (change / 2, ["draining", "ready"][change % 2]);
                discovery.set(&format!("s-{node:08x}"), fleet.entry(node, phase));
                change += 1;
            }
        }
    }
    Ok(max_descriptors)
}

async fn run_client(
    broker: std::net::SocketAddr,
    client: usize,
    until: Instant,
    counts: Rc<RefCell<QueryCounts>>,
) {
    let (mut ticks, mut connection, mut number) = (interval(QUERY_INTERVAL), None, 0);
    while Instant::now() < until {
        ticks.tick().await;
        number += 1;
        let first = (client + number) as u32;
        let weight = 1.0 / f64::from(SHARDS_PER_QUERY);
        let shards: Vec<(u32, f64)> =
            (0..SHARDS_PER_QUERY).map(|at| ((first + at) % SHARDS, weight)).collect();
        let text =
            query_request(&format!("{client}x{number}"), "lookup", TIME_LEFT_MS, &query_body(&shards, "x"));
        let status = exchange(broker, &mut connection, &text).await;
        let mut counts = counts.borrow_mut();
        counts.sent += 1;
        counts.served += usize::from(status == Some(200));
    }
}

/// Sends a request on the open connection or on a new one. Returns the status of the response, or `None` if the
/// exchange failed.
async fn exchange(
    broker: std::net::SocketAddr,
    connection: &mut Option<HttpClient>,
    text: &str,
) -> Option<u16> {
    let mut client = match connection.take() {
        Some(client) => client,
        None => HttpClient::connect(broker).await.ok()?,
    };
    client.write(text).await.ok()?;
    let status = client.read_response().await?.status;
    *connection = Some(client);
    Some(status)
}

fn broker_config(discovery: &str) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "settings": {"Instances": 300, "PeriodMs": 5.0, "RegistryMode": "automatic", "Areas": ["hall"],
            "Services": [{"Name": "lookup", "OnTimeMs": 1000.0, "DeadlineMs": 2000.0, "Worth": 1.0,
                "Effect": "idempotent"}],
            "Domain": {"Cells": PLACEMENT_GROUPS, "Reach": REPLICA_GROUPS, "Ranges": SHARDS, "PerCall": 8,
                "CompleteFrom": [1.0], "MinShare": [1.0]},
            "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 3, "MaxOpen": 1000,
                "MayCancel": true, "SecondCopies": true, "StreamsPerConn": 32, "RetryAfter": true},
            "Rules": {"AskWithinMs": 10000.0, "StopSendingWithinMs": 250.0, "ColdFrom": 0.2,
                "WarmUpMs": 17000.0, "OverloadFactor": 3.0, "OverloadForMs": 1000.0}}})
}
