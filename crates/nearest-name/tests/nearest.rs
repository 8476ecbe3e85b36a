//! Tests of the choice of the most similar name.

use nearest_name::nearest_name;
use rstest::rstest;

#[rstest]
#[case("Rulez", Some("Rules"))]
#[case("rules", Some("Rules"))]
#[case("Limit", Some("Limits"))]
#[case("Rules", Some("Rules"))]
fn misspelled_name_matches_the_correct_one(#[case] name: &str, #[case] expected: Option<&str>) {
    assert_eq!(nearest_name(name, ["Limits", "Rules", "Stats"]), expected);
}

#[rstest]
fn returns_the_last_of_equally_similar_names() {
    assert_eq!(nearest_name("a", ["xx", "yy"]), Some("yy"));
}

#[rstest]
fn returns_none_without_known_names() {
    assert_eq!(nearest_name("a", Vec::<String>::new()), None);
}
