//! Idempotency: determines whether another attempt could execute a shard request twice (rule 2).

use crate::config::Idempotency;
use crate::effective_config::ClassPolicy;
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// Returns the class policies that bind a query: the policy as of when the query was accepted, and the
/// current one (`None` if the class was removed). Nodes may already have applied a change, so an action that
/// either policy forbids is not taken.
pub(crate) fn binding_policies<'a>(
    accepted: &'a ClassPolicy,
    current: Option<&'a ClassPolicy>,
) -> impl Iterator<Item = &'a ClassPolicy> {
    std::iter::once(accepted).chain(current)
}

/// Returns whether another attempt is safe. `first_executed_at` is the send time of the first attempt that
/// was or may have been executed, or `None` if there is none. `arrives_at` is the latest time at which the
/// new attempt reaches its node.
///
/// An idempotent class may always be repeated. With an idempotency key, nodes drop repeats during the
/// deduplication window of the class, counted from the first attempt, so the new attempt must arrive within
/// it. A shard request of an at-most-once class is never repeated if it may have been executed; it fails
/// instead, and its query is answered as failed.
pub(crate) fn is_repeat_harmless(
    policy: &ClassPolicy,
    first_executed_at: Option<Timestamp>,
    arrives_at: Timestamp,
) -> bool {
    let Some(first_executed_at) = first_executed_at else { return true };
    match policy.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey => arrives_at - first_executed_at <= policy.dedup_window,
        Idempotency::AtMostOnce => false,
    }
}
