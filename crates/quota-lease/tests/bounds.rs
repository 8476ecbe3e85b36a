//! Tests that messages are rejected that grant more than was requested, come from another broker than the lender, or
//! exceed the maximum number of leases.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeasedBudget, Message};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const LATER: Timestamp = Timestamp(1_000_000);

fn instance(broker: u16, incarnation: u64) -> InstanceId {
    InstanceId { broker: BrokerId(broker), incarnation: Incarnation(incarnation) }
}

fn leased_budget(broker: u16, max_leases_per_role: usize) -> LeasedBudget {
    let config = LeaseConfig { total_units: 300, brokers: 3, max_leases_per_role, ..LeaseConfig::default() };
    LeasedBudget::start(config, instance(broker, u64::from(broker)), Timestamp(0))
}

/// Returns a grant that is addressed to one process of broker 0.
fn grant(from: InstanceId, to_incarnation: u64, units: u32, request: &Message) -> Message {
    Message {
        from,
        to: BrokerId(0),
        to_incarnation: Some(Incarnation(to_incarnation)),
        lease: request.lease,
        content: LeaseMessage::Grant(units),
    }
}

/// Ten units are requested from broker 1. A grant of `units` units from broker `from` arrives `after` the request,
/// and arrives twice. It must not count if it exceeds the request, comes from another broker or arrives after expiry.
#[rstest]
#[case(1, 10, 0, 110)]
#[case(1, 4, 0, 104)]
#[case(1, 11, 0, 100)]
#[case(2, 10, 0, 100)]
#[case(1, 10, 100_000, 100)]
fn counts_only_requested_units(
    #[case] from: u16,
    #[case] units: u32,
    #[case] after: i64,
    #[case] available: u32,
) {
    let mut borrower = leased_budget(0, 8);
    let request = borrower.request_lease(LATER, BrokerId(1), 10).unwrap();
    let grant = grant(instance(from, 7), 0, units, &request);
    let now = LATER + TimeSpan(after);
    (0..2).for_each(|_| _ = borrower.handle_message(now, &grant));
    assert_eq!(borrower.available_units(now), available);
}

#[rstest]
fn ignores_a_message_for_an_earlier_process() {
    let mut borrower = leased_budget(0, 8);
    let request = borrower.request_lease(LATER, BrokerId(1), 10).unwrap();
    borrower.handle_message(LATER, &grant(instance(1, 1), 99, 10, &request));
    assert_eq!(borrower.available_units(LATER), 100);
}

/// Lender and borrower record no more leases than `max_leases_per_role`, regardless of the number requested.
#[rstest]
fn holds_no_more_leases_than_its_bound() {
    let (mut lender, mut borrower) = (leased_budget(1, 2), leased_budget(0, 2));
    let requests: Vec<Message> =
        (0..5).filter_map(|_| borrower.request_lease(LATER, BrokerId(1), 1)).collect();
    assert_eq!(requests.len(), 2);
    let from_others = (0..5).map(|incarnation| Message { from: instance(2, incarnation), ..requests[0] });
    let received = requests.iter().copied().chain(from_others);
    let granted = received.filter_map(|request| lender.handle_message(LATER, &request)).count();
    assert_eq!((granted, lender.available_units(LATER)), (2, 98));
}
