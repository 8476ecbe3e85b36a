use super::QueueRequest;
use crate::time::TimeSpan;
use rstest::rstest;

const FIRST: QueueRequest = QueueRequest {
    is_queued: false,
    shard_requests: 5,
    queue_length: 1,
    limit: 10.0,
    latency_objective: TimeSpan(1000),
    time_left: TimeSpan(1000),
};

#[rstest]
#[case::fills_the_limit_once_more(FIRST, true)]
#[case::exceeds_the_limit_once_more(QueueRequest { queue_length: 2, ..FIRST }, false)]
#[case::keeps_its_place(QueueRequest { is_queued: true, queue_length: 2, ..FIRST }, true)]
#[case::within_a_fifth_of_the_objective(QueueRequest { time_left: TimeSpan(801), ..FIRST }, true)]
#[case::after_a_fifth_of_the_objective(QueueRequest { time_left: TimeSpan(800), ..FIRST }, false)]
#[case::queued_but_out_of_time(QueueRequest { is_queued: true, time_left: TimeSpan(800), ..FIRST }, false)]
fn may_wait(#[case] queue_request: QueueRequest, #[case] expected: bool) {
    assert_eq!(queue_request.may_wait(), expected);
}
