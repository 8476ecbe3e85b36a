//! Tests of the log lines for changes of mode. Operators search for these texts, so they must not change.

use super::mode_change;
use crate::mode::Mode;
use rstest::rstest;

#[rstest]
#[case(Mode::Normal, Mode::Overloaded, "admission overloaded: 41 shard requests a second admitted")]
#[case(Mode::Overloaded, Mode::Normal, "admission normal: all admitted again")]
fn the_text_of_a_mode_change_is_stable(
    #[case] previous: Mode,
    #[case] current: Mode,
    #[case] expected: &str,
) {
    let change = mode_change(previous, current, 40.6).unwrap();
    assert_eq!(change.to_string(), expected);
}

#[rstest]
#[case(Mode::Normal)]
#[case(Mode::Overloaded)]
fn an_unchanged_mode_is_not_logged(#[case] mode: Mode) {
    assert_eq!(mode_change(mode, mode, 40.6), None);
}
