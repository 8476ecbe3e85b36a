//! Tests of each row of the transition table, and of the headroom.

use super::{Mode, RateChange, Step, StepInputs, has_headroom, next_step};
use rstest::rstest;

#[rstest]
#[case(Mode::Normal, true, Mode::Overloaded, RateChange::Start)]
#[case(Mode::Normal, false, Mode::Normal, RateChange::Keep)]
fn normal_mode_depends_only_on_overload(
    #[case] mode: Mode,
    #[case] is_overloaded: bool,
    #[case] next: Mode,
    #[case] rate_change: RateChange,
    #[values(true, false)] may_decrease: bool,
    #[values(true, false)] has_headroom: bool,
) {
    let inputs = StepInputs { is_overloaded, may_decrease, has_headroom };
    assert_eq!(next_step(mode, &inputs), Step { next, rate_change });
}

#[rstest]
#[case(true, RateChange::Decrease)]
#[case(false, RateChange::Keep)]
fn overload_decreases_the_rate_if_a_decrease_is_allowed(
    #[case] may_decrease: bool,
    #[case] rate_change: RateChange,
    #[values(true, false)] has_headroom: bool,
) {
    let inputs = StepInputs { is_overloaded: true, may_decrease, has_headroom };
    assert_eq!(next_step(Mode::Overloaded, &inputs), Step { next: Mode::Overloaded, rate_change });
}

/// Losses stop once the rate is limited. If the limit ended then, the load that caused them would return immediately
/// and the mode would oscillate, so the limit ends only if less is requested than admitted.
#[rstest]
#[case(true, Mode::Normal, RateChange::Stop)]
#[case(false, Mode::Overloaded, RateChange::Increase)]
fn overloaded_mode_ends_only_with_headroom(
    #[case] has_headroom: bool,
    #[case] next: Mode,
    #[case] rate_change: RateChange,
    #[values(true, false)] may_decrease: bool,
) {
    let inputs = StepInputs { is_overloaded: false, may_decrease, has_headroom };
    assert_eq!(next_step(Mode::Overloaded, &inputs), Step { next, rate_change });
}

#[rstest]
#[case(20.0, true)]
#[case(19.9, false)]
fn headroom_is_a_ratio_of_the_requested_rate(#[case] admitted_per_second: f64, #[case] expected: bool) {
    assert_eq!(has_headroom(admitted_per_second, 10.0, 2.0), expected);
}
