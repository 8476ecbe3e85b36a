//! The mode of the controller, which is to admit all queries or a limited rate of shard requests.
//!
//! [`next_step`] is the transition table. It is evaluated once per step (a tenth of the configured window), and
//! determines the next mode and the change of the admitted rate. Overload is detected by
//! [`overload_detection`](crate::overload_detection), and rates are computed by
//! [`adaptive_rate`](crate::adaptive_rate). Each change of mode is logged
//! ([`mode_change`](crate::mode_change::mode_change)).

use Mode::{Normal, Overloaded};

/// The mode of an admission controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// The controller admits all queries.
    #[default]
    Normal,
    /// The controller admits a limited rate of shard requests, divided among tenants, and limits their retries.
    Overloaded,
}

/// The inputs of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepInputs {
    /// Whether losses or rejections exceed the configured threshold.
    pub is_overloaded: bool,
    /// Whether the last decrease has had time to take effect.
    pub may_decrease: bool,
    /// Whether the admitted rate exceeds the requested rate by the configured headroom.
    pub has_headroom: bool,
}

/// The change of the admitted rate in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RateChange {
    /// Leaves the limit as it is, or absent.
    Keep,
    /// Starts the limit at the rate that the nodes have served.
    Start,
    /// Decreases the rate multiplicatively.
    Decrease,
    /// Increases the rate towards the requested rate.
    Increase,
    /// Removes the limit.
    Stop,
}

/// The outcome of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub next: Mode,
    pub rate_change: RateChange,
}

/// Returns the step for a mode and the observed inputs, which is that of the first matching row.
///
/// Overloaded mode ends only with headroom, not as soon as losses stop: losses stop because the rate is limited, so
/// removing the limit for that reason alone would bring the overload back. The drawback is that tenants are limited
/// to their shares for some steps after the cause of the overload has been removed.
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

/// Returns whether the admitted rate is at least `min_ratio` times the requested rate (both in shard requests per
/// second), so that the limit is no longer needed.
pub(crate) fn has_headroom(admitted_per_second: f64, requested_per_second: f64, min_ratio: f64) -> bool {
    admitted_per_second >= min_ratio * requested_per_second
}

#[cfg(test)]
mod tests;
