//! The life of a query: the table of its states, and what moves it from one to the next.
//!
//! 1. `Pending`: accepted, with all of its shard requests known. It is rejected, waits, or is sent.
//! 2. `InFlight`: shard requests are in flight or queued; responses and failures come in.
//! 3. `PastObjective`: the latency objective is over and nothing more is sent, but a late response is still
//!    worth something.
//! 4. `Responded`: a response was given. A class with a second phase goes on to `BetweenPhases`, and from
//!    there to `InFlight` once the shard requests of that phase are known.
//! 5. `Finished`: nothing more happens.
//!
//! Guards answer and change nothing. What has to be remembered of a query that is looked at is recorded in
//! rows of its own.

use crate::broker::Broker;
use crate::state::QueryEvent::{
    ClientLeft, DeadlineNear, ObjectiveNear, Reevaluate, ResponseReceived, ResponseSent, ShardRequestFailed,
};
use crate::state::QueryState::{BetweenPhases, Finished, InFlight, PastObjective, Pending, Responded};
use crate::state::{Query, QueryEvent, QueryState};

/// Answers whether a row applies.
type Guard = fn(&Broker, &Query) -> bool;
/// What is done on the way to the next state.
type Action = fn(&mut Broker, &mut Query);
/// What is remembered of a query without moving it.
type Record = fn(&mut Broker, &Query);

/// What a row does.
pub(crate) enum Step {
    /// Moves the query to the next state and carries out the action.
    Move(QueryState, Action),
    /// Records what was observed, and goes on to the next row.
    Record(Record),
}

/// A row of the table: in one of these states, on an event, if the guard holds.
pub(crate) struct Transition {
    from: &'static [QueryState],
    on: QueryEvent,
    when: Guard,
    pub(crate) step: Step,
}

impl Transition {
    /// Whether the row applies to a query now.
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

fn nothing(_: &mut Broker, _: &mut Query) {}

const OPEN: &[QueryState] = &[Pending, InFlight, PastObjective, BetweenPhases];

/// The rows are gone through in order; the first `Move` that applies is taken. Where none applies, nothing
/// happens.
///
/// What a class yields is smoothed in before each of the two decisions that compare yields: whether the query
/// has to wait, and whether it is rejected. A query that waits therefore counts once more each time it is
/// looked at.
#[rustfmt::skip]
pub(crate) const TRANSITIONS: &[Transition] = &[
    //  from              on                  when                             to             action
    row(&[Pending],       Reevaluate,         Broker::is_quarantined,          Finished,      Broker::give_up),
    row(&[Pending],       Reevaluate,         Broker::needs_load_reports,      Pending,       Broker::probe_replicas),
    row(&[Pending],       Reevaluate,         Broker::awaits_load_reports,     Pending,       nothing),
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
    row(&[InFlight],      ShardRequestFailed, Broker::misses_min_coverage,     Finished,      Broker::give_up),
    row(&[InFlight],      ObjectiveNear,      Broker::has_min_coverage,        Responded,     Broker::respond),
    row(&[InFlight],      ObjectiveNear,      Broker::is_late_useful,          PastObjective, nothing),
    row(&[InFlight],      ObjectiveNear,      always,                          Finished,      Broker::give_up),
    row(&[PastObjective], ResponseReceived,   Broker::has_min_coverage,        Responded,     Broker::respond),
    row(&[PastObjective], ShardRequestFailed, Broker::is_late_useless,         Finished,      Broker::give_up),
    row(&[Responded],     ResponseSent,       Broker::has_next_phase,          BetweenPhases, Broker::end_phase),
    row(&[Responded],     ResponseSent,       always,                          Finished,      nothing),
    row(OPEN,             DeadlineNear,       Broker::has_min_coverage,        Responded,     Broker::respond),
    row(OPEN,             DeadlineNear,       always,                          Finished,      Broker::give_up),
    row(OPEN,             ClientLeft,         always,                          Finished,      nothing),
];
