//! The states of a lease at its lender and at its borrower, and the table of their transitions.

use LeaseEvent::{GrantReceived, NotNeeded, ReleaseReceived, RequestReceived};
use LeaseState::{CoolingDown, Granted, Held, Requested};

/// The state of a lease at its lender or at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum LeaseState {
    /// Lender: the units are set aside, and may be spent by the borrower.
    Granted,
    /// Lender: given back, but what the borrower spent still counts for a window.
    CoolingDown,
    /// Borrower: no grant has come yet.
    Requested,
    /// Borrower: the units may be spent.
    Held,
}

/// What moves a lease from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    /// Lender: a request came.
    RequestReceived,
    /// Borrower: a grant came.
    GrantReceived,
    /// Lender: the lease was given back.
    ReleaseReceived,
    /// Borrower: the units are not needed any more.
    NotNeeded,
}

/// A transition; a state of none is a lease that there is not.
struct Transition {
    state: Option<LeaseState>,
    event: LeaseEvent,
    next: Option<LeaseState>,
}

/// An event that has no row for a state changes nothing. A lease's end is no event: a lease past its end is
/// treated as none, wherever it is looked at.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    Transition { state: None,             event: RequestReceived, next: Some(Granted) },
    Transition { state: Some(Granted),    event: RequestReceived, next: Some(Granted) },
    Transition { state: Some(Granted),    event: ReleaseReceived, next: Some(CoolingDown) },
    Transition { state: Some(Requested),  event: GrantReceived,   next: Some(Held) },
    Transition { state: Some(Requested),  event: NotNeeded,       next: None },
    Transition { state: Some(Held),       event: NotNeeded,       next: None },
];

/// The transition that an event causes, as the state after it; none where the event changes nothing.
pub(crate) fn next_state(state: Option<LeaseState>, event: LeaseEvent) -> Option<Option<LeaseState>> {
    let transition = TRANSITIONS.iter().find(|row| row.state == state && row.event == event)?;
    Some(transition.next)
}
