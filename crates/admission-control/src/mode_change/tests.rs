//! The log lines of a change of mode. Operators search for these texts, so they stay as they are.

use super::mode_change;
use crate::mode::Mode;
use rstest::rstest;

#[rstest]
#[case(Mode::Normal, Mode::Overloaded, "admission overloaded: 41 shard requests a second admitted")]
#[case(Mode::Overloaded, Mode::Normal, "admission normal: all admitted again")]
fn a_change_has_a_stable_text(#[case] previous: Mode, #[case] current: Mode, #[case] expected: &str) {
    let change = mode_change(previous, current, 40.6).unwrap();
    assert_eq!(change.to_string(), expected);
}

#[rstest]
#[case(Mode::Normal)]
#[case(Mode::Overloaded)]
fn the_same_mode_is_no_change(#[case] mode: Mode) {
    assert_eq!(mode_change(mode, mode, 40.6), None);
}
