//! Tests of the length of JSON strings.

use super::json_string_length;
use rstest::rstest;

#[rstest]
fn equals_the_encoded_length() {
    let text: String = ('\0'..='\u{100}').collect();
    for (index, _) in text.char_indices() {
        let quoted = serde_json::to_string(&text[index..]).unwrap();
        assert_eq!(json_string_length(&text.as_bytes()[index..]), quoted.len() - 2);
    }
}
