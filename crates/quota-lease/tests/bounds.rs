//! What a message can't do: lend more than was requested, come from a broker that was not asked, or open more
//! leases than the bound.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeasedBudget, Message};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const LATER: Timestamp = Timestamp(1_000_000);

fn instance(broker: u16, incarnation: u64) -> InstanceId {
    InstanceId { broker: BrokerId(broker), incarnation: Incarnation(incarnation) }
}

fn leased_budget(broker: u16, max_leases: usize) -> LeasedBudget {
    let config = LeaseConfig { total_units: 300, brokers: 3, max_leases, ..LeaseConfig::default() };
    LeasedBudget::start(config, instance(broker, u64::from(broker)), Timestamp(0))
}

/// A grant to one process of broker 0.
fn grant(from: InstanceId, to_incarnation: u64, units: u32, request: &Message) -> Message {
    Message {
        from,
        to: BrokerId(0),
        to_incarnation: Some(Incarnation(to_incarnation)),
        lease: request.lease,
        content: LeaseMessage::Grant(units),
    }
}

/// 10 units were requested of broker 1; a grant of so many comes from that broker, after so long.
#[rstest]
#[case(1, 10, 0, 110)]
#[case(1, 4, 0, 104)]
#[case(1, 11, 0, 100)]
#[case(2, 10, 0, 100)]
#[case(1, 10, 100_000, 100)]
fn counts_what_was_requested(#[case] from: u16, #[case] units: u32, #[case] after: i64, #[case] left: u32) {
    let mut borrower = leased_budget(0, 8);
    let request = borrower.request_lease(LATER, BrokerId(1), 10).unwrap();
    let grant = grant(instance(from, 7), 0, units, &request);
    let now = LATER + TimeSpan(after);
    (0..2).for_each(|_| _ = borrower.handle_message(now, &grant));
    assert_eq!(borrower.available_units(now), left);
}

#[rstest]
fn ignores_a_message_for_an_earlier_process() {
    let mut borrower = leased_budget(0, 8);
    let request = borrower.request_lease(LATER, BrokerId(1), 10).unwrap();
    borrower.handle_message(LATER, &grant(instance(1, 1), 99, 10, &request));
    assert_eq!(borrower.available_units(LATER), 100);
}

/// Both sides enter no more leases than the bound, however many are requested.
#[rstest]
fn holds_no_more_leases_than_its_bound() {
    let (mut lender, mut borrower) = (leased_budget(1, 2), leased_budget(0, 2));
    let requests: Vec<Message> =
        (0..5).filter_map(|_| borrower.request_lease(LATER, BrokerId(1), 1)).collect();
    assert_eq!(requests.len(), 2);
    let others = (0..5).map(|incarnation| Message { from: instance(2, incarnation), ..requests[0] });
    let received = requests.iter().copied().chain(others);
    let granted = received.filter_map(|request| lender.handle_message(LATER, &request)).count();
    assert_eq!((granted, lender.available_units(LATER)), (2, 98));
}
