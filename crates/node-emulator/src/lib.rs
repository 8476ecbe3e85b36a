//! A stand-in ledger host, as a model: cores, a bounded queue, service times, load reports, a cold start with
//! its warm-up, drain, death, slowness. It has no clock, no sockets and no chance: whoever drives it tells
//! the time, and asks when something is due. [`net`] drives it on a loopback socket, by frames as in the
//! protocol; [`script`] has peers on loopback that do just what they are told: hosts, discovery, clients.
//!
//! ```
//! use routing::Tenths;
//! use node_emulator::{Build, Host, JobNo, Taken};
//!
//! let mut host = Host::new(Build { cores: 1, ..Build::default() }, None);
//! assert_eq!(host.take(Tenths(0), JobNo(1), 2000), Taken::Begun);
//! assert_eq!(host.next_end(), Some(Tenths(20)));
//! assert_eq!(host.end(Tenths(20)), Some(JobNo(1)));
//! ```

pub mod net;
pub mod script;

use State::{Dead, Draining, Ready};
use routing::Tenths;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A shard request's attempt at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobNo(pub u64);

/// How a host is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    pub cores: usize,
    /// Jobs that wait at the most; one more is turned away.
    pub queue: usize,
    /// Just started it does this share of its work...
    pub initial_capacity_share: f64,
    /// ...and is warm after this; between, its share grows evenly.
    pub warm_up_period: Tenths,
    /// Sent more than this multiple of what it can do, while cold...
    pub overload_factor: f64,
    /// ...over this long, it falls over.
    pub overload_window: Tenths,
    /// So many jobs warm it, however long that takes; none: time does.
    pub warm_jobs: Option<u32>,
    pub cancel: Cancel,
}

/// What a job that is given up costs from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cancel {
    /// Nothing, wherever it was.
    #[default]
    All,
    /// What waits is forgotten; what runs goes on to its end.
    Waiting,
    /// All goes on, and is nobody's.
    Nothing,
}

impl Default for Build {
    fn default() -> Build {
        Build {
            cores: 4,
            queue: 64,
            initial_capacity_share: 0.2,
            warm_up_period: Tenths(170_000),
            overload_factor: 3.0,
            overload_window: Tenths(10_000),
            warm_jobs: None,
            cancel: Cancel::All,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    /// Finishes what it has, takes nothing new.
    Draining,
    Dead,
}

/// What became of a job that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Begun,
    Queued,
    /// Turned away unseen: the queue is full, or it is draining.
    Refused,
    /// There is no process.
    Unreachable,
    /// By this one it falls over: whoever drives it lets it die now.
    FellOver,
}

/// What a host tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub queue: usize,
    /// Jobs that ended in the last second.
    pub qps: usize,
    pub inflight: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Start,
    Drain,
    Die,
}

/// In a state, on an event: the next state. What is not here changes nothing.
#[rustfmt::skip]
const TABLE: &[(State, Event, State)] = &[
    (Dead,     Event::Start, Ready),
    (Ready,    Event::Drain, Draining),
    (Ready,    Event::Die,   Dead),
    (Draining, Event::Die,   Dead),
];

#[derive(Clone, Copy, Debug)]
struct Job {
    no: JobNo,
    /// Microseconds of work at full speed.
    us: u64,
}

#[derive(Clone, Debug)]
pub struct Host {
    build: Build,
    state: State,
    /// When its process started; none: long ago.
    started: Option<Tenths>,
    /// It does this share of what it did at first.
    speed: f64,
    running: BTreeSet<(Tenths, JobNo)>,
    ends: BTreeMap<JobNo, Tenths>,
    queue: VecDeque<Job>,
    /// Ends in the last second.
    ended: VecDeque<Tenths>,
    /// Work sent to it lately while cold, in microseconds.
    sent: VecDeque<(Tenths, u64)>,
    /// It stands still until then.
    still: Option<Tenths>,
    /// Jobs that ended since it started.
    done: u32,
    /// What was sent to it while cold over the last window, of what makes it fall over.
    strain: f64,
}

const SECOND: Tenths = Tenths(10_000);

impl Host {
    /// A host that runs; `started` none: warm, since long ago.
    pub fn new(build: Build, started: Option<Tenths>) -> Host {
        Host {
            build,
            state: Ready,
            started,
            speed: 1.0,
            running: BTreeSet::new(),
            ends: BTreeMap::new(),
            queue: VecDeque::new(),
            ended: VecDeque::new(),
            sent: VecDeque::new(),
            still: None,
            done: 0,
            strain: 0.0,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn started(&self) -> Option<Tenths> {
        self.started
    }

    /// The loop that reads `TABLE`; whether anything changed.
    fn go(&mut self, event: Event) -> bool {
        let next = TABLE.iter().find(|(state, on, _)| *state == self.state && *on == event).map(|row| row.2);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// A new process under the same name, cold.
    pub fn start(&mut self, now: Tenths) {
        if self.go(Event::Start) {
            (self.started, self.speed, self.done) = (Some(now), 1.0, 0);
            self.sent.clear();
        }
    }

    pub fn drain(&mut self) {
        self.go(Event::Drain);
    }

    /// The process is gone; what it had, in the order of the jobs' numbers.
    pub fn die(&mut self) -> Vec<JobNo> {
        if !self.go(Event::Die) {
            return Vec::new();
        }
        self.running.clear();
        self.still = None;
        let mut lost: Vec<JobNo> = std::mem::take(&mut self.ends).into_keys().collect();
        lost.extend(self.queue.drain(..).map(|job| job.no));
        lost.sort();
        lost
    }

    /// From now on it does this share of its work in the same time; what runs is not touched.
    pub fn slow(&mut self, share: f64) {
        self.speed = share.clamp(0.01, 1.0);
    }

    /// It stands still until then: what runs takes so much longer, and nothing else begins.
    pub fn stand_still(&mut self, now: Tenths, until: Tenths) {
        let since = self.still.filter(|still| *still > now).unwrap_or(now);
        if until > since && self.state != Dead {
            self.still = Some(until);
            let later = |end: Tenths| end + (until - since);
            self.running = self.running.iter().map(|(end, no)| (later(*end), *no)).collect();
            self.ends.values_mut().for_each(|end| *end = later(*end));
        }
    }

    /// The share of its work that it can do now.
    pub fn share(&self, now: Tenths) -> f64 {
        let Some(started) = self.started else { return self.speed };
        let age = match self.build.warm_jobs {
            Some(jobs) => f64::from(self.done) / f64::from(jobs.max(1)),
            None => (now - started).max(Tenths::ZERO).over(self.build.warm_up_period),
        };
        let age = age.min(1.0);
        self.speed * (self.build.initial_capacity_share + (1.0 - self.build.initial_capacity_share) * age)
    }

    pub fn is_cold(&self, now: Tenths) -> bool {
        self.started.is_some_and(|started| now - started < self.build.warm_up_period)
    }

    /// A job is sent, of so many microseconds at full speed.
    pub fn take(&mut self, now: Tenths, no: JobNo, us: u64) -> Taken {
        self.take_as(now, no, us, us)
    }

    /// The same for a job that counts as so much work where a cold host falls over: the rule counts a shard request by its
    /// class's mean work, as no broker can know more of it.
    pub fn take_as(&mut self, now: Tenths, no: JobNo, us: u64, counts: u64) -> Taken {
        if self.state == Dead {
            return Taken::Unreachable;
        }
        // Every job that reaches it weighs, refused ones too.
        if self.is_cold(now) && self.falls_by(now, counts) {
            return Taken::FellOver;
        }
        if self.state == Draining {
            return Taken::Refused;
        }
        if self.running.len() < self.build.cores {
            self.begin(now, Job { no, us });
            Taken::Begun
        } else if self.queue.len() < self.build.queue {
            self.queue.push_back(Job { no, us });
            Taken::Queued
        } else {
            Taken::Refused
        }
    }

    /// Whether what was sent to it over the window, with this, is more than it bears while cold.
    fn falls_by(&mut self, now: Tenths, us: u64) -> bool {
        let since = now - self.build.overload_window;
        while self.sent.pop_front_if(|(at, _)| *at < since).is_some() {}
        self.sent.push_back((now, us));
        let sent: u64 = self.sent.iter().map(|(_, us)| us).sum();
        let can = self.build.cores as f64 * self.share(now) * self.build.overload_window.as_ms() * 1000.0;
        self.strain = sent as f64 / (self.build.overload_factor * can).max(1.0);
        self.strain > 1.0
    }

    /// As of the last job that came while it was cold: 1 is where it falls over.
    pub fn strain(&self) -> f64 {
        self.strain
    }

    fn begin(&mut self, now: Tenths, job: Job) {
        let tenths = (job.us as f64 / 100.0 / self.share(now)).ceil() as i64;
        let begins = self.still.map_or(now, |still| still.max(now));
        let end = begins + Tenths(tenths.max(1));
        self.running.insert((end, job.no));
        self.ends.insert(job.no, end);
    }

    /// When the next job ends.
    pub fn next_end(&self) -> Option<Tenths> {
        self.running.first().map(|(end, _)| *end)
    }

    /// Ends a job that is due, and begins the next in the queue.
    pub fn end(&mut self, now: Tenths) -> Option<JobNo> {
        self.running.first().filter(|(end, _)| *end <= now)?;
        let (_, no) = self.running.pop_first()?;
        self.ends.remove(&no);
        self.ended.push_back(now);
        self.done = self.done.saturating_add(1);
        while self.ended.pop_front_if(|at| *at < now - SECOND).is_some() {}
        self.next(now);
        Some(no)
    }

    fn next(&mut self, now: Tenths) {
        if let Some(job) = self.queue.pop_front() {
            self.begin(now, job);
        }
    }

    /// A job is given up: one that waits is forgotten, one that runs is ended, as far as this host does so.
    /// Whether it is gone by that.
    pub fn give_up(&mut self, now: Tenths, no: JobNo) -> bool {
        let runs = self.ends.contains_key(&no);
        if self.build.cancel == Cancel::Nothing || runs && self.build.cancel == Cancel::Waiting {
            return false;
        }
        if let Some(end) = self.ends.remove(&no) {
            self.running.remove(&(end, no));
            self.next(now);
            return true;
        }
        let before = self.queue.len();
        self.queue.retain(|job| job.no != no);
        self.queue.len() < before
    }

    pub fn load(&self, now: Tenths) -> Load {
        let qps = self.ended.iter().filter(|at| **at >= now - SECOND).count();
        Load { queue: self.queue.len(), qps, inflight: self.running.len() + self.queue.len() }
    }
}
