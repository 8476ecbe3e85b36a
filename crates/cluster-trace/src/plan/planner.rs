//! Collects rows and makes the plan of them.

use crate::plan::{
    ClassSpec, Plan, PlanEntry, PlanError, PlanEvent, PlannedNodeEvent, PlannedShardRequest, ReplayConfig,
};
use crate::row::{MachineEvent, Row, RowDetail, TraceId, WorkEvent};
use std::collections::BTreeMap;

/// Work whose amount the trace does not give counts as this, in the trace's unit: the smallest amount that
/// traces give in practice.
const DEFAULT_WORK_UNITS: f64 = 0.01;
/// The least work of a shard request, in microseconds.
const MIN_WORK_US: u64 = 50;
/// Microseconds of the trace's clock in a tenth of a millisecond, the replay's unit.
const US_PER_TENTH_MS: f64 = 100.0;

/// What a random draw is for. One purpose's draws do not follow from another's.
#[derive(Clone, Copy)]
enum DrawPurpose {
    Sample = 1,
    Tenant = 2,
    Class = 3,
    ShardRequests = 4,
    Drain = 5,
}

/// A number from 0 to 1 that is always the same for a seed, a purpose and a subject.
fn draw(seed: u64, purpose: DrawPurpose, subject: u64) -> f64 {
    let spread_subject = subject.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut rng = fastrand::Rng::with_seed(seed ^ (purpose as u64).rotate_left(32) ^ spread_subject);
    rng.u64(..);
    rng.f64()
}

/// The index of the weight that a number from 0 to 1 falls to.
fn pick_by_weight(weights: impl Iterator<Item = f64> + Clone, number: f64) -> usize {
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

/// A piece of work that becomes a query.
#[derive(Clone, Copy)]
struct WorkItem {
    /// Microseconds of the trace's clock.
    at: u64,
    /// In the trace's unit.
    units: f64,
    tenant: Option<TraceId>,
    class: Option<TraceId>,
    /// Its job and task in one number.
    task_hash: u64,
}

/// A task, by its job and its own id.
type TaskKey = (Option<TraceId>, Option<TraceId>);

/// The node that a machine is mapped to.
#[derive(Clone, Copy)]
struct MappedMachine {
    node: u32,
    /// The CPU that it had at first.
    first_cpu: f64,
}

/// An event of a node on the trace's clock.
#[derive(Clone, Copy)]
struct NodeEventRecord {
    /// Microseconds of the trace's clock.
    at: u64,
    node: u32,
    event: PlannedNodeEvent,
}

/// What is known of a node as the window begins.
#[derive(Clone, Copy)]
struct InitialNodeState {
    is_up: bool,
    speed: f64,
}

/// Collects rows, in any order, and makes the plan of them.
pub struct Planner {
    config: ReplayConfig,
    /// Work that begins in the window, or runs as it begins.
    work: Vec<WorkItem>,
    /// Scheduled before the window, and not yet ended.
    running: BTreeMap<TaskKey, WorkItem>,
    unsampled_rows: u64,
    machines: BTreeMap<Option<TraceId>, MappedMachine>,
    unmapped_machine_rows: u64,
    /// Also those before the window.
    node_events: Vec<NodeEventRecord>,
}

impl Planner {
    /// A planner without rows.
    ///
    /// # Errors
    ///
    /// The configuration is not valid.
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

    /// Adds a row.
    ///
    /// # Errors
    ///
    /// The plan would have too many entries.
    pub fn add_row(&mut self, row: &Row) -> Result<(), PlanError> {
        match row.detail {
            RowDetail::Machine { event } => self.add_machine_event(row, event),
            RowDetail::Work { job, .. } => {
                // A job is replayed completely or not at all, by its name alone.
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

    /// The first machines that are added become the nodes; the others are counted.
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
            MachineEvent::Updated => PlannedNodeEvent::SetSpeed((cpu / machine.first_cpu).min(1.0)),
            MachineEvent::Removed if drains() => PlannedNodeEvent::Drain,
            MachineEvent::Removed => PlannedNodeEvent::Stop,
        };
        self.node_events.push(NodeEventRecord { at: row.at, node: machine.node, event });
    }

    /// The node of a machine; none for a machine beyond the number of nodes, or one that was never added.
    fn map_machine(
        &mut self,
        machine: Option<TraceId>,
        event: MachineEvent,
        cpu: f64,
    ) -> Option<MappedMachine> {
        let node = self.machines.len() as u32;
        let is_new = !self.machines.contains_key(&machine);
        if is_new && event == MachineEvent::Added && node < self.config.nodes {
            self.machines.insert(machine, MappedMachine { node, first_cpu: cpu });
        }
        self.machines.get(&machine).copied()
    }

    /// The plan of all rows.
    ///
    /// # Errors
    ///
    /// There is no work in the window.
    pub fn finish(mut self) -> Result<Plan, PlanError> {
        let running = std::mem::take(&mut self.running);
        let running_at_start = running.len() as u64;
        self.work.extend(running.into_values());
        if self.work.is_empty() {
            return Err(PlanError::NoWork { from: self.config.from, to: self.config.to });
        }
        // By time, then by name, so that the order of rows in a file changes nothing, not even the rounding of
        // the sum of their work.
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

    /// Milliseconds of work for one unit of the trace's, so that the window offers the configured share of
    /// what the nodes can do.
    fn ms_per_unit(&self) -> f64 {
        let config = &self.config;
        let seconds = (config.to - config.from) as f64 / 1e6 * config.time_scale;
        let capacity_ms = f64::from(config.nodes) * config.node_ms_per_s * seconds;
        let units: f64 = self.work.iter().map(|work| work.units).sum();
        capacity_ms * config.load / units
    }

    /// A time of the trace on the replay's clock, in tenths of a millisecond.
    fn replay_time(&self, at: u64) -> u64 {
        (at.saturating_sub(self.config.from) as f64 / US_PER_TENTH_MS * self.config.time_scale) as u64
    }

    /// The nodes' state as the window begins, then their events in it.
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
        // Nodes that no machine of the trace is mapped to are up all the time.
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

    /// The query that a piece of work becomes. `index` tells rows of the same task from each other.
    fn query(&self, work: &WorkItem, work_ms: f64, index: u64) -> PlanEvent {
        let config = &self.config;
        let hash = |id: Option<TraceId>| id.map_or(0, |id| id.0);
        let class_number = draw(config.seed, DrawPurpose::Class, hash(work.class));
        let class = pick_by_weight(config.classes.iter().map(|class| class.share), class_number);
        let tenant_number = draw(config.seed, DrawPurpose::Tenant, hash(work.tenant));
        let tenant = pick_by_weight(config.tenant_weights.iter().copied(), tenant_number);
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
