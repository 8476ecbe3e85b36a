//! A plan played in virtual time: brokers of the product's own module, unchanged, or a baseline; model hosts; a roll
//! that is late as discovery is. The rules are checked by what hosts and clients got, not by the brokers' word.
//! One thread, one agenda: the same plan and seed give the same decisions, to the byte.

use barleydrum::{
    Broker, CallerNo, Category, CategoryNo, CellNo, Effect, GroupNo, Input, Layout, Limits, NewPart,
    NewRetrieval, NodeId, PartId, Prescription, PushEnd, PushNo, PushOutcome, RetrievalId, Roll, RollEntry,
    RollKind, Rules, ShardNo, Standing, Tenths, ZoneNo,
};
use hdrhistogram::Histogram;
use ledger_host::{Build, Host, JobNo, State, Taken};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use trace::plan::{Happens, HostEvent, Plan, Staging};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Mind {
    Module,
    /// Each part to a holder drawn at random, once.
    Random,
}

/// What a rehearsal is played with, beside the plan.
#[derive(Clone, Debug)]
pub struct Cast {
    pub brokers: u32,
    pub mind: Mind,
    pub seed: u64,
    pub cells: u32,
    pub cores: usize,
}

/// One way through the network, the least time between turns, and how late the roll tells of starts and deaths.
const TRIP: Tenths = Tenths(5);
const PERIOD: Tenths = Tenths(50);
const ROLL_LATE: Tenths = Tenths(10_000);
const GOAL: Tenths = Tenths(20_000);
/// How much later than its client's time a final answer may be.
const SLACK: Tenths = Tenths(200);
/// How long a push may still go to a node that the roll told to be draining or gone, with a turn to spare.
const GRACE: Tenths = Tenths(2500);
const WINDOW: Tenths = Tenths(100_000);
/// The categories' payoffs and least shares, in the plan's order; more take the last.
const PAYOFFS: [f64; 2] = [3.0, 1.0];
const LEAST: [f64; 2] = [0.4, 1.0];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Entry(usize),
    Turn(usize),
    Arrive { broker: usize, part: PartId, push: PushNo, host: usize },
    Withdrawn { broker: usize, part: PartId, push: PushNo },
    HostEnd(usize),
    Back { broker: usize, part: PartId, push: PushNo, end: u8 },
    TimeOut { broker: usize, part: PartId, push: PushNo },
    Told { host: usize },
}

/// Ends as they travel.
const ENDS: [PushEnd; 5] =
    [PushEnd::Finished, PushEnd::Full, PushEnd::TimedOut, PushEnd::NoConnection, PushEnd::Dropped];

struct Part {
    retrieval: usize,
    weight: f64,
    us: u64,
    /// Where each push went, when, and whether its end was told.
    pushes: Vec<(usize, Tenths, bool)>,
    came: bool,
}

struct Retrieval {
    broker: usize,
    category: usize,
    caller: usize,
    asked: Tenths,
    parts: Vec<PartId>,
    ended: bool,
}

enum Decider {
    Module(Box<Broker>),
    Random(Box<Random>),
}

struct Seat {
    decider: Decider,
    heard: Vec<Input>,
    last_turn: Tenths,
    turn_at: Option<Tenths>,
}

/// A part, its weight, and whether it came; none while it is out.
type Awaited = (PartId, f64, Option<bool>);

/// The baseline.
struct Random {
    rng: fastrand::Rng,
    layout: Layout,
    categories: BTreeMap<CategoryNo, Category>,
    nodes: BTreeMap<NodeId, CellNo>,
    groups: BTreeMap<GroupNo, RetrievalId>,
    /// By category, until when, and parts.
    open: BTreeMap<RetrievalId, (CategoryNo, Tenths, Vec<Awaited>)>,
    owner: BTreeMap<PartId, RetrievalId>,
}

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub asked: f64,
    pub earned: f64,
}

impl Service {
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

/// What a rehearsal came to.
#[derive(Debug)]
pub struct Outcome {
    pub service: Service,
    pub by_category: Vec<Service>,
    pub by_caller: Vec<Service>,
    /// By windows of ten seconds, by when they were asked.
    pub windows: Vec<Service>,
    /// Of answers, in tenths of a millisecond.
    pub latency: Histogram<u64>,
    pub retrievals: u64,
    pub answered: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub pushes: u64,
    /// Breaks of the rules, by what was seen.
    pub broken: BTreeMap<&'static str, u64>,
    /// BLAKE3 over all decisions in their order.
    pub digest: String,
}

pub struct World {
    now: Tenths,
    order: u64,
    agenda: BinaryHeap<Reverse<(Tenths, u64, Event)>>,
    plan: Plan,
    cast: Cast,
    seats: Vec<Seat>,
    hosts: Vec<Host>,
    host_due: Vec<Option<Tenths>>,
    /// What the roll last told of each host, and when.
    told: Vec<(Standing, Tenths)>,
    host_jobs: BTreeMap<JobNo, (usize, PartId, PushNo, usize)>,
    next_job: u64,
    jobs_of: BTreeMap<(usize, PartId, PushNo), JobNo>,
    parts: BTreeMap<PartId, Part>,
    retrievals: Vec<Retrieval>,
    cut_offs: Vec<Tenths>,
    next_id: u64,
    hasher: blake3::Hasher,
    outcome: Outcome,
}

fn prescription(staging: &Staging, cast: &Cast) -> Prescription {
    let category = |(no, told): (usize, &trace::plan::Cast)| {
        let cut_off = Tenths::from_ms(f64::from(told.cut_off));
        let category = Category {
            goal_time: GOAL.min(cut_off),
            cut_off,
            payoff: PAYOFFS[no.min(1)],
            least_share: LEAST[no.min(1)],
            whole_from: 1.0,
            ..Category::default()
        };
        (CategoryNo(no as u16), category)
    };
    let build = Build::default();
    Prescription {
        brokers: cast.brokers,
        period: PERIOD,
        send_lag: TRIP,
        categories: staging.categories.iter().enumerate().map(category).collect(),
        layout: Layout { cells: cast.cells, reach: 2, shards: staging.shards, per_call: 1 },
        limits: Limits {
            most_open: 2000,
            most_pushes: 3,
            copies: true,
            may_withdraw: true,
            stay_away: true,
            longest_stay_away: GOAL,
        },
        rules: Rules {
            cold_share: build.cold_share,
            warm_after: build.warm_after,
            fall_multiple: build.fall_multiple,
            fall_window: build.fall_window,
            ask_within: Tenths(100_000),
            further: None,
        },
        ..Prescription::default()
    }
}

impl World {
    pub fn new(plan: Plan, staging: &Staging, cast: Cast) -> World {
        let prescription = prescription(staging, &cast);
        let cut_offs = prescription.categories.values().map(|category| category.cut_off).collect();
        let seat = |no: u32| {
            let seed = cast.seed ^ u64::from(no).rotate_left(32);
            let decider = match cast.mind {
                Mind::Module => {
                    Decider::Module(Box::new(Broker::start(prescription.clone(), seed, Tenths(0))))
                }
                Mind::Random => Decider::Random(Box::new(Random {
                    rng: fastrand::Rng::with_seed(seed),
                    layout: prescription.layout.clone(),
                    categories: prescription.categories.clone(),
                    nodes: BTreeMap::new(),
                    groups: BTreeMap::new(),
                    open: BTreeMap::new(),
                    owner: BTreeMap::new(),
                })),
            };
            Seat { decider, heard: Vec::new(), last_turn: Tenths(-PERIOD.0), turn_at: None }
        };
        let seats = (0..cast.brokers).map(seat).collect();
        let build = Build { cores: cast.cores, ..Build::default() };
        let hosts: Vec<Host> = (0..staging.hosts)
            .map(|_| {
                let mut host = Host::new(build.clone(), None);
                host.die();
                host
            })
            .collect();
        let outcome = Outcome {
            service: Service::default(),
            by_category: vec![Service::default(); staging.categories.len()],
            by_caller: vec![Service::default(); staging.callers.len()],
            windows: Vec::new(),
            latency: Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed")),
            retrievals: 0,
            answered: 0,
            declined: 0,
            scrapped: 0,
            pushes: 0,
            broken: BTreeMap::new(),
            digest: String::new(),
        };
        let told = vec![(Standing::Gone, Tenths(0)); hosts.len()];
        let host_due = vec![None; hosts.len()];
        let mut world = World {
            now: Tenths(0),
            order: 0,
            agenda: BinaryHeap::new(),
            plan,
            cast,
            seats,
            hosts,
            host_due,
            told,
            host_jobs: BTreeMap::new(),
            next_job: 0,
            jobs_of: BTreeMap::new(),
            parts: BTreeMap::new(),
            retrievals: Vec::new(),
            cut_offs,
            next_id: 0,
            hasher: blake3::Hasher::new(),
            outcome,
        };
        for at in 0..world.plan.entries.len() {
            let when = Tenths(world.plan.entries[at].at as i64);
            world.at(when, Event::Entry(at));
        }
        world
    }

    /// Plays to the end: until nothing is due any more that can matter.
    pub fn play(mut self) -> Outcome {
        let last = self.plan.entries.last().map_or(0, |entry| entry.at) as i64;
        let until = Tenths(last) + Tenths(200_000);
        while let Some(Reverse((at, _, event))) = self.agenda.pop() {
            if at > until {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        let lost = self.retrievals.iter().filter(|retrieval| !retrieval.ended).count() as u64;
        if lost > 0 {
            self.outcome.broken.insert("1: no final answer", lost);
        }
        self.outcome.digest = self.hasher.finalize().to_hex().to_string();
        self.outcome
    }

    fn at(&mut self, at: Tenths, event: Event) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, event)));
    }

    fn breaks(&mut self, rule: &'static str) {
        *self.outcome.broken.entry(rule).or_default() += 1;
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
            Event::Entry(at) => match self.plan.entries[at].what.clone() {
                Happens::Ask { category, caller, parts } => self.ask(category, caller, &parts),
                Happens::Host { host, event } => self.host_event(host as usize, event),
            },
            Event::Turn(broker) => self.turn(broker),
            Event::Arrive { broker, part, push, host } => self.arrive(broker, part, push, host),
            Event::Withdrawn { broker, part, push } => {
                let Some(job) = self.jobs_of.remove(&(broker, part, push)) else { return };
                if let Some((.., host)) = self.host_jobs.remove(&job) {
                    self.hosts[host].give_up(self.now, job);
                    self.plan_end(host);
                }
            }
            Event::HostEnd(host) if self.host_due[host] != Some(self.now) => {}
            Event::HostEnd(host) => {
                self.host_due[host] = None;
                while let Some(job) = self.hosts[host].end(self.now) {
                    if let Some((broker, part, push, _)) = self.host_jobs.remove(&job) {
                        self.jobs_of.remove(&(broker, part, push));
                        self.at(self.now + TRIP, Event::Back { broker, part, push, end: 0 });
                    }
                }
                self.plan_end(host);
            }
            Event::Back { broker, part, push, end } => self.back(broker, part, push, ENDS[end as usize]),
            Event::TimeOut { broker, part, push } => self.back(broker, part, push, PushEnd::TimedOut),
            Event::Told { host } => self.tell(host),
        }
    }

    fn ask(&mut self, category: usize, caller: usize, told: &[(u32, f64, u64)]) {
        let no = self.retrievals.len();
        let broker = no % self.seats.len();
        self.outcome.retrievals += 1;
        let payoff = PAYOFFS[category.min(1)];
        let window = (self.now.0 / WINDOW.0) as usize;
        if self.outcome.windows.len() <= window {
            self.outcome.windows.resize(window + 1, Service::default());
        }
        self.outcome.service.asked += payoff;
        self.outcome.by_category[category].asked += payoff;
        self.outcome.by_caller[caller].asked += payoff;
        self.outcome.windows[window].asked += payoff;
        let (id, group) = (RetrievalId(no as u64), GroupNo(no as u32));
        let (time_left, work) = (self.cut_offs[category], Tenths::ZERO);
        let (category, caller) = (CategoryNo(category as u16), CallerNo(caller as u32));
        let new = NewRetrieval { id, group, category, caller, time_left, work };
        self.hear(broker, Input::Retrieval(new));
        let mut parts = Vec::with_capacity(told.len());
        for (shard, weight, us) in told {
            self.next_id += 1;
            let id = PartId(self.next_id);
            parts.push(id);
            let part = Part { retrieval: no, weight: *weight, us: *us, pushes: Vec::new(), came: false };
            self.parts.insert(id, part);
            self.hear(broker, Input::Part(NewPart { id, group, shard: ShardNo(*shard), weight: *weight }));
        }
        let (category, caller) = (usize::from(category.0), caller.0 as usize);
        self.retrievals.push(Retrieval { broker, category, caller, asked: self.now, parts, ended: false });
    }

    // ---- hosts

    fn host_event(&mut self, host: usize, event: HostEvent) {
        match event {
            HostEvent::Warm => {
                let build = Build { cores: self.cast.cores, ..Build::default() };
                self.hosts[host] = Host::new(build, None);
                self.at(self.now, Event::Told { host });
            }
            HostEvent::Start => {
                self.hosts[host].start(self.now);
                self.at(self.now + ROLL_LATE, Event::Told { host });
            }
            HostEvent::Drain => {
                self.hosts[host].drain();
                self.at(self.now + TRIP, Event::Told { host });
            }
            HostEvent::Death => self.fall(host),
            HostEvent::Slow(share) => self.hosts[host].slow(share),
        }
    }

    /// Its process is gone, and what it had is dropped; the roll tells of it late.
    fn fall(&mut self, host: usize) {
        for job in self.hosts[host].die() {
            if let Some((broker, part, push, _)) = self.host_jobs.remove(&job) {
                self.jobs_of.remove(&(broker, part, push));
                self.at(self.now + TRIP, Event::Back { broker, part, push, end: 4 });
            }
        }
        self.at(self.now + ROLL_LATE, Event::Told { host });
    }

    fn tell(&mut self, host: usize) {
        let standing = match self.hosts[host].state() {
            State::Ready => Standing::Ready,
            State::Draining => Standing::Draining,
            State::Dead => Standing::Gone,
        };
        self.told[host] = (standing, self.now);
        let entry = RollEntry {
            node: NodeId(host as u64),
            zone: ZoneNo(0),
            cell: CellNo(host as u32 % self.cast.cells),
            standing,
            started: self.hosts[host].started(),
        };
        for broker in 0..self.seats.len() {
            let roll = Roll { kind: RollKind::Changes, entries: [entry.clone()].into() };
            self.hear(broker, Input::Roll(roll));
        }
    }

    fn plan_end(&mut self, host: usize) {
        let Some(end) = self.hosts[host].next_end().map(|end| end.max(self.now)) else { return };
        // One look is on the agenda for each host, at its first end.
        if self.host_due[host].is_none_or(|due| due > end) {
            self.host_due[host] = Some(end);
            self.at(end, Event::HostEnd(host));
        }
    }

    fn arrive(&mut self, broker: usize, part: PartId, push: PushNo, host: usize) {
        let (standing, at) = self.told[host];
        if standing != Standing::Ready && self.now - at > GRACE + TRIP {
            self.breaks("3: sent past the grace to a host that drains or is gone");
        }
        self.next_job += 1;
        let job = JobNo(self.next_job);
        let us = self.parts.get(&part).map_or(0, |part| part.us);
        let end = match self.hosts[host].take(self.now, job, us) {
            Taken::Begun | Taken::Queued => {
                self.host_jobs.insert(job, (broker, part, push, host));
                self.jobs_of.insert((broker, part, push), job);
                return self.plan_end(host);
            }
            Taken::Refused => 1,
            Taken::Unreachable => 3,
            Taken::FellOver => {
                self.breaks("4: a cold host fell over");
                self.fall(host);
                4
            }
        };
        self.at(self.now + TRIP, Event::Back { broker, part, push, end });
    }

    /// A push's one end reaches its broker; what comes later is nobody's.
    fn back(&mut self, broker: usize, id: PartId, push: PushNo, end: PushEnd) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let Some((host, sent, open)) = part.pushes.get_mut(push.0 as usize).filter(|push| push.2) else {
            return;
        };
        *open = false;
        let (node, took) = (NodeId(*host as u64), self.now - *sent);
        part.came |= end == PushEnd::Finished;
        self.hear(broker, Input::Outcome(PushOutcome { part: id, push, node, end, took }));
    }

    // ---- brokers

    fn turn(&mut self, broker: usize) {
        if self.seats[broker].turn_at != Some(self.now) {
            return;
        }
        let seat = &mut self.seats[broker];
        (seat.turn_at, seat.last_turn) = (None, self.now);
        let mut heard = std::mem::take(&mut seat.heard);
        for input in &mut heard {
            if let Input::Retrieval(new) = input {
                // What is left of its time by now.
                let asked = self.retrievals.get(new.id.0 as usize).map_or(self.now, |r| r.asked);
                new.time_left = (new.time_left - (self.now - asked)).max(Tenths::ZERO);
            }
        }
        heard.push(Input::Woken);
        let effects = match &mut seat.decider {
            Decider::Module(module) => module.turn(self.now, &heard),
            Decider::Random(random) => random.turn(self.now, &heard),
        };
        for effect in effects {
            let line = format!("{} {broker} {effect:?}\n", self.now.0);
            self.hasher.update(line.as_bytes());
            self.carry_out(broker, effect);
        }
    }

    fn carry_out(&mut self, broker: usize, effect: Effect) {
        match effect {
            Effect::Push { part: id, node, time_out } => {
                let now = self.now;
                let Some(part) = self.parts.get_mut(&id) else { return };
                let (retrieval, push) = (part.retrieval, PushNo(part.pushes.len() as u16));
                part.pushes.push((node.0 as usize, now, true));
                self.outcome.pushes += 1;
                if self.retrievals[retrieval].ended {
                    self.breaks("1: a part sent after the final answer");
                }
                let host = node.0 as usize;
                self.at(now + TRIP, Event::Arrive { broker, part: id, push, host });
                self.at(now + time_out, Event::TimeOut { broker, part: id, push });
            }
            Effect::Withdraw { part, push } => {
                self.at(self.now + TRIP, Event::Withdrawn { broker, part, push });
                self.withdrawn(broker, part, push);
            }
            Effect::Answer { retrieval, whole } => self.answered(broker, retrieval, whole),
            Effect::Decline { retrieval, .. } => {
                self.outcome.declined += u64::from(self.ends(broker, retrieval));
            }
            Effect::Scrap { retrieval } => {
                self.outcome.scrapped += u64::from(self.ends(broker, retrieval));
            }
            Effect::Wake { after } => {
                let at = (self.now + after).max(self.now + PERIOD);
                self.wake(broker, at);
            }
            Effect::CloseIdle { .. } | Effect::FollowRoll | Effect::Say(_) => {}
        }
    }

    /// A withdrawn push has its end at once, as far as its broker goes.
    fn withdrawn(&mut self, broker: usize, id: PartId, push: PushNo) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let Some((host, sent, open)) = part.pushes.get_mut(push.0 as usize).filter(|push| push.2) else {
            return;
        };
        *open = false;
        let (node, took) = (NodeId(*host as u64), self.now - *sent);
        let outcome = PushOutcome { part: id, push, node, end: PushEnd::Withdrawn, took };
        self.hear(broker, Input::Outcome(outcome));
    }

    /// Strikes a retrieval; whether it was open, and this broker's.
    fn ends(&mut self, broker: usize, id: RetrievalId) -> bool {
        let now = self.now;
        let Some(retrieval) = self.retrievals.get_mut(id.0 as usize).filter(|r| r.broker == broker) else {
            self.breaks("1: an answer to what was not asked");
            return false;
        };
        let (again, late) =
            (retrieval.ended, now - retrieval.asked > self.cut_offs[retrieval.category] + SLACK);
        retrieval.ended = true;
        if again {
            self.breaks("1: a second final answer");
        }
        if late {
            self.breaks("1: a final answer past the client's time");
        }
        !again
    }

    fn answered(&mut self, broker: usize, id: RetrievalId, whole: bool) {
        if !self.ends(broker, id) {
            return;
        }
        self.outcome.answered += 1;
        let Some(retrieval) = self.retrievals.get(id.0 as usize) else { return };
        let (category, caller, took) = (retrieval.category, retrieval.caller, self.now - retrieval.asked);
        let asked = retrieval.asked;
        let came: f64 =
            retrieval.parts.iter().map(|id| &self.parts[id]).filter(|p| p.came).map(|p| p.weight).sum();
        // A deadline is kept by what reaches the client; the goal is told in the same clock.
        self.outcome.latency.record(took.0.max(0) as u64).unwrap_or_default();
        if came + 0.0001 < LEAST[category.min(1)] {
            self.breaks("5: an answer under the least share");
        }
        if whole && came + 0.0001 < 1.0 {
            self.breaks("5: an answer called whole that is not");
        }
        if took <= GOAL {
            // A partial answer earns the share that it holds.
            let earned = PAYOFFS[category.min(1)] * came.min(1.0);
            self.outcome.service.earned += earned;
            self.outcome.by_category[category].earned += earned;
            self.outcome.by_caller[caller].earned += earned;
            self.outcome.windows[(asked.0 / WINDOW.0) as usize].earned += earned;
        }
    }
}

impl Random {
    fn turn(&mut self, now: Tenths, heard: &[Input]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for input in heard {
            match input {
                Input::Roll(roll) => {
                    for entry in roll.entries.iter() {
                        match entry.standing {
                            Standing::Ready => _ = self.nodes.insert(entry.node, entry.cell),
                            _ => _ = self.nodes.remove(&entry.node),
                        }
                    }
                }
                Input::Retrieval(new) => {
                    self.groups.insert(new.group, new.id);
                    let until = now + new.time_left - PERIOD.times(4.0);
                    self.open.insert(new.id, (new.category, until, Vec::new()));
                    effects.push(Effect::Wake { after: until - now });
                }
                Input::Part(new) => self.push(new, now, &mut effects),
                Input::Outcome(outcome) => {
                    let Some(id) = self.owner.get(&outcome.part) else { continue };
                    let Some((.., parts)) = self.open.get_mut(id) else { continue };
                    let ok = outcome.end == PushEnd::Finished;
                    parts.iter_mut().filter(|p| p.0 == outcome.part).for_each(|p| p.2 = Some(ok));
                }
                _ => {}
            }
        }
        self.finish(now, &mut effects);
        effects
    }

    fn push(&mut self, new: &NewPart, now: Tenths, effects: &mut Vec<Effect>) {
        let Some(id) = self.groups.get(&new.group).copied() else { return };
        let cells: BTreeSet<CellNo> = self.layout.cells_of(new.shard).collect();
        let holders: Vec<NodeId> =
            self.nodes.iter().filter(|(_, cell)| cells.contains(cell)).map(|(node, _)| *node).collect();
        let Some((_, until, parts)) = self.open.get_mut(&id) else { return };
        self.owner.insert(new.id, id);
        if holders.is_empty() {
            return parts.push((new.id, new.weight, Some(false)));
        }
        parts.push((new.id, new.weight, None));
        let node = holders[self.rng.usize(..holders.len())];
        effects.push(Effect::Push { part: new.id, node, time_out: (*until - now).max(Tenths(1)) });
    }

    fn finish(&mut self, now: Tenths, effects: &mut Vec<Effect>) {
        let mut over = Vec::new();
        for (id, (category, until, parts)) in &self.open {
            let came: f64 = parts.iter().filter(|p| p.2 == Some(true)).map(|p| p.1).sum();
            let least = self.categories.get(category).map_or(1.0, |c| c.least_share);
            let settled = parts.iter().all(|p| p.2.is_some());
            if settled || now >= *until {
                let whole = came + 0.00005 >= 1.0;
                effects.push(match came + 0.00005 >= least {
                    true => Effect::Answer { retrieval: *id, whole },
                    false => Effect::Decline { retrieval: *id, stay_away: Tenths::ZERO },
                });
                over.push(*id);
            }
        }
        over.into_iter().for_each(|id| _ = self.open.remove(&id));
    }
}

impl Outcome {
    /// The worst window of ten seconds in which anything much was asked.
    pub fn worst_window(&self) -> f64 {
        let mean = self.service.asked / self.windows.len().max(1) as f64;
        let full = self.windows.iter().filter(|window| window.asked >= mean / 2.0);
        full.map(Service::share).fold(1.0, f64::min)
    }

    pub fn json(&self) -> Value {
        let shares = |all: &[Service]| all.iter().map(Service::share).collect::<Vec<_>>();
        let ms = |quantile: f64| self.latency.value_at_quantile(quantile) as f64 / 10.0;
        json!({"service": self.service.share(), "by_category": shares(&self.by_category),
            "by_caller": shares(&self.by_caller), "worst_10_s": self.worst_window(),
            "retrievals": self.retrievals, "answered": self.answered, "declined": self.declined,
            "scrapped": self.scrapped, "pushes": self.pushes, "broken": self.broken,
            "latency_ms": {"median": ms(0.5), "p99": ms(0.99), "most": self.latency.max() as f64 / 10.0},
            "digest": self.digest})
    }
}

#[cfg(test)]
mod tests;
