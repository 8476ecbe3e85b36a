//! The model of a node: its queue, cores, warm-up, overload and lifecycle.

use crate::job::{Job, JobId, SubmitOutcome};
use crate::load_report::LoadReport;
use crate::node_spec::{CancelPolicy, NodeSpec};
use crate::node_state::{LifecycleEvent, NodeState};
use routing::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: TimeSpan = TimeSpan(10_000);

/// The minimum speed of a node, as a fraction of its full speed.
const MIN_SPEED: f64 = 0.01;

/// The model of a node. Each method that depends on the time receives it from the caller, which also has to call
/// [`EmulatedNode::complete`] when jobs are due.
#[derive(Clone, Debug)]
pub struct EmulatedNode {
    spec: NodeSpec,
    state: NodeState,
    /// The time when the process started, or `None` if the node was warm from the beginning.
    started_at: Option<Timestamp>,
    /// The current speed, as a fraction of the full speed.
    speed: f64,
    running: BTreeSet<(Timestamp, JobId)>,
    completion_times: BTreeMap<JobId, Timestamp>,
    queue: VecDeque<Job>,
    /// The times of the completions in the last second.
    recent_completions: VecDeque<Timestamp>,
    /// The work received within the overload window during warm-up, in microseconds, with the times of receipt.
    recent_work: VecDeque<(Timestamp, u64)>,
    paused_until: Option<Timestamp>,
    /// The number of jobs completed since the process started.
    completed_jobs: u32,
    /// The work in `recent_work` when the last job was added to it, divided by the work above which the node
    /// collapses.
    overload_ratio: f64,
}

impl EmulatedNode {
    /// Creates a ready node. With `started_at`, it warms up from that time; with `None`, it is warm.
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

    /// Returns the lifecycle state, which determines whether the node accepts jobs.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Returns the time when the process started, or `None` if the node was warm from the beginning.
    pub fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Applies a lifecycle event, and returns whether it changed the state.
    fn handle(&mut self, event: LifecycleEvent) -> bool {
        let next = self.state.after(event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    // ---- lifecycle

    /// Starts a new process of a node that is down. It runs at full speed and has to warm up. Does nothing in other
    /// states.
    pub fn start(&mut self, now: Timestamp) {
        if self.handle(LifecycleEvent::Start) {
            self.started_at = Some(now);
            self.speed = 1.0;
            self.completed_jobs = 0;
            self.recent_work.clear();
        }
    }

    /// Starts draining: the node refuses new jobs and completes those that it has accepted.
    pub fn drain(&mut self) {
        self.handle(LifecycleEvent::Drain);
    }

    /// Ends the process, and returns the lost jobs in ascending order of their ids.
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

    /// Sets the speed, as a fraction of the full speed, clamped to 0.01 to 1. Running jobs keep the speed with which
    /// they were started.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.clamp(MIN_SPEED, 1.0);
    }

    /// Pauses the node from `now` until `until`. Running jobs complete later by the length of the pause, and no
    /// other job starts before its end.
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

    /// Returns the current capacity as a fraction of the full capacity, from the speed and the progress of warm-up.
    pub fn capacity_ratio(&self, now: Timestamp) -> f64 {
        let Some(started_at) = self.started_at else { return self.speed };
        let progress = match self.spec.warm_up_jobs {
            Some(jobs) => f64::from(self.completed_jobs) / f64::from(jobs.max(1)),
            None => (now - started_at).max(TimeSpan::ZERO).ratio_to(self.spec.warm_up_period),
        };
        let initial = self.spec.initial_capacity_share;
        self.speed * (initial + (1.0 - initial) * progress.min(1.0))
    }

    /// Returns whether the process started less than the warm-up period ago.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.started_at.is_some_and(|started_at| now - started_at < self.spec.warm_up_period)
    }

    /// Returns the overload ratio when the last job during warm-up was received: the work received within the
    /// overload window up to then, that job included, divided by the work above which the node collapses. Returns 0
    /// if no job has been received during warm-up.
    pub fn overload_ratio(&self) -> f64 {
        self.overload_ratio
    }

    /// Records work received during warm-up, and returns whether the work within the overload window makes the node
    /// collapse.
    fn record_warm_up_work(&mut self, now: Timestamp, work_us: u64) -> bool {
        let window = self.spec.overload_window;
        while self.recent_work.pop_front_if(|(at, _)| *at < now - window).is_some() {}
        self.recent_work.push_back((now, work_us));
        let sent_us: u64 = self.recent_work.iter().map(|(_, work_us)| work_us).sum();
        let capacity_us = self.spec.cores as f64 * self.capacity_ratio(now) * window.as_ms() * 1000.0;
        self.overload_ratio = sent_us as f64 / (self.spec.overload_factor * capacity_us).max(1.0);
        self.overload_ratio > 1.0
    }

    // ---- jobs

    /// Submits a job that takes `work_us` microseconds at full capacity.
    pub fn submit(&mut self, now: Timestamp, job: JobId, work_us: u64) -> SubmitOutcome {
        self.submit_with_warm_up_work(now, job, work_us, work_us)
    }

    /// Submits a job as [`EmulatedNode::submit`] does, but adds `warm_up_work_us` instead of `work_us` to the work
    /// from which a collapse during warm-up is determined. The collapse rule counts a shard request by the mean work
    /// of its class, as a broker can't know its actual work.
    pub fn submit_with_warm_up_work(
        &mut self,
        now: Timestamp,
        job: JobId,
        work_us: u64,
        warm_up_work_us: u64,
    ) -> SubmitOutcome {
        if self.state == NodeState::Down {
            return SubmitOutcome::Unreachable;
        }
        // Every job that reaches the node counts, including those that are refused.
        if self.is_warming_up(now) && self.record_warm_up_work(now, warm_up_work_us) {
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

    /// Returns the time when the next job completes, or `None` if no job is running.
    pub fn next_completion(&self) -> Option<Timestamp> {
        self.running.first().map(|(completion, _)| *completion)
    }

    /// Completes the first job that is due, starts the next queued job, and returns the completed one. Returns `None`
    /// if no job is due.
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

    /// Cancels a queued or running job as far as [`NodeSpec::cancel`] permits, and returns whether it was removed.
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

    /// Returns the load at `now`.
    pub fn load(&self, now: Timestamp) -> LoadReport {
        let completed_per_s = self.recent_completions.iter().filter(|at| **at >= now - SECOND).count();
        let queued = self.queue.len();
        LoadReport { queued, completed_per_s, in_flight: self.running.len() + queued }
    }
}
