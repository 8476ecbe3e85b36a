//! Responses whose length is wrong, and valid ones that resemble them, at the level of the node pool.

use super::test_peers::*;
use broker::codec::ShardRequestMessage;
use broker::limits::{Limits, Machine};
use broker::memory_budget::MemoryBudget;
use broker::node_pool::{AttemptId, AttemptToSend, CompletedAttempt, NodePool};
use bytes::Bytes;
use routing::{AttemptNumber, AttemptOutcome, NodeId, ShardRequestId};
use rstest::rstest;
use settings::BrokerSettings;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const NODE: NodeId = NodeId(1);
const RECORD: &str = "{\r\n\t\"node\": \"s-1\",\r\n\t\"left\": \"-1.25\"\r\n}\r\n";
/// The frame with which a node answers a load probe, and a late response to a cancelled shard request.
const LOAD_REPORT: &[u8] = b"\x08\0\0\x004queue=1";
const NO_LOAD_REPORT: &[u8] = b"\x02\0\0\x004-";
const LATE_RESPONSE: &[u8] = b"\x0f\0\0\x005late.3 S 7 -\nv";

/// A pool with one connection to a scripted node, on which the shard request `a.3` is in flight.
struct Exchange {
    pool: Rc<NodePool>,
    node: ScriptedNode,
    events: mpsc::UnboundedReceiver<ReceivedEvent>,
    connection: usize,
}

impl Exchange {
    async fn start() -> Exchange {
        let machine = Machine { memory_mb: 192, sockets: 1024 };
        let mut limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
        limits.nodes.max_connection_shard_requests = 8;
        limits.nodes.partial_frame_timeout = Duration::from_millis(50);
        let memory = MemoryBudget::new(limits.max_held_bytes);
        let pool = NodePool::new(Rc::new(limits), memory);
        let (sender, events) = mpsc::unbounded_channel();
        let node = ScriptedNode::start(0, sender).await.unwrap();
        pool.set_address(NODE, Some(node.address), true);
        let mut exchange = Exchange { pool, node, events, connection: 0 };
        exchange.send(1, "a.3").await;
        exchange
    }

    /// Sends a shard request, and waits until the node has received it.
    async fn send(&mut self, number: u64, wire_id: &'static str) -> AttemptId {
        let attempt = AttemptId { shard_request: ShardRequestId(number), number: AttemptNumber(0) };
        let shard_request = ShardRequestMessage {
            id: Bytes::from_static(wire_id.as_bytes()),
            shard: 3,
            expires_at: tokio::time::Instant::now() + Duration::from_secs(60),
            text: Bytes::from_static(b"text"),
        };
        self.pool.send(NODE, vec![AttemptToSend { attempt, shard_request }]);
        self.wait_for(|event| matches!(event, PeerEvent::Batch(_))).await;
        attempt
    }

    /// Sends a load probe, and waits until the node has received it.
    async fn probe(&mut self) {
        self.pool.probe(NODE);
        self.wait_for(|event| matches!(event, PeerEvent::LoadProbe)).await;
    }

    /// Sends another shard request and cancels it. The node may still respond to it.
    async fn cancel_another(&mut self) {
        let attempt = self.send(2, "late.3").await;
        self.pool.cancel(attempt, AttemptOutcome::Cancelled);
        self.wait_for(|event| matches!(event, PeerEvent::Cancel(_))).await;
        assert_eq!(self.pool.take_completed_attempts().len(), 1);
    }

    async fn wait_for(&mut self, is_expected: impl Fn(&PeerEvent) -> bool) {
        within_timeout(async { while !is_expected(&self.events.recv().await.unwrap().event) {} }).await;
    }

    /// Lets the node respond to `a.3` with a frame whose length differs by `excess` from the right one, followed by
    /// other bytes in the same write. Returns the outcome and the value of the attempt.
    async fn respond(&self, value: &str, excess: i32, following: &[u8]) -> (AttemptOutcome, Option<Bytes>) {
        let frame = encode_frame(format!("5a.3 S 7 -\n{value}").as_bytes(), excess);
        self.node.write(self.connection, &[&frame, following].concat()).await;
        let CompletedAttempt { outcome, value, .. } = self.next_completed().await;
        (outcome, value.map(|value| value.bytes))
    }

    async fn next_completed(&self) -> CompletedAttempt {
        within_timeout(async {
            loop {
                if let Some(completed) = self.pool.take_completed_attempts().into_iter().next() {
                    return completed;
                }
                self.pool.results_ready.notified().await;
            }
        })
        .await
    }
}

/// A text of this length, with spaces and characters of several bytes.
fn text(length: usize) -> String {
    "s-1 0003.7 \u{e9} ".repeat(length / 13 + 1).chars().take(length).collect()
}

/// Guards against serving a value cut off (review/3): the length of its frame is too small, nothing else is in flight,
/// and the rest of the value follows. The rest may hold line ends, and it may lie unread in the socket.
#[rstest]
#[case::record(RECORD.to_owned())]
#[case::digits("5be2a07c19f04d63".to_owned())]
#[case::short_text(text(900))]
#[case::one_buffer(text(4000))]
#[case::long_text(text(5000))]
#[case::longest_text(text(48_000))]
fn rejects_a_response_that_is_cut_off(
    #[case] value: String,
    #[values(1, 2, 3, 4, 7, 13)] missing: i32,
    #[values(&[], LATE_RESPONSE)] following: &[u8],
) {
    run_test(async {
        let exchange = Exchange::start().await;
        let (outcome, value) = exchange.respond(&value, -missing, following).await;
        assert_eq!((outcome, value), (AttemptOutcome::Errored, None));
    });
}

/// Guards against serving a value with bytes of the next frame at its end, or without its own (review/3): the answer to
/// a load probe follows the response, and does not confirm its length.
#[rstest]
fn rejects_a_wrong_length_before_the_answer_to_a_probe(
    #[values(RECORD, "5be2a07c19f04d63")] value: &str,
    #[values(-9, -3, -2, -1, 1, 2, 3, 4, 5, 6, 7)] excess: i32,
    #[values(LOAD_REPORT, NO_LOAD_REPORT)] following: &[u8],
) {
    run_test(async {
        let mut exchange = Exchange::start().await;
        exchange.probe().await;
        let (outcome, value) = exchange.respond(value, excess, following).await;
        assert_eq!((outcome, value), (AttemptOutcome::Errored, None));
    });
}

/// Guards against the same as above where a late response to a cancelled shard request follows.
#[rstest]
fn rejects_a_wrong_length_before_a_late_response(
    #[values(RECORD, "5be2a07c19f04d63")] value: &str,
    #[values(-9, -2, -1, 1, 2, 3, 4, 5, 12, 19)] excess: i32,
) {
    run_test(async {
        let mut exchange = Exchange::start().await;
        exchange.cancel_another().await;
        let (outcome, value) = exchange.respond(value, excess, LATE_RESPONSE).await;
        assert_eq!((outcome, value), (AttemptOutcome::Errored, None));
    });
}

/// A response with the right length must be used, whatever follows: the answer to a probe, a late response, a second
/// copy, or noise when nothing else is expected.
#[rstest]
#[case::nothing(&[])]
#[case::load_report(LOAD_REPORT)]
#[case::late_response(LATE_RESPONSE)]
#[case::second_copy(b"\x0c\0\0\x005a.3 S 7 -\nv")]
#[case::unknown_kind(b"\x03\0\0\x007ab")]
#[case::noise(b"\xfe\xff\x80\x81\x82")]
#[case::short_noise(b"\xff\xff")]
#[case::noise_that_begins_with_text(b"ab\xff\xff\xff")]
fn uses_a_response_with_the_right_length(
    #[values(RECORD, "5be2a07c19f04d63", "", &text(4000), &text(4078), &text(30_000))] value: &str,
    #[case] following: &[u8],
) {
    run_test(async {
        let mut exchange = Exchange::start().await;
        if following == LOAD_REPORT {
            exchange.probe().await;
        }
        if following == LATE_RESPONSE {
            exchange.cancel_another().await;
        }
        let (outcome, used) = exchange.respond(value, 0, following).await;
        assert_eq!((outcome, used.as_deref()), (AttemptOutcome::Succeeded, Some(value.as_bytes())));
    });
}
