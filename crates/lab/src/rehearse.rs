//! A plan played in virtual time: brokers of the product's own module, unchanged, or a baseline; model hosts;
//! a roll that is late as discovery is. The rules are checked by what hosts and clients got, not by the
//! brokers' word. One thread, one agenda: the same plan and seed give the same decisions, to the byte.

use crate::audit::{Audit, Final, PartNo};
use crate::baseline::{Baseline, How};
use crate::outcome::{Of, Outcome, Standings};
use crate::scene::{self, PERIOD, ROLL_LATE, TRIP};
use barleydrum::{
    Broker, CallerNo, CategoryNo, CellNo, Effect, GroupNo, Input, NewPart, NewRetrieval, NodeId, PartId,
    PushEnd, PushNo, PushOutcome, RetrievalId, Roll, RollEntry, RollKind, ShardNo, Standing, Tenths, ZoneNo,
};
use ledger_host::{Host, JobNo, State, Taken};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use trace::plan::{Happens, HostEvent, Plan, Staging};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Mind {
    Module,
    /// Each part to a holder drawn at random, once.
    Random,
    /// The design's ordinary path, without the module's exceptions.
    Design,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Entry(usize),
    Turn(usize),
    Arrive {
        broker: usize,
        part: PartId,
        push: PushNo,
        host: usize,
    },
    Withdrawn {
        broker: usize,
        part: PartId,
        push: PushNo,
    },
    HostEnd(usize),
    Back {
        broker: usize,
        part: PartId,
        push: PushNo,
        end: u8,
    },
    TimeOut {
        broker: usize,
        part: PartId,
        push: PushNo,
    },
    Told {
        host: usize,
    },
    /// The second is over.
    Tick,
}

/// Ends as they travel.
const ENDS: [PushEnd; 5] =
    [PushEnd::Finished, PushEnd::Full, PushEnd::TimedOut, PushEnd::NoConnection, PushEnd::Dropped];

const SECOND: Tenths = Tenths(10_000);
/// How long after its last entry a day goes on: longer than any cut-off.
const REST: Tenths = Tenths(200_000);

struct Part {
    us: u64,
    /// Where each push went, when, and whether its end was told.
    pushes: Vec<(usize, Tenths, bool)>,
    came: bool,
}

struct Retrieval {
    broker: usize,
    of: Of,
    parts: std::ops::Range<usize>,
}

enum Decider {
    Module(Box<Broker>),
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
    hosts: Vec<Host>,
    host_due: Vec<Option<Tenths>>,
    /// What the roll last told of each host, and when.
    told: Vec<(Standing, Tenths)>,
    host_jobs: BTreeMap<JobNo, (usize, PartId, PushNo, usize)>,
    next_job: u64,
    jobs_of: BTreeMap<(usize, PartId, PushNo), JobNo>,
    /// By their ids, which count up from 0.
    parts: Vec<Part>,
    retrievals: Vec<Retrieval>,
    cut_offs: Vec<Tenths>,
    hasher: blake3::Hasher,
    audit: Audit,
    outcome: Outcome,
}

impl World {
    pub fn new(plan: Plan, staging: &Staging, cast: Cast) -> World {
        let prescription = scene::prescription(staging, &cast);
        let cut_offs = prescription.categories.values().map(|category| category.cut_off).collect();
        let seat = |no: u32| {
            let seed = cast.seed ^ u64::from(no).rotate_left(32);
            let baseline = |how| Decider::Baseline(Box::new(Baseline::new(how, &prescription, seed)));
            let decider = match cast.mind {
                Mind::Module => {
                    Decider::Module(Box::new(Broker::start(prescription.clone(), seed, Tenths(0))))
                }
                Mind::Random => baseline(How::Random),
                Mind::Design => baseline(How::Design),
            };
            Seat { decider, heard: Vec::new(), last_turn: Tenths(-PERIOD.0), turn_at: None, wake_at: None }
        };
        let seats = (0..cast.brokers).map(seat).collect();
        let hosts: Vec<Host> = (0..staging.hosts).map(|_| scene::dead_host(&cast)).collect();
        let mut world = World {
            now: Tenths(0),
            order: 0,
            agenda: BinaryHeap::new(),
            plan,
            seats,
            host_due: vec![None; hosts.len()],
            told: vec![(Standing::Gone, Tenths(0)); hosts.len()],
            hosts,
            host_jobs: BTreeMap::new(),
            next_job: 0,
            jobs_of: BTreeMap::new(),
            parts: Vec::new(),
            retrievals: Vec::new(),
            cut_offs,
            hasher: blake3::Hasher::new(),
            audit: Audit::new(scene::bounds(staging, TRIP), cast.brokers as usize),
            outcome: Outcome::new(scene::worth(staging), staging.callers.len()),
            cast,
        };
        for at in 0..world.plan.entries.len() {
            let when = Tenths(world.plan.entries[at].at as i64);
            world.at(when, Event::Entry(at));
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
        }
        self.outcome.broken = self.audit.broken().clone();
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
                        self.audit.made(self.now, PartNo(part.0 as usize));
                        self.at(self.now + TRIP, Event::Back { broker, part, push, end: 0 });
                    }
                }
                self.plan_end(host);
            }
            Event::Back { broker, part, push, end } => self.back(broker, part, push, ENDS[end as usize]),
            Event::TimeOut { broker, part, push } => self.back(broker, part, push, PushEnd::TimedOut),
            Event::Told { host } => self.tell(host),
            Event::Tick => {}
        }
    }

    fn ask(&mut self, category: usize, caller: usize, told: &[(u32, f64, u64)]) {
        let no = self.retrievals.len();
        let broker = no % self.seats.len();
        let of = Of { category, caller, at: self.now };
        self.outcome.ask(of);
        let weights: Vec<f64> = told.iter().map(|(_, weight, _)| *weight).collect();
        let PartNo(first) = self.audit.asked(self.now, broker, category, &weights);
        let (id, group) = (RetrievalId(no as u64), GroupNo(no as u32));
        let (time_left, work) = (self.cut_offs[category], Tenths::ZERO);
        let (category, caller) = (CategoryNo(category as u16), CallerNo(caller as u32));
        let new = NewRetrieval { id, group, category, caller, time_left, work };
        self.hear(broker, Input::Retrieval(new));
        for (part, (shard, weight, us)) in (first..).zip(told) {
            self.parts.push(Part { us: *us, pushes: Vec::new(), came: false });
            let (id, shard, weight) = (PartId(part as u64), ShardNo(*shard), *weight);
            self.hear(broker, Input::Part(NewPart { id, group, shard, weight }));
        }
        self.retrievals.push(Retrieval { broker, of, parts: first..first + told.len() });
    }

    // ---- hosts

    fn host_event(&mut self, host: usize, event: HostEvent) {
        match event {
            HostEvent::Warm => {
                self.hosts[host] = scene::warm_host(&self.cast);
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
        let standing = scene::standing(self.hosts[host].state());
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
        if let Some(end) = self.hosts[host].next_end()
            && self.host_due[host].is_none_or(|due| due != end)
        {
            self.host_due[host] = Some(end);
            self.at(end, Event::HostEnd(host));
        }
    }

    fn arrive(&mut self, broker: usize, part: PartId, push: PushNo, host: usize) {
        let no = PartNo(part.0 as usize);
        self.audit.arrived(self.now, no, self.told[host]);
        self.next_job += 1;
        let job = JobNo(self.next_job);
        let us = self.parts[no.0].us;
        let end = match self.hosts[host].take(self.now, job, us) {
            Taken::Begun | Taken::Queued => {
                self.audit.taken(self.now, no);
                self.host_jobs.insert(job, (broker, part, push, host));
                self.jobs_of.insert((broker, part, push), job);
                return self.plan_end(host);
            }
            Taken::Refused => 1,
            Taken::Unreachable => 3,
            Taken::FellOver => {
                self.audit.fell_over(self.now);
                self.fall(host);
                4
            }
        };
        self.at(self.now + TRIP, Event::Back { broker, part, push, end });
    }

    /// A push's one end reaches its broker; what comes later is nobody's.
    fn back(&mut self, broker: usize, id: PartId, push: PushNo, end: PushEnd) {
        let Some(part) = self.parts.get_mut(id.0 as usize) else { return };
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
        seat.wake_at = seat.wake_at.filter(|at| *at > self.now);
        let mut heard = std::mem::take(&mut seat.heard);
        for input in &mut heard {
            if let Input::Retrieval(new) = input {
                // What is left of its time by now.
                let asked = self.retrievals.get(new.id.0 as usize).map_or(self.now, |r| r.of.at);
                new.time_left = (new.time_left - (self.now - asked)).max(Tenths::ZERO);
            }
        }
        heard.push(Input::Woken);
        let effects = match &mut seat.decider {
            Decider::Module(module) => module.turn(self.now, &heard),
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
            Effect::Push { part: id, node, time_out } => {
                let now = self.now;
                let Some(part) = self.parts.get_mut(id.0 as usize) else { return };
                let push = PushNo(part.pushes.len() as u16);
                part.pushes.push((node.0 as usize, now, true));
                self.outcome.push(now);
                let host = node.0 as usize;
                self.at(now + TRIP, Event::Arrive { broker, part: id, push, host });
                self.at(now + time_out, Event::TimeOut { broker, part: id, push });
            }
            Effect::Withdraw { part, push } => {
                self.at(self.now + TRIP, Event::Withdrawn { broker, part, push });
                // A withdrawn push has its end at once, as far as its broker goes.
                self.back(broker, part, push, PushEnd::Withdrawn);
            }
            Effect::Answer { retrieval, whole } => {
                let parts = self.retrievals.get(retrieval.0 as usize).map_or(0..0, |r| r.parts.clone());
                let held = parts.filter(|part| self.parts[*part].came).map(PartNo).collect();
                self.ends(broker, retrieval, &Final::Answered { whole, held });
            }
            Effect::Decline { retrieval, .. } => self.ends(broker, retrieval, &Final::Declined),
            Effect::Scrap { retrieval } => self.ends(broker, retrieval, &Final::Scrapped),
            Effect::Wake { after } => {
                let at = (self.now + after).max(self.now + PERIOD);
                let seat = &mut self.seats[broker];
                seat.wake_at = Some(seat.wake_at.map_or(at, |sooner| sooner.min(at)));
            }
            Effect::CloseIdle { .. } | Effect::FollowRoll | Effect::Say(_) => {}
        }
    }

    fn ends(&mut self, broker: usize, id: RetrievalId, end: &Final) {
        let mine = self.retrievals.get(id.0 as usize).filter(|retrieval| retrieval.broker == broker);
        let (no, of) = mine.map_or((usize::MAX, None), |retrieval| (id.0 as usize, Some(retrieval.of)));
        let Some((share, of)) = self.audit.ends(self.now, no, end).zip(of) else { return };
        match end {
            Final::Answered { .. } => self.outcome.answer(self.now, of, share),
            Final::Declined => self.outcome.decline(self.now, of),
            Final::Scrapped => self.outcome.scrap(self.now),
        }
    }
}

impl Standings {
    pub fn of(hosts: &[Host], now: Tenths) -> Standings {
        let mut standings = Standings::default();
        for host in hosts {
            let count = match host.state() {
                State::Ready if host.is_cold(now) => &mut standings.cold,
                State::Ready => &mut standings.warm,
                State::Draining => &mut standings.draining,
                State::Dead => &mut standings.gone,
            };
            *count += 1;
        }
        standings
    }
}

#[cfg(test)]
mod tests;
