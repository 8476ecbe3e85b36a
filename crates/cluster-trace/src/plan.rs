//! The rehearsal plan: what the rows of a window become for brokers and hosts. Decisions only; the same rows,
//! assumptions and seed give the same plan, byte for byte.
//!
//! What is the trace's: when work arrives, how much it is beside the rest, whose it is, when machines come
//! and go. What no trace has is an assumption, told with the plan: shard requests, weights, shards, priority weight, deadline
//! ([`Staging`]).

use crate::judge::{Id, MachineEvent, Row, What, WorkEvent};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// What the plan assumes, beside the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Staging {
    pub seed: u64,
    /// The window, in microseconds of the trace's clock.
    pub from: u64,
    pub to: u64,
    /// One second of the trace takes so many of the rehearsal.
    pub stretch: f64,
    /// The share of jobs that are in; a job is in or out whole.
    pub sample: f64,
    /// Work offered on average, as a share of what the hosts can do.
    pub load: f64,
    pub hosts: u32,
    /// Milliseconds of work that one host does in a second.
    pub host_ms_per_s: f64,
    pub shards: u32,
    pub classes: Vec<Cast>,
    /// The tenants' shares of the trace's users: a user is one tenant's, always.
    pub tenants: Vec<f64>,
    /// Queries a second that all tenants together may ask, split by their shares; none: no quotas.
    pub quota_per_s: Option<f64>,
    /// The share of removed machines that drain first; the others die.
    pub drains: f64,
    /// Tenths of a millisecond from a drain to the host's end.
    pub drain_for: u64,
    /// None: none is stated.
    pub budget: Option<Budget>,
    /// Entries at the most.
    pub most: usize,
}

/// A class, and what its queries are assumed to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Cast {
    pub name: String,
    /// Of the trace's classes, the share that falls to it.
    pub share: f64,
    /// Parts, from and to.
    pub shard_requests: (u32, u32),
    /// Weights fall as 1 / rank to this power; 0 for even ones.
    pub skew: f64,
    /// Milliseconds.
    pub deadline: u32,
    pub priority_weight: f64,
    /// The minimum coverage of the weight that an answer may hold.
    pub least: f64,
    pub repeats: Repeats,
}

impl Cast {
    /// A class whose queries may run again, with five seconds to its deadline.
    pub fn reissuable(
        name: &str,
        share: f64,
        shard_requests: (u32, u32),
        skew: f64,
        (priority_weight, least): (f64, f64),
    ) -> Cast {
        let (name, repeats) = (name.to_owned(), Repeats::Reissuable);
        Cast { name, share, shard_requests, skew, deadline: 5000, priority_weight, least, repeats }
    }
}

/// What a repeat of a shard request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    Reissuable,
    /// Dropped for so many milliseconds from the first that may have run.
    Numbered(u32),
    AtMostOnce,
}

impl fmt::Display for Repeats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Repeats::Reissuable => f.write_str("reissuable"),
            Repeats::Numbered(window) => write!(f, "numbered, repeats dropped for {window} ms"),
            Repeats::AtMostOnce => f.write_str("at-most-once"),
        }
    }
}

/// A stated budget for attempts beyond a shard request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub few: f64,
    /// Of the queries and shard requests taken in the window.
    pub share: f64,
    pub window_ms: u32,
}

/// One thing that happens in a rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Tenths of a millisecond from the beginning.
    pub at: u64,
    pub what: Happens,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Happens {
    Ask {
        class: usize,
        tenant: usize,
        /// Shard, weight and microseconds of work of each shard request, heaviest first.
        shard_requests: Vec<(u32, f64, u64)>,
    },
    Host {
        host: u32,
        event: HostEvent,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostEvent {
    /// It is there from the beginning, warm.
    Warm,
    /// It starts, cold.
    Start,
    /// It wants nothing new, and ends after the stated time.
    Drain,
    Death,
    /// It does this share of what it did at first.
    Slow(f64),
}

/// Why there is no plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum NoPlan {
    #[error("more than {0} entries: take a shorter window, or a smaller sample")]
    Long(usize),
    #[error("no work in the window from {from} us to {to} us")]
    Empty { from: u64, to: u64 },
    #[error("`{0}` makes no sense")]
    Staging(&'static str),
}

/// What a rehearsal plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// In the order of their times.
    pub entries: Vec<Entry>,
    /// Jobs that were left out by the sample, and machines beyond the hosts.
    pub jobs_out: u64,
    pub machines_out: u64,
    /// Queries that were running when the window began.
    pub running: u64,
    /// Milliseconds of work for one unit of the trace's.
    pub ms_per_unit: f64,
}

/// Work of which the trace does not tell counts as this, in the trace's unit: the least that is told of in
/// practice.
const SILENT: f64 = 0.01;
/// A shard request's work is this long at the least.
const LEAST_US: u64 = 50;

/// A lot that one thing always draws, by seed and purpose: from 0 to 1.
fn lot(seed: u64, purpose: u64, of: u64) -> f64 {
    let mut rng =
        fastrand::Rng::with_seed(seed ^ purpose.rotate_left(32) ^ of.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    rng.u64(..);
    rng.f64()
}

/// Purposes of lots, so that one does not follow another.
const SAMPLE: u64 = 1;
const CALLER: u64 = 2;
const CATEGORY: u64 = 3;
const PARTS: u64 = 4;
const DRAIN: u64 = 5;

/// Which of these shares a lot falls to.
fn pick(shares: impl Iterator<Item = f64> + Clone, lot: f64) -> usize {
    let total: f64 = shares.clone().sum();
    let mut left = lot * total;
    let mut last = 0;
    for (at, share) in shares.enumerate() {
        last = at;
        left -= share;
        if left < 0.0 {
            return at;
        }
    }
    last
}

/// A piece of work, in the trace's terms.
#[derive(Clone, Copy)]
struct Work {
    at: u64,
    /// In the trace's unit.
    units: f64,
    tenant: Option<Id>,
    class: Option<Id>,
    /// Its job and task in one number.
    piece: u64,
}

/// Takes rows, in the order of their times or not, and makes the plan of them.
pub struct Planner {
    staging: Staging,
    /// Work that begins in the window, or runs as it begins.
    work: Vec<Work>,
    /// Scheduled before the window, and not yet ended, by job and task.
    running: BTreeMap<(Option<Id>, Option<Id>), Work>,
    jobs_out: u64,
    /// Hosts by machine, and each machine's first size; those beyond the hosts have none.
    cast: BTreeMap<Option<Id>, (u32, f64)>,
    machines_out: u64,
    /// Events of hosts, with those before the window.
    hosts: Vec<(u64, u32, HostEvent)>,
}

impl Planner {
    pub fn new(staging: Staging) -> Result<Planner, NoPlan> {
        let wrong = [
            (staging.to <= staging.from, "window"),
            (!(staging.stretch > 0.0 && staging.stretch.is_finite()), "stretch"),
            (!(0.0..=1.0).contains(&staging.sample), "sample"),
            (!(staging.load > 0.0 && staging.load.is_finite()), "load"),
            (staging.hosts == 0, "hosts"),
            (staging.shards == 0, "shards"),
            (staging.classes.is_empty(), "categories"),
            (
                staging
                    .classes
                    .iter()
                    .any(|c| c.shard_requests.0 == 0 || c.shard_requests.1 < c.shard_requests.0),
                "parts",
            ),
            (staging.classes.iter().any(|c| c.shard_requests.1 > staging.shards), "parts"),
            (staging.tenants.is_empty(), "callers"),
        ];
        if let Some((_, name)) = wrong.into_iter().find(|(wrong, _)| *wrong) {
            return Err(NoPlan::Staging(name));
        }
        Ok(Planner {
            staging,
            work: Vec::new(),
            running: BTreeMap::new(),
            jobs_out: 0,
            cast: BTreeMap::new(),
            machines_out: 0,
            hosts: Vec::new(),
        })
    }

    pub fn take(&mut self, row: &Row) -> Result<(), NoPlan> {
        match row.what {
            What::Machine { event } => self.machine(row, event),
            What::Work { job, task, event, end, instances, tenant, class, .. } => {
                // A job is in or out whole, by its name alone.
                let name = job.map_or(0, |job| job.0);
                if lot(self.staging.seed, SAMPLE, name) >= self.staging.sample {
                    self.jobs_out += 1;
                    return Ok(());
                }
                let units = row.cpu.filter(|cpu| *cpu > 0.0).unwrap_or(SILENT) * instances.max(1) as f64;
                let piece = name ^ task.map_or(0, |task| task.0.rotate_left(17));
                let within = row.at >= self.staging.from && row.at < self.staging.to;
                let key = (job, task);
                let work = Work { at: row.at.max(self.staging.from), units, tenant, class, piece };
                match (event, end) {
                    // A row that tells of the whole span.
                    (_, Some(end)) if within || row.at < self.staging.from && end > self.staging.from => {
                        self.work.push(work);
                    }
                    (_, Some(_)) => {}
                    (WorkEvent::Submitted | WorkEvent::Span, None) if within => {
                        self.work.push(work);
                    }
                    (WorkEvent::Scheduled, None) if row.at < self.staging.from => {
                        self.running.insert(key, work);
                    }
                    (
                        WorkEvent::Stopped | WorkEvent::Failed | WorkEvent::Finished | WorkEvent::Lost,
                        None,
                    ) if row.at < self.staging.from => {
                        self.running.remove(&key);
                    }
                    _ => {}
                }
            }
        }
        let held = self.work.len() + self.running.len() + self.hosts.len();
        if held > self.staging.most { Err(NoPlan::Long(self.staging.most)) } else { Ok(()) }
    }

    /// The first machines to come are the hosts, as many as there are; the others are left out, and counted.
    fn machine(&mut self, row: &Row, event: MachineEvent) {
        if row.at >= self.staging.to {
            return;
        }
        let size = row.cpu.unwrap_or(1.0).max(SILENT);
        let next = self.cast.len() as u32;
        if !self.cast.contains_key(&row.machine) {
            if next >= self.staging.hosts || event != MachineEvent::Added {
                self.machines_out += 1;
                return;
            }
            self.cast.insert(row.machine, (next, size));
        }
        let Some(&(host, first)) = self.cast.get(&row.machine) else { return };
        let name = row.machine.map_or(0, |machine| machine.0) ^ row.at;
        let event = match event {
            MachineEvent::Added => HostEvent::Start,
            MachineEvent::Updated => HostEvent::Slow((size / first).min(1.0)),
            MachineEvent::Removed if lot(self.staging.seed, DRAIN, name) < self.staging.drains => {
                HostEvent::Drain
            }
            MachineEvent::Removed => HostEvent::Death,
        };
        self.hosts.push((row.at, host, event));
    }

    /// The plan of all that was taken.
    pub fn plan(mut self) -> Result<Plan, NoPlan> {
        let Staging { from, to, .. } = self.staging;
        let running = std::mem::take(&mut self.running);
        let carried = running.len() as u64;
        self.work.extend(running.into_values());
        if self.work.is_empty() {
            return Err(NoPlan::Empty { from, to });
        }
        // One unit of the trace's becomes so much work that the window offers the stated share of what hosts
        // can do.
        let seconds = (to - from) as f64 / 1e6 * self.staging.stretch;
        let can = f64::from(self.staging.hosts) * self.staging.host_ms_per_s * seconds;
        // By time, then by name, so that the order of rows in a file does not matter, to the last bit of the
        // sum.
        self.work.sort_by_key(|work| (work.at, work.piece));
        let units: f64 = self.work.iter().map(|work| work.units).sum();
        let ms_per_unit = can * self.staging.load / units;
        let mut entries = self.host_entries();
        for (no, work) in self.work.iter().enumerate() {
            // Rows of one task that comes again are told apart by their number.
            let what = self.ask(work, work.units * ms_per_unit, no as u64);
            entries.push(Entry { at: self.scaled(work.at), what });
        }
        entries.sort_by_key(|entry| entry.at);
        let (jobs_out, machines_out) = (self.jobs_out, self.machines_out);
        Ok(Plan { entries, jobs_out, machines_out, running: carried, ms_per_unit })
    }

    /// A moment of the trace on the rehearsal's clock, in tenths of a millisecond.
    fn scaled(&self, at: u64) -> u64 {
        (at.saturating_sub(self.staging.from) as f64 / 100.0 * self.staging.stretch) as u64
    }

    /// How hosts stand as the window begins, then what becomes of them. A trace without machines has all
    /// hosts there.
    fn host_entries(&self) -> Vec<Entry> {
        let (before, within): (Vec<_>, Vec<_>) =
            self.hosts.iter().copied().partition(|(at, ..)| *at <= self.staging.from);
        let mut standing: BTreeMap<u32, (bool, f64)> = BTreeMap::new();
        for (_, host, event) in before {
            let was = standing.entry(host).or_insert((false, 1.0));
            match event {
                HostEvent::Start | HostEvent::Warm => *was = (true, 1.0),
                HostEvent::Drain | HostEvent::Death => was.0 = false,
                HostEvent::Slow(share) => was.1 = share,
            }
        }
        let entry = |at: u64, host: u32, event: HostEvent| Entry { at, what: Happens::Host { host, event } };
        let mut entries = Vec::new();
        // Hosts that the trace has no machine for are there all the while.
        let silent = (self.cast.len() as u32..self.staging.hosts).map(|host| (host, (true, 1.0)));
        for (host, (up, share)) in standing.into_iter().chain(silent) {
            entries.extend(up.then(|| entry(0, host, HostEvent::Warm)));
            entries.extend((up && share < 1.0).then(|| entry(0, host, HostEvent::Slow(share))));
        }
        for (at, host, event) in within {
            let at = self.scaled(at);
            entries.push(entry(at, host, event));
            if event == HostEvent::Drain {
                entries.push(entry(at + self.staging.drain_for, host, HostEvent::Death));
            }
        }
        entries
    }

    fn ask(&self, work: &Work, work_ms: f64, no: u64) -> Happens {
        let staging = &self.staging;
        let name = |id: Option<Id>| id.map_or(0, |id| id.0);
        let class =
            pick(staging.classes.iter().map(|c| c.share), lot(staging.seed, CATEGORY, name(work.class)));
        let tenant = pick(staging.tenants.iter().copied(), lot(staging.seed, CALLER, name(work.tenant)));
        let cast = &staging.classes[class];
        let mut rng =
            fastrand::Rng::with_seed(staging.seed ^ PARTS.rotate_left(32) ^ work.piece ^ no.rotate_left(48));
        let count = rng.u32(cast.shard_requests.0..=cast.shard_requests.1);
        let raw: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-cast.skew)).collect();
        let total: f64 = raw.iter().sum();
        let first = rng.u32(..staging.shards);
        let shard_requests = raw.iter().zip(0..).map(|(weight, rank)| {
            let us = (work_ms * 1000.0 / f64::from(count)) as u64;
            ((first + rank) % staging.shards, weight / total, us.max(LEAST_US))
        });
        Happens::Ask { class, tenant, shard_requests: shard_requests.collect() }
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} ", self.at)?;
        match &self.what {
            Happens::Host { host, event: HostEvent::Slow(share) } => write!(f, "host {host} slow {share:.4}"),
            Happens::Host { host, event } => {
                let word = match event {
                    HostEvent::Warm => "warm",
                    HostEvent::Start => "start",
                    HostEvent::Drain => "drain",
                    HostEvent::Death | HostEvent::Slow(_) => "death",
                };
                write!(f, "host {host} {word}")
            }
            Happens::Ask { class, tenant, shard_requests } => {
                write!(f, "ask {class} {tenant}")?;
                shard_requests
                    .iter()
                    .try_for_each(|(shard, weight, us)| write!(f, " {shard}:{weight:.6}:{us}"))
            }
        }
    }
}

impl Plan {
    /// BLAKE3 over the entries as they are printed, a line each.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for entry in &self.entries {
            hasher.update(entry.to_string().as_bytes()).update(b"\n");
        }
        hasher.finalize().to_hex().to_string()
    }
}
