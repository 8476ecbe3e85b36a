//! Model-checks three brokers that lend each other units: messages may be lost, duplicated and reordered, and
//! processes may be suspended or restarted. The checked state machine is `LeasedBudget` itself. Suspended processes
//! are covered because no broker is required to act.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseNumber, LeasedBudget, Message};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SHARE: u32 = 2;
const BROKERS: u16 = 3;
const WITHIN_TOTAL: &str = "no more than the total is spent in any window";
const LEASE_SPENT: &str = "a lease is spent";

/// The model, with the bounds of one check. Times are in ticks.
struct LeaseModel {
    /// The duration of a lease in each broker's configuration.
    lease_durations: [i64; BROKERS as usize],
    window: i64,
    max_requests: u32,
    max_restarts: u32,
    last_tick: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    budgets: Vec<LeasedBudget>,
    /// All messages ever sent. Each may be delivered at any time, any number of times, or never.
    messages: BTreeSet<Message>,
    /// The units spent in each tick of the last window.
    spent: Vec<u32>,
    requests: u32,
    restarts: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Spend { broker: usize },
    Request { borrower: usize, lender: u16 },
    Deliver(Message),
    Release { borrower: usize, lease: LeaseNumber },
    Restart { broker: usize },
}

impl LeaseModel {
    fn leased_budget(&self, broker: usize, incarnation: u64, started_at: i64) -> LeasedBudget {
        let config = LeaseConfig {
            total_units: SHARE * u32::from(BROKERS),
            brokers: BROKERS.into(),
            window: TimeSpan(self.window),
            lease_duration: TimeSpan(self.lease_durations[broker]),
            drift_divisor: 1_000_000,
            max_leases_per_role: 4,
        };
        let instance = InstanceId { broker: BrokerId(broker as u16), incarnation: Incarnation(incarnation) };
        LeasedBudget::start(config, instance, Timestamp(started_at))
    }

    fn tick(&self, state: &mut State) {
        state.now += 1;
        state.spent.push(0);
        let outside_window = state.spent.len().saturating_sub(self.window as usize + 1);
        state.spent.drain(..outside_window);
        // Removes expired entries, so that states that differ only by them are equal.
        let now = Timestamp(state.now);
        state.budgets.iter_mut().for_each(|leased_budget| _ = leased_budget.try_spend(now, 0));
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let budgets = (0..BROKERS.into()).map(|broker| self.leased_budget(broker, 0, -100)).collect();
        vec![State { now: 0, budgets, messages: BTreeSet::new(), spent: vec![0], requests: 0, restarts: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let now = Timestamp(state.now);
        if state.now < self.last_tick {
            actions.push(Action::Tick);
        }
        for (broker, leased_budget) in state.budgets.iter().enumerate() {
            if leased_budget.available_units(now) > 0 {
                actions.push(Action::Spend { broker });
            }
            if state.requests < self.max_requests {
                let lenders = (0..BROKERS).filter(|lender| usize::from(*lender) != broker);
                actions.extend(lenders.map(|lender| Action::Request { borrower: broker, lender }));
            }
            let held = leased_budget.held_leases(now);
            actions.extend(held.map(|lease| Action::Release { borrower: broker, lease }));
            if state.restarts < self.max_restarts {
                actions.push(Action::Restart { broker });
            }
        }
        actions.extend(state.messages.iter().map(|message| Action::Deliver(*message)));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let (mut next, now) = (state.clone(), Timestamp(state.now));
        match action {
            Action::Tick => self.tick(&mut next),
            Action::Spend { broker } => {
                next.budgets[broker].try_spend(now, 1).then_some(())?;
                *next.spent.last_mut()? += 1;
            }
            Action::Request { borrower, lender } => {
                next.requests += 1;
                next.messages.extend(next.budgets[borrower].request_lease(now, BrokerId(lender), 1));
            }
            Action::Deliver(message) => {
                let receiver = usize::from(message.to.0);
                next.messages.extend(next.budgets[receiver].handle_message(now, &message));
            }
            Action::Release { borrower, lease } => {
                next.messages.extend(next.budgets[borrower].release_lease(lease));
            }
            Action::Restart { broker } => {
                next.restarts += 1;
                next.budgets[broker] = self.leased_budget(broker, 1, state.now);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always(WITHIN_TOTAL, |_, state: &State| {
                state.spent.iter().sum::<u32>() <= SHARE * u32::from(BROKERS)
            }),
            Property::sometimes(LEASE_SPENT, |_, state: &State| {
                let now = Timestamp(state.now);
                let holds_lease = |budget: &LeasedBudget| budget.held_leases(now).next().is_some();
                state.budgets.iter().any(|budget| holds_lease(budget) && budget.available_units(now) == 0)
            }),
        ]
    }
}

/// Checks valid configurations, and an invalid one whose violation the check must find: a lender configured with
/// shorter leases than its borrower reuses units that the borrower may still spend.
#[rstest]
#[case::restart([2, 2, 2], 1, (1, 1, 6), true)]
#[case::restart_under_a_long_lease([3, 3, 3], 0, (1, 1, 5), true)]
#[case::two_leases([3, 3, 3], 0, (2, 0, 6), true)]
#[case::unequal_leases([5, 0, 5], 1, (1, 0, 6), false)]
fn spends_no_more_than_the_total(
    #[case] lease_durations: [i64; 3],
    #[case] window: i64,
    #[case] (max_requests, max_restarts, last_tick): (u32, u32, i64),
    #[case] is_safe: bool,
) {
    let model = LeaseModel { lease_durations, window, max_requests, max_restarts, last_tick };
    let checker = model.checker().threads(2).spawn_dfs().join();
    println!("{} states, {} distinct", checker.state_count(), checker.unique_state_count());
    assert_eq!(checker.discovery(WITHIN_TOTAL).is_none(), is_safe);
    assert!(!is_safe || checker.discovery(LEASE_SPENT).is_some());
}
