//! The state of a day on sockets, and its clock.

use crate::invariants::InvariantChecker;
use crate::loopback::LoopbackError;
use crate::loopback::clients::{Clients, Query};
use crate::loopback::nodes::{Nodes, Publications};
use crate::run_results::{NodeCounts, RunResults};
use crate::simulation::SimulationConfig;
use broker::RunningBroker;
use cluster_trace::plan::{ClassSpec, PlanEntry, PlanEvent};
use node_emulator::DiscoveryCatalog;
use routing::{TimeSpan, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// The step of the clock: the least that tokio's timers know.
const CLOCK_STEP: TimeSpan = TimeSpan(10);
const CLOCK_STEP_DURATION: Duration = Duration::from_millis(1);
const STEPS_PER_S: u64 = 1000;
/// How long a day goes on after its last entry at the most: longer than any deadline.
const TIME_AFTER_LAST_ENTRY: TimeSpan = TimeSpan(200_000);
/// The brokers' clock starts here, in Unix time: the same in each run.
pub(super) const UNIX_START: Timestamp = Timestamp(17_000_000_000_000);

/// A request class as clients name it.
pub(super) struct ClassOnWire {
    pub(super) name: String,
    pub(super) deadline_ms: u32,
}

impl ClassOnWire {
    pub(super) fn of(class: &ClassSpec) -> ClassOnWire {
        ClassOnWire { name: class.name.clone(), deadline_ms: class.deadline_ms }
    }

    pub(super) fn deadline(&self) -> TimeSpan {
        TimeSpan::from_ms(f64::from(self.deadline_ms))
    }
}

/// A day on sockets.
pub(super) struct LoopbackRun {
    /// How long the parties may take to become idle, by the machine's clock.
    pub(super) settle_timeout: Duration,
    pub(super) now: Timestamp,
    pub(super) last_entry_at: Timestamp,
    /// The entries to come.
    pub(super) plan: VecDeque<PlanEntry>,
    pub(super) config: SimulationConfig,
    pub(super) classes: Vec<ClassOnWire>,
    /// Tenants have quotas, so that brokers know them by name.
    pub(super) has_quotas: bool,
    pub(super) catalog: DiscoveryCatalog,
    pub(super) publications: Publications,
    pub(super) nodes: Nodes,
    pub(super) brokers: Vec<RunningBroker>,
    pub(super) clients: Clients,
    pub(super) queries: Vec<Query>,
    /// Over all that nodes and clients got, in its order.
    pub(super) hasher: blake3::Hasher,
    pub(super) invariants: InvariantChecker,
    pub(super) results: RunResults,
}

impl LoopbackRun {
    /// Plays to the end, or until `should_continue` says no.
    pub(super) async fn run(
        &mut self,
        mut should_continue: impl FnMut(Timestamp, Timestamp) -> bool,
    ) -> Result<(), LoopbackError> {
        let mut step = 0_u64;
        loop {
            self.handle_due().await?;
            if step.is_multiple_of(STEPS_PER_S) {
                if !should_continue(self.now.min(self.last_entry_at), self.last_entry_at) {
                    self.results.stopped_at = Some(self.now);
                    break;
                }
                self.record_node_counts();
            }
            if self.is_over() {
                break;
            }
            step += 1;
            self.now += CLOCK_STEP;
            tokio::time::advance(CLOCK_STEP_DURATION).await;
            self.settle().await?;
        }
        self.finish();
        Ok(())
    }

    /// Handles what is due at this moment, one after the other: jobs that complete, by node; what discovery
    /// publishes; then the plan's entries.
    pub(super) async fn handle_due(&mut self) -> Result<(), LoopbackError> {
        self.complete_jobs().await?;
        while let Some(node) = self.publications.pop_due(self.now) {
            self.publish_endpoint(node).await?;
        }
        while let Some(entry) = self.plan.pop_front_if(|entry| entry.at as i64 <= self.now.0) {
            match entry.event {
                PlanEvent::Query { class, tenant, shard_requests } => {
                    self.send_query(class, tenant, shard_requests).await?;
                }
                PlanEvent::Node { node, event } => self.handle_node_event(node as usize, event).await?,
            }
        }
        Ok(())
    }

    fn record_node_counts(&mut self) {
        if self.now <= self.last_entry_at {
            let counts = NodeCounts::of(&self.nodes.models, self.now);
            self.results.second(self.now).nodes = counts;
        }
    }

    fn is_over(&self) -> bool {
        let is_done = self.plan.is_empty() && self.clients.waiting == 0 && self.nodes.jobs.is_empty();
        is_done || self.now > self.last_entry_at + TIME_AFTER_LAST_ENTRY
    }

    fn finish(&mut self) {
        // Queries that are open when a day is broken off break no rule.
        if self.results.stopped_at.is_none() {
            self.invariants.finish(self.now);
        }
        self.results.violations = self.invariants.violations().clone();
        self.results.closest = self.invariants.closest().clone();
        self.results.digest = self.hasher.finalize().to_hex().to_string();
    }
}
