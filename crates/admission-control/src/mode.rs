//! The mode: whether all queries are admitted, or a limited rate of shard requests.
//!
//! [`next_step`] is the table of modes. It is read once a step (a tenth of the configured window) and
//! decides which mode comes next and how the admitted rate changes. Whether there is overload is decided by
//! [`overload_detection`](crate::overload_detection); what the changes come to, by
//! [`adaptive_rate`](crate::adaptive_rate). A change of mode shows as a log line
//! ([`mode_change`](crate::mode_change::mode_change)).

use Mode::{Normal, Overloaded};

/// Whether the controller admits all queries, or a limited rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// All queries are admitted.
    #[default]
    Normal,
    /// A limited rate of shard requests is admitted, shared between tenants; retries have a budget.
    Overloaded,
}

/// What a step is decided by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepInputs {
    /// Losses or rejections exceed the configured level.
    pub is_overloaded: bool,
    /// The last decrease was long enough ago for its effect to show.
    pub may_decrease: bool,
    /// The admitted rate is well above the requested one.
    pub has_headroom: bool,
}

/// How a step changes the admitted rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RateChange {
    /// No limit yet, or the limit stays.
    Keep,
    /// The limit starts, at the rate that the nodes have served.
    Start,
    /// Multiplicative decrease.
    Decrease,
    /// Increase towards the requested rate.
    Increase,
    /// The limit ends.
    Stop,
}

/// What a step decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub next: Mode,
    pub rate_change: RateChange,
}

/// The step that follows from a mode and what was observed. The first row that applies is taken.
///
/// Overloaded mode ends only with headroom, not as soon as losses stop: losses stop because the rate is
/// limited, so ending the limit on that alone would bring the overload back. The cost is that tenants are
/// held to their shares for some steps after the cause is over.
#[rustfmt::skip]
pub(crate) fn next_step(mode: Mode, inputs: &StepInputs) -> Step {
    let step = |next, rate_change| Step { next, rate_change };
    match (mode, inputs.is_overloaded) {
        (Normal,     true)                            => step(Overloaded, RateChange::Start),
        (Normal,     false)                           => step(Normal,     RateChange::Keep),
        (Overloaded, true)  if inputs.may_decrease    => step(Overloaded, RateChange::Decrease),
        (Overloaded, true)                            => step(Overloaded, RateChange::Keep),
        (Overloaded, false) if inputs.has_headroom    => step(Normal,     RateChange::Stop),
        (Overloaded, false)                           => step(Overloaded, RateChange::Increase),
    }
}

/// Whether the admitted rate is at least `min_ratio` times the requested one (both in shard requests a
/// second), so that it need not be limited any more.
pub(crate) fn has_headroom(admitted_per_second: f64, requested_per_second: f64, min_ratio: f64) -> bool {
    admitted_per_second >= min_ratio * requested_per_second
}

#[cfg(test)]
mod tests;
