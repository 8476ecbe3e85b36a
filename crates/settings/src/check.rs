//! Validation of settings documents, both of versions from a configuration service and of a broker's own file. It
//! reports all errors at once, each with the key, the value and the allowed values.

use crate::consistency::check_consistency;
use crate::document::{Document, join_key, type_name};
use crate::settings_text::SettingsText;
use crate::{FIELDS, Field, ValidationError, ValueType};
use nearest_name::nearest_name;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Maximum number of errors that are listed for one document.
const MAX_ERRORS: usize = 100;
/// Maximum number of items in a list of request classes, tenants or zones.
const MAX_LIST_ITEMS: usize = 10_000;
/// Number of characters after which a string value is cut off in an error.
const MAX_SHOWN_CHARS: usize = 40;

/// Returns the errors in `document`, at most 100, or an empty list if a broker can use it.
///
/// Relations between several keys are checked only if every value is allowed by itself.
pub fn check(document: &Document) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    check_value(&document.0, "", "", &mut errors);
    if errors.is_empty() {
        match serde_json::from_value::<SettingsText>(document.0.clone()) {
            Ok(raw) => check_consistency(&raw, &mut errors),
            // Unreachable as long as `FIELDS` and `SettingsText` agree. If they do not, the document is rejected.
            Err(error) => errors.push(ValidationError::invalid(
                "document",
                error.to_string(),
                "what the other keys ask for",
            )),
        }
    }
    errors.truncate(MAX_ERRORS);
    errors
}

/// Checks a value and all values below it. `path` is the path of the value, such as `Tenants[1].Name`, and `key` the
/// same path in the notation of [`FIELDS`], such as `Tenants[].Name`.
fn check_value(value: &Value, path: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let field = Field::find(key);
    match value {
        _ if field.is_some_and(|field| field.value_type == ValueType::Unchecked) && !is_object(key) => {}
        Value::Object(entries) if is_object(key) => check_object(entries, path, key, errors),
        Value::Array(items) if is_list(key) => check_list(items, path, key, errors),
        _ if field.is_some_and(|field| field.value_type.accepts(value)) => {}
        _ => {
            let allowed = match field {
                Some(field) => field.value_type.describe(),
                None if is_list(key) => "a list".to_owned(),
                None => "an object".to_owned(),
            };
            errors.push(ValidationError::invalid(path, shorten(value), allowed));
        }
    }
}

fn check_object(entries: &Map<String, Value>, path: &str, key: &str, errors: &mut Vec<ValidationError>) {
    for (name, value) in entries {
        let (path, key) = (join_key(path, name), join_key(key, name));
        if is_known(&key) {
            check_value(value, &path, &key, errors);
        } else if !is_below_unchecked(&key) {
            errors.push(ValidationError::UnknownKey { field: path, nearest: nearest_key(&key) });
        }
    }
    check_required(entries, path, key, errors);
}

fn check_list(items: &[Value], path: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let item_key = format!("{key}[]");
    for (index, value) in items.iter().enumerate().take(MAX_LIST_ITEMS) {
        check_value(value, &format!("{path}[{index}]"), &item_key, errors);
    }
    if items.len() > MAX_LIST_ITEMS {
        let found = format!("a list of {}", items.len());
        errors.push(ValidationError::invalid(path, found, format!("{MAX_LIST_ITEMS} at most")));
    }
}

/// Adds an error for each required key that is missing in an object.
fn check_required(entries: &Map<String, Value>, path: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let mut reported: BTreeSet<&str> = BTreeSet::new();
    for field in FIELDS.iter().filter(|field| field.is_required) {
        let Some(rest) = strip_outer_key(field.key, key) else { continue };
        let first = rest.split(['.', '[']).next().unwrap_or(rest);
        // The list of tenants is optional, although each tenant in it has required keys.
        if !entries.contains_key(first) && reported.insert(first) && first != "Tenants" {
            let allowed =
                if first == rest { field.value_type.describe() } else { format!("what `{rest}` stands in") };
            errors.push(ValidationError::MissingKey { field: join_key(path, first), allowed });
        }
    }
}

/// Returns the part of `key` below `outer`, or `None` if it is not below. The top level has an empty key.
fn strip_outer_key<'a>(key: &'a str, outer: &str) -> Option<&'a str> {
    if outer.is_empty() { Some(key) } else { key.strip_prefix(outer).and_then(|rest| rest.strip_prefix('.')) }
}

fn is_below(key: &str, outer: &str) -> bool {
    key.strip_prefix(outer).is_some_and(|rest| rest.starts_with(['.', '[']))
}

fn is_known(key: &str) -> bool {
    FIELDS.iter().any(|field| field.key == key || is_below(field.key, key))
}

fn is_below_unchecked(key: &str) -> bool {
    FIELDS.iter().any(|field| field.value_type == ValueType::Unchecked && is_below(key, field.key))
}

fn is_object(key: &str) -> bool {
    let is_within = |field: &Field| field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with('.'));
    key.is_empty() || FIELDS.iter().any(is_within)
}

fn is_list(key: &str) -> bool {
    FIELDS.iter().any(|field| field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with("[]")))
}

fn shorten(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => type_name(value).to_owned(),
        Value::String(text) if text.chars().count() > MAX_SHOWN_CHARS => {
            format!("\"{}...\"", text.chars().take(MAX_SHOWN_CHARS).collect::<String>())
        }
        other => other.to_string(),
    }
}

/// Returns the known key that is most similar to an unknown one.
fn nearest_key(key: &str) -> &'static str {
    let nearest = nearest_name(key, FIELDS.iter().map(|field| field.key)).unwrap_or_default();
    if key.contains(['.', '[']) {
        return nearest;
    }
    // A top-level key is compared only with top-level keys, so that `Rulez` matches `Rules` and not a key below it.
    let top_level_keys = FIELDS.iter().map(|field| field.key.split(['.', '[']).next().unwrap_or(field.key));
    nearest_name(key, top_level_keys).unwrap_or(nearest)
}
