//! The state machine of a lease, at its lender and at its borrower.

use LeaseEvent::{GrantReceived, NotNeeded, ReleaseReceived, RequestReceived};
use LeaseState::{CoolingDown, Granted, Held, Requested};

/// The state of a lease at its lender or at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum LeaseState {
    /// At the lender: the units are reserved and may be spent by the borrower.
    Granted,
    /// At the lender: the lease was released, but units that the borrower spent still count for a window.
    CoolingDown,
    /// At the borrower: the lease was requested and no grant has been received.
    Requested,
    /// At the borrower: the units may be spent.
    Held,
}

/// An event that may change the state of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    /// The lender received a request.
    RequestReceived,
    /// The borrower received a grant.
    GrantReceived,
    /// The lender received the release of the lease.
    ReleaseReceived,
    /// The borrower no longer needs the units.
    NotNeeded,
}

/// A transition from one state to the next. `None` means that the lease does not exist.
struct Transition {
    state: Option<LeaseState>,
    event: LeaseEvent,
    next: Option<LeaseState>,
}

/// The transition table. An event without a row for the current state is ignored. Expiry is not an event: every
/// reader treats an expired lease as absent.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    Transition { state: None,             event: RequestReceived, next: Some(Granted) },
    Transition { state: Some(Granted),    event: RequestReceived, next: Some(Granted) },
    Transition { state: Some(Granted),    event: ReleaseReceived, next: Some(CoolingDown) },
    Transition { state: Some(Requested),  event: GrantReceived,   next: Some(Held) },
    Transition { state: Some(Requested),  event: NotNeeded,       next: None },
    Transition { state: Some(Held),       event: NotNeeded,       next: None },
];

/// Returns the state that follows an event, where `Some(None)` removes the lease, or `None` if the event is ignored.
pub(crate) fn next_state(state: Option<LeaseState>, event: LeaseEvent) -> Option<Option<LeaseState>> {
    let transition = TRANSITIONS.iter().find(|row| row.state == state && row.event == event)?;
    Some(transition.next)
}
