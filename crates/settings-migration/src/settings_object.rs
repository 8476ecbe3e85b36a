//! Access to a settings object by keys such as `Domain.Cells` or `Areas[]`, which are at most two levels deep.

use serde_json::{Map, Value, json};

/// Sets the value of a key, and creates the outer object if it is missing.
pub(crate) fn set(settings: &mut Map<String, Value>, key: &str, value: Value) {
    let key = key.trim_end_matches("[]");
    let Some((outer, inner)) = key.split_once('.') else {
        settings.insert(key.to_owned(), value);
        return;
    };
    if let Value::Object(entries) = settings.entry(outer).or_insert_with(|| json!({})) {
        entries.insert(inner.to_owned(), value);
    }
}

/// Removes a key and returns its value, or `None` if it is not set.
pub(crate) fn remove(settings: &mut Map<String, Value>, key: &str) -> Option<Value> {
    let key = key.trim_end_matches("[]");
    match key.split_once('.') {
        None => settings.remove(key),
        Some((outer, inner)) => settings.get_mut(outer)?.as_object_mut()?.remove(inner),
    }
}

/// Returns the keys of the two outermost levels.
pub(crate) fn keys(settings: &Map<String, Value>) -> Vec<String> {
    let mut keys = Vec::new();
    for (outer, value) in settings {
        keys.push(outer.clone());
        keys.extend(value.as_object().into_iter().flatten().map(|(inner, _)| format!("{outer}.{inner}")));
    }
    keys
}
