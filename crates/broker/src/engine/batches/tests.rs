//! Batches within the bounds on shard requests and bytes.

use super::split_into_batches;
use crate::codec::ShardRequestMessage;
use crate::limits::{Limits, Machine, NodeLimits};
use crate::node_pool::{AttemptId, AttemptToSend};
use bytes::Bytes;
use routing::{AttemptNumber, ShardRequestId};
use rstest::rstest;
use settings::BrokerSettings;
use tokio::time::Instant;

/// Limits with these bounds on a batch.
fn limits(max_batch_size: usize, max_frame_bytes: usize) -> NodeLimits {
    let machine = Machine { memory_mb: 192, sockets: 1024 };
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    NodeLimits { max_batch_size, max_frame_bytes, ..limits.nodes }
}

/// An attempt whose text has this many bytes, and whose id has one.
fn attempt(number: u64, text_bytes: usize) -> AttemptToSend {
    AttemptToSend {
        attempt: AttemptId { shard_request: ShardRequestId(number), number: AttemptNumber(0) },
        shard_request: ShardRequestMessage {
            id: Bytes::from_static(b"i"),
            shard: 0,
            expires_at: Instant::now(),
            text: Bytes::from(vec![b'x'; text_bytes]),
        },
    }
}

/// Attempts beyond a bound go into the next batch, in their order; none is left out. Each counts two bytes beside its
/// text here.
#[rstest]
#[case::none(&[], &[])]
#[case::by_count(&[8, 8, 8, 8, 8], &[3, 2])]
#[case::exactly_the_bytes(&[48, 48], &[2])]
#[case::by_bytes(&[48, 49, 8], &[1, 2])]
#[case::too_long_by_itself(&[8, 200, 8], &[1, 1, 1])]
fn splits_attempts_in_order(#[case] text_bytes: &[usize], #[case] expected_sizes: &[usize]) {
    let attempts =
        text_bytes.iter().enumerate().map(|(number, bytes)| attempt(number as u64, *bytes)).collect();
    let batches = split_into_batches(attempts, &limits(3, 100));
    let sizes: Vec<usize> = batches.iter().map(Vec::len).collect();
    assert_eq!(sizes, expected_sizes);
    let numbers = batches.iter().flatten().map(|sent| sent.attempt.shard_request.0);
    assert!(numbers.eq(0..text_bytes.len() as u64));
}
