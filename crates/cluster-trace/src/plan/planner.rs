//! Collects the rows of a trace and creates a replay plan from them.

use crate::plan::{
    ClassSpec, Plan, PlanEntry, PlanError, PlanEvent, PlannedNodeEvent, PlannedShardRequest, ReplayConfig,
};
use crate::row::{HashedId, MachineEvent, Row, RowDetail, WorkEvent};
use std::collections::BTreeMap;

/// The amount of work that is assumed if the trace does not state one, in the trace's unit. It is the smallest
/// amount found in real traces.
const DEFAULT_WORK_UNITS: f64 = 0.01;
/// The minimum work of a shard request, in microseconds.
const MIN_WORK_US: u64 = 50;
/// The number of microseconds, the unit of the trace's clock, in a tenth of a millisecond, the unit of the replay's
/// clock.
const US_PER_TENTH_MS: f64 = 100.0;

/// The purpose of a random draw. Draws for different purposes are independent.
#[derive(Clone, Copy)]
enum DrawPurpose {
    Sample = 1,
    Tenant = 2,
    Class = 3,
    ShardRequests = 4,
    Drain = 5,
}

/// Returns a pseudorandom number from 0 (inclusive) to 1 (exclusive) that depends only on the seed, the purpose and
/// the subject.
fn draw(seed: u64, purpose: DrawPurpose, subject: u64) -> f64 {
    let spread_subject = subject.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut rng = fastrand::Rng::with_seed(seed ^ (purpose as u64).rotate_left(32) ^ spread_subject);
    rng.u64(..);
    rng.f64()
}

/// Selects an index with a probability proportional to its weight, given a uniform number from 0 to 1.
fn select_weighted(weights: impl Iterator<Item = f64> + Clone, number: f64) -> usize {
    let total: f64 = weights.clone().sum();
    let mut remaining = number * total;
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    last
}

/// A task that becomes a query.
#[derive(Clone, Copy)]
struct WorkItem {
    /// Start time in microseconds on the trace's clock, at the earliest the start of the window.
    at: u64,
    /// Amount of work in the trace's unit.
    units: f64,
    tenant: Option<HashedId>,
    class: Option<HashedId>,
    /// Combined hash of the job and the task.
    task_hash: u64,
}

/// The key of a task: its job, then the task within the job.
type TaskKey = (Option<HashedId>, Option<HashedId>);

/// The node that a machine is mapped to.
#[derive(Clone, Copy)]
struct MappedMachine {
    node: u32,
    /// CPU capacity of the machine when it was first added.
    initial_cpu: f64,
}

/// A node event with its time on the trace's clock.
#[derive(Clone, Copy)]
struct NodeEventRecord {
    /// Time in microseconds on the trace's clock.
    at: u64,
    node: u32,
    event: PlannedNodeEvent,
}

/// The state of a node at the start of the window.
#[derive(Clone, Copy)]
struct InitialNodeState {
    is_up: bool,
    /// Share of the initial speed, from 0 to 1.
    speed: f64,
}

/// Collects rows of a trace and creates a replay plan from them. Work with an end time and work that starts in the
/// window may be added in any order.
pub struct Planner {
    config: ReplayConfig,
    /// Work that starts in the window or is running when the window starts.
    work: Vec<WorkItem>,
    /// Tasks that were scheduled before the window and have not ended.
    running: BTreeMap<TaskKey, WorkItem>,
    unsampled_rows: u64,
    machines: BTreeMap<Option<HashedId>, MappedMachine>,
    unmapped_machine_rows: u64,
    /// Node events before and in the window, in the order of their rows.
    node_events: Vec<NodeEventRecord>,
}

impl Planner {
    /// Creates a planner without rows.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::InvalidConfig`] if a field of the configuration is invalid.
    pub fn new(config: ReplayConfig) -> Result<Planner, PlanError> {
        config.validate()?;
        Ok(Planner {
            config,
            work: Vec::new(),
            running: BTreeMap::new(),
            unsampled_rows: 0,
            machines: BTreeMap::new(),
            unmapped_machine_rows: 0,
            node_events: Vec::new(),
        })
    }

    /// Adds a row. Rows outside the window are skipped unless they affect the state at its start.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::TooManyEntries`] if the plan would exceed the configured maximum.
    pub fn add_row(&mut self, row: &Row) -> Result<(), PlanError> {
        match row.detail {
            RowDetail::Machine { event } => self.add_machine_event(row, event),
            RowDetail::Work { job, .. } => {
                // The draw depends only on the job's name, so a job is replayed completely or not at all.
                let job_hash = job.map_or(0, |job| job.0);
                if draw(self.config.seed, DrawPurpose::Sample, job_hash) >= self.config.sample_share {
                    self.unsampled_rows += 1;
                    return Ok(());
                }
                self.add_work(row);
            }
        }
        let entries = self.work.len() + self.running.len() + self.node_events.len();
        let max_entries = self.config.max_entries;
        if entries > max_entries { Err(PlanError::TooManyEntries(max_entries)) } else { Ok(()) }
    }

    fn add_work(&mut self, row: &Row) {
        let RowDetail::Work { job, task, event, end, instances, tenant, class, .. } = row.detail else {
            return;
        };
        let (from, to) = (self.config.from, self.config.to);
        let cpu = row.cpu.filter(|cpu| *cpu > 0.0).unwrap_or(DEFAULT_WORK_UNITS);
        let units = cpu * instances.max(1) as f64;
        let task_hash = job.map_or(0, |job| job.0) ^ task.map_or(0, |task| task.0.rotate_left(17));
        let work = WorkItem { at: row.at.max(from), units, tenant, class, task_hash };
        let is_before = row.at < from;
        let is_within = !is_before && row.at < to;
        match (event, end) {
            (_, Some(end)) if is_within || is_before && end > from => self.work.push(work),
            (WorkEvent::Submitted | WorkEvent::Span, None) if is_within => self.work.push(work),
            (WorkEvent::Scheduled, None) if is_before => _ = self.running.insert((job, task), work),
            (WorkEvent::Stopped | WorkEvent::Failed | WorkEvent::Finished | WorkEvent::Lost, None)
                if is_before =>
            {
                self.running.remove(&(job, task));
            }
            _ => {}
        }
    }

    /// Records the event of a machine that is mapped to a node, and counts the rows of other machines.
    fn add_machine_event(&mut self, row: &Row, event: MachineEvent) {
        if row.at >= self.config.to {
            return;
        }
        let cpu = row.cpu.unwrap_or(1.0).max(DEFAULT_WORK_UNITS);
        let Some(machine) = self.map_machine(row.machine, event, cpu) else {
            self.unmapped_machine_rows += 1;
            return;
        };
        let subject = row.machine.map_or(0, |machine| machine.0) ^ row.at;
        let drains = || draw(self.config.seed, DrawPurpose::Drain, subject) < self.config.drain_share;
        let event = match event {
            MachineEvent::Added => PlannedNodeEvent::StartCold,
            MachineEvent::Updated => PlannedNodeEvent::SetSpeed((cpu / machine.initial_cpu).min(1.0)),
            MachineEvent::Removed if drains() => PlannedNodeEvent::Drain,
            MachineEvent::Removed => PlannedNodeEvent::Stop,
        };
        self.node_events.push(NodeEventRecord { at: row.at, node: machine.node, event });
    }

    /// Returns the node of a machine, and maps a newly added machine to the next free node. Returns `None` if all
    /// nodes are taken or the machine has not been added.
    fn map_machine(
        &mut self,
        machine: Option<HashedId>,
        event: MachineEvent,
        cpu: f64,
    ) -> Option<MappedMachine> {
        let node = self.machines.len() as u32;
        let is_new = !self.machines.contains_key(&machine);
        if is_new && event == MachineEvent::Added && node < self.config.nodes {
            self.machines.insert(machine, MappedMachine { node, initial_cpu: cpu });
        }
        self.machines.get(&machine).copied()
    }

    /// Creates the plan from all rows added so far.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::NoWork`] if no work starts in the window or is running when it starts.
    pub fn finish(mut self) -> Result<Plan, PlanError> {
        let running = std::mem::take(&mut self.running);
        let running_at_start = running.len() as u64;
        self.work.extend(running.into_values());
        if self.work.is_empty() {
            return Err(PlanError::NoWork { from: self.config.from, to: self.config.to });
        }
        // Sorting by time, then by name, makes the plan independent of the order of rows in a file, including the
        // rounding of the sum of their work.
        self.work.sort_by_key(|work| (work.at, work.task_hash));
        let ms_per_unit = self.ms_per_unit();
        let mut entries = self.node_entries();
        for (index, work) in self.work.iter().enumerate() {
            let event = self.query(work, work.units * ms_per_unit, index as u64);
            entries.push(PlanEntry { at: self.replay_time(work.at), event });
        }
        entries.sort_by_key(|entry| entry.at);
        Ok(Plan {
            entries,
            unsampled_rows: self.unsampled_rows,
            unmapped_machine_rows: self.unmapped_machine_rows,
            running_at_start,
            ms_per_unit,
        })
    }

    /// Returns the milliseconds of work per unit of work in the trace that load the nodes with the configured share
    /// of their capacity, averaged over the window.
    fn ms_per_unit(&self) -> f64 {
        let config = &self.config;
        let seconds = (config.to - config.from) as f64 / 1e6 * config.time_scale;
        let capacity_ms = f64::from(config.nodes) * config.node_ms_per_s * seconds;
        let units: f64 = self.work.iter().map(|work| work.units).sum();
        capacity_ms * config.load / units
    }

    /// Converts a time on the trace's clock to tenths of a millisecond since the start of the replay.
    fn replay_time(&self, at: u64) -> u64 {
        (at.saturating_sub(self.config.from) as f64 / US_PER_TENTH_MS * self.config.time_scale) as u64
    }

    /// Returns entries for the state of the nodes at the start of the window, followed by their events in the window.
    fn node_entries(&self) -> Vec<PlanEntry> {
        let mut entries = self.initial_node_entries();
        for record in self.node_events.iter().filter(|record| record.at > self.config.from) {
            let (at, node) = (self.replay_time(record.at), record.node);
            let entry = |at, event| PlanEntry { at, event: PlanEvent::Node { node, event } };
            entries.push(entry(at, record.event));
            if record.event == PlannedNodeEvent::Drain {
                entries.push(entry(at + self.config.drain_duration, PlannedNodeEvent::Stop));
            }
        }
        entries
    }

    fn initial_node_entries(&self) -> Vec<PlanEntry> {
        let mut states: BTreeMap<u32, InitialNodeState> = BTreeMap::new();
        for record in self.node_events.iter().filter(|record| record.at <= self.config.from) {
            let state = states.entry(record.node).or_insert(InitialNodeState { is_up: false, speed: 1.0 });
            match record.event {
                PlannedNodeEvent::StartCold | PlannedNodeEvent::StartWarm => {
                    *state = InitialNodeState { is_up: true, speed: 1.0 }
                }
                PlannedNodeEvent::Drain | PlannedNodeEvent::Stop => state.is_up = false,
                PlannedNodeEvent::SetSpeed(share) => state.speed = share,
            }
        }
        // Nodes without a machine in the trace are up during the whole replay.
        let unmapped = self.machines.len() as u32..self.config.nodes;
        let unmapped = unmapped.map(|node| (node, InitialNodeState { is_up: true, speed: 1.0 }));
        let mut entries = Vec::new();
        for (node, state) in states.into_iter().chain(unmapped).filter(|(_, state)| state.is_up) {
            let entry = |event| PlanEntry { at: 0, event: PlanEvent::Node { node, event } };
            entries.push(entry(PlannedNodeEvent::StartWarm));
            entries.extend((state.speed < 1.0).then(|| entry(PlannedNodeEvent::SetSpeed(state.speed))));
        }
        entries
    }

    /// Converts a work item to a query. `index` gives several rows of the same task different shard requests.
    fn query(&self, work: &WorkItem, work_ms: f64, index: u64) -> PlanEvent {
        let config = &self.config;
        let hash = |id: Option<HashedId>| id.map_or(0, |id| id.0);
        let class_number = draw(config.seed, DrawPurpose::Class, hash(work.class));
        let class = select_weighted(config.classes.iter().map(|class| class.share), class_number);
        let tenant_number = draw(config.seed, DrawPurpose::Tenant, hash(work.tenant));
        let tenant = select_weighted(config.tenant_weights.iter().copied(), tenant_number);
        let purpose = (DrawPurpose::ShardRequests as u64).rotate_left(32);
        let seed = config.seed ^ purpose ^ work.task_hash ^ index.rotate_left(48);
        let shard_requests = self.shard_requests(&config.classes[class], work_ms, seed);
        PlanEvent::Query { class, tenant, shard_requests }
    }

    fn shard_requests(&self, class: &ClassSpec, work_ms: f64, seed: u64) -> Vec<PlannedShardRequest> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.u32(class.shard_requests.min..=class.shard_requests.max);
        let raw: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-class.weight_skew)).collect();
        let total: f64 = raw.iter().sum();
        let first_shard = rng.u32(..self.config.shards);
        let work_us = (work_ms * 1000.0 / f64::from(count)) as u64;
        let shard_request = |(weight, offset): (&f64, u32)| PlannedShardRequest {
            shard: (first_shard + offset) % self.config.shards,
            weight: weight / total,
            work_us: work_us.max(MIN_WORK_US),
        };
        raw.iter().zip(0..).map(shard_request).collect()
    }
}
