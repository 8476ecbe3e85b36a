//! Table of the keys of the shape file, with the settings key that each of them sets.

use serde_json::{Value, json};
use settings::{Field, ValueType};

/// Row of the table.
#[derive(Debug, PartialEq)]
pub struct Key {
    /// Section that contains the key.
    pub section: &'static str,
    /// Name of the key, without the section.
    pub name: &'static str,
    /// Settings key that the key sets, such as `Domain.Cells`. The name of a list ends in `[]`, as in `Areas[]`.
    pub settings_key: &'static str,
    /// Whether the value of the old file is kept if the shape file does not set the key.
    pub keeps_old_value: bool,
}

/// All keys of the shape file.
pub const KEYS: &[Key] = &[
    Key { section: "fleet", name: "brokers", settings_key: "Instances", keeps_old_value: false },
    Key { section: "fleet", name: "zones", settings_key: "Areas[]", keeps_old_value: false },
    Key { section: "fleet", name: "zone", settings_key: "Zone", keeps_old_value: false },
    Key { section: "fleet", name: "roll", settings_key: "RegistryMode", keeps_old_value: true },
    Key { section: "layout", name: "cells", settings_key: "Domain.Cells", keeps_old_value: false },
    Key { section: "layout", name: "reach", settings_key: "Domain.Reach", keeps_old_value: false },
    Key { section: "layout", name: "shards", settings_key: "Domain.Ranges", keeps_old_value: false },
    Key { section: "layout", name: "per_call", settings_key: "Domain.PerCall", keeps_old_value: false },
    Key { section: "load", name: "told", settings_key: "Stats.Via", keeps_old_value: false },
    Key { section: "load", name: "fields", settings_key: "Stats.Fields[]", keeps_old_value: false },
    Key { section: "load", name: "probes", settings_key: "Limits.Probes", keeps_old_value: false },
    Key { section: "limits", name: "most_open", settings_key: "Limits.MaxOpen", keeps_old_value: true },
    Key { section: "limits", name: "most_pushes", settings_key: "Limits.MaxAttempts", keeps_old_value: true },
    Key { section: "limits", name: "copies", settings_key: "Limits.SecondCopies", keeps_old_value: true },
    Key { section: "limits", name: "may_withdraw", settings_key: "Limits.MayCancel", keeps_old_value: true },
    Key { section: "limits", name: "stay_away", settings_key: "Limits.RetryAfter", keeps_old_value: true },
    Key {
        section: "limits",
        name: "longest_stay_ms",
        settings_key: "Limits.MaxRetryAfterMs",
        keeps_old_value: true,
    },
    Key { section: "limits", name: "line_idle_ms", settings_key: "Limits.ConnIdleMs", keeps_old_value: true },
    Key {
        section: "limits",
        name: "line_parts",
        settings_key: "Limits.StreamsPerConn",
        keeps_old_value: true,
    },
    Key { section: "rules", name: "cold_share", settings_key: "Rules.ColdFrom", keeps_old_value: true },
    Key { section: "rules", name: "warm_after_ms", settings_key: "Rules.WarmUpMs", keeps_old_value: true },
    Key {
        section: "rules",
        name: "fall_multiple",
        settings_key: "Rules.OverloadFactor",
        keeps_old_value: true,
    },
    Key {
        section: "rules",
        name: "fall_window_ms",
        settings_key: "Rules.OverloadForMs",
        keeps_old_value: true,
    },
    Key { section: "rules", name: "further_floor", settings_key: "Rules.ExtraFloor", keeps_old_value: true },
    Key { section: "rules", name: "further_share", settings_key: "Rules.ResendRatio", keeps_old_value: true },
    Key {
        section: "rules",
        name: "further_window_ms",
        settings_key: "Rules.BudgetWindowMs",
        keeps_old_value: true,
    },
];

/// Settings key of the broker's zone. Its value is an index; the shape file has the name of the zone.
pub(crate) const ZONE: &str = "Zone";
/// Settings key of the list of zone names.
pub(crate) const ZONES: &str = "Areas[]";

impl Key {
    /// Returns whether the value is a list, which the shape file writes as names separated by commas.
    fn is_list(&self) -> bool {
        self.settings_key.ends_with("[]")
    }

    /// Returns the settings key without the suffix of lists, for output.
    pub(crate) fn shown_settings_key(&self) -> &'static str {
        self.settings_key.trim_end_matches("[]")
    }

    fn value_type(&self) -> ValueType {
        Field::find(self.settings_key).map_or(ValueType::Text, |field| field.value_type)
    }

    /// Converts a value of the shape file to a value of the settings, or returns `None` if it is invalid. The zone is
    /// not converted to an index.
    pub(crate) fn parse(&self, text: &str) -> Option<Value> {
        let text = text.trim();
        if self.settings_key == ZONE {
            return Some(json!(text));
        }
        if self.is_list() {
            let items: Vec<&str> = text.split(',').map(str::trim).filter(|item| !item.is_empty()).collect();
            return (!items.is_empty()).then(|| json!(items));
        }
        let value_type = self.value_type();
        let value = match value_type {
            ValueType::Text | ValueType::OneOf(_) => json!(text),
            _ => serde_json::from_str(text).ok().filter(is_number_or_boolean)?,
        };
        value_type.accepts(&value).then_some(value)
    }

    /// Returns the allowed values as a phrase for error messages.
    pub(crate) fn describe_allowed(&self) -> String {
        if self.is_list() {
            return "a comma-separated list of names".to_owned();
        }
        self.value_type().describe()
    }
}

fn is_number_or_boolean(value: &Value) -> bool {
    value.is_number() || value.is_boolean()
}
