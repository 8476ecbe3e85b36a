//! The state machine of queries: the table of transitions and the conditions under which they are taken.
//!
//! 1. `Pending`: accepted, with all of its shard requests known. The query is rejected, waits, or is sent.
//! 2. `InFlight`: shard requests are in flight or queued; responses and failures arrive.
//! 3. `PastObjective`: the latency objective has passed and nothing more is sent, but a late response is
//!    still useful.
//! 4. `Responded`: a response was sent. A query of a class with a second phase continues with
//!    `BetweenPhases`, and returns to `InFlight` once the shard requests of that phase are known.
//! 5. `Finished`: final state.
//!
//! Guards are pure. Anything that has to be recorded about a query when an event is handled has a row of its
//! own.

use crate::broker::Broker;
use crate::state::QueryEvent::{
    ClientLeft, DeadlineNear, ObjectiveNear, Reevaluate, ResponseReceived, ResponseSent, ShardRequestFailed,
};
use crate::state::QueryState::{BetweenPhases, Finished, InFlight, PastObjective, Pending, Responded};
use crate::state::{Query, QueryEvent, QueryState};

/// A condition under which a row applies.
type Guard = fn(&Broker, &Query) -> bool;
/// An action that is carried out on a state transition.
type Action = fn(&mut Broker, &mut Query);
/// An action that records an observation about a query without changing its state.
type Record = fn(&mut Broker, &Query);

/// The effect of a row.
pub(crate) enum Step {
    /// Changes the state of the query and then carries out the action.
    Move(QueryState, Action),
    /// Records an observation and continues with the next row.
    Record(Record),
}

/// A row of the transition table, which applies to an event in one of the given states if the guard holds.
pub(crate) struct Transition {
    from: &'static [QueryState],
    on: QueryEvent,
    when: Guard,
    pub(crate) step: Step,
}

impl Transition {
    /// Returns whether the row applies to the query for this event.
    pub(crate) fn applies(&self, broker: &Broker, query: &Query, event: QueryEvent) -> bool {
        self.on == event && self.from.contains(&query.state) && (self.when)(broker, query)
    }
}

const fn row(
    from: &'static [QueryState],
    on: QueryEvent,
    when: Guard,
    to: QueryState,
    action: Action,
) -> Transition {
    Transition { from, on, when, step: Step::Move(to, action) }
}

const fn record(from: &'static [QueryState], on: QueryEvent, when: Guard, record: Record) -> Transition {
    Transition { from, on, when, step: Step::Record(record) }
}

fn always(_: &Broker, _: &Query) -> bool {
    true
}

fn no_action(_: &mut Broker, _: &mut Query) {}

const OPEN: &[QueryState] = &[Pending, InFlight, PastObjective, BetweenPhases];

/// The transition table. Rows are evaluated in order, and the first `Move` that applies is taken. If none
/// applies, the event has no effect.
///
/// The yield of a class is recorded before each of the two decisions that compare yields: whether the query
/// has to wait, and whether it is rejected. A waiting query is therefore counted once more each time it is
/// re-evaluated.
#[rustfmt::skip]
pub(crate) const TRANSITIONS: &[Transition] = &[
    //  from              on                  when                             to             action
    row(&[Pending],       Reevaluate,         Broker::is_quarantined,          Finished,      Broker::give_up),
    row(&[Pending],       Reevaluate,         Broker::needs_load_reports,      Pending,       Broker::probe_replicas),
    row(&[Pending],       Reevaluate,         Broker::awaits_load_reports,     Pending,       no_action),
    row(&[Pending],       Reevaluate,         Broker::is_unlikely_to_complete, Finished,      Broker::give_up),
    record(&[Pending],    Reevaluate,         Broker::may_wait,                Broker::record_class_yield),
    row(&[Pending],       Reevaluate,         Broker::must_wait,               Pending,       Broker::enqueue),
    record(&[Pending],    Reevaluate,         always,                          Broker::record_class_yield),
    row(&[Pending],       Reevaluate,         Broker::exceeds_limit,           Finished,      Broker::reject),
    row(&[Pending],       Reevaluate,         always,                          InFlight,      Broker::send),
    row(&[BetweenPhases], Reevaluate,         always,                          InFlight,      Broker::send),
    row(&[InFlight],      ResponseReceived,   Broker::awaits_canary,           InFlight,      Broker::send),
    row(&[InFlight],      ResponseReceived,   Broker::is_response_due,         Responded,     Broker::respond),
    row(&[InFlight],      ShardRequestFailed, Broker::is_response_due,         Responded,     Broker::respond),
    row(&[InFlight],      ShardRequestFailed, Broker::can_substitute,          InFlight,      Broker::send),
    row(&[InFlight],      ShardRequestFailed, Broker::cannot_cover_minimum,    Finished,      Broker::give_up),
    row(&[InFlight],      ObjectiveNear,      Broker::has_min_coverage,        Responded,     Broker::respond),
    row(&[InFlight],      ObjectiveNear,      Broker::is_late_useful,          PastObjective, no_action),
    row(&[InFlight],      ObjectiveNear,      always,                          Finished,      Broker::give_up),
    row(&[PastObjective], ResponseReceived,   Broker::has_min_coverage,        Responded,     Broker::respond),
    row(&[PastObjective], ShardRequestFailed, Broker::is_late_useless,         Finished,      Broker::give_up),
    row(&[Responded],     ResponseSent,       Broker::has_next_phase,          BetweenPhases, Broker::end_phase),
    row(&[Responded],     ResponseSent,       always,                          Finished,      no_action),
    row(OPEN,             DeadlineNear,       Broker::has_min_coverage,        Responded,     Broker::respond),
    row(OPEN,             DeadlineNear,       always,                          Finished,      Broker::give_up),
    row(OPEN,             ClientLeft,         always,                          Finished,      no_action),
];
