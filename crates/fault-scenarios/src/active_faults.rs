//! The faults that are active on one node at a time, and their combined effect. Faults overlap: a node with two
//! outages is down until both have ended, two slowdowns multiply, and a crash ends a drain.

use FaultEvent::{DrainBegan, DrainFinished, OutageBegan, OutagesEnded};
use NodeCondition::{Down, Draining, Ready};
use NodeTransition::{Drains, Starts, Stops, Unchanged};
use routing::TimeSpan;

/// Whether a node can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeCondition {
    /// The process runs and accepts work, unless it is unresponsive.
    #[default]
    Ready,
    /// The process finishes what it has and accepts nothing new.
    Draining,
    /// There is no process.
    Down,
}

/// What the owner of the node has to do with its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeTransition {
    /// Nothing.
    Unchanged,
    /// The process stops at once; its work is lost.
    Stops,
    /// The process begins to drain.
    Drains,
    /// A new process starts, without any warm state.
    Starts,
}

/// Events that can change a node's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultEvent {
    OutageBegan,
    /// The last of the overlapping outages has ended.
    OutagesEnded,
    DrainBegan,
    DrainFinished,
}

/// One row of the state machine. An event without a row for the current condition changes nothing.
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
    // A drain of a node that is already down has no process to drain; the node stays down for the drain's
    // duration as well.
    Transition { condition: Down,     event: DrainBegan,    next: Down,     transition: Unchanged },
    Transition { condition: Down,     event: DrainFinished, next: Down,     transition: Unchanged },
];

/// Repeated pauses of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseCycle {
    /// How long each pause lasts.
    pub pause: TimeSpan,
    /// The time from the beginning of one pause to the beginning of the next.
    pub interval: TimeSpan,
}

/// All faults that are active on one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveFaults {
    condition: NodeCondition,
    /// Outages, and drains that have begun and whose node has not come back.
    outages: u32,
    speed_factors: Vec<f64>,
    error_shares: Vec<f64>,
    rejections: u32,
    silences: u32,
    pauses: Vec<PauseCycle>,
}

impl ActiveFaults {
    /// Whether the node can be used.
    pub fn condition(&self) -> NodeCondition {
        self.condition
    }

    /// An outage of the node begins.
    pub fn begin_outage(&mut self) -> NodeTransition {
        self.outages += 1;
        self.apply(OutageBegan)
    }

    /// One outage or drain is over; the node starts when it was the last.
    pub fn end_outage(&mut self) -> NodeTransition {
        self.outages = self.outages.saturating_sub(1);
        if self.outages == 0 { self.apply(OutagesEnded) } else { Unchanged }
    }

    /// The node begins to drain. It counts as an outage until [`ActiveFaults::end_outage`].
    pub fn begin_drain(&mut self) -> NodeTransition {
        self.outages += 1;
        self.apply(DrainBegan)
    }

    /// The time allowed for the drain is over.
    pub fn finish_drain(&mut self) -> NodeTransition {
        self.apply(DrainFinished)
    }

    /// Begins or ends a slowdown to `speed_factor` of the node's speed.
    pub fn set_slowdown(&mut self, speed_factor: f64, begins: bool) {
        add_or_remove(&mut self.speed_factors, speed_factor, begins);
    }

    /// Begins or ends a fault that turns `share` of the responses into errors.
    pub fn set_errors(&mut self, share: f64, begins: bool) {
        add_or_remove(&mut self.error_shares, share, begins);
    }

    /// Begins or ends a fault by which the node rejects all new work.
    pub fn set_rejecting(&mut self, begins: bool) {
        count_up_or_down(&mut self.rejections, begins);
    }

    /// Begins or ends a fault by which the node accepts everything and answers nothing.
    pub fn set_unresponsive(&mut self, begins: bool) {
        count_up_or_down(&mut self.silences, begins);
    }

    /// Begins or ends repeated pauses of the node's process.
    pub fn set_pause(&mut self, cycle: PauseCycle, begins: bool) {
        add_or_remove(&mut self.pauses, cycle, begins);
    }

    /// The share of its normal speed at which the node works: the product of all slowdowns.
    pub fn speed_factor(&self) -> f64 {
        self.speed_factors.iter().product()
    }

    /// The share of the node's responses that are errors. Each fault applies to what the others leave intact.
    pub fn error_share(&self) -> f64 {
        1.0 - self.error_shares.iter().map(|share| 1.0 - share).product::<f64>()
    }

    /// Whether the node rejects all new work.
    pub fn is_rejecting(&self) -> bool {
        self.rejections > 0
    }

    /// Whether the node answers nothing.
    pub fn is_unresponsive(&self) -> bool {
        self.silences > 0
    }

    /// The cycle with the longest pause of those that are active.
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
