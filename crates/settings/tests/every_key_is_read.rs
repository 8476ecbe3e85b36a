//! Every key of the table that applies is read: another value of it changes what a broker starts from. Guards
//! against a field whose key in the users' settings is renamed with it: the key would then read as its default.

use serde_json::{Value, json};
use settings::{Applies, FIELDS};

/// A settings text with the keys of 076ab53, every one that applies; written by hand, not by that build.
const TEXT_OF_076AB53: &str = include_str!("data/settings-076ab53.json");

/// Another value of the same kind.
fn other(value: &Value) -> Value {
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
        other => panic!("{other} has no other value"),
    }
}

fn read(text: &Value) -> String {
    format!("{:?}", settings::read(text.to_string().as_bytes()).unwrap())
}

#[test]
fn another_value_of_any_key_changes_what_is_read() {
    let text: Value = serde_json::from_str(TEXT_OF_076AB53).unwrap();
    let before = read(&text);
    // What the simulator alone needs: a broker's number, and the layer it stands in.
    let is_read = |key: &str| key != "Me" && key != "Layer";
    let mut checked = 0;
    for field in FIELDS.iter().filter(|field| field.applies != Applies::Never && is_read(field.key)) {
        let pointer = format!("/{}", field.key.replace("[]", ".0").replace('.', "/"));
        let mut changed = text.clone();
        let value =
            changed.pointer_mut(&pointer).unwrap_or_else(|| panic!("{} is not in the text", field.key));
        *value = other(value);
        assert_ne!(read(&changed), before, "{} is not read", field.key);
        checked += 1;
    }
    assert!(checked > 30, "{checked} keys");
}
