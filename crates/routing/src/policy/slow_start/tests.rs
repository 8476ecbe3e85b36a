use super::{
    RecentShardRequests, RequestRate, SlowStartRequest, is_warming_up, looks_restarted, presumed_start,
};
use crate::config::SafetyRules;
use crate::ids::ShardRequestId;
use crate::state::Execution::{MaybeExecuted, NotExecuted};
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use rstest::rstest;

const NOW: Timestamp = Timestamp(100_000);

fn rules() -> SafetyRules {
    SafetyRules {
        initial_capacity_share: 0.2,
        warm_up_period: TimeSpan(100_000),
        overload_factor: 2.0,
        overload_window: TimeSpan(10_000),
        ..SafetyRules::default()
    }
}

/// Returns a request to a node that has just started. Within a window, the node can do 2.0 × 0.2 × 10,000 =
/// 4,000 of work, and a shard request costs 1,000.
fn request(rules: &SafetyRules, brokers: u32) -> SlowStartRequest<'_> {
    SlowStartRequest {
        now: NOW,
        rules,
        brokers,
        started_at: NOW,
        start_known_at: NOW,
        consecutive_failures: 0,
        cost: 1_000.0,
        shard_request: ShardRequestId(1),
        demand: RequestRate { shard_requests: 100.0, span: TimeSpan(10_000) },
        ready_nodes: 10,
        random_seed: 1,
    }
}

#[rstest]
#[case::first(0.0, 0, true)]
#[case::up_to_its_share(1_000.0, 0, true)]
#[case::beyond_its_share(1_001.0, 0, false)]
#[case::one_failure(1_000.0, 1, true)]
#[case::failing_node_receives_one(0.0, 2, true)]
#[case::failing_node_receives_no_more(1.0, 2, false)]
fn few_brokers_share_the_capacity_of_the_node(
    #[case] recent_cost: f64,
    #[case] consecutive_failures: u32,
    #[case] expected: bool,
) {
    let rules = rules();
    let request = SlowStartRequest { consecutive_failures, ..request(&rules, 2) };
    assert_eq!(request.may_receive(|_| recent_cost), expected);
}

#[rstest]
fn a_single_broker_sends_one_request_that_exceeds_its_share() {
    let rules = rules();
    let heavy = SlowStartRequest { cost: 9_000.0, ..request(&rules, 1) };
    assert!(heavy.may_receive(|_| 0.0));
    assert!(!heavy.may_receive(|_| 1.0));
}

#[rstest]
fn a_node_after_its_warm_up_may_receive_any_cost() {
    let rules = rules();
    let warm = SlowStartRequest { started_at: NOW - rules.warm_up_period, ..request(&rules, 2) };
    assert!(warm.may_receive(|_| 1_000_000.0));
    assert!(!is_warming_up(Some(warm.started_at), NOW, rules.warm_up_period));
    assert!(is_warming_up(Some(warm.started_at + TimeSpan(1)), NOW, rules.warm_up_period));
    assert!(!is_warming_up(None, NOW, rules.warm_up_period));
}

/// Three hundred brokers learn of a node that has just started, and each sees only its own traffic. Together
/// they must stay within the node's capacity of 4 shard requests per window by three standard deviations: the
/// mean m satisfies m + 3√m = 4, so m = 1.
#[rstest]
fn many_brokers_together_stay_within_the_capacity_of_the_node() {
    let rules = rules();
    let sent_at = |age: i64| {
        let brokers = 0..300u64;
        let sends = brokers.filter(|broker| {
            let request = SlowStartRequest {
                now: NOW + TimeSpan(age),
                random_seed: broker.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ..request(&rules, 300)
            };
            request.may_receive(|_| 0.0)
        });
        sends.count()
    };
    assert_eq!(sent_at(0), 0);
    // One window later the node is warmer: its capacity is 5.6 and the mean 1.9, which random variation may
    // exceed.
    let sent = sent_at(10_000);
    assert!((1..=5).contains(&sent), "{sent} of 300 brokers");
}

/// A broker with infrequent queries sends many shard requests to the node at once. Each is drawn for
/// independently, and the number sent matches the broker's share.
#[rstest]
fn a_broker_that_rarely_uses_the_node_draws_for_each_shard_request() {
    let rules = rules();
    let rare = RequestRate { shard_requests: 50.0, span: TimeSpan(10_000) };
    let sends = (0..10_000).filter(|id| {
        let request = SlowStartRequest {
            shard_request: ShardRequestId(*id),
            demand: rare,
            ready_nodes: 100,
            ..request(&rules, 300)
        };
        request.may_receive(|_| 0.0)
    });
    // The mean is one in 300 windows, and half a shard request is expected there per window, so two in 300
    // are sent.
    let sent = sends.count();
    assert!((40..=95).contains(&sent), "{sent} of 10,000");
}

#[rstest]
fn sent_requests_consume_the_accumulated_share() {
    let rules = rules();
    let late = SlowStartRequest {
        now: NOW + TimeSpan(90_000),
        start_known_at: NOW - TimeSpan(2_000_000),
        ..request(&rules, 30)
    };
    assert!(late.may_receive(|from| if from == late.start_known_at { 1_000.0 } else { 0.0 }));
    assert!(!late.may_receive(|from| if from == late.start_known_at { 1_000_000.0 } else { 0.0 }));
}

/// Start times come from the wall clocks of other machines, which may be set forward or back by an hour. If
/// the computed age is too high, a cold node receives full load.
#[rstest]
#[case::first_list(false, 50_000, 20_000, 70_000)]
#[case::first_list_with_a_start_in_the_future(false, 50_000, 60_000, 100_000)]
#[case::later_list(true, 50_000, 20_000, 100_000)]
fn assumed_start_of_a_process(
    #[case] has_earlier_list: bool,
    #[case] wall_clock: i64,
    #[case] listed_start: i64,
    #[case] expected: i64,
) {
    let start = presumed_start(NOW, has_earlier_list, WallClockTime(wall_clock), WallClockTime(listed_start));
    assert_eq!(start, Timestamp(expected));
}

/// A single reset must not put a healthy node through slow start, but a process that went down refuses the
/// next connection.
#[rstest]
fn a_node_that_refuses_after_another_failure_looks_restarted() {
    assert!(looks_restarted(true, NotExecuted, 2));
    assert!(!looks_restarted(true, NotExecuted, 1));
    assert!(!looks_restarted(true, MaybeExecuted, 2));
    assert!(!looks_restarted(false, NotExecuted, 2));
}

#[rstest]
fn demand_is_a_rate_over_the_recorded_requests() {
    let mut demand = RecentShardRequests::default();
    let empty = demand.rate(NOW, TimeSpan(10_000));
    assert_eq!((empty.shard_requests, empty.span), (1.0, TimeSpan(10_000)));
    demand.record(NOW - TimeSpan(30_000));
    demand.record(NOW - TimeSpan(20_000));
    let rate = demand.rate(NOW, TimeSpan(10_000));
    assert_eq!((rate.shard_requests, rate.span), (2.0, TimeSpan(30_000)));
    demand.remove_before(NOW - TimeSpan(20_000));
    assert_eq!(demand.rate(NOW, TimeSpan(10_000)).shard_requests, 1.0);
}
