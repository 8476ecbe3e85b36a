//! Tests that each key in the table that applies is read: with another value, a broker must start with other
//! settings. This guards against a renamed field whose key in the users' settings changes with it, as the key would
//! then be ignored in favor of its default.

use serde_json::{Value, json};
use settings::{ApplyMode, FIELDS};

/// Settings with every key of commit 076ab53 that applies. They were written by hand, not by that build.
const TEXT_OF_076AB53: &str = include_str!("data/settings-076ab53.json");

/// Returns another value of the same type.
fn different_value(value: &Value) -> Value {
    match value {
        Value::Bool(is) => json!(!is),
        Value::Number(number) if number.is_u64() => json!(number.as_u64().unwrap() + 1),
        Value::Number(number) => json!(number.as_f64().unwrap() / 2.0),
        Value::String(text) => match &text[..] {
            "automatic" => json!("subscribe"),
            "pull" => json!("push"),
            "idempotent" => json!("at_most_once"),
            text => json!(format!("{text}-other")),
        },
        other => panic!("no different value is known for {other}"),
    }
}

fn read(text: &Value) -> String {
    format!("{:?}", settings::read(text.to_string().as_bytes()).unwrap())
}

#[test]
fn changing_any_key_changes_the_settings() {
    let text: Value = serde_json::from_str(TEXT_OF_076AB53).unwrap();
    let before = read(&text);
    // Only the simulator needs these keys: the number of a broker and the layer that contains it.
    let is_read = |key: &str| key != "Me" && key != "Layer";
    let mut checked = 0;
    for field in FIELDS.iter().filter(|field| field.applies != ApplyMode::Never && is_read(field.key)) {
        let pointer = format!("/{}", field.key.replace("[]", ".0").replace('.', "/"));
        let mut changed = text.clone();
        let value = changed
            .pointer_mut(&pointer)
            .unwrap_or_else(|| panic!("key {} is missing in the test data", field.key));
        *value = different_value(value);
        assert_ne!(read(&changed), before, "key {} is not read", field.key);
        checked += 1;
    }
    assert!(checked > 30, "only {checked} keys were checked");
}
