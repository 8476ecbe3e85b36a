//! A plan played on sockets: brokers as they are, model hosts behind scripted peers, a discovery, clients,
//! all on loopback, in one process and on one thread.
//!
//! Sockets and clocks are not deterministic; this is how the day is all the same. There is one clock,
//! tokio's, paused: it moves a millisecond at a time, and only when every party is idle. Idle is no guess by
//! waiting: each broker's open queries must be those that clients wait for, its attempts those that hosts
//! hold or have just heard, and its question for changes of the endpoint list must lie at discovery; whatever
//! is on its way, in either direction, makes one of them differ. Then one thing happens, in a stated order,
//! and the parties come to rest again. A machine that is too busy makes this slow, never different; past a
//! stated patience there is no figure at all.

use crate::invariants::{InvariantChecker, PublishedState, QueryEnd, ShardRequestIndex};
use crate::results::{DayResults, NodeCounts, QueryOrigin};
use crate::simulation::SimulationConfig;
use crate::simulation::deployment::{self, ENDPOINT_LIST_DELAY};
use broker::{Running, StartupConfig};
use cluster_trace::plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, PlannedShardRequest, ReplayConfig};
use node_emulator::{
    DiscoveryCatalog, EmulatedNode, HttpClient, HttpResponse, JobId, LoadReport, NodeState, PeerEvent,
    ReceivedEvent, ScriptedNode, ShardRequest, SubmitOutcome, query_body, tenant_query_request,
};
use routing::{EndpointState, Tenths};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};

/// Why a day on sockets has no figure.
#[derive(Debug, Error)]
pub enum NoFigure {
    #[error("sockets: {0}")]
    Io(#[from] io::Error),
    #[error("the brokers' settings: {0}")]
    Settings(String),
    #[error(
        "the machine was too busy: at {at_ms} ms of the day the parties did not come to rest within {patience_s} s ({what})"
    )]
    Busy { at_ms: f64, patience_s: f64, what: String },
}

/// The least step of the clock: that of tokio's timers.
const STEP: Tenths = Tenths(10);
const STEPS_A_SECOND: u64 = 1000;
/// How long the parties may take to come to rest, by the wall's clock, before the day is given up.
const PATIENCE: Duration = Duration::from_secs(20);
/// So many rounds of all tasks with nothing under way: what was heard has then gone through every channel.
const QUIET: u32 = 6;
/// An idle connection of a client is not used again after this: the broker might just be closing it.
const IDLE: Tenths = Tenths(200_000);
/// The rules' limits are so much longer on sockets.
const SLACK: Tenths = Tenths(500);
/// After its last entry a day lasts so long at the most.
const REST: Tenths = Tenths(200_000);
/// The brokers' clock starts here, in Unix time: the same in each run.
const SINCE: Tenths = Tenths(17_000_000_000_000);

/// Plays a plan; `going_on` is asked once for each second of the day.
pub fn play(
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    going_on: impl FnMut(Tenths, Tenths) -> bool,
) -> Result<DayResults, NoFigure> {
    play_within(PATIENCE, plan, replay, config, going_on)
}

fn play_within(
    patience: Duration,
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    going_on: impl FnMut(Tenths, Tenths) -> bool,
) -> Result<DayResults, NoFigure> {
    // Paused from its first moment: what is left of a millisecond would else differ from run to run.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    let runtime = actix_rt::Runtime::from(runtime);
    runtime.block_on(async {
        let mut day = Day::begin(patience, plan, replay, config).await?;
        day.play(going_on).await?;
        Ok(day.results)
    })
}

#[derive(Deserialize)]
struct Answered {
    entire: bool,
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    slice: u32,
    body: String,
}

struct Query {
    broker: usize,
    origin: QueryOrigin,
    first: usize,
    /// Shard and microseconds of each shard request.
    shard_requests: Vec<(u32, u64)>,
}

/// A shard request at a host: on which connection, as what.
struct Job {
    host: usize,
    line: usize,
    id: String,
    shard_request: ShardRequestIndex,
}

/// The reply to a query, and the connection that it came on; none: it broke off.
type Came = (usize, Option<(HttpResponse, HttpClient)>);

struct Day {
    patience: Duration,
    now: Tenths,
    last: Tenths,
    plan: VecDeque<PlanEntry>,
    config: SimulationConfig,
    names: Vec<String>,
    cut_offs: Vec<u32>,
    /// Tenants have quotas, so that brokers know them by name.
    quotas: bool,
    catalog: DiscoveryCatalog,
    nodes: Vec<ScriptedNode>,
    hosts: Vec<EmulatedNode>,
    heard: mpsc::UnboundedReceiver<ReceivedEvent>,
    /// Heard and not yet looked at.
    inbox: Vec<(usize, usize, PeerEvent)>,
    /// When discovery will tell of a host, and what it told last.
    telling: VecDeque<(Tenths, usize)>,
    published: Vec<PublishedState>,
    brokers: Vec<Running>,
    /// Idle connections of clients by broker, and since when.
    idle: Vec<Vec<(Tenths, HttpClient)>>,
    waiting: usize,
    came: mpsc::UnboundedReceiver<Came>,
    tell_came: mpsc::UnboundedSender<Came>,
    finished: BTreeMap<usize, Option<(HttpResponse, HttpClient)>>,
    queries: Vec<Query>,
    jobs: BTreeMap<JobId, Job>,
    job_of: BTreeMap<(usize, usize, String), JobId>,
    next_job: u64,
    hasher: blake3::Hasher,
    invariants: InvariantChecker,
    results: DayResults,
}

impl Day {
    async fn begin(
        patience: Duration,
        plan: Plan,
        replay: &ReplayConfig,
        config: SimulationConfig,
    ) -> Result<Day, NoFigure> {
        let catalog = DiscoveryCatalog::start().await?;
        let (tell, heard) = mpsc::unbounded_channel();
        let nodes = (0..replay.nodes as usize).map(|at| ScriptedNode::reserve(at, tell.clone()));
        let nodes = nodes.collect::<io::Result<Vec<ScriptedNode>>>()?;
        let hosts: Vec<EmulatedNode> = (0..replay.nodes).map(|_| deployment::stopped_node(&config)).collect();
        let mut brokers = Vec::new();
        for no in 0..config.brokers {
            let seed = config.seed ^ u64::from(no).rotate_left(32);
            let config = json!({"name": format!("b{no}"), "listen": "127.0.0.1:0",
                "discovery": catalog.address.to_string(), "seed": format!("{seed:x}"),
                // As much as the day may need: connections that are let go for want of room are another
                // matter.
                "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 16384},
                "settings": deployment::settings(replay, &config)});
            let mut order = StartupConfig::read(config.to_string().as_bytes(), |_| None)
                .map_err(|e| NoFigure::Settings(e.to_string()))?;
            order.since = Some(SINCE);
            brokers.push(broker::start(order).await?);
        }
        let (tell_came, came) = mpsc::unbounded_channel();
        let last = Tenths(plan.entries.last().map_or(0, |entry| entry.at) as i64);
        let mut day = Day {
            patience,
            now: Tenths(0),
            last,
            plan: plan.entries.into(),
            names: replay.classes.iter().map(|told| told.name.clone()).collect(),
            cut_offs: replay.classes.iter().map(|told| told.deadline_ms).collect(),
            quotas: replay.quota_per_s.is_some(),
            catalog,
            published: vec![PublishedState { state: EndpointState::Removed, at: Tenths(0) }; hosts.len()],
            nodes,
            hosts,
            heard,
            inbox: Vec::new(),
            telling: VecDeque::new(),
            idle: brokers.iter().map(|_| Vec::new()).collect(),
            waiting: 0,
            came,
            tell_came,
            finished: BTreeMap::new(),
            queries: Vec::new(),
            jobs: BTreeMap::new(),
            job_of: BTreeMap::new(),
            next_job: 0,
            hasher: blake3::Hasher::new(),
            invariants: InvariantChecker::new(deployment::invariant_limits(replay, SLACK), brokers.len()),
            brokers,
            results: DayResults::new(deployment::class_values(replay), replay.tenant_weights.len()),
            config,
        };
        day.gather().await?;
        Ok(day)
    }

    /// Each broker asks discovery in its first turn: until then the clock stands.
    async fn gather(&mut self) -> Result<(), NoFigure> {
        // Guards against a runtime that finds nothing to do but wait for a socket: with its clock paused, it
        // would move that on to the next timer by itself.
        spawn_local(async {
            loop {
                yield_now().await;
            }
        });
        self.rest().await
    }

    async fn play(&mut self, mut going_on: impl FnMut(Tenths, Tenths) -> bool) -> Result<(), NoFigure> {
        let mut step = 0_u64;
        loop {
            self.due().await?;
            if step.is_multiple_of(STEPS_A_SECOND) {
                if !going_on(self.now.min(self.last), self.last) {
                    self.results.stopped_at = Some(self.now);
                    break;
                }
                if self.now <= self.last {
                    self.results.second(self.now).nodes = NodeCounts::of(&self.hosts, self.now);
                }
            }
            let over = self.plan.is_empty() && self.waiting == 0 && self.jobs.is_empty();
            if over || self.now > self.last + REST {
                break;
            }
            step += 1;
            self.now += STEP;
            tokio::time::advance(Duration::from_millis(1)).await;
            self.rest().await?;
        }
        if self.results.stopped_at.is_none() {
            self.invariants.finish(self.now);
        }
        self.results.violations = self.invariants.violations().clone();
        self.results.closest = self.invariants.closest().clone();
        self.results.digest = self.hasher.finalize().to_hex().to_string();
        Ok(())
    }

    /// What is due at this moment, one after the other: hosts by their numbers, discovery, then the plan's
    /// entries.
    async fn due(&mut self) -> Result<(), NoFigure> {
        for host in 0..self.hosts.len() {
            while let Some(no) = self.hosts[host].complete(self.now) {
                let load = self.hosts[host].load(self.now);
                if let Some(Job { host, line, id, shard_request }) = self.jobs.remove(&no) {
                    self.job_of.remove(&(host, line, id.clone()));
                    self.invariants.shard_request_answered(self.now, shard_request);
                    // Its id is its value: a client can tell it from any other shard request's.
                    self.nodes[host]
                        .respond_with_load(line, &id, 'S', &report(load), &format!("v{id}"))
                        .await;
                    self.rest().await?;
                }
            }
        }
        while let Some((_, host)) = self.telling.pop_front_if(|(at, _)| *at <= self.now) {
            self.tell(host).await?;
        }
        while let Some(entry) = self.plan.pop_front_if(|entry| entry.at as i64 <= self.now.0) {
            match entry.event {
                PlanEvent::Query { class, tenant, shard_requests } => {
                    self.ask(class, tenant, &shard_requests).await?;
                }
                PlanEvent::Node { node, event } => self.host_event(node as usize, event).await?,
            }
        }
        Ok(())
    }

    // ---- coming to rest

    fn busy(&self, what: &str) -> NoFigure {
        NoFigure::Busy {
            at_ms: self.now.as_ms(),
            patience_s: self.patience.as_secs_f64(),
            what: what.to_owned(),
        }
    }

    /// Until nothing is under way; then what came is looked at, in a stated order, until that brings nothing
    /// more.
    async fn rest(&mut self) -> Result<(), NoFigure> {
        let until = Instant::now() + self.patience;
        loop {
            let mut quiet = 0;
            while quiet < QUIET {
                yield_now().await;
                self.fetch();
                quiet = if self.under_way().is_none() { quiet + 1 } else { 0 };
                if quiet == 0 && Instant::now() > until {
                    return Err(self.busy(self.under_way().unwrap_or("nothing was seen to be under way")));
                }
                if quiet == QUIET && !self.hold_what_is_out() {
                    quiet = 0;
                }
            }
            if self.inbox.is_empty() && self.finished.is_empty() {
                return Ok(());
            }
            self.look().await?;
        }
    }

    fn fetch(&mut self) {
        while let Ok(ReceivedEvent { node, connection, event }) = self.heard.try_recv() {
            self.inbox.push((node, connection, event));
        }
        while let Ok((no, reply)) = self.came.try_recv() {
            self.waiting -= 1;
            self.finished.insert(no, reply);
        }
    }

    /// What is on its way, told by the counts alone.
    fn under_way(&self) -> Option<&'static str> {
        let open: usize = self.brokers.iter().map(|broker| broker.engine.open_queries()).sum();
        let out: usize = self.brokers.iter().map(|broker| broker.engine.in_flight_count()).sum();
        if open != self.waiting {
            return Some("a request or an answer");
        }
        if out != self.jobs.len() + self.new_parts().count() - self.given_up().count() {
            return Some("a part, an end or a withdrawal");
        }
        (self.catalog.waiting_requests() < self.brokers.len()).then_some("word of the roll")
    }

    fn new_parts(&self) -> impl Iterator<Item = (usize, &ShardRequest)> {
        self.inbox.iter().flat_map(|(host, _, heard)| match heard {
            PeerEvent::Batch(shard_requests) => {
                shard_requests.iter().map(|shard_request| (*host, shard_request)).collect::<Vec<_>>()
            }
            _ => Vec::new(),
        })
    }

    /// Withdrawals in the inbox of what is at the host, or in the inbox before it.
    fn given_up(&self) -> impl Iterator<Item = (usize, &str)> {
        self.inbox.iter().enumerate().filter_map(|(at, (host, line, heard))| {
            let PeerEvent::Cancel(id) = heard else { return None };
            let held = self.job_of.contains_key(&(*host, *line, id.clone()));
            let before = self.inbox[..at].iter().any(|(h, l, heard)| {
                (h, l) == (host, line)
                    && matches!(heard, PeerEvent::Batch(shard_requests) if shard_requests.iter().any(|p| p.id == *id))
            });
            (held || before).then_some((*host, &id[..]))
        })
    }

    /// Whether what brokers have out is, shard request by shard request, what hosts hold or have just heard.
    fn hold_what_is_out(&self) -> bool {
        let mut out: Vec<_> =
            self.brokers.iter().flat_map(|broker| broker.engine.attempts_in_flight()).collect();
        out.sort();
        let address = |host: usize| self.nodes[host].address;
        let mut held: Vec<_> =
            self.jobs.values().map(|job| (address(job.host), job.id.clone().into_bytes())).collect();
        held.extend(
            self.new_parts()
                .map(|(host, shard_request)| (address(host), shard_request.id.clone().into_bytes())),
        );
        held.sort();
        for (host, id) in self.given_up() {
            if let Some(at) = held.iter().position(|held| held.0 == address(host) && held.1 == id.as_bytes())
            {
                held.remove(at);
            }
        }
        out.iter().map(|(address, id)| (*address, &id[..])).eq(held.iter().map(|(a, id)| (*a, &id[..])))
    }

    /// Looks at what came: at hosts by number, then connections by the queries that they brought, each in
    /// the order in which it came; then at clients.
    async fn look(&mut self) -> Result<(), NoFigure> {
        let mut groups: BTreeMap<(usize, usize), Vec<PeerEvent>> = BTreeMap::new();
        for (host, line, heard) in std::mem::take(&mut self.inbox) {
            groups.entry((host, line)).or_default().push(heard);
        }
        let mut groups: Vec<_> = groups.into_iter().collect();
        groups.sort_by_cached_key(|((host, line), heard)| {
            (*host, heard.iter().filter_map(first_of).min(), *line)
        });
        for ((host, line), heard) in groups {
            for heard in heard {
                match heard {
                    PeerEvent::Batch(shard_requests) => {
                        for shard_request in shard_requests {
                            self.arrive(host, line, &shard_request).await?;
                        }
                    }
                    PeerEvent::Cancel(id) => {
                        if let Some(no) = self.job_of.remove(&(host, line, id)) {
                            self.jobs.remove(&no);
                            self.hosts[host].cancel(self.now, no);
                        }
                    }
                    PeerEvent::Closed | PeerEvent::LoadProbe | PeerEvent::Unknown => {}
                }
            }
        }
        for (no, reply) in std::mem::take(&mut self.finished) {
            self.end(no, reply);
        }
        Ok(())
    }

    // ---- hosts

    /// What a shard request's id on the wire says: the query and its shard request.
    fn part_of(&self, id: &str) -> Option<(ShardRequestIndex, u64)> {
        let (no, shard) = numbers(id)?;
        let query = self.queries.get(no)?;
        let at = query.shard_requests.iter().position(|(s, _)| *s == shard)?;
        Some((ShardRequestIndex(query.first + at), query.shard_requests[at].1))
    }

    async fn arrive(
        &mut self,
        host: usize,
        line: usize,
        shard_request: &ShardRequest,
    ) -> Result<(), NoFigure> {
        self.hasher.update(format!("{} {host} {}\n", self.now.0, shard_request.id).as_bytes());
        self.results.record_attempt(self.now);
        let (no, us) = self.part_of(&shard_request.id).unwrap_or((ShardRequestIndex(usize::MAX), 0));
        self.invariants.shard_request_arrived(self.now, self.now, no, self.published[host]);
        self.next_job += 1;
        let job = JobId(self.next_job);
        let taken = self.hosts[host].submit(self.now, job, us);
        if self.hosts[host].is_warming_up(self.now) {
            self.invariants.node_strained(self.now, self.hosts[host].overload_ratio());
        }
        match taken {
            SubmitOutcome::Started | SubmitOutcome::Queued => {
                self.invariants.shard_request_accepted(self.now, no);
                // The same shard request again on one connection: the broker waits for the newer alone.
                if let Some(older) = self.job_of.insert((host, line, shard_request.id.clone()), job) {
                    self.jobs.remove(&older);
                    self.hosts[host].cancel(self.now, older);
                }
                self.jobs.insert(job, Job { host, line, id: shard_request.id.clone(), shard_request: no });
            }
            SubmitOutcome::Refused => {
                let load = report(self.hosts[host].load(self.now));
                self.nodes[host].respond_with_load(line, &shard_request.id, 'B', &load, "").await;
            }
            // It fell while this was on its way.
            SubmitOutcome::Unreachable => {}
            SubmitOutcome::Collapsed => {
                self.invariants.node_collapsed(self.now);
                self.fall(host).await?;
            }
        }
        Ok(())
    }

    async fn fall(&mut self, host: usize) -> Result<(), NoFigure> {
        for no in self.hosts[host].crash() {
            if let Some(job) = self.jobs.remove(&no) {
                self.job_of.remove(&(job.host, job.line, job.id));
            }
        }
        self.nodes[host].stop().await?;
        self.telling.push_back((self.now + ENDPOINT_LIST_DELAY, host));
        Ok(())
    }

    async fn host_event(&mut self, host: usize, event: PlannedNodeEvent) -> Result<(), NoFigure> {
        match event {
            PlannedNodeEvent::StartWarm => {
                self.hosts[host] = deployment::warm_node(&self.config);
                self.nodes[host].listen()?;
                return self.tell(host).await;
            }
            PlannedNodeEvent::StartCold => {
                self.hosts[host].start(self.now);
                self.nodes[host].listen()?;
                self.telling.push_back((self.now + ENDPOINT_LIST_DELAY, host));
            }
            PlannedNodeEvent::Drain => {
                self.hosts[host].drain();
                return self.tell(host).await;
            }
            PlannedNodeEvent::Stop => self.fall(host).await?,
            PlannedNodeEvent::SlowDown(share) => self.hosts[host].slow_down(share),
        }
        self.rest().await
    }

    /// Discovery tells how a host stands.
    async fn tell(&mut self, host: usize) -> Result<(), NoFigure> {
        let state = self.hosts[host].state();
        let phase = match state {
            NodeState::Ready => "ready",
            NodeState::Draining => "draining",
            NodeState::Down => "gone",
        };
        let started = self.hosts[host].started_at().map(|at| (SINCE + at).as_ms());
        let id = format!("h-{host}");
        let entry = json!({"id": id, "host_port": self.nodes[host].address.to_string(), "locality": "hall",
            "cell": host as u32 % self.config.placement_groups, "phase": phase, "up_since_ms": started.unwrap_or(0.0)});
        self.catalog.set(&id, entry);
        self.published[host] = PublishedState { state: deployment::endpoint_state(state), at: self.now };
        self.rest().await
    }

    // ---- clients

    async fn ask(
        &mut self,
        class: usize,
        tenant: usize,
        told: &[PlannedShardRequest],
    ) -> Result<(), NoFigure> {
        let no = self.queries.len();
        let broker = no % self.brokers.len();
        let origin = QueryOrigin { class, tenant, sent_at: self.now };
        self.results.record_query(origin);
        let weights: Vec<f64> = told.iter().map(|planned| planned.weight).collect();
        let ShardRequestIndex(first) =
            self.invariants.query_sent(self.now, broker, class, self.time_of(class), &weights);
        let shard_requests = told.iter().map(|planned| (planned.shard, planned.work_us)).collect();
        self.queries.push(Query { broker, origin, first, shard_requests });
        let slices: Vec<(u32, f64)> = told.iter().map(|planned| (planned.shard, planned.weight)).collect();
        let (left, body) = (u64::from(self.cut_offs[class]), query_body(&slices, "x"));
        let by = deployment::tenant_name(tenant);
        let by = Some(&by[..]).filter(|_| self.quotas);
        let request = tenant_query_request(by, &format!("r{no}"), &self.names[class], left, &body);
        let fresh = self.idle[broker].pop().filter(|(since, _)| self.now - *since < IDLE);
        if fresh.is_none() {
            self.idle[broker].clear();
        }
        self.waiting += 1;
        let (came, listens) = (self.tell_came.clone(), self.brokers[broker].listens);
        spawn_local(async move {
            let asked = async {
                let mut client = match fresh {
                    Some((_, client)) => client,
                    None => HttpClient::connect(listens).await.ok()?,
                };
                client.write(&request).await.ok()?;
                let reply = client.read_response().await?;
                Some((reply, client))
            };
            // The day may have been given up.
            let _ = came.send((no, asked.await));
        });
        self.rest().await
    }

    fn time_of(&self, class: usize) -> Tenths {
        Tenths::from_ms(f64::from(self.cut_offs[class]))
    }

    fn end(&mut self, no: usize, reply: Option<(HttpResponse, HttpClient)>) {
        let Query { broker, origin, first, ref shard_requests } = self.queries[no];
        let (status, body) = reply.as_ref().map_or((0, ""), |(reply, _)| (reply.status, &reply.body[..]));
        let end = match status {
            200 => match serde_json::from_str::<Answered>(body) {
                Ok(Answered { entire, items }) => {
                    let shard_request = |item: &Item| {
                        let at = shard_requests.iter().position(|(shard, _)| *shard == item.slice);
                        let mine = at.filter(|_| item.body == format!("vr{no}.{}", item.slice));
                        ShardRequestIndex(mine.map_or(usize::MAX, |at| first + at))
                    };
                    QueryEnd::Responded {
                        complete: entire,
                        counted: items.iter().map(shard_request).collect(),
                    }
                }
                Err(_) => QueryEnd::Responded { complete: false, counted: Vec::new() },
            },
            503 => QueryEnd::Rejected,
            // Anything else promises nothing.
            _ => QueryEnd::Failed,
        };
        self.hasher.update(format!("{} r{no} {status} {end:?}\n", self.now.0).as_bytes());
        if let Some((_, client)) = reply {
            self.idle[broker].push((self.now, client));
        }
        let Some(share) = self.invariants.query_ended(self.now, no, &end) else { return };
        match end {
            QueryEnd::Responded { .. } => self.results.record_response(self.now, origin, share),
            QueryEnd::Rejected => self.results.record_rejection(self.now, origin),
            QueryEnd::Failed => self.results.record_failure(self.now),
        }
    }
}

fn report(load: LoadReport) -> String {
    load.to_string()
}

/// `r17.3`: query 17, shard 3.
fn numbers(id: &str) -> Option<(usize, u32)> {
    let (no, shard) = id.strip_prefix('r')?.split_once('.')?;
    Some((no.parse().ok()?, shard.parse().ok()?))
}

/// The first query that something heard is about.
fn first_of(heard: &PeerEvent) -> Option<usize> {
    match heard {
        PeerEvent::Batch(shard_requests) => {
            shard_requests.iter().filter_map(|shard_request| Some(numbers(&shard_request.id)?.0)).min()
        }
        PeerEvent::Cancel(id) => numbers(id).map(|(no, _)| no),
        PeerEvent::Unknown | PeerEvent::LoadProbe | PeerEvent::Closed => None,
    }
}

#[cfg(test)]
mod tests;
