//! Batching of the attempts to one node.

use crate::limits::NodeLimits;
use crate::node_pool::AttemptToSend;

/// The weight of a shard request's id in the size estimate. Counting the id twice leaves room for the shard number,
/// the timeout and the text length, which are encoded next to it.
const ID_BYTES_FACTOR: usize = 2;

/// Splits attempts into batches that are within the limits on shard requests and bytes, and preserves their order.
///
/// An attempt that exceeds the byte limit alone is placed in a separate batch.
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

/// Estimates the encoded size of a shard request in bytes.
fn encoded_bytes(attempt: &AttemptToSend) -> usize {
    attempt.shard_request.text.len() + ID_BYTES_FACTOR * attempt.shard_request.id.len()
}

#[cfg(test)]
mod tests;
