use super::{Quarantine, RetryDecision, counts_as_lost_node, decide_retry, is_query_of_death};
use crate::inputs::AttemptOutcome::{self, ConnectFailed, ConnectionLost, TimedOut};
use crate::policy::test_queries::{class, query};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

#[rstest]
#[case::two_lost(2, 0.0, true)]
#[case::one_lost(1, 0.0, false)]
#[case::one_answered(2, 0.1, false)]
fn queries_of_death(#[case] lost_nodes: usize, #[case] received_weight: f64, #[case] expected: bool) {
    assert_eq!(is_query_of_death(lost_nodes, received_weight), expected);
}

#[rstest]
#[case::during_execution(ConnectionLost, false, true)]
#[case::closed_while_idle(ConnectionLost, true, false)]
#[case::refused(ConnectFailed, false, false)]
#[case::silent(TimedOut, false, false)]
fn lost_nodes(#[case] outcome: AttemptOutcome, #[case] on_reused_connection: bool, #[case] expected: bool) {
    assert_eq!(counts_as_lost_node(outcome, on_reused_connection), expected);
}

#[rstest]
#[case::first_attempt(false, true, 0.0, RetryDecision::Send)]
#[case::harmless_query(true, false, 0.0, RetryDecision::Send)]
#[case::another_in_flight(true, true, 0.1, RetryDecision::Wait)]
#[case::nothing_in_flight(true, true, 0.0, RetryDecision::GiveUp)]
fn retries_wait_for_a_request_in_flight(
    #[case] is_retry: bool,
    #[case] is_query_of_death: bool,
    #[case] in_flight_weight: f64,
    #[case] expected: RetryDecision,
) {
    assert_eq!(decide_retry(is_retry, is_query_of_death, in_flight_weight), expected);
}

#[rstest]
fn the_same_query_is_rejected_for_one_deadline() {
    let signature = query(class(1.0, 1.0), &[0.5, 0.5]).signature();
    let other = query(class(1.0, 1.0), &[1.0]).signature();
    let mut quarantine = Quarantine::default();
    quarantine.insert(signature.clone(), Timestamp(1_000), TimeSpan(500));
    assert!(quarantine.contains(&signature, Timestamp(1_499)));
    assert!(!quarantine.contains(&other, Timestamp(1_499)));
    assert!(!quarantine.contains(&signature, Timestamp(1_500)));
    quarantine.remove_expired(Timestamp(1_499));
    assert!(!quarantine.is_empty());
    quarantine.remove_expired(Timestamp(1_500));
    assert!(quarantine.is_empty());
}
