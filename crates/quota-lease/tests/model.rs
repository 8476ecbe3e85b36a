//! Every state of three brokers that lend each other: messages lost, doubled and out of order, processes that stand still
//! or start anew. The machine is `LeasedBudget` itself. Standing still is in it, as none has to do anything.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseNo, LeasedBudget, Message};
use routing::Tenths;
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SHARE: u32 = 2;
const BROKERS: u16 = 3;

/// What each broker's own terms say of a lease, in ticks.
struct Fleet {
    leases: [i64; BROKERS as usize],
    window: i64,
    asks: u32,
    crashes: u32,
    last: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    purses: Vec<LeasedBudget>,
    /// Whatever was sent may be heard at any time, any number of times, or never.
    messages: BTreeSet<Message>,
    /// Units spent at each of the last ticks.
    spent: Vec<u32>,
    asks: u32,
    crashes: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Spend(usize),
    Ask(usize, u16),
    Hear(usize, Message),
    GiveBack(usize, LeaseNo),
    StartAnew(usize),
}

impl Fleet {
    fn leased_budget(&self, no: usize, incarnation: u64, began: i64) -> LeasedBudget {
        let config = LeaseConfig {
            whole: SHARE * u32::from(BROKERS),
            brokers: BROKERS.into(),
            window: Tenths(self.window),
            lease: Tenths(self.leases[no]),
            drift: 1_000_000,
            most_leases: 4,
        };
        LeasedBudget::start(config, InstanceId(BrokerId(no as u16), Incarnation(incarnation)), Tenths(began))
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let purses = (0..BROKERS.into()).map(|no| self.leased_budget(no, 0, -100)).collect();
        vec![State { now: 0, purses, messages: BTreeSet::new(), spent: vec![0], asks: 0, crashes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let now = Tenths(state.now);
        if state.now < self.last {
            actions.push(Action::Tick);
        }
        for (no, leased_budget) in state.purses.iter().enumerate() {
            if leased_budget.left(now) > 0 {
                actions.push(Action::Spend(no));
            }
            if state.asks < self.asks {
                let others = (0..BROKERS).filter(|other| usize::from(*other) != no);
                actions.extend(others.map(|other| Action::Ask(no, other)));
            }
            actions.extend(leased_budget.held_leases(now).map(|lease| Action::GiveBack(no, lease)));
            if state.crashes < self.crashes {
                actions.push(Action::StartAnew(no));
            }
        }
        actions.extend(state.messages.iter().map(|message| Action::Hear(message.to.0.into(), *message)));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let (mut next, now) = (state.clone(), Tenths(state.now));
        match action {
            Action::Tick => {
                next.now += 1;
                next.spent.push(0);
                let kept = next.spent.len().saturating_sub(self.window as usize + 1);
                next.spent.drain(..kept);
                // What is over is struck, so that states which differ by it alone are one.
                let now = Tenths(next.now);
                next.purses.iter_mut().for_each(|leased_budget| _ = leased_budget.spend(now, 0));
            }
            Action::Spend(no) => {
                next.purses[no].spend(now, 1).then_some(())?;
                *next.spent.last_mut()? += 1;
            }
            Action::Ask(no, of) => {
                next.asks += 1;
                next.messages.extend(next.purses[no].ask(now, BrokerId(of), 1));
            }
            Action::Hear(no, message) => next.messages.extend(next.purses[no].hear(now, &message)),
            Action::GiveBack(no, lease) => next.messages.extend(next.purses[no].give_back(lease)),
            Action::StartAnew(no) => {
                next.crashes += 1;
                next.purses[no] = self.leased_budget(no, 1, state.now);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("no window passes the whole", |_, state: &State| {
                state.spent.iter().sum::<u32>() <= SHARE * u32::from(BROKERS)
            }),
            Property::sometimes("a lease is spent", |_, state: &State| {
                let held = |p: &LeasedBudget| p.held_leases(Tenths(state.now)).next().is_some();
                state.purses.iter().any(|p| held(p) && p.left(Tenths(state.now)) == 0)
            }),
        ]
    }
}

/// Terms as they should be; then a planted mistake, which it finds: lenders that wait for a shorter lease than their
/// borrowers spend.
#[rstest]
#[case::starts_anew([2, 2, 2], 1, (1, 1, 6), true)]
#[case::starts_anew_under_a_long_lease([3, 3, 3], 0, (1, 1, 5), true)]
#[case::lends_on([3, 3, 3], 0, (2, 0, 6), true)]
#[case::mistaken([5, 0, 5], 1, (1, 0, 6), false)]
fn spends_no_more_than_the_whole(
    #[case] leases: [i64; 3],
    #[case] window: i64,
    #[case] (asks, crashes, last): (u32, u32, i64),
    #[case] sound: bool,
) {
    let checker = Fleet { leases, window, asks, crashes, last }.checker().threads(2).spawn_dfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    assert_eq!(checker.discovery("no window passes the whole").is_none(), sound);
    assert!(!sound || checker.discovery("a lease is spent").is_some());
}
