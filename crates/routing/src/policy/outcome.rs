//! What the outcome of an attempt means: for its execution, for pressure, for its node.

use crate::inputs::AttemptOutcome;
use crate::state::Execution;

#[cfg(test)]
mod tests;

/// The meaning of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutcomeMeaning {
    /// Whether the node has executed the shard request.
    pub(crate) execution: Execution,
    /// It counts as overload in the pressure.
    pub(crate) is_overload: bool,
    /// It counts as a failure of the node.
    pub(crate) is_node_failure: bool,
    /// The node's process looks as if it were down.
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
    /// The one table of what outcomes mean.
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

    /// Whether it says something of how nodes bear the load: the attempt was sent, and ended by itself.
    pub fn reflects_load(self) -> bool {
        self != AttemptOutcome::Cancelled && self.meaning().execution != Execution::Unsent
    }

    /// Whether it counts as overload in the pressure.
    pub fn is_overload(self) -> bool {
        self.meaning().is_overload
    }
}
