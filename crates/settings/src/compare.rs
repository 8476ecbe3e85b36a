//! Which keys differ between two settings documents, and when each difference applies.

use crate::document::{Document, join_key};
use crate::{Applies, Field, ValueType};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// A key that differs between two documents. Items of a list are compared by their `Name`, where they have
/// one, so that a list in another order is the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The path of the key, such as `Tenants[school].QuotaRps`.
    pub field: String,
    /// The old value as JSON; `None` where there was none.
    pub was: Option<String>,
    /// The new value as JSON; `None` where there is none.
    pub is: Option<String>,
    /// When the new value takes effect.
    pub applies: Applies,
}

/// The keys by which two documents differ, without those that the broker does not read.
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut comparison = Comparison { changes: Vec::new() };
    comparison.compare_values(Some(&old.0), Some(&new.0), "", "");
    comparison.changes
}

/// `place` is the path of a value, such as `Tenants[school].Name`; `key` is the same path as the table of keys
/// writes it, `Tenants[].Name`.
struct Comparison {
    changes: Vec<Change>,
}

impl Comparison {
    fn compare_values(&mut self, old: Option<&Value>, new: Option<&Value>, place: &str, key: &str) {
        if is_same(old, new) {
            return;
        }
        if let Some(field) = Field::find(key).filter(|field| field.value_type != ValueType::Unchecked) {
            let [was, is] = [old, new].map(|value| value.map(Value::to_string));
            self.changes.push(Change { field: place.to_owned(), was, is, applies: field.applies });
        } else if old.is_some_and(Value::is_array) || new.is_some_and(Value::is_array) {
            self.compare_lists(items(old), items(new), place, &format!("{key}[]"));
        } else {
            self.compare_objects(entries(old), entries(new), place, key);
        }
    }

    fn compare_lists(&mut self, old: &[Value], new: &[Value], place: &str, key: &str) {
        let names: Option<BTreeSet<&str>> = old.iter().chain(new).map(name).collect();
        if let Some(names) = names {
            for item_name in names {
                let [old, new] =
                    [old, new].map(|list| list.iter().find(|item| name(item) == Some(item_name)));
                self.compare_values(old, new, &format!("{place}[{item_name}]"), key);
            }
            return;
        }
        for index in 0..old.len().max(new.len()) {
            self.compare_values(old.get(index), new.get(index), &format!("{place}[{index}]"), key);
        }
    }

    fn compare_objects(
        &mut self,
        old: Option<&Map<String, Value>>,
        new: Option<&Map<String, Value>>,
        place: &str,
        key: &str,
    ) {
        let names: BTreeSet<&String> = old.into_iter().chain(new).flat_map(Map::keys).collect();
        for name in names {
            let [old, new] = [old, new].map(|entries| entries.and_then(|entries| entries.get(name)));
            self.compare_values(old, new, &join_key(place, name), &join_key(key, name));
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

/// 5 and 5.0 are the same number.
fn is_same(old: Option<&Value>, new: Option<&Value>) -> bool {
    match (old.and_then(Value::as_f64), new.and_then(Value::as_f64)) {
        (Some(old), Some(new)) => old == new,
        _ => old == new,
    }
}
