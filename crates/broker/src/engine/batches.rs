//! Splits the attempts to one node into batches.

use crate::limits::NodeLimits;
use crate::node_pool::AttemptToSend;

/// How often a shard request's id counts among the bytes of its batch: this allows for the numbers beside it.
const ID_BYTES_FACTOR: usize = 2;

/// Splits attempts, in order, into batches within the bounds on shard requests and bytes. One that is beyond the
/// bytes by itself has a batch of its own.
pub(super) fn split_into_batches(
    attempts: Vec<AttemptToSend>,
    limits: &NodeLimits,
) -> Vec<Vec<AttemptToSend>> {
    let mut batches: Vec<Vec<AttemptToSend>> = Vec::new();
    let mut batch_bytes = 0;
    for attempt in attempts {
        let bytes = encoded_bytes(&attempt);
        match batches.last_mut() {
            Some(batch)
                if batch.len() < limits.max_batch_size && batch_bytes + bytes <= limits.max_frame_bytes =>
            {
                batch_bytes += bytes;
                batch.push(attempt);
            }
            _ => {
                batch_bytes = bytes;
                batches.push(vec![attempt]);
            }
        }
    }
    batches
}

/// About how many bytes of its frame a shard request takes.
fn encoded_bytes(attempt: &AttemptToSend) -> usize {
    attempt.shard_request.text.len() + ID_BYTES_FACTOR * attempt.shard_request.id.len()
}

#[cfg(test)]
mod tests;
