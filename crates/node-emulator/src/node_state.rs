//! The lifecycle of a node's process.

use NodeState::{Down, Draining, Ready};

/// The lifecycle state of a node, which determines whether it accepts jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts jobs.
    Ready,
    /// The node completes the jobs that it has accepted and refuses new ones.
    Draining,
    /// The node has no process.
    Down,
}

/// An event that may change the state of a node.
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

/// The transition table. An event without a row for the current state is ignored.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    Transition { state: Down,     event: LifecycleEvent::Start, next: Ready },
    Transition { state: Ready,    event: LifecycleEvent::Drain, next: Draining },
    Transition { state: Ready,    event: LifecycleEvent::Crash, next: Down },
    Transition { state: Draining, event: LifecycleEvent::Crash, next: Down },
];

impl NodeState {
    /// Returns the state that follows an event, or `None` if the event is ignored in this state.
    pub(crate) fn after(self, event: LifecycleEvent) -> Option<NodeState> {
        let applies = |transition: &&Transition| transition.state == self && transition.event == event;
        TRANSITIONS.iter().find(applies).map(|transition| transition.next)
    }
}
