//! The interpretation of attempt outcomes: their effect on execution state, pressure and node health.

use crate::inputs::AttemptOutcome;
use crate::state::Execution;

#[cfg(test)]
mod tests;

/// The interpretation of an attempt outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutcomeMeaning {
    /// Whether the node has executed the shard request.
    pub(crate) execution: Execution,
    /// Whether the outcome counts as overload in the pressure.
    pub(crate) is_overload: bool,
    /// Whether the outcome counts as a failure of the node.
    pub(crate) is_node_failure: bool,
    /// Whether the node's process appears to be down.
    pub(crate) looks_down: bool,
}

impl OutcomeMeaning {
    const fn of(execution: Execution) -> OutcomeMeaning {
        OutcomeMeaning { execution, is_overload: false, is_node_failure: false, looks_down: false }
    }

    const fn overload(self) -> OutcomeMeaning {
        OutcomeMeaning { is_overload: true, ..self }
    }

    const fn node_failure(self) -> OutcomeMeaning {
        OutcomeMeaning { is_node_failure: true, ..self }
    }

    const fn looks_down(self) -> OutcomeMeaning {
        OutcomeMeaning { looks_down: true, ..self }
    }
}

impl AttemptOutcome {
    /// Returns the interpretation of this outcome, which is defined in this table only.
    pub(crate) fn meaning(self) -> OutcomeMeaning {
        use Execution::{MaybeExecuted, NotExecuted, Unsent};
        match self {
            AttemptOutcome::Succeeded => OutcomeMeaning::of(MaybeExecuted),
            AttemptOutcome::Errored => OutcomeMeaning::of(MaybeExecuted).node_failure(),
            AttemptOutcome::Overloaded => OutcomeMeaning::of(NotExecuted).overload().node_failure(),
            AttemptOutcome::TimedOut => OutcomeMeaning::of(MaybeExecuted).overload().node_failure(),
            AttemptOutcome::ConnectFailed => OutcomeMeaning::of(NotExecuted).node_failure().looks_down(),
            AttemptOutcome::ConnectionLost => OutcomeMeaning::of(MaybeExecuted).node_failure().looks_down(),
            AttemptOutcome::Cancelled => OutcomeMeaning::of(MaybeExecuted),
            AttemptOutcome::NotSent | AttemptOutcome::LocalResourceExhausted => OutcomeMeaning::of(Unsent),
        }
    }

    /// Returns whether the outcome reflects the load on nodes: the attempt was sent and was not cancelled.
    pub fn reflects_load(self) -> bool {
        self != AttemptOutcome::Cancelled && self.meaning().execution != Execution::Unsent
    }

    /// Returns whether a node may have executed the attempt.
    pub fn may_have_executed(self) -> bool {
        self.meaning().execution == Execution::MaybeExecuted
    }

    /// Returns whether the outcome counts as overload in the pressure.
    pub fn is_overload(self) -> bool {
        self.meaning().is_overload
    }
}
