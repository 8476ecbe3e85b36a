//! The state transition of a shard request when one of its attempts has ended.

use crate::inputs::AttemptOutcome;
use crate::state::{QueryState, ShardRequestState};

#[cfg(test)]
mod tests;

/// The inputs that determine the next state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) outcome: AttemptOutcome,
    /// The state of the shard request before the attempt ended.
    pub(crate) state: ShardRequestState,
    /// The number of its other attempts that are still in flight.
    pub(crate) attempts_in_flight: usize,
    pub(crate) query_state: QueryState,
}

/// Returns the next state of the shard request. It is queued for a retry only while its query waits for
/// responses and `may_retry` returns true. An attempt that was cancelled before it was sent is not retried.
pub(crate) fn state_after(ended: EndedAttempt, may_retry: impl FnOnce() -> bool) -> ShardRequestState {
    if ended.state == ShardRequestState::Received || ended.outcome == AttemptOutcome::Succeeded {
        return ShardRequestState::Received;
    }
    if ended.attempts_in_flight > 0 {
        return ShardRequestState::InFlight;
    }
    let is_wanted = ended.outcome != AttemptOutcome::NotSent && ended.query_state == QueryState::InFlight;
    if is_wanted && may_retry() { ShardRequestState::Queued } else { ShardRequestState::Failed }
}
