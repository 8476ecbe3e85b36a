use super::NodeFailureRate;
use crate::time::Timestamp;
use rstest::rstest;

const NOW: Timestamp = Timestamp(1000);

fn failure_rate(failures: usize, attempts: usize) -> NodeFailureRate {
    let mut rate = NodeFailureRate::default();
    (0..attempts).for_each(|attempt| rate.record(NOW, attempt < failures));
    rate
}

#[rstest]
#[case::nodes_fail(3, 20, true, 2, true)]
#[case::at_the_failure_rate_threshold(2, 20, true, 2, false)]
#[case::one_failure_alone_is_not_sufficient(1, 1, true, 2, false)]
#[case::not_the_first_send(3, 20, false, 2, false)]
#[case::single_shard_request(3, 20, true, 1, false)]
fn needs_canary(
    #[case] failures: usize,
    #[case] attempts: usize,
    #[case] is_first_send: bool,
    #[case] shard_requests: usize,
    #[case] expected: bool,
) {
    let rate = failure_rate(failures, attempts);
    assert_eq!(rate.needs_canary(NOW, is_first_send, shard_requests), expected);
}
