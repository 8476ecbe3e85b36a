use super::{EndedAttempt, state_after};
use crate::inputs::AttemptOutcome::{Cancelled, Errored, LocalResourceExhausted, NotSent, Succeeded};
use crate::state::ShardRequestState::{self, Failed, Received};
use crate::state::{QueryState, ShardRequestState as State};
use rstest::rstest;

const ERRORED: EndedAttempt = EndedAttempt {
    outcome: Errored,
    state: State::InFlight,
    attempts_in_flight: 0,
    query_state: QueryState::InFlight,
};

#[rstest]
#[case::is_retried(ERRORED, true, State::Queued)]
#[case::may_not_be_retried(ERRORED, false, Failed)]
#[case::succeeded(EndedAttempt { outcome: Succeeded, ..ERRORED }, false, Received)]
#[case::was_received_before(EndedAttempt { state: Received, ..ERRORED }, true, Received)]
#[case::a_hedge_is_in_flight(EndedAttempt { attempts_in_flight: 1, ..ERRORED }, true, State::InFlight)]
#[case::succeeded_before_its_hedge(
    EndedAttempt { outcome: Succeeded, attempts_in_flight: 1, ..ERRORED },
    true,
    Received
)]
#[case::was_not_sent(EndedAttempt { outcome: NotSent, ..ERRORED }, true, Failed)]
#[case::was_cancelled_for_a_retry(EndedAttempt { outcome: Cancelled, ..ERRORED }, true, State::Queued)]
#[case::local_resource_exhausted(EndedAttempt { outcome: LocalResourceExhausted, ..ERRORED }, true, State::Queued)]
#[case::past_the_objective(EndedAttempt { query_state: QueryState::PastObjective, ..ERRORED }, true, Failed)]
fn next_states(#[case] ended: EndedAttempt, #[case] may_retry: bool, #[case] expected: ShardRequestState) {
    assert_eq!(state_after(ended, || may_retry), expected);
}
