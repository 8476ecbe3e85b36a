//! The validator of settings documents, for versions from a service and for a broker's own file. It lists all
//! errors at once, each with the key, its value and what is allowed.

use crate::consistency::check_consistency;
use crate::document::{Document, join_key, type_name};
use crate::settings_text::SettingsText;
use crate::{FIELDS, Field, ValidationError, ValueType};
use nearest_name::nearest_name;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// The most errors that are listed of one document.
const MAX_ERRORS: usize = 100;
/// The most items in a list of request classes, tenants or zones.
const MAX_LIST_ITEMS: usize = 10_000;
/// How many characters of a wrong text are shown.
const SHOWN_CHARACTERS: usize = 40;

/// Everything that is wrong with a document, up to 100 errors; empty where it can be used.
pub fn check(document: &Document) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    check_value(&document.0, "", "", &mut errors);
    if errors.is_empty() {
        match serde_json::from_value::<SettingsText>(document.0.clone()) {
            Ok(text) => check_consistency(&text, &mut errors),
            // Can't happen while the table of keys and the types agree; if it does, it is reported.
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

/// `place` is the path of a value, such as `Tenants[1].Name`; `key` is the same path as the table of keys writes
/// it, `Tenants[].Name`.
fn check_value(value: &Value, place: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let field = Field::find(key);
    match value {
        _ if field.is_some_and(|field| field.value_type == ValueType::Unchecked) && !has_keys(key) => {}
        Value::Object(entries) if has_keys(key) => check_object(entries, place, key, errors),
        Value::Array(items) if is_list(key) => check_list(items, place, key, errors),
        _ if field.is_some_and(|field| field.value_type.accepts(value)) => {}
        _ => {
            let allowed = match field {
                Some(field) => field.value_type.describe(),
                None if is_list(key) => "a list".to_owned(),
                None => "an object".to_owned(),
            };
            errors.push(ValidationError::invalid(place, shorten(value), allowed));
        }
    }
}

fn check_object(entries: &Map<String, Value>, place: &str, key: &str, errors: &mut Vec<ValidationError>) {
    for (name, value) in entries {
        let (place, key) = (join_key(place, name), join_key(key, name));
        if is_known(&key) {
            check_value(value, &place, &key, errors);
        } else if !is_below_unchecked(&key) {
            errors.push(ValidationError::UnknownKey { field: place, nearest: nearest_key(&key) });
        }
    }
    check_required(entries, place, key, errors);
}

fn check_list(items: &[Value], place: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let item_key = format!("{key}[]");
    for (index, value) in items.iter().enumerate().take(MAX_LIST_ITEMS) {
        check_value(value, &format!("{place}[{index}]"), &item_key, errors);
    }
    if items.len() > MAX_LIST_ITEMS {
        let found = format!("a list of {}", items.len());
        errors.push(ValidationError::invalid(place, found, format!("{MAX_LIST_ITEMS} at most")));
    }
}

/// Adds an error for each required key that is missing in this object.
fn check_required(entries: &Map<String, Value>, place: &str, key: &str, errors: &mut Vec<ValidationError>) {
    let mut reported: BTreeSet<&str> = BTreeSet::new();
    for field in FIELDS.iter().filter(|field| field.is_required) {
        let Some(rest) = key_within(field.key, key) else { continue };
        let first = rest.split(['.', '[']).next().unwrap_or(rest);
        // An installation without tenants is allowed: the required keys of a tenant do not make the list required.
        if !entries.contains_key(first) && reported.insert(first) && first != "Tenants" {
            let allowed =
                if first == rest { field.value_type.describe() } else { format!("what `{rest}` stands in") };
            errors.push(ValidationError::MissingKey { field: join_key(place, first), allowed });
        }
    }
}

/// The rest of a key below an outer one; the outermost is empty.
fn key_within<'a>(key: &'a str, outer: &str) -> Option<&'a str> {
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

fn has_keys(key: &str) -> bool {
    let is_within = |field: &Field| field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with('.'));
    key.is_empty() || FIELDS.iter().any(is_within)
}

fn is_list(key: &str) -> bool {
    FIELDS.iter().any(|field| field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with("[]")))
}

fn shorten(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => type_name(value).to_owned(),
        Value::String(text) if text.chars().count() > SHOWN_CHARACTERS => {
            format!("\"{}...\"", text.chars().take(SHOWN_CHARACTERS).collect::<String>())
        }
        other => other.to_string(),
    }
}

/// The known key that is most similar to an unknown one.
fn nearest_key(key: &str) -> &'static str {
    let nearest = nearest_name(key, FIELDS.iter().map(|field| field.key)).unwrap_or_default();
    if key.contains(['.', '[']) {
        return nearest;
    }
    // A whole branch is a key too: `Rulez` is nearest to `Rules`, not to one of the keys below it.
    let branches = FIELDS.iter().map(|field| field.key.split(['.', '[']).next().unwrap_or(field.key));
    nearest_name(key, branches).unwrap_or(nearest)
}
