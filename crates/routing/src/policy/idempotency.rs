//! Idempotency: whether another attempt could give a shard request a second effect (rule 2).

use crate::config::Idempotency;
use crate::effective_config::ClassPolicy;
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// The policies of its class that bind a query: as it was when the query was accepted, and as it is now
/// (none: the class was removed). Nodes may know of a change already, so what either of the two forbids is
/// not done.
pub(crate) fn binding_policies<'a>(
    accepted: &'a ClassPolicy,
    current: Option<&'a ClassPolicy>,
) -> impl Iterator<Item = &'a ClassPolicy> {
    std::iter::once(accepted).chain(current)
}

/// Whether another attempt is harmless. `first_executed_at` is when the first attempt was sent that was
/// executed, or may be (none: no attempt was); `arrives_at` is when the new attempt reaches its node at the
/// latest.
///
/// An idempotent class may always repeat. With an idempotency key nodes drop repeats for the class's window
/// from the first attempt on, so the new attempt must arrive within it. An at-most-once class never repeats
/// what may have been executed: its shard request fails instead, and the query is answered as failed.
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
