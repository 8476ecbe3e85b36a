//! Responses that come late, twice or out of order, under ids that several attempts have. No attempt may be completed by
//! a response to another one, and no id may be executed again for another client.
//!
//! `OWNER_SEEDS=1..500` runs other seeds of the random test than those of CI.

use super::test_peers::*;
use broker::codec::ShardRequestMessage;
use broker::limits::{Limits, Machine};
use broker::memory_budget::MemoryBudget;
use broker::node_pool::{AttemptId, AttemptToSend, NodePool};
use bytes::Bytes;
use fastrand::Rng;
use routing::{AttemptNumber, AttemptOutcome, NodeId, ShardRequestId};
use rstest::rstest;
use serde_json::json;
use settings::BrokerSettings;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const NODE: NodeId = NodeId(1);
const CI_SEEDS: Range<u64> = 1..21;
const STEPS_PER_SEED: usize = 150;
/// Few ids, so that each is used again and again.
const WIRE_IDS: [&str; 3] = ["a.0", "a.1", "b.0"];

/// A shard request as the node has received it. Its text is unique, and names the attempt that sent it.
#[derive(Clone)]
struct Received {
    connection: usize,
    wire_id: String,
    text: String,
}

/// A node that answers in any order, also what was cancelled, and some requests twice.
struct Exchange {
    rng: Rng,
    pool: Rc<NodePool>,
    node: ScriptedNode,
    events: mpsc::UnboundedReceiver<ReceivedEvent>,
    unanswered: Vec<Received>,
    answered: Vec<(Received, char)>,
    /// The result that the node has sent for each text.
    results: BTreeMap<String, char>,
    in_flight: Vec<AttemptId>,
    last_attempt: u64,
}

impl Exchange {
    async fn start(seed: u64) -> Exchange {
        let mut rng = Rng::with_seed(seed);
        let machine = Machine { memory_mb: 192, sockets: 1024 };
        let mut limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
        limits.nodes.max_connection_shard_requests = rng.usize(1..9);
        limits.nodes.max_remembered_cancellations = rng.usize(1..20);
        let memory = MemoryBudget::new(limits.max_held_bytes);
        let pool = NodePool::new(Rc::new(limits), memory);
        let (sender, events) = mpsc::unbounded_channel();
        let node = ScriptedNode::start(0, sender).await.unwrap();
        pool.set_address(NODE, Some(node.address), true);
        Exchange {
            rng,
            pool,
            node,
            events,
            unanswered: Vec::new(),
            answered: Vec::new(),
            results: BTreeMap::new(),
            in_flight: Vec::new(),
            last_attempt: 0,
        }
    }

    async fn step(&mut self) {
        match self.rng.u32(0..20) {
            0..8 => self.send(),
            8..11 => self.cancel(),
            11..17 => self.respond().await,
            17 => self.respond_again().await,
            18 => self.pool.probe(NODE),
            _ => self.close(),
        }
        sleep_ms(1).await;
        self.receive();
        self.check_completed();
    }

    /// Sends a batch of one or two shard requests.
    fn send(&mut self) {
        let first = self.rng.usize(0..WIRE_IDS.len());
        let count = self.rng.usize(1..3);
        let batch = (first..first + count).map(|index| {
            self.last_attempt += 1;
            let attempt =
                AttemptId { shard_request: ShardRequestId(self.last_attempt), number: AttemptNumber(0) };
            self.in_flight.push(attempt);
            let shard_request = ShardRequestMessage {
                id: Bytes::from_static(WIRE_IDS[index % WIRE_IDS.len()].as_bytes()),
                shard: 0,
                expires_at: tokio::time::Instant::now() + Duration::from_secs(60),
                text: text_of(attempt).into(),
            };
            AttemptToSend { attempt, shard_request }
        });
        let batch = batch.collect();
        self.pool.send(NODE, batch);
    }

    fn cancel(&mut self) {
        if !self.in_flight.is_empty() {
            let attempt = self.in_flight[self.rng.usize(0..self.in_flight.len())];
            let outcomes = [AttemptOutcome::Cancelled, AttemptOutcome::TimedOut];
            self.pool.cancel(attempt, outcomes[self.rng.usize(0..2)]);
        }
    }

    async fn respond(&mut self) {
        if self.unanswered.is_empty() {
            return;
        }
        let request = self.unanswered.swap_remove(self.rng.usize(0..self.unanswered.len()));
        let result = ['S', 'S', 'E', 'B'][self.rng.usize(0..4)];
        self.results.insert(request.text.clone(), result);
        self.write_response(&request, result).await;
        self.answered.push((request, result));
    }

    /// Sends a copy of one of the last responses.
    async fn respond_again(&mut self) {
        let recent = self.answered.len().saturating_sub(4);
        if let Some((request, result)) = self.rng.choice(&self.answered[recent..]).cloned() {
            self.write_response(&request, result).await;
        }
    }

    async fn write_response(&self, request: &Received, result: char) {
        let value = if result == 'S' { &request.text } else { "" };
        self.node.respond(request.connection, &request.wire_id, result, value).await;
    }

    /// Closes the connection of a request.
    fn close(&mut self) {
        if let Some(connection) = self.rng.choice(&self.unanswered).map(|request| request.connection) {
            self.node.close(connection);
        }
    }

    /// Takes in what the node has received.
    fn receive(&mut self) {
        while let Ok(ReceivedEvent { connection, event, .. }) = self.events.try_recv() {
            match event {
                PeerEvent::Batch(requests) => {
                    let received = requests.into_iter().map(|request| Received {
                        connection,
                        wire_id: request.id,
                        text: request.text,
                    });
                    self.unanswered.extend(received);
                }
                PeerEvent::Closed => self.unanswered.retain(|request| request.connection != connection),
                _ => {}
            }
        }
    }

    fn check_completed(&mut self) {
        for completed in self.pool.take_completed_attempts() {
            let text = text_of(completed.attempt);
            let result = self.results.get(&text);
            match completed.outcome {
                AttemptOutcome::Succeeded => {
                    assert_eq!((completed.value.unwrap().bytes, result), (text.into(), Some(&'S')));
                }
                AttemptOutcome::Overloaded => assert_eq!(result, Some(&'B'), "{text} was not rejected"),
                _ => {}
            }
            self.in_flight.retain(|attempt| *attempt != completed.attempt);
        }
    }
}

fn text_of(attempt: AttemptId) -> String {
    format!("text of attempt {}", attempt.shard_request.0)
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("OWNER_SEEDS") else { return CI_SEEDS };
    let (start, end) = range.split_once("..").expect("OWNER_SEEDS is `FIRST..END`");
    start.parse().unwrap()..end.parse().unwrap()
}

/// Guards against serving a value that was made for another client, and against counting an attempt as rejected that the
/// node executes (review/7, review/1): a late response, or a second copy, completes a later attempt with the same id.
#[rstest]
fn no_attempt_is_completed_by_a_response_to_another() {
    run_test(async {
        for seed in seeds() {
            println!("seed {seed}");
            let mut exchange = Exchange::start(seed).await;
            for _ in 0..STEPS_PER_SEED {
                exchange.step().await;
            }
        }
    });
}

/// When the first client leaves in the next test.
#[derive(Clone, Copy, Debug)]
enum LeavesAfter {
    Sent,
    OneResponse,
    FailedAttempt,
}

/// Guards against executing an id twice, and against values made for another client (review/7): a client leaves, and
/// another one uses its id while nodes may still execute the query, or have executed some of it.
#[rstest]
fn the_id_of_a_client_that_left_is_not_executed_again(
    #[values("report", "lookup", "once")] class: &str,
    #[values(LeavesAfter::Sent, LeavesAfter::OneResponse, LeavesAfter::FailedAttempt)] leaves: LeavesAfter,
    #[values(false, true)] answers_late: bool,
) {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let shards: &[(u32, f64)] = &[(3, 0.25), (9, 0.25), (11, 0.5)];
        let first = cluster.send_query("a", class, shards).await;
        let (_, connection, _) = cluster.next_batch().await;
        match leaves {
            LeavesAfter::Sent => {}
            LeavesAfter::OneResponse => cluster.nodes[0].respond(connection, "a.3", 'S', "first").await,
            LeavesAfter::FailedAttempt => cluster.nodes[0].respond(connection, "a.3", 'E', "").await,
        }
        drop(first);
        wait_until(|| cluster.broker.engine.open_queries() == 0).await;
        if answers_late {
            cluster.nodes[0].respond(connection, "a.9", 'S', "first").await;
        }
        for _ in 0..3 {
            let mut second = cluster.send_query("a", class, ONE_SHARD).await;
            assert_eq!(second.reply_status().await, 400);
        }
        let mut other = cluster.send_query("b", class, ONE_SHARD).await;
        let (_, connection, received) = cluster.next_batch_skipping_events().await;
        assert_eq!(received[0].id, "b.3");
        cluster.nodes[0].respond(connection, "b.3", 'S', "other").await;
        assert!(other.reply().await.unwrap().body.contains("other"));
    });
}

/// An id must be free again when its retention has ended. On the wire its shard request must then use another
/// connection than the first one, whose late response must not be served.
#[rstest]
fn a_late_response_is_not_served_to_a_later_query_with_its_id() {
    run_test(async {
        let mut cluster = TestCluster::start_with(
            1,
            |config| config["settings"]["Services"][1]["DeadlineMs"] = json!(100_000.0),
            |startup| startup.limits.requests.max_retained_ids = 0,
        )
        .await;
        let first = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        drop(first);
        wait_until(|| cluster.broker.engine.in_flight_count() == 0).await;
        let mut second = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, other_connection, _) = cluster.next_batch_skipping_events().await;
        assert_ne!(other_connection, connection);
        cluster.nodes[0].respond(connection, "a.3", 'S', "for the first").await;
        sleep_ms(20).await; // so that it is read before the right one
        cluster.nodes[0].respond(other_connection, "a.3", 'S', "for the second").await;
        assert!(second.reply().await.unwrap().body.contains("for the second"));
    });
}

/// The id of a query of which nothing was sent can't be executed twice, and must stay usable.
#[rstest]
fn the_id_of_a_query_that_was_not_sent_is_free() {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["known"]["members"] = json!([]), |_| ()).await;
        cluster.discovery.next_request().await;
        let first = cluster.send_query("a", "once", ONE_SHARD).await;
        wait_until(|| cluster.broker.engine.open_queries() == 1).await;
        drop(first);
        wait_until(|| cluster.broker.engine.open_queries() == 0).await;
        let mut second = cluster.send_query("a", "once", ONE_SHARD).await;
        wait_until(|| cluster.broker.engine.open_queries() == 1).await;
        cluster.discovery.reply(snapshot(2, &[member(&cluster.nodes, 0, "ready")]));
        cluster.answer_next_batch("a.3").await;
        assert_eq!(second.reply_status().await, 200);
    });
}

/// Guards against executing an at-most-once shard request twice (review/1): it is rejected by the only node and retried
/// there, and a second copy of the rejection arrives while the retry is in flight.
#[rstest]
#[case::copy_of_a_rejection('B')]
#[case::copy_of_an_error('E')]
fn a_copy_of_a_response_does_not_end_a_retry_at_the_same_node(#[case] copy: char) {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.send_query("a", "once", ONE_SHARD).await;
        let (_, first, _) = cluster.next_batch().await;
        cluster.nodes[0].respond(first, "a.3", 'B', "").await;
        let (_, second, _) = cluster.next_batch_skipping_events().await;
        assert_ne!(first, second);
        cluster.nodes[0].respond(first, "a.3", copy, "").await;
        assert_eq!(cluster.next_event().await, (0, first, PeerEvent::Closed));
        cluster.nodes[0].respond(second, "a.3", 'S', "v").await;
        assert_eq!(client.reply_status().await, 200);
        assert!(cluster.has_no_event());
    });
}
