//! The life of a node's process.

use NodeState::{Down, Draining, Ready};

/// Whether a node takes jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes jobs.
    Ready,
    /// Finishes what it has, takes nothing new.
    Draining,
    /// There is no process.
    Down,
}

/// What moves a node from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    Start,
    Drain,
    Crash,
}

struct Transition {
    state: NodeState,
    event: LifecycleEvent,
    next: NodeState,
}

/// An event that has no row for a state changes nothing.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    Transition { state: Down,     event: LifecycleEvent::Start, next: Ready },
    Transition { state: Ready,    event: LifecycleEvent::Drain, next: Draining },
    Transition { state: Ready,    event: LifecycleEvent::Crash, next: Down },
    Transition { state: Draining, event: LifecycleEvent::Crash, next: Down },
];

impl NodeState {
    /// The state after an event; none where it changes nothing.
    pub(crate) fn after(self, event: LifecycleEvent) -> Option<NodeState> {
        let applies = |transition: &&Transition| transition.state == self && transition.event == event;
        TRANSITIONS.iter().find(applies).map(|transition| transition.next)
    }
}
