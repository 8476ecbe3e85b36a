//! Tests of the line numbers of sections and keys in a text with comments, spaces and a repeated section.

use ini_lines::{key_line, section_line};
use rstest::rstest;

const TEXT: &str = "early = 1\n; a comment\n[ log ]\n  format = text\nformat = json\n[control]\nservices: a\n\
    [log]\nlevel=3\n;format = x\n";

#[rstest]
#[case("log", Some(3))]
#[case("control", Some(6))]
#[case("", None)]
#[case("admission", None)]
fn finds_the_first_header_of_a_section(#[case] section: &str, #[case] line: Option<usize>) {
    assert_eq!(section_line(TEXT, section), line);
}

#[rstest]
#[case::first_of_two("log", "format", Some(4))]
#[case::with_a_colon("control", "services", Some(7))]
#[case::in_a_repeated_section("log", "level", Some(9))]
#[case::in_another_section("control", "format", None)]
#[case::before_the_first_section("", "early", None)]
#[case::in_a_comment("log", "a comment", None)]
fn finds_a_key_in_its_section(#[case] section: &str, #[case] key: &str, #[case] line: Option<usize>) {
    assert_eq!(key_line(TEXT, section, key), line);
}
