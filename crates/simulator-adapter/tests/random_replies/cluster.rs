//! Random clients, nodes and discovery around one broker, derived from a seed. They react to the effects of the
//! broker: each sent attempt ends, and a rejected query may be sent again.

use crate::wire::{Address, Batch, Effect, EndedAttempt, EndpointRecord, Outcome, QueryRecord};
use std::collections::BTreeMap;

/// Number of the broker in the protocol.
const BROKER: u16 = 3;
const PLACEMENT_GROUPS: u16 = 3;
const SHARDS: u32 = 12;
/// Number of shard requests in the second phase, by class.
const SECOND_PHASE_SHARD_REQUESTS: [u64; 3] = [2, 12, 1];
/// Time for which a node keeps an idle connection, in milliseconds.
const IDLE_CONNECTION_MS: f64 = 400.0;
/// Codes of endpoint list kinds in the protocol.
const DELTA_LIST: u8 = 0;
const SNAPSHOT_LIST: u8 = 1;
const LIST_FAILED: u8 = 3;
/// Codes of endpoint states in the protocol.
const READY: u8 = 1;
const DRAINING: u8 = 2;
const REMOVED: u8 = 0;

/// Scheduled event.
#[derive(Clone, Copy, Debug)]
enum Event {
    QueryArrives,
    QueryArrivesAgain { class: u16, first_shard: u32 },
    SecondPhaseArrives { query: u64 },
    ClientLeaves { query: u64 },
    ResponseStarts { attempt: usize },
    AttemptEnds { attempt: usize, outcome: Outcome },
    ProbeEnds { node: usize },
    Woken,
    ListArrives { kind_code: u8 },
    FaultOccurs,
    NodeRecovers { node: usize },
    NodeRemoved { node: usize },
}

struct Node {
    address: Address,
    zone: u16,
    placement_group: u16,
    state: u8,
    started_at_ms: f64,
    latency_ms: f64,
    is_up: bool,
    /// Whether the node stops responding while its connections stay open.
    is_silent: bool,
    in_flight: u32,
    last_used_ms: Option<f64>,
}

struct Query {
    class: u16,
    first_shard: u32,
    /// Whether the nodes that execute the query crash.
    is_query_of_death: bool,
    is_in_second_phase: bool,
}

struct ShardRequest {
    query: u64,
    /// Indices in [`Cluster::attempts`], by attempt number.
    attempts: Vec<usize>,
}

struct Attempt {
    shard_request: u64,
    number: u16,
    node: usize,
    sent_at_ms: f64,
    is_open: bool,
}

pub struct Cluster {
    rng: fastrand::Rng,
    now_ms: f64,
    /// Scheduled events by time in microseconds, then by the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    nodes: Vec<Node>,
    queries: Vec<Query>,
    shard_requests: Vec<ShardRequest>,
    attempts: Vec<Attempt>,
    queries_per_s: f64,
    batch: Batch,
    last_list: u16,
    /// Number of attempts, beyond the first, that were sent while no other of the shard request was in flight.
    pub retries: usize,
    /// Number of attempts that were sent while another of the shard request was in flight.
    pub hedges: usize,
}

impl Cluster {
    /// Creates a cluster whose broker starts in the first batch.
    pub fn new(seed: u64) -> Cluster {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut batch = Batch::default();
        batch.start(BROKER, seed, &settings(&mut rng));
        let nodes = (0..rng.u16(4..16)).map(|number| Node::new(number, &mut rng)).collect();
        let queries_per_s = [40.0, 200.0, 800.0][rng.usize(..3)];
        let mut cluster = Cluster {
            rng,
            now_ms: 1000.0,
            events: BTreeMap::new(),
            scheduled: 0,
            nodes,
            queries: Vec::new(),
            shard_requests: Vec::new(),
            attempts: Vec::new(),
            queries_per_s,
            batch,
            last_list: 0,
            retries: 0,
            hedges: 0,
        };
        cluster.schedule(0.0, Event::ListArrives { kind_code: SNAPSHOT_LIST });
        cluster.schedule(5.0, Event::QueryArrives);
        cluster.schedule(300.0, Event::FaultOccurs);
        cluster
    }

    /// Returns the next batch, which contains all events up to the next turn.
    pub fn next_batch(&mut self) -> Vec<u8> {
        let turn_ms = [0.5, 2.0, 5.0, 10.0][self.rng.usize(..4)];
        let first_ms = self.events.keys().next().map_or(self.now_ms, |(at_us, _)| *at_us as f64 / 1000.0);
        self.now_ms = (first_ms / turn_ms).ceil() * turn_ms;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 as f64 / 1000.0 > self.now_ms {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        std::mem::take(&mut self.batch).frame(self.now_ms)
    }

    /// Applies an effect of the broker.
    pub fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send { shard_request, node, timeout_ms } => {
                self.start_attempt(shard_request, node, timeout_ms);
            }
            Effect::Cancel { shard_request, attempt } => {
                let attempt = self.shard_requests[shard_request as usize].attempts[usize::from(attempt)];
                let outcome = Outcome::Cancelled;
                self.schedule_within(3.0, Event::AttemptEnds { attempt, outcome });
            }
            Effect::Reject { query } if self.rng.bool() => {
                let Query { class, first_shard, .. } = self.queries[query as usize];
                self.schedule_within(200.0, Event::QueryArrivesAgain { class, first_shard });
            }
            Effect::Respond { query } if !self.queries[query as usize].is_in_second_phase => {
                self.queries[query as usize].is_in_second_phase = true;
                self.schedule_within(20.0, Event::SecondPhaseArrives { query });
            }
            Effect::Wake { after_ms } => self.schedule(after_ms, Event::Woken),
            Effect::Probe { node } => {
                let node = self.node_at(node);
                self.schedule_within(20.0, Event::ProbeEnds { node });
            }
            Effect::CloseIdle { node } => {
                let node = self.node_at(node);
                self.nodes[node].last_used_ms = None;
            }
            Effect::WatchEndpoints => {
                let kind_code = if self.rng.f64() < 0.4 { LIST_FAILED } else { SNAPSHOT_LIST };
                self.schedule_within(50.0, Event::ListArrives { kind_code });
            }
            Effect::Reject { .. } | Effect::Respond { .. } | Effect::Fail { .. } | Effect::Log => {}
        }
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.scheduled += 1;
        let at_us = ((self.now_ms + after_ms) * 1000.0) as u64;
        self.events.insert((at_us, self.scheduled), event);
    }

    /// Schedules an event at a random time up to `max_ms` from now.
    fn schedule_within(&mut self, max_ms: f64, event: Event) {
        let after_ms = self.rng.f64() * max_ms;
        self.schedule(after_ms, event);
    }

    fn node_at(&self, address: Address) -> usize {
        self.nodes.iter().position(|node| node.address == address).expect("the broker named an unlisted node")
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::QueryArrives => {
                let until_next_ms = self.rng.f64() * 2000.0 / self.queries_per_s;
                self.schedule(until_next_ms, Event::QueryArrives);
                let (class, first_shard) = (self.rng.u16(..3), self.rng.u32(..SHARDS));
                self.send_query(class, first_shard);
            }
            Event::QueryArrivesAgain { class, first_shard } => self.send_query(class, first_shard),
            Event::SecondPhaseArrives { query } => self.send_second_phase(query),
            Event::ClientLeaves { query } => self.batch.client_left(BROKER, query),
            Event::ResponseStarts { attempt } => {
                let Attempt { shard_request, number, node, is_open, .. } = self.attempts[attempt];
                if is_open {
                    self.batch.response_started(BROKER, shard_request, self.nodes[node].address, number);
                }
            }
            Event::AttemptEnds { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::ProbeEnds { node } => {
                let Node { address, is_up, is_silent, in_flight, .. } = self.nodes[node];
                let load_values = [in_flight as f32, 100.0];
                self.batch.probe_ended(BROKER, address, is_up && !is_silent, &load_values);
            }
            Event::Woken => self.batch.woken(BROKER),
            Event::ListArrives { kind_code } => self.send_list(kind_code),
            Event::FaultOccurs => {
                let until_next_ms = 50.0 + self.rng.f64() * 600.0;
                self.schedule(until_next_ms, Event::FaultOccurs);
                self.cause_fault();
            }
            Event::NodeRecovers { node } => self.recover_node(node),
            Event::NodeRemoved { node } => {
                (self.nodes[node].state, self.nodes[node].is_up) = (REMOVED, false);
                self.schedule_within(100.0, Event::ListArrives { kind_code: DELTA_LIST });
            }
        }
    }

    fn send_query(&mut self, class: u16, first_shard: u32) {
        let query = self.queries.len() as u64;
        let is_query_of_death = self.rng.f64() < 0.01;
        self.queries.push(Query { class, first_shard, is_query_of_death, is_in_second_phase: false });
        let time_left_ms = [300.0, 1000.0][self.rng.usize(..2)];
        let work_estimate_ms = self.rng.bool().then(|| self.rng.f64() * 40.0);
        self.batch.query(
            BROKER,
            &QueryRecord {
                id: query,
                class,
                tenant: self.rng.u32(..3),
                time_left_ms,
                work_estimate_ms,
                group: query as f32,
                shard: -1.0,
                weight: 0.0,
            },
        );
        let count = [1, 2, 4, 8][self.rng.usize(..4)];
        for rank in 0..count {
            // The weight halves with each rank, and the last two ranks have equal weights, so that the sum is 1.
            let weight = 0.5_f32.powi((rank + 1).min(count - 1));
            self.send_shard_request(query, (first_shard + rank as u32) % SHARDS, weight);
        }
        if self.rng.f64() < 0.02 {
            self.schedule_within(time_left_ms, Event::ClientLeaves { query });
        }
    }

    fn send_second_phase(&mut self, query: u64) {
        let Query { class, first_shard, .. } = self.queries[query as usize];
        let count = SECOND_PHASE_SHARD_REQUESTS[usize::from(class)];
        for offset in 0..count {
            let shard = (first_shard + offset as u32) % SHARDS;
            self.send_shard_request(query, shard, 1.0 / count as f32);
        }
    }

    fn send_shard_request(&mut self, query: u64, shard: u32, weight: f32) {
        let id = self.shard_requests.len() as u64;
        self.shard_requests.push(ShardRequest { query, attempts: Vec::new() });
        self.batch.query(
            BROKER,
            &QueryRecord {
                id,
                class: 0,
                tenant: 0,
                time_left_ms: 0.0,
                work_estimate_ms: None,
                group: query as f32,
                shard: shard as f32,
                weight,
            },
        );
    }

    fn start_attempt(&mut self, shard_request: u64, node: Address, timeout_ms: f64) {
        let (index, attempt) = (self.node_at(node), self.attempts.len());
        let state = &mut self.shard_requests[shard_request as usize];
        let number = state.attempts.len() as u16;
        let is_hedge = state.attempts.iter().any(|other| self.attempts[*other].is_open);
        self.hedges += usize::from(is_hedge);
        self.retries += usize::from(!is_hedge && number > 0);
        state.attempts.push(attempt);
        let query = &self.queries[state.query as usize];
        let node = &mut self.nodes[index];
        node.in_flight += 1;
        let idle_ms = node.last_used_ms.replace(self.now_ms).map_or(0.0, |last| self.now_ms - last);
        let outcome = node.outcome(idle_ms, query.is_query_of_death, &mut self.rng);
        let duration_ms = match outcome {
            Outcome::Succeeded | Outcome::Errored => node.latency_ms * (0.5 + self.rng.f64()),
            _ => self.rng.f64() * 3.0,
        };
        let is_answered = outcome != Outcome::TimedOut;
        let sent_at_ms = self.now_ms;
        self.attempts.push(Attempt { shard_request, number, node: index, sent_at_ms, is_open: true });
        self.schedule(timeout_ms, Event::AttemptEnds { attempt, outcome: Outcome::TimedOut });
        if is_answered {
            self.schedule(duration_ms, Event::AttemptEnds { attempt, outcome });
        }
        if outcome == Outcome::Succeeded && self.rng.f64() < 0.3 {
            self.schedule(duration_ms * 0.7, Event::ResponseStarts { attempt });
        }
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        if !std::mem::take(&mut attempt.is_open) {
            return;
        }
        let Attempt { shard_request, number, node, sent_at_ms, .. } = *attempt;
        self.nodes[node].in_flight -= 1;
        let duration_ms = self.now_ms - sent_at_ms;
        let node = self.nodes[node].address;
        self.batch.attempt_ended(BROKER, &EndedAttempt { shard_request, number, node, outcome, duration_ms });
    }

    fn send_list(&mut self, kind_code: u8) {
        let endpoints: Vec<EndpointRecord> = self.nodes.iter().map(Node::endpoint).collect();
        self.last_list += 1;
        self.batch.list_contents(self.last_list, &endpoints);
        self.batch.list_arrived(BROKER, self.last_list, kind_code);
    }

    fn cause_fault(&mut self) {
        let node = self.rng.usize(..self.nodes.len());
        let zone = self.nodes[node].zone;
        match self.rng.u32(..6) {
            0 => self.crash(node),
            1 => (0..self.nodes.len())
                .filter(|other| self.nodes[*other].zone == zone)
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|other| self.crash(other)),
            2 => {
                self.nodes[node].is_silent = true;
                self.schedule_within(1500.0, Event::NodeRecovers { node });
            }
            3 if self.nodes[node].is_up => {
                self.nodes[node].state = DRAINING;
                self.schedule_within(50.0, Event::ListArrives { kind_code: DELTA_LIST });
                self.schedule(600.0, Event::NodeRemoved { node });
                self.schedule(1500.0, Event::NodeRecovers { node });
            }
            4 => self.batch.list_arrived(BROKER, self.last_list, LIST_FAILED),
            _ => self.queries_per_s = [2.0, 40.0, 200.0, 1500.0][self.rng.usize(..4)],
        }
    }

    /// Ends the process of a node, so that all of its open attempts are lost.
    fn crash(&mut self, node: usize) {
        self.nodes[node].is_up = false;
        let lost = self.attempts.iter().enumerate().filter(|(_, a)| a.is_open && a.node == node);
        for attempt in lost.map(|(index, _)| index).collect::<Vec<_>>() {
            let outcome = Outcome::ConnectionLost;
            self.schedule_within(5.0, Event::AttemptEnds { attempt, outcome });
        }
        self.schedule_within(1500.0, Event::NodeRecovers { node });
    }

    fn recover_node(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if !node.is_up {
            node.started_at_ms = self.now_ms;
        }
        (node.is_up, node.is_silent, node.state) = (true, false, READY);
        self.schedule_within(100.0, Event::ListArrives { kind_code: DELTA_LIST });
    }
}

impl Node {
    fn new(number: u16, rng: &mut fastrand::Rng) -> Node {
        Node {
            address: Address { host: 0x0a00_0001 + u32::from(number), port: 7000 + number },
            zone: rng.u16(..2),
            placement_group: number % PLACEMENT_GROUPS,
            state: READY,
            started_at_ms: if rng.f64() < 0.2 { 900.0 } else { 0.0 },
            latency_ms: [4.0, 10.0, 40.0][rng.usize(..3)],
            is_up: true,
            is_silent: false,
            in_flight: 0,
            last_used_ms: None,
        }
    }

    fn endpoint(&self) -> EndpointRecord {
        EndpointRecord {
            address: self.address,
            zone: self.zone,
            placement_group: self.placement_group,
            state: self.state,
            started_at_ms: self.started_at_ms,
        }
    }

    /// Returns the outcome of an attempt on a connection that was idle for `idle_ms`. `TimedOut` means that the node
    /// never responds.
    fn outcome(&self, idle_ms: f64, is_query_of_death: bool, rng: &mut fastrand::Rng) -> Outcome {
        let chance = rng.f64();
        match self {
            Node { is_up: false, .. } => Outcome::ConnectFailed,
            Node { is_silent: true, .. } => Outcome::TimedOut,
            _ if idle_ms > IDLE_CONNECTION_MS && chance < 0.7 => Outcome::ConnectionLost,
            _ if is_query_of_death => Outcome::ConnectionLost,
            Node { in_flight: 9.., .. } => Outcome::Overloaded,
            _ if chance < 0.05 => Outcome::TimedOut,
            _ if chance < 0.08 => Outcome::Errored,
            _ => Outcome::Succeeded,
        }
    }
}

/// Returns the settings of a broker with one class of each idempotency and random limits and rules.
fn settings(rng: &mut fastrand::Rng) -> String {
    let mut flag = || rng.bool();
    let (may_hedge, may_cancel, may_retry_after, by_probe) = (flag(), flag(), flag(), flag());
    let mut one_of = |values: [&'static str; 3]| values[rng.usize(..3)];
    let via = if by_probe { "pull" } else { "piggyback" };
    let budget = one_of([
        "",
        r#", "ExtraFloor": 1.0, "ResendRatio": 0.03, "BudgetWindowMs": 1000.0"#,
        r#", "ExtraFloor": 0.0, "ResendRatio": 0.3, "BudgetWindowMs": 10000.0"#,
    ]);
    let (brokers, period) = (one_of(["1", "3", "60"]), one_of(["1.0", "5.0", "10.0"]));
    let mode = one_of(["automatic", "subscribe", "subscribe"]);
    let (max_open, max_attempts) = (one_of(["8", "40", "400"]), one_of(["1", "2", "4"]));
    let (cold_from, warm_up) = (one_of(["0.0", "0.1", "0.5"]), one_of(["0.0", "800.0", "20000.0"]));
    let min_coverage = one_of(["0.1", "0.4", "1.0"]);
    let [search, fetch, second] = SECOND_PHASE_SHARD_REQUESTS;
    format!(
        r#"{{"Instances": {brokers}, "PeriodMs": {period}, "RegistryMode": "{mode}", "Zone": 1,
        "Services": [
            {{"OnTimeMs": 200.0, "DeadlineMs": 600.0, "Worth": 3.0, "LateShare": 0.5, "Effect": "idempotent",
              "AimStretch": 1.0}},
            {{"OnTimeMs": 100.0, "DeadlineMs": 300.0, "Worth": 1.0, "Effect": "deduplicated",
              "DedupWindowMs": 500.0}},
            {{"OnTimeMs": 400.0, "DeadlineMs": 1000.0, "Worth": 5.0, "Effect": "at_most_once"}}],
        "Tenants": [{{"QuotaRps": 20.0}}, {{"QuotaRps": 500.0}}],
        "OverShareWorth": 0.1, "Prices": {{"LateFail": 0.1}},
        "Domain": {{"Cells": {PLACEMENT_GROUPS}, "Reach": 2, "Ranges": {SHARDS}, "PerCall": 4,
            "CompleteFrom": [1.0, 1.0, 1.0], "MinShare": [{min_coverage}, 1.0, 0.5],
            "FetchParts": [{search}, {fetch}, {second}]}},
        "Limits": {{"MaxAttempts": {max_attempts}, "MaxOpen": {max_open}, "SecondCopies": {may_hedge},
            "MayCancel": {may_cancel}, "RetryAfter": {may_retry_after}, "MaxRetryAfterMs": 200.0,
            "Probes": true}},
        "Stats": {{"Via": "{via}", "Fields": ["queue", "qps"]}},
        "Rules": {{"ColdFrom": {cold_from}, "WarmUpMs": {warm_up}, "OverloadFactor": 1.5,
            "OverloadForMs": 500.0, "AskWithinMs": 3000.0, "StopSendingWithinMs": 100.0{budget}}}}}"#
    )
}
