//! Each rule: what breaks it, and what does not.

use crate::invariants::{
    ClassLimits, InvariantChecker, InvariantLimits, PublishedState, QueryCounts, QueryEnd, ShardRequestIndex,
};
use routing::{EndpointState, Idempotency, RetryBudget, TimeSpan, Timestamp};
use rstest::rstest;

const READY: PublishedState = PublishedState { state: EndpointState::Ready, at: Timestamp(0) };

fn draining_since(at: i64) -> PublishedState {
    PublishedState { state: EndpointState::Draining, at: Timestamp(at) }
}

fn checker() -> InvariantChecker {
    let class = |idempotency, min_coverage| ClassLimits {
        deadline: TimeSpan(1000),
        min_coverage,
        idempotency,
        dedup_window: TimeSpan(500),
    };
    let classes = vec![
        class(Idempotency::Idempotent, 0.4),
        class(Idempotency::IdempotencyKey, 1.0),
        class(Idempotency::AtMostOnce, 1.0),
    ];
    let retry_budget = Some(RetryBudget { min_retries: 1.0, ratio: 0.5, window: TimeSpan(100) });
    let limits = InvariantLimits { classes, retry_budget, grace: TimeSpan(50), slack: TimeSpan(5) };
    InvariantChecker::new(limits, 1)
}

/// A day in which a query was lost breaks a rule.
#[rstest]
#[case(2, 0)]
#[case(3, 1)]
fn detects_lost_queries(#[case] sent: u64, #[case] violations: usize) {
    let mut checker = checker();
    let counts = QueryCounts { sent, rejected: 1, abandoned: 1, ..QueryCounts::default() };
    checker.check_conservation(Timestamp(0), &counts);
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
fn reports_how_near_a_rule_came() {
    let mut checker = checker();
    checker.query_sent(Timestamp(0), 0, 0, TimeSpan(1000), &[0.5, 0.5]);
    checker.shard_request_arrived(Timestamp(25), Timestamp(25), ShardRequestIndex(0), draining_since(0));
    checker.shard_request_arrived(Timestamp(30), Timestamp(30), ShardRequestIndex(0), draining_since(10));
    checker.warming_node_loaded(Timestamp(40), 0.75);
    checker.warming_node_loaded(Timestamp(50), 0.25);
    let closest: Vec<(u8, f64, Timestamp)> = checker
        .closest()
        .iter()
        .map(|(rule, closest)| (rule.as_bytes()[0] - b'0', closest.ratio, closest.at))
        .collect();
    assert_eq!(closest, [(3, 0.5, Timestamp(25)), (4, 0.75, Timestamp(40)), (6, 0.4, Timestamp(30))]);
}

/// What happens to one query of two shard requests of equal weight, one step a word: `a0` shard request 0
/// arrives at a node, `t0` it is accepted, `m0` answered; `d0` it arrives at a node published as draining; `A01`
/// the client gets a complete response of 0 and 1; `P0` a partial one; `D` it is rejected, `S` failed; `F` a node
/// collapses; `C` the day ends; a number moves the clock to that time. Then the rule that is broken, if any.
#[rstest]
#[case(0, "a0 t0 m0 a1 t1 m1 A01", "")]
#[case(0, "a0 t0 m0 P0 C", "")]
#[case(0, "a0 t0 m0 a1 P0 C", "")]
#[case(0, "C", "1: no final response")]
#[case(0, "S D", "1: a second final response")]
#[case(0, "1006 S", "1: a final response past")]
#[case(0, "1005 S", "")]
#[case(0, "S 6 a0", "1: an attempt after")]
#[case(0, "S 5 a0", "")]
#[case(0, "P", "5: a response under")]
#[case(0, "a0 t0 m0 a1 t1 P01", "5: a shard request counted that no node")]
#[case(0, "a0 t0 m0 P00", "5: a shard request counted twice")]
#[case(0, "a0 t0 m0 A0", "5: a response called complete")]
#[case(1, "a0 t0 505 a0", "")]
#[case(1, "a0 t0 506 a0", "2: idempotency key")]
#[case(2, "a0 a0 t0 D", "2: at-most-once, rejected")]
#[case(2, "a0 a0 t0 S", "")]
#[case(2, "a0 t0 a0", "2: at-most-once, attempted again")]
#[case(0, "55 d0", "")]
#[case(0, "56 d0", "3: an attempt past")]
#[case(0, "F", "4: a warming node collapsed")]
#[case(0, "a0 a0 a0 S", "")]
#[case(0, "a0 a0 a0 a0 S", "6: more retries")]
#[case(0, "a0 a0 101 a0 200 a0 a0", "6: more retries")]
#[case(0, "a0 a0 101 a0 S", "")]
fn detects_each_violation(#[case] class: usize, #[case] steps: &str, #[case] rule: &str) {
    let mut checker = checker();
    checker.query_sent(Timestamp(0), 0, class, TimeSpan(1000), &[0.5, 0.5]);
    let mut now = Timestamp(0);
    for step in steps.split(' ') {
        let (word, rest) = step.split_at(1);
        let shard_requests: Vec<ShardRequestIndex> =
            rest.bytes().map(|b| ShardRequestIndex(usize::from(b - b'0'))).collect();
        let shard_request = shard_requests.first().copied().unwrap_or(ShardRequestIndex(0));
        let mut end = |end: QueryEnd| _ = checker.query_ended(now, 0, &end);
        match word {
            "a" => checker.shard_request_arrived(now, now, shard_request, READY),
            "d" => checker.shard_request_arrived(now, now, shard_request, draining_since(0)),
            "t" => checker.shard_request_accepted(now, shard_request),
            "m" => checker.shard_request_answered(now, shard_request),
            "A" => end(QueryEnd::Responded { complete: true, counted: shard_requests }),
            "P" => end(QueryEnd::Responded { complete: false, counted: shard_requests }),
            "D" => end(QueryEnd::Rejected),
            "S" => end(QueryEnd::Failed),
            "F" => checker.node_collapsed(now),
            "C" => checker.finish(now),
            _ => now = Timestamp(step.parse().unwrap()),
        }
    }
    let broken: Vec<&str> = checker.violations().keys().copied().collect();
    match rule {
        "" => assert!(broken.is_empty(), "{broken:?}"),
        rule => assert!(broken.len() == 1 && broken[0].starts_with(rule), "{broken:?}"),
    }
}
