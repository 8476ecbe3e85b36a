//! The table of the shape file's keys, and which settings key each of them sets.

use serde_json::{Value, json};
use settings::{Field, ValueType};

/// One row of the table.
#[derive(Debug, PartialEq)]
pub struct Key {
    /// The section of the key.
    pub section: &'static str,
    /// The key.
    pub name: &'static str,
    /// The settings key that it sets, such as `Domain.Cells`; `Areas[]` is a list.
    pub settings_key: &'static str,
    /// Whether the old file's value stays where the shape file is silent.
    pub keeps_old_value: bool,
}

/// Every key of the shape file.
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

/// The settings key of this broker's zone, which the shape file gives by its name.
pub(crate) const ZONE: &str = "Zone";
/// The settings key of the zones' names.
pub(crate) const ZONES: &str = "Areas[]";

impl Key {
    /// Whether the settings hold a list there, and the shape file names with commas between them.
    fn is_list(&self) -> bool {
        self.settings_key.ends_with("[]")
    }

    /// The settings key as it is shown, without the mark of a list.
    pub(crate) fn shown_settings_key(&self) -> &'static str {
        self.settings_key.trim_end_matches("[]")
    }

    fn value_type(&self) -> ValueType {
        Field::find(self.settings_key).map_or(ValueType::Text, |field| field.value_type)
    }

    /// A value as the settings write it; `None` where it is not allowed. A zone stays a name.
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

    /// What is allowed, in words for an operator.
    pub(crate) fn describe_allowed(&self) -> String {
        if self.is_list() {
            return "names, with commas between them,".to_owned();
        }
        self.value_type().describe()
    }
}

fn is_number_or_boolean(value: &Value) -> bool {
    value.is_number() || value.is_boolean()
}
