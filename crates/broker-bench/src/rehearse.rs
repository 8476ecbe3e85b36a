//! A plan played in virtual time: brokers of the product's own module, unchanged, or a baseline; model hosts;
//! an endpoint list that is late as discovery is; and what a script lets befall them. The rules are checked by what
//! hosts and clients got, not by the brokers' word. One thread, one agenda: the same plan and seed give the
//! same decisions, to the byte.

use crate::audit::{Audit, Final, PartNo};
use crate::baseline::{Baseline, How};
use crate::outcome::{Of, Outcome, Standings};
use crate::scene::{self, PERIOD, ROLL_LATE, TRIP};
use crate::weather::{Do, Weather};
use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
use cluster_trace::plan::{NodeEvent, Plan, PlanEvent, PlannedShardRequest, ReplayConfig};
use fault_scenarios::{ClientBehavior, ClusterSize, NodeCondition, NodeTransition, ScheduledAction};
use node_emulator::{Cancel, EmulatedNode, JobId, NodeState, SubmitOutcome};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Broker, BrokerConfig, ClassId, Effect, Endpoint,
    EndpointList, EndpointListKind, EndpointState, GroupId, Input, NewQuery, NewShardRequest, NodeId,
    PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId, Tenths, ZoneId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Mind {
    Module,
    /// Each shard request to a holder drawn at random, once.
    Random,
    /// The design's ordinary path, without the module's exceptions.
    Design,
    /// The module behind its door: fair shares between tenants, a rate that adapts, a budget for retries.
    AdmissionController,
}

/// What a rehearsal is played with, beside the plan.
#[derive(Clone, Debug)]
pub struct Cast {
    pub brokers: u32,
    pub mind: Mind,
    pub seed: u64,
    pub cells: u32,
    pub cores: usize,
    /// So many jobs warm a host; none: time does. And what it does with work that is given up.
    pub warm_jobs: Option<u32>,
    pub cancel: Cancel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Entry(usize),
    Turn(usize),
    Arrive {
        broker: usize,
        shard_request: ShardRequestId,
        attempt: AttemptNumber,
        host: usize,
    },
    Withdrawn {
        broker: usize,
        shard_request: ShardRequestId,
        attempt: AttemptNumber,
    },
    HostEnd(usize),
    Back {
        broker: usize,
        shard_request: ShardRequestId,
        attempt: AttemptNumber,
        end: u8,
    },
    TimeOut {
        broker: usize,
        shard_request: ShardRequestId,
        attempt: AttemptNumber,
    },
    Told {
        host: usize,
    },
    /// A moment of the script.
    Moment(usize),
    /// It stands still for a while, and will again.
    Still(usize),
    /// A host that a query brought down is back.
    Rise(usize),
    /// A client asks again.
    Again(usize),
    /// A client leaves.
    Leave(usize),
    /// The second is over.
    Tick,
}

/// Ends as they travel.
const ENDS: [AttemptOutcome; 6] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Errored,
];
/// How late the endpoint list tells of a host that fell silent.
const SILENT_LATE: Tenths = Tenths(60_000);
/// How long a host is gone that a query brought down.
const RISES: Tenths = Tenths(30_000);

const SECOND: Tenths = Tenths(10_000);
/// How long after its last entry a day goes on: longer than any deadline.
const REST: Tenths = Tenths(200_000);

struct ShardRequest {
    us: u64,
    /// Where each attempt went, when, and whether its end was told.
    attempts: Vec<(usize, Tenths, bool)>,
    came: bool,
}

/// One try of a request, at one broker.
struct Query {
    broker: usize,
    request: usize,
    shard_requests: std::ops::Range<usize>,
    open: bool,
}

/// What a client wants: it may ask for it more than once.
struct Request {
    of: Of,
    until: Tenths,
    shard_requests: Vec<PlannedShardRequest>,
    tries: u32,
    kills: bool,
}

enum Decider {
    Module(Box<Broker>),
    Admitted(Box<AdmittedBroker>),
    Baseline(Box<Baseline>),
}

struct Seat {
    decider: Decider,
    heard: Vec<Input>,
    last_turn: Tenths,
    turn_at: Option<Tenths>,
    /// The earliest wake-up that was asked for and has not come.
    wake_at: Option<Tenths>,
}

pub struct World {
    now: Tenths,
    order: u64,
    agenda: BinaryHeap<Reverse<(Tenths, u64, Event)>>,
    plan: Plan,
    cast: Cast,
    seats: Vec<Seat>,
    hosts: Vec<EmulatedNode>,
    host_due: Vec<Option<Tenths>>,
    /// What the endpoint list last told of each host, and when.
    told: Vec<(EndpointState, Tenths)>,
    host_jobs: BTreeMap<JobId, (usize, ShardRequestId, AttemptNumber, usize)>,
    next_job: u64,
    jobs_of: BTreeMap<(usize, ShardRequestId, AttemptNumber), JobId>,
    /// By their ids, which count up from 0.
    shard_requests: Vec<ShardRequest>,
    queries: Vec<Query>,
    requests: Vec<Request>,
    weather: Weather,
    script: Vec<ScheduledAction>,
    clients: ClientBehavior,
    broker_config: BrokerConfig,
    cut_offs: Vec<Tenths>,
    /// Mean work of a shard request, by class, in microseconds: what a shard request counts for at a cold host.
    means: Vec<u64>,
    hasher: blake3::Hasher,
    audit: Audit,
    outcome: Outcome,
}

impl World {
    /// A day without a script: one way for all, clients that ask once.
    pub fn new(plan: Plan, replay: &ReplayConfig, cast: Cast) -> World {
        let cluster = ClusterSize {
            nodes: replay.nodes,
            zones: 1,
            placement_groups: cast.cells,
            brokers: cast.brokers,
        };
        let weather = Weather::new(cluster, TRIP, TRIP, cast.seed);
        let clients = ClientBehavior {
            retries: 0,
            backoff_ms: 0.0,
            retry_after_share: 1.0,
            impatient_share: 0.0,
            tenants: 1,
        };
        World::scripted(plan, replay, cast, (weather, Vec::new(), clients))
    }

    pub fn scripted(
        plan: Plan,
        replay: &ReplayConfig,
        cast: Cast,
        (weather, script, clients): (Weather, Vec<ScheduledAction>, ClientBehavior),
    ) -> World {
        let broker_config = scene::broker_config(replay, &cast);
        let cut_offs = broker_config.classes.values().map(|class| class.deadline).collect();
        let seat = |no: u32| {
            let seed = cast.seed ^ u64::from(no).rotate_left(32);
            let decider = decider(&cast, &broker_config, seed, Tenths(0));
            Seat { decider, heard: Vec::new(), last_turn: Tenths(-PERIOD.0), turn_at: None, wake_at: None }
        };
        let seats = (0..cast.brokers).map(seat).collect();
        let hosts: Vec<EmulatedNode> = (0..replay.nodes).map(|_| scene::dead_host(&cast)).collect();
        let mut world = World {
            now: Tenths(0),
            order: 0,
            agenda: BinaryHeap::new(),
            seats,
            host_due: vec![None; hosts.len()],
            told: vec![(EndpointState::Removed, Tenths(0)); hosts.len()],
            hosts,
            host_jobs: BTreeMap::new(),
            next_job: 0,
            jobs_of: BTreeMap::new(),
            shard_requests: Vec::new(),
            queries: Vec::new(),
            requests: Vec::new(),
            weather,
            script,
            clients,
            broker_config,
            cut_offs,
            means: means(&plan, replay.classes.len()),
            plan,
            hasher: blake3::Hasher::new(),
            audit: Audit::new(scene::bounds(replay, TRIP), cast.brokers as usize),
            outcome: Outcome::new(scene::worth(replay), replay.tenant_weights.len()),
            cast,
        };
        for at in 0..world.plan.entries.len() {
            let when = Tenths(world.plan.entries[at].at as i64);
            world.at(when, Event::Entry(at));
        }
        for at in 0..world.script.len() {
            world.at(world.script[at].at, Event::Moment(at));
        }
        world.at(Tenths(0), Event::Tick);
        world
    }

    /// Plays to the end, until nothing is due any more that can matter; or until `going_on` says no, asked
    /// once for each second of the day. What was played by then is told as partial, and what was open is not
    /// held against anybody.
    pub fn play(mut self, mut going_on: impl FnMut(Tenths, Tenths) -> bool) -> Outcome {
        let last = Tenths(self.plan.entries.last().map_or(0, |entry| entry.at) as i64);
        while let Some(Reverse((at, _, event))) = self.agenda.pop() {
            if at > last + REST {
                break;
            }
            self.now = at;
            self.outcome.events += 1;
            if event == Event::Tick {
                if !going_on(at.min(last), last) {
                    self.outcome.stopped_at = Some(at);
                    break;
                }
                self.tick(last);
            } else {
                self.happen(event);
            }
        }
        if self.outcome.stopped_at.is_none() {
            self.audit.close(self.now);
            self.audit.conserve(self.now, &self.outcome);
        }
        self.outcome.broken = self.audit.broken().clone();
        self.outcome.nearest = self.audit.nearest().clone();
        self.outcome.digest = self.hasher.finalize().to_hex().to_string();
        self.outcome
    }

    fn at(&mut self, at: Tenths, event: Event) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, event)));
    }

    /// Notes how hosts stand, once a second while anything is planned.
    fn tick(&mut self, last: Tenths) {
        let standings = Standings::of(&self.hosts, self.now);
        self.outcome.second(self.now).hosts = standings;
        if self.now < last {
            self.at(self.now + SECOND, Event::Tick);
        }
    }

    fn hear(&mut self, broker: usize, input: Input) {
        self.seats[broker].heard.push(input);
        let due = self.now.max(self.seats[broker].last_turn + PERIOD);
        self.wake(broker, due);
    }

    fn wake(&mut self, broker: usize, at: Tenths) {
        if self.seats[broker].turn_at.is_none_or(|turn| turn > at) {
            self.seats[broker].turn_at = Some(at);
            self.at(at, Event::Turn(broker));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Entry(at) => match self.plan.entries[at].event.clone() {
                PlanEvent::Query { class, tenant, shard_requests } => {
                    self.ask(class, tenant, &shard_requests)
                }
                PlanEvent::Node { node, event } => self.host_event(node as usize, event),
            },
            Event::Turn(broker) => self.turn(broker),
            Event::Arrive { broker, shard_request, attempt, host } => {
                self.arrive(broker, shard_request, attempt, host)
            }
            Event::Withdrawn { broker, shard_request, attempt } => {
                let Some(job) = self.jobs_of.remove(&(broker, shard_request, attempt)) else { return };
                if let Some((.., host)) = self.host_jobs.remove(&job) {
                    self.hosts[host].cancel(self.now, job);
                    self.plan_end(host);
                }
            }
            Event::Moment(at) => {
                if let Some(order) = self.weather.enter(self.script[at].action) {
                    self.befall(order);
                }
            }
            Event::Still(host) => self.stand_still(host),
            Event::Rise(host) => {
                let transition = self.weather.active_faults[host].end_outage();
                self.befall(Do::Change { host, transition });
            }
            Event::Again(request) => self.try_request(request),
            Event::Leave(no) => self.leave(no),
            Event::HostEnd(host) if self.host_due[host] != Some(self.now) => {}
            Event::HostEnd(host) => {
                self.host_due[host] = None;
                while let Some(job) = self.hosts[host].complete(self.now) {
                    if let Some((broker, shard_request, attempt, _)) = self.host_jobs.remove(&job) {
                        self.jobs_of.remove(&(broker, shard_request, attempt));
                        if self.weather.spoils(host) {
                            self.send_back(broker, shard_request, attempt, host, 5);
                        } else {
                            self.audit.made(self.now, PartNo(shard_request.0 as usize));
                            self.send_back(broker, shard_request, attempt, host, 0);
                        }
                    }
                }
                self.plan_end(host);
            }
            Event::Back { broker, shard_request, attempt, end } => {
                self.back(broker, shard_request, attempt, ENDS[end as usize])
            }
            Event::TimeOut { broker, shard_request, attempt } => {
                self.back(broker, shard_request, attempt, AttemptOutcome::TimedOut)
            }
            Event::Told { host } => self.tell(host),
            Event::Tick => {}
        }
    }

    // ---- clients

    fn ask(&mut self, class: usize, tenant: usize, told: &[PlannedShardRequest]) {
        let of = Of { class, tenant, at: self.now };
        self.outcome.ask(of);
        let (until, kills) = (self.now + self.cut_offs[class], self.weather.kills());
        self.requests.push(Request { of, until, shard_requests: told.to_vec(), tries: 0, kills });
        self.try_request(self.requests.len() - 1);
    }

    fn try_request(&mut self, request: usize) {
        let no = self.queries.len();
        let broker = self.weather.broker(no, self.seats.len());
        let Request { of, until, ref shard_requests, ref mut tries, .. } = self.requests[request];
        *tries += 1;
        let client_attempt = *tries - 1;
        let (shard_requests, left) = (shard_requests.clone(), until - self.now);
        let weights: Vec<f64> = shard_requests.iter().map(|planned| planned.weight).collect();
        let PartNo(first) = self.audit.asked(self.now, broker, of.class, left, &weights);
        let (id, group) = (QueryId(no as u64), GroupId(no as u32));
        let (class, tenant) = (ClassId(of.class as u16), TenantId(of.tenant as u32));
        let work = Tenths::ZERO;
        let min_coverage_only = false;
        let new =
            NewQuery { id, group, class, tenant, time_left: left, work, client_attempt, min_coverage_only };
        self.hear(broker, Input::Query(new));
        for (shard_request, planned) in (first..).zip(&shard_requests) {
            self.shard_requests.push(ShardRequest { us: planned.work_us, attempts: Vec::new(), came: false });
            let (id, shard) = (ShardRequestId(shard_request as u64), ShardId(planned.shard));
            let weight = planned.weight;
            self.hear(broker, Input::ShardRequest(NewShardRequest { id, group, shard, weight }));
        }
        let shard_requests = first..first + shard_requests.len();
        self.queries.push(Query { broker, request, shard_requests, open: true });
        self.outcome.tries += 1;
        if self.clients.impatient_share > 0.0 && self.weather.lot() < self.clients.impatient_share {
            self.at(self.now + left.times(0.5), Event::Leave(no));
        }
    }

    fn leave(&mut self, no: usize) {
        let Some(query) = self.queries.get_mut(no).filter(|query| query.open) else { return };
        query.open = false;
        let broker = query.broker;
        self.audit.forgive(self.now, no);
        self.outcome.left += 1;
        self.hear(broker, Input::ClientLeft(QueryId(no as u64)));
    }

    /// It was rejected, failed, or its broker is gone: the client asks again while it may, or that was all.
    fn refused(&mut self, request: usize, declined: bool, retry_after: Tenths) {
        let Request { of, until, tries, .. } = self.requests[request];
        if tries <= self.clients.retries {
            let doubled = self.clients.backoff_ms * f64::from(1_u32 << (tries - 1).min(16));
            let mut wait = Tenths::from_ms(doubled * (1.0 + self.weather.lot()));
            if self.weather.lot() < self.clients.retry_after_share {
                wait = wait.max(retry_after);
            }
            if self.now + wait + PERIOD < until {
                return self.at(self.now + wait.max(Tenths(1)), Event::Again(request));
            }
        }
        match declined {
            true => self.outcome.decline(self.now, of),
            false => self.outcome.scrap(self.now),
        }
    }

    // ---- troubles

    fn befall(&mut self, order: Do) {
        match order {
            Do::Change { host, transition } => match transition {
                NodeTransition::Stops => self.fall(host),
                NodeTransition::Drains => self.host_event(host, NodeEvent::Drain),
                NodeTransition::Starts => self.rise(host),
                NodeTransition::Unchanged => {}
            },
            Do::Speed { host, share } => self.hosts[host].slow_down(share),
            Do::Pause { host } => {
                let cycle = self.weather.active_faults[host].longest_pause();
                let interval = cycle.map_or(Tenths::ZERO, |cycle| cycle.interval);
                let first = interval.times(self.weather.lot());
                self.at(self.now + first, Event::Still(host));
            }
            // What it had is lost without a word.
            Do::Silent { host } => {
                for job in self.hosts[host].crash() {
                    if let Some((broker, shard_request, attempt, _)) = self.host_jobs.remove(&job) {
                        self.jobs_of.remove(&(broker, shard_request, attempt));
                    }
                }
                self.tell_later(host, SILENT_LATE);
            }
            Do::Sounds { host } => self.rise(host),
            Do::RollBack => (0..self.seats.len()).for_each(|broker| self.full_roll(broker)),
            Do::Forget { broker } => self.forget(broker),
        }
    }

    /// A new process, unless something else still holds it down.
    fn rise(&mut self, host: usize) {
        let faults = &self.weather.active_faults[host];
        if faults.condition() == NodeCondition::Ready && !faults.is_unresponsive() {
            let speed = faults.speed_factor();
            self.hosts[host].start(self.now);
            self.hosts[host].slow_down(speed);
            self.tell_later(host, ROLL_LATE);
        }
    }

    fn stand_still(&mut self, host: usize) {
        let Some(cycle) = self.weather.active_faults[host].longest_pause() else { return };
        self.hosts[host].pause(self.now, self.now + cycle.pause);
        self.plan_end(host);
        self.at(self.now + cycle.interval.max(Tenths(1)), Event::Still(host));
    }

    /// A broker starts anew, with no memory: what it held is lost to its clients, and of its attempts nobody
    /// hears.
    fn forget(&mut self, broker: usize) {
        let seed = self.cast.seed ^ (broker as u64).rotate_left(32) ^ self.now.0 as u64;
        let now = self.now;
        self.seats[broker] = Seat {
            decider: decider(&self.cast, &self.broker_config, seed, now),
            heard: Vec::new(),
            last_turn: now,
            turn_at: None,
            wake_at: None,
        };
        let mut lost = Vec::new();
        for (no, query) in self.queries.iter_mut().enumerate() {
            if query.broker == broker {
                let shard_requests = &mut self.shard_requests[query.shard_requests.clone()];
                shard_requests
                    .iter_mut()
                    .flat_map(|shard_request| &mut shard_request.attempts)
                    .for_each(|attempt| attempt.2 = false);
                lost.extend(std::mem::take(&mut query.open).then_some((no, query.request)));
            }
        }
        for (no, request) in lost {
            self.audit.forgive(now, no);
            self.refused(request, false, Tenths::ZERO);
        }
        self.full_roll(broker);
    }

    fn full_roll(&mut self, broker: usize) {
        let all = (0..self.hosts.len()).map(|host| self.entry(host));
        let entries: Vec<Endpoint> = all.filter(|entry| entry.state != EndpointState::Removed).collect();
        for host in 0..self.hosts.len() {
            let state = scene::endpoint_state(self.hosts[host].state());
            if state != self.told[host].0 {
                self.told[host] = (state, self.now);
            }
        }
        self.hear(
            broker,
            Input::EndpointList(EndpointList { kind: EndpointListKind::Snapshot, entries: entries.into() }),
        );
    }

    // ---- hosts

    fn host_event(&mut self, host: usize, event: NodeEvent) {
        match event {
            NodeEvent::StartWarm => {
                self.hosts[host] = scene::warm_host(&self.cast);
                self.at(self.now, Event::Told { host });
            }
            NodeEvent::StartCold => {
                self.hosts[host].start(self.now);
                self.tell_later(host, ROLL_LATE);
            }
            NodeEvent::Drain => {
                self.hosts[host].drain();
                self.tell_later(host, TRIP);
            }
            NodeEvent::Stop => self.fall(host),
            NodeEvent::SlowDown(share) => self.hosts[host].slow_down(share),
        }
    }

    /// Its process is gone, and what it had is dropped; the endpoint list tells of it late.
    fn fall(&mut self, host: usize) {
        for job in self.hosts[host].crash() {
            if let Some((broker, shard_request, attempt, _)) = self.host_jobs.remove(&job) {
                self.jobs_of.remove(&(broker, shard_request, attempt));
                self.send_back(broker, shard_request, attempt, host, 4);
            }
        }
        self.tell_later(host, ROLL_LATE);
    }

    /// An end goes back to its broker, unless it is lost on its way.
    fn send_back(
        &mut self,
        broker: usize,
        shard_request: ShardRequestId,
        attempt: AttemptNumber,
        host: usize,
        end: u8,
    ) {
        if let Some(way) = self.weather.way(broker, host, false) {
            self.at(self.now + way, Event::Back { broker, shard_request, attempt, end });
        }
    }

    /// The endpoint list will tell of it, unless it is silent then.
    fn tell_later(&mut self, host: usize, late: Tenths) {
        if let Some(more) = self.weather.roll() {
            self.at(self.now + late + more, Event::Told { host });
        }
    }

    fn entry(&self, host: usize) -> Endpoint {
        Endpoint {
            node: NodeId(host as u64),
            zone: ZoneId(self.weather.hall_of(host) as u16),
            placement_group: PlacementGroupId(host as u32 % self.cast.cells),
            state: scene::endpoint_state(self.hosts[host].state()),
            started_at: self.hosts[host].started_at(),
        }
    }

    fn tell(&mut self, host: usize) {
        if self.weather.roll().is_none() {
            return;
        }
        let entry = self.entry(host);
        self.told[host] = (entry.state, self.now);
        for broker in 0..self.seats.len() {
            let roll = EndpointList { kind: EndpointListKind::Delta, entries: [entry.clone()].into() };
            self.hear(broker, Input::EndpointList(roll));
        }
    }

    fn plan_end(&mut self, host: usize) {
        if let Some(end) = self.hosts[host].next_completion()
            && self.host_due[host].is_none_or(|due| due != end)
        {
            self.host_due[host] = Some(end);
            self.at(end, Event::HostEnd(host));
        }
    }

    fn arrive(&mut self, broker: usize, shard_request: ShardRequestId, attempt: AttemptNumber, host: usize) {
        let no = PartNo(shard_request.0 as usize);
        let sent =
            self.shard_requests[no.0].attempts.get(attempt.0 as usize).map_or(self.now, |attempt| attempt.1);
        self.audit.arrived(self.now, sent, no, self.told[host]);
        self.next_job += 1;
        let job = JobId(self.next_job);
        let (us, counts) = (self.shard_requests[no.0].us, self.counts(no));
        let taken = match self.weather.active_faults[host].is_rejecting() {
            true => SubmitOutcome::Refused,
            false => self.hosts[host].submit_counted_as(self.now, job, us, counts),
        };
        if self.hosts[host].is_warming_up(self.now) {
            self.audit.strained(self.now, self.hosts[host].overload_ratio());
        }
        let end = match taken {
            SubmitOutcome::Started | SubmitOutcome::Queued => {
                self.audit.taken(self.now, no);
                self.host_jobs.insert(job, (broker, shard_request, attempt, host));
                self.jobs_of.insert((broker, shard_request, attempt), job);
                if self.kills(no) {
                    self.weather.active_faults[host].begin_outage();
                    self.at(self.now + RISES, Event::Rise(host));
                    return self.fall(host);
                }
                return self.plan_end(host);
            }
            SubmitOutcome::Refused => 1,
            SubmitOutcome::Unreachable => 3,
            SubmitOutcome::Collapsed => {
                self.audit.fell_over(self.now);
                self.fall(host);
                4
            }
        };
        self.send_back(broker, shard_request, attempt, host, end);
    }

    fn request_of(&self, shard_request: PartNo) -> Option<&Request> {
        let no = self.queries.partition_point(|query| query.shard_requests.end <= shard_request.0);
        self.queries.get(no).map(|query| &self.requests[query.request])
    }

    /// Whether the query of a shard request brings down who begins it.
    fn kills(&self, shard_request: PartNo) -> bool {
        self.request_of(shard_request).is_some_and(|request| request.kills)
    }

    /// What it counts for at a cold host, in microseconds.
    fn counts(&self, shard_request: PartNo) -> u64 {
        self.request_of(shard_request).map_or(0, |request| self.means[request.of.class])
    }

    /// An attempt's one end reaches its broker; what comes later is nobody's.
    fn back(&mut self, broker: usize, id: ShardRequestId, attempt: AttemptNumber, end: AttemptOutcome) {
        let Some(shard_request) = self.shard_requests.get_mut(id.0 as usize) else { return };
        let Some((host, sent, open)) =
            shard_request.attempts.get_mut(attempt.0 as usize).filter(|attempt| attempt.2)
        else {
            return;
        };
        *open = false;
        let (node, took) = (NodeId(*host as u64), self.now - *sent);
        shard_request.came |= end == AttemptOutcome::Succeeded;
        self.hear(
            broker,
            Input::AttemptEnded(AttemptResult {
                shard_request: id,
                attempt,
                node,
                outcome: end,
                duration: took,
            }),
        );
    }

    // ---- brokers

    fn turn(&mut self, broker: usize) {
        if self.seats[broker].turn_at != Some(self.now) {
            return;
        }
        let seat = &mut self.seats[broker];
        (seat.turn_at, seat.last_turn) = (None, self.now);
        seat.wake_at = seat.wake_at.filter(|at| *at > self.now);
        let mut heard = std::mem::take(&mut seat.heard);
        for input in &mut heard {
            if let Input::Query(new) = input {
                // What is left of its time by now.
                let asked = self.queries.get(new.id.0 as usize);
                let until = asked.map_or(self.now, |r| self.requests[r.request].until);
                new.time_left = (until - self.now).max(Tenths::ZERO);
            }
        }
        heard.push(Input::Woken);
        let effects = match &mut seat.decider {
            Decider::Module(module) => module.turn(self.now, &heard),
            Decider::Admitted(gated) => gated.turn(self.now, &heard),
            Decider::Baseline(baseline) => baseline.turn(self.now, &heard),
        };
        for effect in effects {
            let line = format!("{} {broker} {effect:?}\n", self.now.0);
            self.hasher.update(line.as_bytes());
            self.carry_out(broker, effect);
        }
        // Guards against a wake-up that an earlier turn has taken the place of: the module asks for it only
        // once.
        if let Some(at) = self.seats[broker].wake_at {
            self.wake(broker, at);
        }
    }

    fn carry_out(&mut self, broker: usize, effect: Effect) {
        match effect {
            Effect::Send { shard_request: id, node, timeout } => {
                let now = self.now;
                let Some(shard_request) = self.shard_requests.get_mut(id.0 as usize) else { return };
                let attempt = AttemptNumber(shard_request.attempts.len() as u16);
                shard_request.attempts.push((node.0 as usize, now, true));
                self.outcome.push(now);
                let host = node.0 as usize;
                if let Some(way) = self.weather.way(broker, host, true) {
                    self.at(now + way, Event::Arrive { broker, shard_request: id, attempt, host });
                }
                self.at(now + timeout, Event::TimeOut { broker, shard_request: id, attempt });
            }
            Effect::Cancel { shard_request, attempt } => {
                let sent = self
                    .shard_requests
                    .get(shard_request.0 as usize)
                    .and_then(|shard_request| shard_request.attempts.get(attempt.0 as usize));
                let host = sent.map(|attempt| attempt.0);
                if let Some(way) = host.and_then(|host| self.weather.way(broker, host, true)) {
                    self.at(self.now + way, Event::Withdrawn { broker, shard_request, attempt });
                }
                // A cancelled attempt has its end at once, as far as its broker goes.
                self.back(broker, shard_request, attempt, AttemptOutcome::Cancelled);
            }
            Effect::Respond { query, complete: whole } => {
                let shard_requests =
                    self.queries.get(query.0 as usize).map_or(0..0, |r| r.shard_requests.clone());
                let held = shard_requests
                    .filter(|shard_request| self.shard_requests[*shard_request].came)
                    .map(PartNo)
                    .collect();
                self.ends(broker, query, &Final::Answered { whole, held }, Tenths::ZERO);
            }
            Effect::Reject { query, retry_after } => {
                self.ends(broker, query, &Final::Declined, retry_after);
            }
            Effect::Fail { query } => self.ends(broker, query, &Final::Scrapped, Tenths::ZERO),
            Effect::Wake { after } => {
                let at = (self.now + after).max(self.now + PERIOD);
                let seat = &mut self.seats[broker];
                seat.wake_at = Some(seat.wake_at.map_or(at, |sooner| sooner.min(at)));
            }
            // No hosts of a rehearsal tell their load by probe, and no broker of one is told that they do.
            Effect::Probe { .. } | Effect::CloseIdle { .. } | Effect::WatchEndpoints | Effect::Say(_) => {}
        }
    }

    fn ends(&mut self, broker: usize, id: QueryId, end: &Final, retry_after: Tenths) {
        let mine = self.queries.get_mut(id.0 as usize).filter(|query| query.broker == broker);
        let was = mine.map(|query| (query.request, std::mem::take(&mut query.open)));
        let no = if was.is_some() { id.0 as usize } else { usize::MAX };
        // One who has left hears nothing of it.
        if was.is_some_and(|(_, open)| !open) && self.audit.is_forgiven(no) {
            return;
        }
        let Some((share, (request, _))) = self.audit.ends(self.now, no, end).zip(was) else { return };
        let of = self.requests[request].of;
        match end {
            Final::Answered { .. } => self.outcome.answer(self.now, of, share),
            Final::Declined => self.refused(request, true, retry_after),
            Final::Scrapped => self.refused(request, false, Tenths::ZERO),
        }
    }
}

/// Mean work of a shard request, by class.
fn means(plan: &Plan, classes: usize) -> Vec<u64> {
    let mut sums = vec![(0, 0); classes];
    for entry in &plan.entries {
        let PlanEvent::Query { class, shard_requests, .. } = &entry.event else { continue };
        let (work, count) = &mut sums[*class];
        *work += shard_requests.iter().map(|planned| planned.work_us).sum::<u64>();
        *count += shard_requests.len() as u64;
    }
    sums.into_iter().map(|(work, count)| work / count.max(1)).collect()
}

fn decider(cast: &Cast, broker_config: &BrokerConfig, seed: u64, now: Tenths) -> Decider {
    let baseline = |how| Decider::Baseline(Box::new(Baseline::new(how, broker_config, seed)));
    match cast.mind {
        Mind::Module => Decider::Module(Box::new(Broker::start(broker_config.clone(), seed, now))),
        Mind::AdmissionController => {
            let door = AdmissionController::new(AdmissionConfig::default(), broker_config)
                .unwrap_or_else(|_| unreachable!("the door's defaults are sound"));
            Decider::Admitted(Box::new(AdmittedBroker::new(
                door,
                Broker::start(broker_config.clone(), seed, now),
            )))
        }
        Mind::Random => baseline(How::Random),
        Mind::Design => baseline(How::Design),
    }
}

impl Standings {
    pub fn of(hosts: &[EmulatedNode], now: Tenths) -> Standings {
        let mut standings = Standings::default();
        for host in hosts {
            let count = match host.state() {
                NodeState::Ready if host.is_warming_up(now) => &mut standings.cold,
                NodeState::Ready => &mut standings.warm,
                NodeState::Draining => &mut standings.draining,
                NodeState::Down => &mut standings.gone,
            };
            *count += 1;
        }
        standings
    }
}

#[cfg(test)]
pub(crate) mod tests;
