//! Whether all queries are admitted or a limited rate: the table of modes, with its guards and actions.

use crate::controller::AdmissionController;
use Finding::{AboveLevel, BelowLevel};
use Mode::{Normal, Overloaded};

/// A step is this part of the window, as a slice of it is.
pub(crate) const STEPS_PER_WINDOW: i64 = WINDOW_SLICES as i64;

/// Slices in which the configured window is counted: one for each step.
const WINDOW_SLICES: usize = 10;

/// Counts over the configured window.
pub(crate) type Window = routing::SlidingWindow<WINDOW_SLICES>;

/// Losses found within this share of the window after a decrease are taken as those of before it: they are
/// not seen at once, as an attempt that finds a long queue times out late.
pub(crate) const DECREASE_HOLD_RATIO: f64 = 0.5;

/// Whether the controller admits all queries, or a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// All are admitted.
    #[default]
    Normal,
    /// A rate is admitted, shared between tenants.
    Overloaded,
}

/// What a step finds: whether losses and rejections are above the configured level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    BelowLevel,
    AboveLevel,
}

/// In a mode, on a finding, if the guard holds: the next mode, and what is done.
pub(crate) struct Step {
    mode: Mode,
    finding: Finding,
    guard: fn(&AdmissionController) -> bool,
    pub next: Mode,
    pub action: fn(&mut AdmissionController),
}

#[rustfmt::skip]
const STEPS: &[Step] = &[
    Step { mode: Normal,     finding: AboveLevel, guard: always,       next: Overloaded, action: start },
    Step { mode: Normal,     finding: BelowLevel, guard: always,       next: Normal,     action: keep },
    Step { mode: Overloaded, finding: AboveLevel, guard: may_decrease, next: Overloaded, action: decrease },
    Step { mode: Overloaded, finding: AboveLevel, guard: always,       next: Overloaded, action: keep },
    Step { mode: Overloaded, finding: BelowLevel, guard: has_headroom, next: Normal,     action: stop },
    Step { mode: Overloaded, finding: BelowLevel, guard: always,       next: Overloaded, action: increase },
];

/// The first row of the table that applies.
pub(crate) fn find_step(controller: &AdmissionController, finding: Finding) -> Option<&'static Step> {
    let applies =
        |step: &&Step| step.mode == controller.mode() && step.finding == finding && (step.guard)(controller);
    STEPS.iter().find(applies)
}

// ---- guards

fn always(_: &AdmissionController) -> bool {
    true
}

/// Guards against a rate that falls to nothing by losses that came of what was admitted before the last
/// decrease.
fn may_decrease(controller: &AdmissionController) -> bool {
    let hold = controller.config.window.times(DECREASE_HOLD_RATIO);
    controller.rate.time_since_decrease(controller.now) >= hold
}

/// The rate is well over what is requested: it need not be limited.
fn has_headroom(controller: &AdmissionController) -> bool {
    controller.rate.per_second() >= controller.config.open_above * controller.requested_per_second()
}

// ---- actions

fn keep(_: &mut AdmissionController) {}

/// Starts at what the nodes served of late. Guards against a rate that follows losses alone: losses show
/// late, and a rate that grows until they do overshoots by as much again.
fn start(controller: &mut AdmissionController) {
    let served_per_second = controller.load.served(controller.now) / controller.observed_s();
    let initial_rate = controller.min_rate().max(served_per_second);
    controller.rate.start(controller.now, initial_rate);
    controller.tenants.refill_buckets();
}

fn decrease(controller: &mut AdmissionController) {
    let min_rate = controller.min_rate();
    controller.rate.decrease(controller.now, controller.config.decrease, min_rate);
}

fn increase(controller: &mut AdmissionController) {
    controller.rate.increase(controller.config.increase);
}

fn stop(controller: &mut AdmissionController) {
    controller.rate.stop();
}
