//! Tracks the faults that are active on one node and computes their combined effect. Faults may overlap: a node
//! with two outages is down until both have ended, two slowdowns multiply, and a crash ends a drain.

use FaultEvent::{DrainBegan, DrainFinished, OutageBegan, OutagesEnded};
use NodeCondition::{Down, Draining, Ready};
use NodeTransition::{Drains, Starts, Stops, Unchanged};
use routing::TimeSpan;

/// The state of a node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeCondition {
    /// The process is running and accepts requests. It may still be rejecting or unresponsive.
    #[default]
    Ready,
    /// The process finishes its current work and accepts no new requests.
    Draining,
    /// The process is not running.
    Down,
}

/// The action that a fault event requires on a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeTransition {
    /// The process continues as before.
    Unchanged,
    /// The process stops immediately and loses its work.
    Stops,
    /// The process starts to drain.
    Drains,
    /// A new process starts without warm state.
    Starts,
}

/// An event that can change the condition of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultEvent {
    OutageBegan,
    /// The last of the overlapping outages has ended.
    OutagesEnded,
    DrainBegan,
    DrainFinished,
}

/// A row of the transition table. An event without a row for the current condition has no effect.
struct Transition {
    condition: NodeCondition,
    event: FaultEvent,
    next: NodeCondition,
    transition: NodeTransition,
}

#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    Transition { condition: Ready,    event: OutageBegan,   next: Down,     transition: Stops },
    Transition { condition: Ready,    event: DrainBegan,    next: Draining, transition: Drains },
    Transition { condition: Draining, event: OutageBegan,   next: Down,     transition: Stops },
    Transition { condition: Draining, event: DrainFinished, next: Down,     transition: Stops },
    Transition { condition: Down,     event: OutagesEnded,  next: Ready,    transition: Starts },
    // A node that is already down has no process to drain, but it also stays down for the duration of the drain.
    Transition { condition: Down,     event: DrainBegan,    next: Down,     transition: Unchanged },
    Transition { condition: Down,     event: DrainFinished, next: Down,     transition: Unchanged },
];

/// The length and the interval of a process's repeated pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseCycle {
    /// The length of each pause.
    pub pause: TimeSpan,
    /// The time from the start of one pause to the start of the next.
    pub interval: TimeSpan,
}

/// The faults that are active on one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveFaults {
    condition: NodeCondition,
    /// The number of outages and drains that have begun and not yet ended.
    outages: u32,
    speed_factors: Vec<f64>,
    error_shares: Vec<f64>,
    rejecting_faults: u32,
    unresponsive_faults: u32,
    pauses: Vec<PauseCycle>,
}

impl ActiveFaults {
    /// Returns the current state of the node's process.
    pub fn condition(&self) -> NodeCondition {
        self.condition
    }

    /// Records the start of an outage, which stops the node's process if it is running.
    pub fn begin_outage(&mut self) -> NodeTransition {
        self.outages += 1;
        self.apply(OutageBegan)
    }

    /// Records the end of one outage or drain. The node restarts when the last one has ended.
    pub fn end_outage(&mut self) -> NodeTransition {
        self.outages = self.outages.saturating_sub(1);
        if self.outages == 0 { self.apply(OutagesEnded) } else { Unchanged }
    }

    /// Records the start of a drain, which counts as an outage until [`ActiveFaults::end_outage`] is called.
    pub fn begin_drain(&mut self) -> NodeTransition {
        self.outages += 1;
        self.apply(DrainBegan)
    }

    /// Records that the time allowed for a drain has passed. A node that is still draining stops.
    pub fn finish_drain(&mut self) -> NodeTransition {
        self.apply(DrainFinished)
    }

    /// Starts or ends a slowdown to `speed_factor` of the node's normal speed.
    pub fn set_slowdown(&mut self, speed_factor: f64, begins: bool) {
        add_or_remove(&mut self.speed_factors, speed_factor, begins);
    }

    /// Starts or ends a fault that turns `share` of the responses into errors.
    pub fn set_errors(&mut self, share: f64, begins: bool) {
        add_or_remove(&mut self.error_shares, share, begins);
    }

    /// Starts or ends a fault that makes the node reject all new requests.
    pub fn set_rejecting(&mut self, begins: bool) {
        count_up_or_down(&mut self.rejecting_faults, begins);
    }

    /// Starts or ends a fault that makes the node accept all requests without responding.
    pub fn set_unresponsive(&mut self, begins: bool) {
        count_up_or_down(&mut self.unresponsive_faults, begins);
    }

    /// Starts or ends repeated pauses of the node's process.
    pub fn set_pause(&mut self, cycle: PauseCycle, begins: bool) {
        add_or_remove(&mut self.pauses, cycle, begins);
    }

    /// Returns the node's speed as a fraction of its normal speed: the product of all slowdowns.
    pub fn speed_factor(&self) -> f64 {
        self.speed_factors.iter().product()
    }

    /// Returns the share of the node's responses that are errors. Each fault applies to the responses that the
    /// other faults have not turned into errors.
    pub fn error_share(&self) -> f64 {
        1.0 - self.error_shares.iter().map(|share| 1.0 - share).product::<f64>()
    }

    /// Returns whether the node rejects all new requests.
    pub fn is_rejecting(&self) -> bool {
        self.rejecting_faults > 0
    }

    /// Returns whether the node accepts requests without responding.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive_faults > 0
    }

    /// Returns the active cycle with the longest pause, or `None` if no pauses are active.
    pub fn longest_pause(&self) -> Option<PauseCycle> {
        self.pauses.iter().copied().max()
    }

    fn apply(&mut self, event: FaultEvent) -> NodeTransition {
        let row = TRANSITIONS.iter().find(|row| row.condition == self.condition && row.event == event);
        let Some(row) = row else { return Unchanged };
        self.condition = row.next;
        row.transition
    }
}

fn add_or_remove<T: PartialEq>(active: &mut Vec<T>, value: T, begins: bool) {
    if begins {
        active.push(value);
    } else if let Some(index) = active.iter().position(|other| *other == value) {
        active.remove(index);
    }
}

fn count_up_or_down(active: &mut u32, begins: bool) {
    *active = if begins { *active + 1 } else { active.saturating_sub(1) };
}
