use super::{Candidate, choose, score};
use crate::ids::{BatchId, NodeId};
use crate::state::{LoadReport, Node, OpenBatch};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

fn candidate(node: u64, score: f64) -> Candidate {
    Candidate { node: NodeId(node), was_tried: false, score, is_in_other_zone: false, needs_new_batch: true }
}

/// Returns all nodes that are chosen in 200 draws.
fn chosen(candidates: &[Candidate]) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut nodes: Vec<u64> =
        (0..200).filter_map(|_| choose(candidates, &mut rng)).map(|node| node.0).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

#[rstest]
fn the_lowest_score_wins_and_close_scores_tie() {
    let scores = [candidate(1, 100.0), candidate(2, 109.9), candidate(3, 110.2)];
    assert_eq!(chosen(&scores), [1, 2]);
    assert_eq!(chosen(&[]), []);
}

#[rstest]
fn ties_prefer_the_own_zone_and_then_an_open_batch() {
    let other_zone = Candidate { is_in_other_zone: true, needs_new_batch: false, ..candidate(1, 100.0) };
    let open_batch = Candidate { needs_new_batch: false, ..candidate(2, 105.0) };
    assert_eq!(chosen(&[other_zone, candidate(3, 105.0)]), [3]);
    assert_eq!(chosen(&[other_zone, open_batch, candidate(3, 105.0)]), [2]);
    assert_eq!(chosen(&[other_zone, candidate(3, 200.0)]), [1]);
}

#[rstest]
fn tried_replicas_come_last() {
    let tried = Candidate { was_tried: true, ..candidate(1, 1.0) };
    assert_eq!(chosen(&[tried, candidate(2, 100.0)]), [2]);
    assert_eq!(chosen(&[tried]), [1]);
}

fn node(batches: u64, open: Option<u32>) -> Node {
    let mut node = Node::default();
    (0..batches).for_each(|id| _ = node.batches.insert(BatchId(id), Default::default()));
    node.open_batch = open.map(|shard_requests| OpenBatch { id: BatchId(0), shard_requests });
    node
}

fn reported(probe_sent_at: Option<Timestamp>, is_valid: bool, queue_length: Option<f64>) -> Node {
    let load = LoadReport { is_valid, queue_length, ..LoadReport::default() };
    Node { probe_sent_at, load: probe_sent_at.is_none().then_some(load), ..Node::default() }
}

// The latency is 10, and a batch holds 4 shard requests.
#[rstest]
#[case::idle(node(0, None), 10.0)]
#[case::two_batches(node(2, None), 30.0)]
#[case::joins_the_open_batch(node(2, Some(3)), 20.0)]
#[case::the_open_batch_is_full(node(2, Some(4)), 30.0)]
#[case::reported_queue(reported(None, true, Some(3.0)), 40.0)]
#[case::no_queue_in_the_report(reported(None, true, None), 10.0)]
#[case::failed_probe(reported(None, false, Some(3.0)), 330.0)]
#[case::unanswered_probe(reported(Some(Timestamp(1)), true, None), 330.0)]
fn scores(#[case] node: Node, #[case] expected: f64) {
    assert_eq!(score(&node, TimeSpan(10), 4), expected);
}
