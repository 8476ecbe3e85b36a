//! The model of a node.

use crate::job::{Job, JobId, SubmitOutcome};
use crate::load_report::LoadReport;
use crate::node_spec::{CancelPolicy, NodeSpec};
use crate::node_state::{LifecycleEvent, NodeState};
use routing::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: TimeSpan = TimeSpan(10_000);

/// The least share of its speed to which a node can be slowed down.
const MIN_SPEED: f64 = 0.01;

/// A node whose driver passes the time in.
#[derive(Clone, Debug)]
pub struct EmulatedNode {
    spec: NodeSpec,
    state: NodeState,
    /// When its process started; none: long ago.
    started_at: Option<Timestamp>,
    /// The share of its full speed.
    speed: f64,
    running: BTreeSet<(Timestamp, JobId)>,
    completion_times: BTreeMap<JobId, Timestamp>,
    queue: VecDeque<Job>,
    /// Completions in the last second.
    recent_completions: VecDeque<Timestamp>,
    /// Work sent to it over the overload window while it warms up, in microseconds.
    recent_work: VecDeque<(Timestamp, u64)>,
    paused_until: Option<Timestamp>,
    /// Jobs that completed since it started.
    completed_jobs: u32,
    /// What was sent to it while warming up over the last window, of what makes it collapse.
    overload_ratio: f64,
}

impl EmulatedNode {
    /// A node that runs. `started_at` none: since long ago, and warmed up.
    pub fn new(spec: NodeSpec, started_at: Option<Timestamp>) -> EmulatedNode {
        EmulatedNode {
            spec,
            state: NodeState::Ready,
            started_at,
            speed: 1.0,
            running: BTreeSet::new(),
            completion_times: BTreeMap::new(),
            queue: VecDeque::new(),
            recent_completions: VecDeque::new(),
            recent_work: VecDeque::new(),
            paused_until: None,
            completed_jobs: 0,
            overload_ratio: 0.0,
        }
    }

    /// Whether it takes jobs.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// When its process started; none: long ago.
    pub fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Moves it to its next state; whether anything changed.
    fn handle(&mut self, event: LifecycleEvent) -> bool {
        let next = self.state.after(event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    // ---- lifecycle

    /// Starts a new process under the same name, which has to warm up.
    pub fn start(&mut self, now: Timestamp) {
        if self.handle(LifecycleEvent::Start) {
            self.started_at = Some(now);
            self.speed = 1.0;
            self.completed_jobs = 0;
            self.recent_work.clear();
        }
    }

    /// From now on it takes nothing new.
    pub fn drain(&mut self) {
        self.handle(LifecycleEvent::Drain);
    }

    /// Ends the process; the jobs that are lost by that, in the order of their ids.
    pub fn crash(&mut self) -> Vec<JobId> {
        if !self.handle(LifecycleEvent::Crash) {
            return Vec::new();
        }
        self.running.clear();
        self.paused_until = None;
        let mut lost: Vec<JobId> = std::mem::take(&mut self.completion_times).into_keys().collect();
        lost.extend(self.queue.drain(..).map(|job| job.id));
        lost.sort();
        lost
    }

    /// From now on it has this share of its full speed; running jobs keep the speed that they started with.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.clamp(MIN_SPEED, 1.0);
    }

    /// Pauses it until then: running jobs take so much longer, and no other starts.
    pub fn pause(&mut self, now: Timestamp, until: Timestamp) {
        let paused_since = self.paused_until.filter(|paused_until| *paused_until > now).unwrap_or(now);
        if until > paused_since && self.state != NodeState::Down {
            self.paused_until = Some(until);
            let postponed = |completion: Timestamp| completion + (until - paused_since);
            self.running =
                self.running.iter().map(|(completion, job)| (postponed(*completion), *job)).collect();
            self.completion_times.values_mut().for_each(|completion| *completion = postponed(*completion));
        }
    }

    // ---- capacity

    /// The share of its full capacity that it has now.
    pub fn capacity_ratio(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else { return self.speed };
        let progress = match self.spec.warm_up_jobs {
            Some(jobs) => f64::from(self.completed_jobs) / f64::from(jobs.max(1)),
            None => (now - started_at).max(TimeSpan::ZERO).ratio_to(self.spec.warm_up_period),
        };
        let initial = self.spec.initial_capacity_share;
        self.speed * (initial + (1.0 - initial) * progress.min(1.0))
    }

    /// Whether its process started less than the warm-up period ago.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.started_at.is_some_and(|started_at| now - started_at < self.spec.warm_up_period)
    }

    /// What was sent to it over the window, as of the last job that came while it warmed up: 1 is where it
    /// collapses.
    pub fn overload_ratio(&self) -> f64 {
        self.overload_ratio
    }

    /// Counts work that was sent while it warms up; whether that is more over the window than it bears.
    fn collapses_by(&mut self, now: Timestamp, work_us: u64) -> bool {
        let window = self.spec.overload_window;
        while self.recent_work.pop_front_if(|(at, _)| *at < now - window).is_some() {}
        self.recent_work.push_back((now, work_us));
        let sent_us: u64 = self.recent_work.iter().map(|(_, work_us)| work_us).sum();
        let capacity_us = self.spec.cores as f64 * self.capacity_ratio(now) * window.as_ms() * 1000.0;
        self.overload_ratio = sent_us as f64 / (self.spec.overload_factor * capacity_us).max(1.0);
        self.overload_ratio > 1.0
    }

    // ---- jobs

    /// Submits a job of so many microseconds at full speed.
    pub fn submit(&mut self, now: Timestamp, job: JobId, work_us: u64) -> SubmitOutcome {
        self.submit_counted_as(now, job, work_us, work_us)
    }

    /// As [`EmulatedNode::submit`], for a job that counts as `counted_us` of work towards a collapse: that
    /// rule counts a shard request by its class's mean work, as no broker can know more of it.
    pub fn submit_counted_as(
        &mut self,
        now: Timestamp,
        job: JobId,
        work_us: u64,
        counted_us: u64,
    ) -> SubmitOutcome {
        if self.state == NodeState::Down {
            return SubmitOutcome::Unreachable;
        }
        // Every job that reaches it counts, refused ones too.
        if self.is_warming_up(now) && self.collapses_by(now, counted_us) {
            return SubmitOutcome::Collapsed;
        }
        if self.state == NodeState::Draining {
            return SubmitOutcome::Refused;
        }
        let job = Job { id: job, work_us };
        if self.running.len() < self.spec.cores {
            self.start_job(now, job);
            SubmitOutcome::Started
        } else if self.queue.len() < self.spec.queue_capacity {
            self.queue.push_back(job);
            SubmitOutcome::Queued
        } else {
            SubmitOutcome::Refused
        }
    }

    fn start_job(&mut self, now: Timestamp, job: Job) {
        let duration = (job.work_us as f64 / 100.0 / self.capacity_ratio(now)).ceil() as i64;
        let starts_at = self.paused_until.map_or(now, |paused_until| paused_until.max(now));
        let completion = starts_at + TimeSpan(duration.max(1));
        self.running.insert((completion, job.id));
        self.completion_times.insert(job.id, completion);
    }

    fn start_next_queued(&mut self, now: Timestamp) {
        if let Some(job) = self.queue.pop_front() {
            self.start_job(now, job);
        }
    }

    /// When the next job completes.
    pub fn next_completion(&self) -> Option<Timestamp> {
        self.running.first().map(|(completion, _)| *completion)
    }

    /// Completes a job that is due, and starts the next in the queue; none: no job is due.
    pub fn complete(&mut self, now: Timestamp) -> Option<JobId> {
        self.running.first().filter(|(completion, _)| *completion <= now)?;
        let (_, job) = self.running.pop_first()?;
        self.completion_times.remove(&job);
        self.recent_completions.push_back(now);
        self.completed_jobs = self.completed_jobs.saturating_add(1);
        while self.recent_completions.pop_front_if(|at| *at < now - SECOND).is_some() {}
        self.start_next_queued(now);
        Some(job)
    }

    /// Cancels a job: a waiting one is dropped, a running one ended, as far as [`NodeSpec::cancel`] has it.
    /// Whether it is gone by that.
    pub fn cancel(&mut self, now: Timestamp, job: JobId) -> bool {
        let is_running = self.completion_times.contains_key(&job);
        if self.spec.cancel == CancelPolicy::DropNone
            || is_running && self.spec.cancel == CancelPolicy::DropQueued
        {
            return false;
        }
        if let Some(completion) = self.completion_times.remove(&job) {
            self.running.remove(&(completion, job));
            self.start_next_queued(now);
            return true;
        }
        let queued_before = self.queue.len();
        self.queue.retain(|queued| queued.id != job);
        self.queue.len() < queued_before
    }

    /// Its load at this moment.
    pub fn load(&self, now: Timestamp) -> LoadReport {
        let completed_per_s = self.recent_completions.iter().filter(|at| **at >= now - SECOND).count();
        let queued = self.queue.len();
        LoadReport { queued, completed_per_s, in_flight: self.running.len() + queued }
    }
}
