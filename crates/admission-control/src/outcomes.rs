//! What the outcome of an attempt says of load. The classification is that of the broker's own pressure, so
//! that the controller and the broker agree on what overload is.

use routing::AttemptOutcome;

/// How the attempts of one outcome count.
pub(crate) struct OutcomeRule {
    pub outcome: AttemptOutcome,
    /// It belongs to the attempts of which the losses are a share.
    pub is_counted: bool,
    /// It is a loss to an overloaded node.
    pub is_loss: bool,
}

#[rustfmt::skip]
const OUTCOME_RULES: &[OutcomeRule] = &[
    OutcomeRule { outcome: AttemptOutcome::Succeeded,      is_counted: true,  is_loss: false },
    OutcomeRule { outcome: AttemptOutcome::Errored,        is_counted: true,  is_loss: false },
    OutcomeRule { outcome: AttemptOutcome::Overloaded,     is_counted: true,  is_loss: true },
    OutcomeRule { outcome: AttemptOutcome::TimedOut,       is_counted: true,  is_loss: true },
    OutcomeRule { outcome: AttemptOutcome::ConnectFailed,  is_counted: true,  is_loss: false },
    OutcomeRule { outcome: AttemptOutcome::ConnectionLost, is_counted: true,  is_loss: false },
    OutcomeRule { outcome: AttemptOutcome::Cancelled,      is_counted: false, is_loss: false },
    OutcomeRule { outcome: AttemptOutcome::NotSent,        is_counted: false, is_loss: false },
];

/// The rule of an outcome that counts; none for an outcome that says nothing of load.
pub(crate) fn counted_rule(outcome: AttemptOutcome) -> Option<&'static OutcomeRule> {
    OUTCOME_RULES.iter().find(|rule| rule.outcome == outcome && rule.is_counted)
}
