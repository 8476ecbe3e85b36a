//! A broker's file for one shape of deployment, turned into its counterpart for another: another layout of
//! shards, other zones, load told in another way. Does no I/O; `shard-broker reshape` is the command.
//!
//! - [`Shape::read`] reads the shape file, INI: what the new deployment looks like. [`KEYS`] lists its keys.
//! - [`reshape`] gives the new file's text, and lists what of the old one it could not carry over, or all
//!   that stands against the new one. What a deployment's shape decides is never taken from the old file.
//!
//! ```
//! let shape = settings_migration::Shape::read("[load]\ntold = pull\nprobes = true\n").unwrap();
//! let mistakes = settings_migration::reshape(b"{\"settings\": {}}", &shape, None).unwrap_err();
//! assert!(mistakes.iter().any(|m| m.contains("`Domain` is missing")));
//! ```

use ini::{Ini, ParseOption};
use serde_json::{Map, Value, json};
use settings::{Document, FIELDS, ValueType};
use thiserror::Error;

/// Where a key of the shape file goes: the settings' key, and whether the old value may stand where the shape
/// file is silent.
#[derive(Debug, PartialEq)]
pub struct Key {
    pub section: &'static str,
    pub name: &'static str,
    pub to: &'static str,
    pub old_may_stand: bool,
}

const fn key(section: &'static str, name: &'static str, to: &'static str, old_may_stand: bool) -> Key {
    Key { section, name, to, old_may_stand }
}

#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    //  section   name                the settings' key            the old value may stand
    key("fleet",  "brokers",          "Instances",                 false),
    key("fleet",  "zones",            "Areas[]",                   false),
    key("fleet",  "zone",             "Zone",                      false),
    key("fleet",  "roll",             "RegistryMode",              true),
    key("layout", "cells",            "Domain.Cells",              false),
    key("layout", "reach",            "Domain.Reach",              false),
    key("layout", "shards",           "Domain.Ranges",             false),
    key("layout", "per_call",         "Domain.PerCall",            false),
    key("load",   "told",             "Stats.Via",                 false),
    key("load",   "fields",           "Stats.Fields[]",            false),
    key("load",   "probes",           "Limits.Probes",             false),
    key("limits", "most_open",        "Limits.MaxOpen",            true),
    key("limits", "most_pushes",      "Limits.MaxAttempts",        true),
    key("limits", "copies",           "Limits.SecondCopies",       true),
    key("limits", "may_withdraw",     "Limits.MayCancel",          true),
    key("limits", "stay_away",        "Limits.RetryAfter",         true),
    key("limits", "longest_stay_ms",  "Limits.MaxRetryAfterMs",    true),
    key("limits", "line_idle_ms",     "Limits.ConnIdleMs",         true),
    key("limits", "line_parts",       "Limits.StreamsPerConn",     true),
    key("rules",  "cold_share",       "Rules.ColdFrom",            true),
    key("rules",  "warm_after_ms",    "Rules.WarmUpMs",            true),
    key("rules",  "fall_multiple",    "Rules.OverloadFactor",      true),
    key("rules",  "fall_window_ms",   "Rules.OverloadForMs",       true),
    key("rules",  "further_floor",    "Rules.ExtraFloor",          true),
    key("rules",  "further_share",    "Rules.ResendRatio",         true),
    key("rules",  "further_window_ms","Rules.BudgetWindowMs",      true),
];

/// What describes the old fleet's machines, and nothing reads: it is left behind, and told.
const OF_THE_OLD_FLEET: &[&str] = &["HostTypes", "Stages", "WeightKind", "ScoringMix"];

/// A mistake in a shape file.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Unfit {
    #[error("line {0}: {1}")]
    Syntax(usize, String),
    #[error("`{name}` is no key of [{section}]: `{nearest}` is the nearest")]
    Unknown { section: String, name: String, nearest: String },
    #[error("`{name}` of [{section}] is `{holds}`: {allowed} is allowed")]
    Wrong { section: &'static str, name: &'static str, holds: String, allowed: String },
}

/// What the new deployment looks like, as far as its file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// By the settings' key.
    told: Vec<(&'static Key, String)>,
}

/// The new file, and what of the old one is not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reshaped {
    pub text: String,
    /// Each key that was not carried over, and why.
    pub left: Vec<(String, &'static str)>,
}

impl Shape {
    pub fn read(text: &str) -> Result<Shape, Vec<Unfit>> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|e| vec![Unfit::Syntax(e.line + 1, e.msg.to_string())])?;
        let (mut told, mut unfit) = (Vec::new(), Vec::new());
        for (section, values) in &ini {
            for (name, value) in values.iter() {
                let section = section.unwrap_or("");
                match KEYS.iter().find(|key| key.section == section && key.name == name) {
                    None => unfit.push(unknown(section, name)),
                    Some(key) => match read_value(key, value) {
                        Ok(_) => told.push((key, value.trim().to_owned())),
                        Err(allowed) => unfit.push(Unfit::Wrong {
                            section: key.section,
                            name: key.name,
                            holds: value.to_owned(),
                            allowed,
                        }),
                    },
                }
            }
        }
        if unfit.is_empty() { Ok(Shape { told }) } else { Err(unfit) }
    }

    fn value(&self, key: &Key) -> Option<&str> {
        self.told.iter().find(|(told, _)| told.to == key.to).map(|(_, value)| &value[..])
    }
}

fn unknown(section: &str, name: &str) -> Unfit {
    let place = format!("{section}.{name}");
    let like =
        |key: &&Key| (strsim::jaro_winkler(&place, &format!("{}.{}", key.section, key.name)) * 1e6) as u64;
    let nearest = KEYS.iter().max_by_key(like).map(|key| format!("{} of [{}]", key.name, key.section));
    Unfit::Unknown {
        section: section.to_owned(),
        name: name.to_owned(),
        nearest: nearest.unwrap_or_default(),
    }
}

/// A value as the settings write it, or what is allowed. A zone is told by its name.
fn read_value(key: &Key, text: &str) -> Result<Value, String> {
    let form =
        FIELDS.iter().find(|field| field.key == key.to).map_or(ValueType::Text, |field| field.value_type);
    let text = text.trim();
    if key.to == "Zone" {
        return Ok(json!(text));
    }
    if key.to.ends_with("[]") {
        let items: Vec<&str> = text.split(',').map(str::trim).filter(|item| !item.is_empty()).collect();
        return if items.is_empty() {
            Err("names, with commas between them,".to_owned())
        } else {
            Ok(json!(items))
        };
    }
    let value = match form {
        ValueType::Text | ValueType::OneOf(_) => Some(json!(text)),
        _ => serde_json::from_str(text).ok().filter(|value: &Value| value.is_number() || value.is_boolean()),
    };
    value.filter(|value| form.accepts(value)).ok_or_else(|| form.describe())
}

/// Puts a value where a key such as `Domain.Cells` or `Areas[]` stands.
fn set(settings: &mut Map<String, Value>, to: &str, value: Value) {
    match to.trim_end_matches("[]").split_once('.') {
        None => _ = settings.insert(to.trim_end_matches("[]").to_owned(), value),
        Some((outer, inner)) => {
            let below = settings.entry(outer).or_insert_with(|| json!({}));
            if let Value::Object(below) = below {
                below.insert(inner.to_owned(), value);
            }
        }
    }
}

fn take(settings: &mut Map<String, Value>, to: &str) -> Option<Value> {
    match to.trim_end_matches("[]").split_once('.') {
        None => settings.remove(to.trim_end_matches("[]")),
        Some((outer, inner)) => settings.get_mut(outer)?.as_object_mut()?.remove(inner),
    }
}

/// Makes the new file of an old one. `zone`: this broker's, where the shape file does not say it for all.
/// Nothing comes back but mistakes where the new file could not be served from.
pub fn reshape(old: &[u8], shape: &Shape, zone: Option<&str>) -> Result<Reshaped, Vec<String>> {
    let unread = |why: String| vec![format!("the old file can't be read: {why}")];
    let mut file: Map<String, Value> = serde_json::from_slice(old).map_err(|e| unread(e.to_string()))?;
    let settings = file.get_mut("settings").and_then(Value::as_object_mut);
    let settings = settings.ok_or_else(|| unread("`settings` is no object".to_owned()))?;
    let mut left: Vec<(String, &'static str)> = Vec::new();
    leave_unknown(settings, &mut left);
    for name in OF_THE_OLD_FLEET {
        if settings.remove(*name).is_some() {
            left.push(((*name).to_owned(), "describes the old fleet; nothing reads it"));
        }
    }
    let zones = KEYS.iter().find(|key| key.to == "Areas[]").and_then(|key| shape.value(key)).unwrap_or("");
    let zones: Vec<&str> = zones.split(',').map(str::trim).collect();
    let mut mistakes = Vec::new();
    for key in KEYS {
        let told = if key.to == "Zone" { zone.or(shape.value(key)) } else { shape.value(key) };
        let before = (!key.old_may_stand || told.is_some()).then(|| take(settings, key.to)).flatten();
        match told {
            Some(name) if key.to == "Zone" => match zones.iter().position(|zone| *zone == name) {
                Some(at) => set(settings, key.to, json!(at)),
                None => mistakes.push(format!("zone `{name}` is none of {}", zones.join(", "))),
            },
            // It was held against its form when the shape was read.
            Some(text) => read_value(key, text).into_iter().for_each(|value| set(settings, key.to, value)),
            None if before.is_some() => {
                let name = key.to.trim_end_matches("[]").to_owned();
                left.push((name, "goes by the deployment's shape, and the shape file does not say it"));
            }
            None => {}
        }
    }
    if zones != [""] && zone.is_none() && !shape.told.iter().any(|(key, _)| key.to == "Zone") {
        mistakes.push("`zone` is missing: this broker's, in [fleet] or by --zone".to_owned());
    }
    let text = Value::Object(settings.clone()).to_string();
    match Document::parse(text.as_bytes(), text.len()) {
        Ok(document) => mistakes.extend(settings::check(&document).iter().map(ToString::to_string)),
        Err(why) => mistakes.push(why.to_string()),
    }
    if file.remove("known").is_some() {
        left.push(("known".to_owned(), "nodes of the old fleet; discovery tells the new ones"));
    }
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    let text = serde_json::to_string_pretty(&file).map_err(|e| vec![e.to_string()])?;
    Ok(Reshaped { text: text + "\n", left })
}

/// Takes out what the settings have no key for, as far as that can be told from the outermost two levels.
fn leave_unknown(settings: &mut Map<String, Value>, left: &mut Vec<(String, &'static str)>) {
    let known = |place: &str| {
        let below = |field: &str| field.strip_prefix(place).is_some_and(|rest| rest.starts_with(['.', '[']));
        FIELDS.iter().any(|field| field.key == place || below(field.key))
            || FIELDS.iter().any(|f| {
                f.value_type == ValueType::Unchecked
                    && place.strip_prefix(f.key).is_some_and(|r| r.starts_with('.'))
            })
    };
    let mut places: Vec<String> = Vec::new();
    for (outer, value) in settings.iter() {
        places.push(outer.clone());
        places.extend(value.as_object().into_iter().flatten().map(|(inner, _)| format!("{outer}.{inner}")));
    }
    for place in places.iter().filter(|place| !known(place)) {
        if take(settings, place).is_some() {
            left.push((place.clone(), "is no key of the settings"));
        }
    }
}

#[cfg(test)]
mod tests;
