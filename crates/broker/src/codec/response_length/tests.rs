//! Tests of what the bytes around a response tell of its length.

use super::{contains_frame_start, has_wrong_length};
use rstest::rstest;

const MAX_FRAME_BYTES: usize = 65_536;

#[rstest]
#[case::text(b"5be2a07c19f04d63", false)]
#[case::zero_bytes(b"a\0\0\0\0b", false)]
#[case::load_report(b"5be2\x03\0\0\x004ok", true)]
#[case::response(b"v\x20\x4e\0\x005a.3 S 7", true)]
#[case::too_long_for_a_frame(b"v\x20\x4e\x02\x005a.3 S 7", false)]
#[case::unknown_kind(b"v\x20\x4e\0\0?", false)]
fn finds_a_frame_within_a_value(#[case] value: &[u8], #[case] expected: bool) {
    assert_eq!(contains_frame_start(value, MAX_FRAME_BYTES), expected);
}

#[rstest]
#[case::rest_is_text(b"5be2a07c", b"19f0", true)]
#[case::rest_has_line_ends(b"{", b"\n \"left\": 1\n}\n", true)]
#[case::rest_ends_within_a_character(b"v", b"\xc3", true)]
#[case::rest_before_a_frame(b"v", b"a\x03\0\0\x004ok", true)]
#[case::rest_of_a_value_with_controls(b"\x02v", b"a\x03", true)]
#[case::one_byte_of_the_next_length(b"v\x12", b"\0\0\x004ok", true)]
#[case::three_bytes_of_the_next_length(b"v\x12\0\0", b"\x004ok", true)]
#[case::all_of_the_next_length(b"v\x12\0\0\0", b"4ok", true)]
#[case::noise(b"v", b"\xff\xff\xff\xff", false)]
#[case::noise_that_begins_with_text(b"v", b"ab\xffcd", false)]
#[case::noise_with_controls(b"v", b"ab\x01\x02", false)]
#[case::an_incomplete_frame(b"v", b"\x20\0\0\x005a.3", false)]
#[case::nothing(b"v", b"", false)]
fn tells_a_wrong_length_from_noise(#[case] value: &[u8], #[case] following: &[u8], #[case] expected: bool) {
    assert_eq!(has_wrong_length(value, following, MAX_FRAME_BYTES), expected);
}
