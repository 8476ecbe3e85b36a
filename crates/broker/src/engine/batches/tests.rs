//! Tests of splitting attempts into batches.

use super::split_into_batches;
use crate::codec::ShardRequestMessage;
use crate::limits::{Limits, Machine, NodeLimits};
use crate::node_pool::{AttemptId, AttemptToSend};
use bytes::Bytes;
use routing::{AttemptNumber, ShardRequestId};
use rstest::rstest;
use settings::BrokerSettings;
use tokio::time::Instant;

/// Returns node limits with these batch limits.
fn limits(max_batch_size: usize, max_frame_bytes: usize) -> NodeLimits {
    let machine = Machine { memory_mb: 192, sockets: 1024 };
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    NodeLimits { max_batch_size, max_frame_bytes, ..limits.nodes }
}

/// Returns an attempt with a text of `text_bytes` bytes and a wire id of one byte.
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

/// Attempts that exceed a limit must move to the next batch without being lost or reordered. With ids of one byte,
/// the size estimate of an attempt is the length of its text plus two.
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
