use crate::inputs::AttemptOutcome::{self, *};
use crate::state::Execution::{self, MaybeExecuted, NotExecuted, Unsent};
use rstest::rstest;

// Columns: outcome, execution, is overload, is node failure, looks down, reflects load.
#[rstest]
#[case(Succeeded, MaybeExecuted, false, false, false, true)]
#[case(Errored, MaybeExecuted, false, true, false, true)]
#[case(Overloaded, NotExecuted, true, true, false, true)]
#[case(TimedOut, MaybeExecuted, true, true, false, true)]
#[case(ConnectFailed, NotExecuted, false, true, true, true)]
#[case(ConnectionLost, MaybeExecuted, false, true, true, true)]
#[case(Cancelled, MaybeExecuted, false, false, false, false)]
#[case(NotSent, Unsent, false, false, false, false)]
#[case(LocalResourceExhausted, Unsent, false, false, false, false)]
fn outcomes(
    #[case] outcome: AttemptOutcome,
    #[case] execution: Execution,
    #[case] is_overload: bool,
    #[case] is_node_failure: bool,
    #[case] looks_down: bool,
    #[case] reflects_load: bool,
) {
    let meaning = outcome.meaning();
    assert_eq!(meaning.execution, execution);
    assert_eq!((meaning.is_overload, outcome.is_overload()), (is_overload, is_overload));
    assert_eq!((meaning.is_node_failure, meaning.looks_down), (is_node_failure, looks_down));
    assert_eq!(outcome.reflects_load(), reflects_load);
}
