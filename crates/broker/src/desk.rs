//! The engine: owns the module, its clock and its wake-ups, and knows by which ids it calls things.

use crate::codec::{ShardRequestMessage, read_load_report};
use crate::edition::ConfigEpoch;
use crate::endpoint_list::NodeList;
use crate::limits::{Limits, span};
use crate::node_pool::{AttemptEnd, AttemptId, AttemptToSend, NodePool, ProbeReply};
use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
use bytes::Bytes;
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Broker, BrokerConfig, ClassId, Effect, Endpoint,
    EndpointList, EndpointListKind, EndpointState, GroupId, Input, NewQuery, NewShardRequest, NodeId,
    PlacementGroupId, ProbeResult, QueryId, ShardId, ShardRequestId, TenantId, Tenths, ZoneId,
};
use settings::BrokerSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// A query as a front hands it over.
pub struct QueryRequest {
    /// What the wire calls it.
    pub id: Bytes,
    pub class: ClassId,
    pub tenant: TenantId,
    /// When its client stops waiting.
    pub until: Instant,
    pub work: Tenths,
    pub shard_requests: Vec<RequestedShard>,
    /// What every shard request carries.
    pub text: Bytes,
    /// The bytes that it keeps in memory: a text that is part of a longer body keeps all of that.
    pub holds: usize,
}

pub struct RequestedShard {
    pub shard: ShardId,
    pub weight: f64,
}

/// The final word on a query.
#[derive(Debug)]
pub enum QueryOutcome {
    Response { whole: bool, items: Vec<(ShardId, Bytes)> },
    Rejected { retry_after: Tenths },
    Failed,
}

/// Why a query was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// As much is held as may be.
    Overloaded,
    /// One of that id is open.
    DuplicateId,
}

struct Open {
    id: Bytes,
    /// The one under which it was taken, to its end.
    epoch: Rc<ConfigEpoch>,
    /// When its latency objective is over.
    objective_at: Tenths,
    /// An attempt of it found its node down, or lost its connection.
    fell: bool,
    until: Tenths,
    shard_requests: Vec<ShardRequestId>,
    text: Bytes,
    bytes: usize,
    tell: oneshot::Sender<QueryOutcome>,
}

struct OpenShardRequest {
    query: QueryId,
    shard: ShardId,
    wire_id: Bytes,
    attempts: u16,
    value: Option<Bytes>,
}

impl Open {
    /// Counts its end under its edition.
    fn count(&self, verdict: &QueryOutcome, now: Tenths) {
        let late = now > self.objective_at;
        self.epoch.count(|tally| {
            tally.ended += 1;
            let badly = match verdict {
                QueryOutcome::Response { .. } if late => &mut tally.late,
                QueryOutcome::Response { .. } => return,
                QueryOutcome::Rejected { .. } => &mut tally.declined,
                QueryOutcome::Failed => &mut tally.scrapped,
            };
            *badly += 1;
            tally.by_nodes += u64::from(self.fell);
        });
    }
}

/// Queries and shard requests that are open, and what the wire calls them.
#[derive(Default)]
struct Book {
    queries: HashMap<QueryId, Open>,
    shard_requests: HashMap<ShardRequestId, OpenShardRequest>,
    wire_ids: HashSet<Bytes>,
    last_id: u64,
    /// Parts whose value has not come.
    lacking: usize,
    /// Bytes held for them.
    bytes: usize,
}

/// Attempts that are out.
#[derive(Default)]
struct Pushes {
    out: HashMap<AttemptId, OutPush>,
    timers: BTreeSet<(Tenths, Timer, AttemptId)>,
}

struct OutPush {
    node: NodeId,
    sent: Tenths,
    timers: [(Tenths, Timer); 2],
}

impl Pushes {
    fn enter(&mut self, attempt: AttemptId, out: OutPush) {
        self.timers.extend(out.timers.map(|(at, timer)| (at, timer, attempt)));
        self.out.insert(attempt, out);
    }

    fn strike(&mut self, attempt: AttemptId) -> Option<OutPush> {
        let out = self.out.remove(&attempt)?;
        out.timers.iter().for_each(|(at, timer)| _ = self.timers.remove(&(*at, *timer, attempt)));
        Some(out)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// By then its last byte is written, or it never will be.
    Unsent,
    /// Its time-out.
    Over,
}

/// The ids of nodes and zones.
#[derive(Default)]
struct Names {
    nodes: HashMap<String, NodeId>,
    ready: HashSet<NodeId>,
    zones: Vec<String>,
    last_node: u64,
}

/// The module, or the module behind its door (`crates/admission-control`). There is one a broker: the platform's
/// path, alone, is not given an indirection for the sake of size.
#[allow(clippy::large_enum_variant)]
enum Decider {
    Alone(Broker),
    Admitted(Box<AdmittedBroker>),
}

impl Decider {
    fn turn(&mut self, now: Tenths, heard: &[Input]) -> Vec<Effect> {
        match self {
            Decider::Alone(broker) => broker.turn(now, heard),
            Decider::Admitted(gated) => gated.turn(now, heard),
        }
    }
}

pub struct Engine {
    limits: Rc<Limits>,
    nodes: Rc<NodePool>,
    broker: RefCell<Decider>,
    started: (Instant, Tenths),
    heard: RefCell<Vec<Input>>,
    book: RefCell<Book>,
    attempts: RefCell<Pushes>,
    names: RefCell<Names>,
    epoch: RefCell<Rc<ConfigEpoch>>,
    wake_at: Cell<Option<Tenths>>,
    bell: Notify,
    ready: Cell<bool>,
    /// The process ends: nothing is taken any more.
    ended: Cell<bool>,
    /// Rung when the module wants the endpoint list followed.
    pub roll_wanted: Notify,
}

/// The module alone, or behind an admission controller whose configuration the operator's file has checked.
fn decider(broker_config: BrokerConfig, seed: u64, now: Tenths, door: Option<AdmissionConfig>) -> Decider {
    let door = door.and_then(|allowance| AdmissionController::new(allowance, &broker_config).ok());
    let broker = Broker::start(broker_config, seed, now);
    match door {
        Some(door) => Decider::Admitted(Box::new(AdmittedBroker::new(door, broker))),
        None => Decider::Alone(broker),
    }
}

impl Engine {
    /// `since`: the Unix time of this moment, where it is not the machine's that counts. `door`: the admission controller's
    /// configuration, where there is to be one.
    pub fn new(
        broker_settings: BrokerSettings,
        seed: u64,
        limits: Rc<Limits>,
        since: Option<Tenths>,
        door: Option<AdmissionConfig>,
    ) -> Rc<Engine> {
        let epoch = Rc::new(ConfigEpoch::new(&broker_settings));
        let BrokerSettings { broker_config, zones, .. } = broker_settings;
        // The endpoint list tells starts in Unix time, so the clock counts from there, and only ever forward.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = since.unwrap_or(Tenths((unix.as_micros() / 100) as i64));
        Rc::new(Engine {
            nodes: NodePool::new(limits.clone()),
            limits,
            broker: RefCell::new(decider(broker_config, seed, now, door)),
            started: (Instant::now(), now),
            heard: RefCell::new(vec![Input::Woken]),
            book: RefCell::default(),
            attempts: RefCell::default(),
            names: RefCell::new(Names { zones, ..Names::default() }),
            epoch: RefCell::new(epoch),
            wake_at: Cell::default(),
            bell: Notify::new(),
            ready: Cell::default(),
            ended: Cell::default(),
            roll_wanted: Notify::new(),
        })
    }

    fn tenths(&self, at: Instant) -> Tenths {
        self.started.1 + Tenths((at.saturating_duration_since(self.started.0).as_micros() / 100) as i64)
    }

    fn instant(&self, at: Tenths) -> Instant {
        self.started.0 + span(at - self.started.1)
    }

    fn hear(&self, input: Input) {
        self.heard.borrow_mut().push(input);
        self.bell.notify_one();
    }

    // ---- what fronts call

    /// Whether nodes are known to send to.
    pub fn can_serve(&self) -> bool {
        self.ready.get()
    }

    /// How many nodes the endpoint list tells to be ready.
    pub fn ready_nodes(&self) -> usize {
        self.names.borrow().ready.len()
    }

    pub fn open_queries(&self) -> usize {
        self.book.borrow().queries.len()
    }

    /// Attempts that are out: the node's address and the id that the wire knows the shard request by, in order. Who
    /// rehearses a day holds them against what the nodes have, to tell whether anything is under way.
    pub fn attempts_in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        self.nodes.in_flight()
    }

    pub fn count_out(&self) -> usize {
        self.nodes.count_in_flight()
    }

    /// The edition under which queries are taken now.
    pub fn epoch(&self) -> Rc<ConfigEpoch> {
        self.epoch.borrow().clone()
    }

    /// Takes queries under a new edition from now on. Both change in one step: what a front has read under
    /// the old one has been heard before this, what it reads from now on is heard after.
    pub fn prescribe(&self, epoch: ConfigEpoch, broker_config: BrokerConfig) {
        self.epoch.replace(Rc::new(epoch));
        self.hear(Input::Config(Box::new(broker_config)));
    }

    /// Takes a query, unless a bound is reached. Dropping what comes back tells that the tenant left.
    pub fn take(self: &Rc<Self>, question: QueryRequest) -> Result<AcceptedQuery, AdmissionError> {
        let epoch = self.epoch();
        let mut book = self.book.borrow_mut();
        let bytes = question.id.len() * (question.shard_requests.len() + 1) + question.holds;
        // Guards against wide queries that are all but answered and keep others out: a shard request that has its
        // value is no longer open, though its query is.
        let held = book.queries.len() + book.lacking;
        let full = self.ended.get() || held + question.shard_requests.len() + 1 > epoch.max_open;
        if full || book.bytes + bytes > self.limits.held {
            epoch.count(|tally| (tally.ended, tally.turned_away) = (tally.ended + 1, tally.turned_away + 1));
            return Err(AdmissionError::Overloaded);
        }
        if !book.wire_ids.insert(question.id.clone()) {
            return Err(AdmissionError::DuplicateId);
        }
        book.bytes += bytes;
        book.lacking += question.shard_requests.len();
        let mut next = || {
            book.last_id += 1;
            book.last_id
        };
        let id = QueryId(next());
        let shard_requests: Vec<ShardRequestId> =
            question.shard_requests.iter().map(|_| ShardRequestId(next())).collect();
        let group = GroupId(id.0 as u32);
        let until = self.tenths(question.until);
        let class = epoch.classes.get(&question.class);
        let goal =
            class.map_or(Tenths::ZERO, |c| c.latency_objective + question.work.times(c.objective_stretch));
        let (objective_at, fell) = (self.tenths(Instant::now()) + goal, false);
        let mut heard = self.heard.borrow_mut();
        heard.push(Input::Query(NewQuery {
            id,
            group,
            class: question.class,
            tenant: question.tenant,
            time_left: Tenths::ZERO, // filled in when the turn comes
            work: question.work,
            client_attempt: 0,
            min_coverage_only: false,
        }));
        for (shard_request, &RequestedShard { shard, weight }) in
            shard_requests.iter().zip(&question.shard_requests)
        {
            heard.push(Input::ShardRequest(NewShardRequest { id: *shard_request, group, shard, weight }));
            let wire_id = [&question.id[..], b".", shard.0.to_string().as_bytes()].concat().into();
            book.shard_requests.insert(
                *shard_request,
                OpenShardRequest { query: id, shard, wire_id, attempts: 0, value: None },
            );
        }
        let (tell, verdict) = oneshot::channel();
        let QueryRequest { id: wire_id, text, .. } = question;
        let open = Open { id: wire_id, epoch, objective_at, fell, until, shard_requests, text, bytes, tell };
        book.queries.insert(id, open);
        self.bell.notify_one();
        Ok(AcceptedQuery { engine: self.clone(), id, verdict })
    }

    /// Strikes a query from the book; what of it was not written yet is not sent any more.
    fn close(&self, id: QueryId) -> Option<(Open, Vec<(ShardId, Bytes)>)> {
        let mut book = self.book.borrow_mut();
        let open = book.queries.remove(&id)?;
        let mut shard_requests = Vec::with_capacity(open.shard_requests.len());
        for shard_request in &open.shard_requests {
            let Some(entry) = book.shard_requests.remove(shard_request) else { continue };
            (0..entry.attempts).for_each(|no| {
                let attempt = AttemptId { shard_request: *shard_request, number: AttemptNumber(no) };
                _ = self.nodes.cancel_unwritten(attempt, AttemptOutcome::NotSent)
            });
            shard_requests.push(entry);
        }
        book.lacking -= shard_requests.iter().filter(|shard_request| shard_request.value.is_none()).count();
        let items: Vec<_> = shard_requests.into_iter().filter_map(|p| Some((p.shard, p.value?))).collect();
        book.bytes -= open.bytes + items.iter().map(|(_, value)| value.len()).sum::<usize>();
        book.wire_ids.remove(&open.id);
        Some((open, items))
    }

    /// Counts bytes that are held before their query is taken; none: there is no room for them.
    pub fn hold(self: &Rc<Self>, bytes: usize) -> Option<ReservedMemory> {
        let mut book = self.book.borrow_mut();
        (book.bytes + bytes <= self.limits.held).then(|| {
            book.bytes += bytes;
            ReservedMemory { engine: self.clone(), bytes }
        })
    }

    // ---- what discovery calls

    pub fn roll_failed(&self) {
        self.hear(Input::EndpointListFailed);
    }

    /// Puts an endpoint list into the module's ids.
    pub fn hear_roll(&self, kind: EndpointListKind, listing: NodeList) {
        let names = &mut *self.names.borrow_mut();
        if kind != EndpointListKind::Delta {
            names.ready.clear();
            let listed: HashSet<&str> = listing.nodes.iter().map(|node| &node.name[..]).collect();
            names.nodes.retain(|name, node| {
                let stays = listed.contains(&name[..]);
                if !stays {
                    self.nodes.set_address(*node, None, false);
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(listing.nodes.len());
        for told in listing.nodes {
            let state = EndpointState::from(told.state);
            self.ready.set(self.ready.get() || state == EndpointState::Ready);
            let next = names.last_node + 1;
            let node = *names.nodes.entry(told.name.clone()).or_insert(NodeId(next));
            names.last_node = names.last_node.max(node.0);
            match state {
                EndpointState::Ready => names.ready.insert(node),
                _ => names.ready.remove(&node),
            };
            let address = (state != EndpointState::Removed).then_some(told.address);
            self.nodes.set_address(node, address, state == EndpointState::Ready);
            if state == EndpointState::Removed {
                names.nodes.remove(&told.name);
            }
            let known = names.zones.iter().position(|zone| *zone == told.zone);
            let zone = known.unwrap_or_else(|| {
                names.zones.push(told.zone);
                names.zones.len() - 1
            });
            entries.push(Endpoint {
                node,
                zone: ZoneId(zone as u16),
                placement_group: PlacementGroupId(told.placement_group),
                state,
                started_at: (told.started_at_ms > 0.0).then(|| Tenths::from_ms(told.started_at_ms)),
            });
        }
        self.hear(Input::EndpointList(EndpointList { kind, entries: entries.into() }));
    }

    // ---- turns

    /// Gives the module its turns, at least the period apart, for as long as the broker runs.
    pub async fn run(self: Rc<Self>) {
        let period = span(self.limits.period);
        let mut last: Option<Instant> = None;
        loop {
            let due = self.next_due();
            if self.heard.borrow().is_empty() && due.is_none_or(|due| due > Instant::now()) {
                let far = Instant::now() + Duration::from_secs(3600);
                tokio::select! {
                    () = self.bell.notified() => {}
                    () = self.nodes.results_ready.notified() => {
                        self.fetch_ended();
                        self.fetch_told();
                    }
                    () = sleep_until(due.unwrap_or(far)) => {}
                }
                continue;
            }
            if let Some(last) = last {
                sleep_until(last + period).await;
            }
            last = Some(Instant::now());
            self.turn();
        }
    }

    /// When the next wake-up or time-out is due.
    fn next_due(&self) -> Option<Instant> {
        let timer = self.attempts.borrow().timers.first().map(|(at, _, _)| *at);
        self.wake_at.get().into_iter().chain(timer).min().map(|at| self.instant(at))
    }

    /// Takes over the ends of attempts, with the values that came.
    fn fetch_ended(&self) {
        for AttemptEnd { attempt, outcome: end, value, at } in self.nodes.fetch_attempt_ends() {
            let Some(OutPush { node, sent, .. }) = self.attempts.borrow_mut().strike(attempt) else {
                continue;
            };
            let AttemptId { shard_request, number: attempt } = attempt;
            let end = if self.keep_value(shard_request, value) { end } else { AttemptOutcome::Errored };
            if matches!(end, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost) {
                self.note_fall(shard_request);
            }
            let took = self.tenths(at) - sent;
            self.heard.borrow_mut().push(Input::AttemptEnded(AttemptResult {
                shard_request,
                attempt,
                node,
                outcome: end,
                duration: took,
            }));
        }
    }

    fn note_fall(&self, shard_request: ShardRequestId) {
        let mut book = self.book.borrow_mut();
        let Some(id) = book.shard_requests.get(&shard_request).map(|shard_request| shard_request.query)
        else {
            return;
        };
        book.queries.get_mut(&id).into_iter().for_each(|open| open.fell = true);
    }

    /// Keeps a value for its query, if that is still open and there is room for it.
    fn keep_value(&self, shard_request: ShardRequestId, value: Option<Bytes>) -> bool {
        let Some(value) = value else { return true };
        let mut book = self.book.borrow_mut();
        let fits = book.bytes + value.len() <= self.limits.held;
        let Some(open) = book.shard_requests.get_mut(&shard_request) else { return true };
        if open.value.is_none() && fits {
            let length = value.len();
            // A copy of its own: the connection's buffer is not held on to for a few bytes of it.
            open.value = Some(Bytes::copy_from_slice(&value));
            book.bytes += length;
            book.lacking -= 1;
            return true;
        }
        open.value.is_some()
    }

    fn next_timer(&self, now: Tenths) -> Option<(Tenths, Timer, AttemptId)> {
        let timers = &mut self.attempts.borrow_mut().timers;
        timers.first().filter(|(at, _, _)| *at <= now)?;
        timers.pop_first()
    }

    fn turn(&self) {
        let now = self.tenths(Instant::now());
        while let Some((_, timer, attempt)) = self.next_timer(now) {
            match timer {
                Timer::Unsent => self.nodes.abort_incomplete(attempt),
                Timer::Over => self.nodes.cancel(attempt, AttemptOutcome::TimedOut),
            }
        }
        self.fetch_ended();
        self.fetch_told();
        let mut heard = self.heard.take();
        if self.wake_at.get().is_some_and(|at| at <= now) {
            self.wake_at.set(None);
            heard.push(Input::Woken);
        }
        if heard.is_empty() {
            return;
        }
        for input in &mut heard {
            if let Input::Query(new) = input {
                // It runs from when the client sent it, not from this turn.
                let until = self.book.borrow().queries.get(&new.id).map(|open| open.until);
                new.time_left = (until.unwrap_or(now) - now).max(Tenths::ZERO);
            }
        }
        let effects = self.broker.borrow_mut().turn(now, &heard);
        self.carry_out(now, effects);
    }

    /// Carries out what the module said in one turn; attempts leave at its end, when they have met in calls.
    fn carry_out(&self, now: Tenths, effects: Vec<Effect>) {
        let mut calls: BTreeMap<NodeId, Vec<AttemptToSend>> = BTreeMap::new();
        let mut withdrawn: Vec<AttemptId> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { shard_request, node, timeout } => {
                    if let Some(sending) = self.push(now, shard_request, node, timeout) {
                        calls.entry(node).or_default().push(sending);
                    }
                }
                Effect::Cancel { shard_request, attempt } => {
                    let attempt = AttemptId { shard_request, number: attempt };
                    withdrawn.push(attempt);
                    self.nodes.cancel(attempt, AttemptOutcome::Cancelled);
                }
                Effect::Respond { query, complete: whole } => {
                    self.tell(query, |items| QueryOutcome::Response { whole, items });
                }
                Effect::Reject { query, retry_after } => {
                    self.tell(query, |_| QueryOutcome::Rejected { retry_after });
                }
                Effect::Fail { query } => self.tell(query, |_| QueryOutcome::Failed),
                Effect::Probe { node } => self.nodes.probe(node),
                Effect::CloseIdle { node } => self.nodes.close_idle(node),
                Effect::Wake { after } => {
                    let at = now + after;
                    self.wake_at.set(Some(self.wake_at.get().map_or(at, |sooner| sooner.min(at))));
                }
                Effect::WatchEndpoints => self.roll_wanted.notify_one(),
                Effect::Say(line) => info!("{line}"),
            }
        }
        for (node, mut sendings) in calls {
            // Guards against a shard request that is sent after its query's end, which the same turn brought.
            sendings.retain(|sending| {
                let stays = self.book.borrow().shard_requests.contains_key(&sending.attempt.shard_request);
                let stays = stays && !withdrawn.contains(&sending.attempt);
                if !stays {
                    self.never_sent(node, sending.attempt);
                }
                stays
            });
            for call in self.split_calls(sendings) {
                self.nodes.send(node, call);
            }
        }
    }

    /// Enters an attempt, and puts it into the wire's terms.
    fn push(&self, now: Tenths, id: ShardRequestId, node: NodeId, timeout: Tenths) -> Option<AttemptToSend> {
        let mut book = self.book.borrow_mut();
        let Some(shard_request) = book.shard_requests.get_mut(&id) else {
            self.never_sent(node, AttemptId { shard_request: id, number: AttemptNumber(0) });
            return None;
        };
        let attempt = AttemptId { shard_request: id, number: AttemptNumber(shard_request.attempts) };
        shard_request.attempts += 1;
        let (query, shard, wire_id) =
            (shard_request.query, shard_request.shard.0, shard_request.wire_id.clone());
        let text = book.queries.get(&query)?.text.clone();
        let timers = [(now + self.limits.unsent, Timer::Unsent), (now + timeout, Timer::Over)];
        self.attempts.borrow_mut().enter(attempt, OutPush { node, sent: now, timers });
        let timeout_ms = span(timeout).as_millis().max(1) as u64;
        Some(AttemptToSend {
            attempt,
            shard_request: ShardRequestMessage { id: wire_id, shard, timeout_ms, text },
        })
    }

    /// What probes brought, in the module's terms.
    fn fetch_told(&self) {
        for ProbeReply { node, report } in self.nodes.fetch_probe_replies() {
            let sound = report.is_some();
            let report = report.map(|report| read_load_report(&report)).unwrap_or_default();
            self.hear(Input::ProbeEnded(ProbeResult { node, sound, report }));
        }
    }

    fn never_sent(&self, node: NodeId, attempt: AttemptId) {
        self.attempts.borrow_mut().strike(attempt);
        let AttemptId { shard_request, number: attempt } = attempt;
        let (end, took) = (AttemptOutcome::NotSent, Tenths::ZERO);
        self.hear(Input::AttemptEnded(AttemptResult {
            shard_request,
            attempt,
            node,
            outcome: end,
            duration: took,
        }));
    }

    /// A turn's attempts to one node, in calls of no more shard requests and bytes than a call may have.
    fn split_calls(&self, sendings: Vec<AttemptToSend>) -> Vec<Vec<AttemptToSend>> {
        let mut calls: Vec<Vec<AttemptToSend>> = Vec::new();
        let mut bytes = 0;
        for sending in sendings {
            let more = sending.shard_request.text.len() + 2 * sending.shard_request.id.len();
            match calls.last_mut() {
                Some(call) if call.len() < self.limits.call_parts && bytes + more <= self.limits.frame => {
                    bytes += more;
                    call.push(sending);
                }
                _ => {
                    bytes = more;
                    calls.push(vec![sending]);
                }
            }
        }
        calls
    }

    /// The process ends: what is open gets its final word, failed. Tells how many there were.
    pub fn end_open(&self) -> usize {
        self.ended.set(true);
        let open: Vec<QueryId> = self.book.borrow().queries.keys().copied().collect();
        for id in &open {
            self.tell(*id, |_| QueryOutcome::Failed);
            self.hear(Input::ClientLeft(*id));
        }
        open.len()
    }

    fn tell(&self, id: QueryId, verdict: impl FnOnce(Vec<(ShardId, Bytes)>) -> QueryOutcome) {
        if let Some((open, items)) = self.close(id) {
            let verdict = verdict(items);
            open.count(&verdict, self.tenths(Instant::now()));
            // One who has just left hears nothing.
            let _ = open.tell.send(verdict);
        }
    }
}

/// Bytes that are counted for as long as this lives.
pub struct ReservedMemory {
    engine: Rc<Engine>,
    bytes: usize,
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.engine.book.borrow_mut().bytes -= self.bytes;
    }
}

/// A query that was taken and waits for its verdict.
pub struct AcceptedQuery {
    engine: Rc<Engine>,
    id: QueryId,
    verdict: oneshot::Receiver<QueryOutcome>,
}

impl AcceptedQuery {
    /// Waits for the final word.
    pub async fn verdict(mut self) -> QueryOutcome {
        (&mut self.verdict).await.unwrap_or(QueryOutcome::Failed)
    }
}

impl Drop for AcceptedQuery {
    /// Guards against work for tenants that have left: dropped before its verdict, it tells the module.
    fn drop(&mut self) {
        if self.engine.close(self.id).is_some() {
            self.engine.hear(Input::ClientLeft(self.id));
        }
    }
}

#[cfg(test)]
mod tests;
