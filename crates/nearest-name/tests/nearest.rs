//! Which name is the nearest.

use nearest_name::nearest_name;
use rstest::rstest;

#[rstest]
#[case("Rulez", Some("Rules"))]
#[case("rules", Some("Rules"))]
#[case("Limit", Some("Limits"))]
#[case("Rules", Some("Rules"))]
fn a_misspelt_name_is_nearest_to_the_right_one(#[case] name: &str, #[case] expected: Option<&str>) {
    assert_eq!(nearest_name(name, ["Limits", "Rules", "Stats"]), expected);
}

#[rstest]
fn of_equally_similar_names_the_last_is_taken() {
    assert_eq!(nearest_name("a", ["xx", "yy"]), Some("yy"));
}

#[rstest]
fn without_known_names_there_is_none() {
    assert_eq!(nearest_name("a", Vec::<String>::new()), None);
}
