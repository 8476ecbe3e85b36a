//! What a message can't do: more than was asked, from who was not asked, past the bound of open leases.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeasedBudget, Message};
use routing::Tenths;
use rstest::rstest;

const LATER: Tenths = Tenths(1_000_000);

fn leased_budget(no: u16, most_leases: usize) -> LeasedBudget {
    let config = LeaseConfig { whole: 300, brokers: 3, most_leases, ..LeaseConfig::default() };
    LeasedBudget::start(config, InstanceId(BrokerId(no), Incarnation(u64::from(no))), Tenths(0))
}

/// Asked of broker 1 for 10 units; a grant of so many from that one, after so long.
#[rstest]
#[case(1, 10, 0, 110)]
#[case(1, 4, 0, 104)]
#[case(1, 11, 0, 100)]
#[case(2, 10, 0, 100)]
#[case(1, 10, 100_000, 100)]
fn counts_what_was_asked(#[case] from: u16, #[case] units: u32, #[case] after: i64, #[case] left: u32) {
    let mut leased_budget = leased_budget(0, 8);
    let ask = leased_budget.ask(LATER, BrokerId(1), 10).unwrap();
    let from = InstanceId(BrokerId(from), Incarnation(7));
    let (to, process, word) = (BrokerId(0), Some(Incarnation(0)), LeaseMessage::Grant(units));
    let grant = Message { from, to, process, lease: ask.lease, word };
    let now = LATER + Tenths(after);
    (0..2).for_each(|_| _ = leased_budget.hear(now, &grant));
    assert_eq!(leased_budget.left(now), left);
}

/// A message to the process before is nobody's.
#[rstest]
fn hears_nothing_for_an_earlier_process() {
    let mut leased_budget = leased_budget(0, 8);
    let ask = leased_budget.ask(LATER, BrokerId(1), 10).unwrap();
    let from = InstanceId(BrokerId(1), Incarnation(1));
    let (to, process, word) = (BrokerId(0), Some(Incarnation(99)), LeaseMessage::Grant(10));
    leased_budget.hear(LATER, &Message { from, to, process, lease: ask.lease, word });
    assert_eq!(leased_budget.left(LATER), 100);
}

/// Both sides enter no more leases than the bound, however many ask.
#[rstest]
fn holds_no_more_than_its_bound() {
    let (mut lender, mut borrower) = (leased_budget(1, 2), leased_budget(0, 2));
    let asks: Vec<Message> = (0..5).filter_map(|_| borrower.ask(LATER, BrokerId(1), 1)).collect();
    assert_eq!(asks.len(), 2);
    let others = (0..5).map(|no| Message { from: InstanceId(BrokerId(2), Incarnation(no)), ..asks[0] });
    let granted = asks.iter().copied().chain(others).filter_map(|ask| lender.hear(LATER, &ask)).count();
    assert_eq!((granted, lender.left(LATER)), (2, 98));
}
