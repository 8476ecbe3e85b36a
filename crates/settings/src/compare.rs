//! Comparison of two settings documents: the keys that differ, and when each change takes effect.

use crate::document::{Document, join_key};
use crate::{ApplyMode, Field, ValueType};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Change of one key between two documents.
///
/// List items that have a `Name` are matched by it, so that a list in another order is not a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the key, such as `Tenants[school].QuotaRps`.
    pub field: String,
    /// Old value as JSON, or `None` if the old document does not contain the key.
    pub old_value: Option<String>,
    /// New value as JSON, or `None` if the new document does not contain the key.
    pub new_value: Option<String>,
    /// Time at which the new value takes effect.
    pub applies: ApplyMode,
}

/// Returns the changes from `old` to `new`.
///
/// Unknown keys and keys of the type [`ValueType::Unchecked`] are left out, because the broker does not read them.
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut comparison = Comparison { changes: Vec::new() };
    comparison.compare_values(Some(&old.0), Some(&new.0), "", "");
    comparison.changes
}

/// Comparison in progress.
///
/// In its methods, `path` is the path of a value, such as `Tenants[school].Name`, and `key` the same path in the
/// notation of [`FIELDS`](crate::FIELDS), such as `Tenants[].Name`.
struct Comparison {
    changes: Vec<Change>,
}

impl Comparison {
    fn compare_values(&mut self, old: Option<&Value>, new: Option<&Value>, path: &str, key: &str) {
        if is_equal(old, new) {
            return;
        }
        if let Some(field) = Field::find(key).filter(|field| field.value_type != ValueType::Unchecked) {
            let [old_value, new_value] = [old, new].map(|value| value.map(Value::to_string));
            self.changes.push(Change {
                field: path.to_owned(),
                old_value,
                new_value,
                applies: field.applies,
            });
        } else if old.is_some_and(Value::is_array) || new.is_some_and(Value::is_array) {
            self.compare_lists(items(old), items(new), path, &format!("{key}[]"));
        } else {
            self.compare_objects(entries(old), entries(new), path, key);
        }
    }

    fn compare_lists(&mut self, old: &[Value], new: &[Value], path: &str, key: &str) {
        let names: Option<BTreeSet<&str>> = old.iter().chain(new).map(name).collect();
        if let Some(names) = names {
            for item_name in names {
                let [old, new] =
                    [old, new].map(|list| list.iter().find(|item| name(item) == Some(item_name)));
                self.compare_values(old, new, &format!("{path}[{item_name}]"), key);
            }
            return;
        }
        for index in 0..old.len().max(new.len()) {
            self.compare_values(old.get(index), new.get(index), &format!("{path}[{index}]"), key);
        }
    }

    fn compare_objects(
        &mut self,
        old: Option<&Map<String, Value>>,
        new: Option<&Map<String, Value>>,
        path: &str,
        key: &str,
    ) {
        let names: BTreeSet<&String> = old.into_iter().chain(new).flat_map(Map::keys).collect();
        for name in names {
            let [old, new] = [old, new].map(|entries| entries.and_then(|entries| entries.get(name)));
            self.compare_values(old, new, &join_key(path, name), &join_key(key, name));
        }
    }
}

fn name(item: &Value) -> Option<&str> {
    item.get("Name").and_then(Value::as_str)
}

fn items(value: Option<&Value>) -> &[Value] {
    value.and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn entries(value: Option<&Value>) -> Option<&Map<String, Value>> {
    value.and_then(Value::as_object)
}

/// Compares two values; `5` and `5.0` are equal.
fn is_equal(old: Option<&Value>, new: Option<&Value>) -> bool {
    match (old.and_then(Value::as_f64), new.and_then(Value::as_f64)) {
        (Some(old), Some(new)) => old == new,
        _ => old == new,
    }
}
