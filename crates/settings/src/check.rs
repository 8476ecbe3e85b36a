//! The one validator, for an installation's document and for a broker's own file. It lists every mistake at
//! once: the field, what it holds, what is allowed.

use crate::document::{Document, kind};
use crate::fields::{FIELDS, Field, Form};
use crate::text::Text;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// One thing wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mistake {
    /// A key that there is none of, and the nearest that there is.
    Unknown {
        field: String,
        nearest: &'static str,
    },
    Missing {
        field: String,
        allowed: String,
    },
    Wrong {
        field: String,
        holds: String,
        allowed: String,
    },
    /// It is sound, but a running broker can't take it over.
    NeedsRestart {
        field: String,
        holds: String,
        runs: String,
    },
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Mistake::Unknown { field, nearest } => {
                write!(f, "`{field}` is unknown: `{nearest}` is the nearest key")
            }
            Mistake::Missing { field, allowed } => write!(f, "`{field}` is missing: {allowed} is needed"),
            Mistake::Wrong { field, holds, allowed } => {
                write!(f, "`{field}` is {holds}: {allowed} is allowed")
            }
            Mistake::NeedsRestart { field, holds, runs } => {
                write!(f, "`{field}` is {holds}, the broker runs with {runs}: that needs a restart")
            }
        }
    }
}

/// The most mistakes that are told of one document.
const MOST: usize = 100;
/// Names in a list of classes, tenants or zones.
const MOST_NAMES: usize = 10_000;

/// All that is wrong with a document, as far as it can be told; nothing: it can be used.
pub fn check(document: &Document) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    walk(&document.0, "", "", &mut mistakes);
    if mistakes.is_empty() {
        match serde_json::from_value::<Text>(document.0.clone()) {
            Ok(text) => together(&text, &mut mistakes),
            // What the table allows can be read; should it ever not be, that is told and not passed over.
            Err(e) => {
                mistakes.push(wrong("document", e.to_string(), "what the other keys ask for".to_owned()))
            }
        }
    }
    mistakes.truncate(MOST);
    mistakes
}

fn wrong(field: impl Into<String>, holds: impl Into<String>, allowed: impl Into<String>) -> Mistake {
    Mistake::Wrong { field: field.into(), holds: holds.into(), allowed: allowed.into() }
}

/// `place` is where a value stands, `key` the same as the table writes it.
fn walk(value: &Value, place: &str, key: &str, mistakes: &mut Vec<Mistake>) {
    let row = FIELDS.iter().find(|field| field.0 == key);
    match value {
        _ if row.is_some_and(|Field(_, form, ..)| *form == Form::Any) && !has_keys(key) => {}
        Value::Object(all) if has_keys(key) => {
            for (name, value) in all {
                let (place, key) = (join(place, name), join(key, name));
                if is_known(&key) {
                    walk(value, &place, &key, mistakes);
                } else if !FIELDS.iter().any(|f| f.1 == Form::Any && is_below(&key, f.0)) {
                    mistakes.push(Mistake::Unknown { field: place, nearest: nearest(&key) });
                }
            }
            missing(all, place, key, mistakes);
        }
        Value::Array(all) if is_list(key) => {
            let key = format!("{key}[]");
            for (at, value) in all.iter().enumerate().take(MOST_NAMES) {
                walk(value, &format!("{place}[{at}]"), &key, mistakes);
            }
            if all.len() > MOST_NAMES {
                mistakes.push(wrong(
                    place,
                    format!("a list of {}", all.len()),
                    format!("{MOST_NAMES} at most"),
                ));
            }
        }
        _ => {
            let allowed = match row {
                Some(Field(_, form, ..)) if form.holds(value) => return,
                Some(Field(_, form, ..)) => form.allowed(),
                None if is_list(key) => "a list".to_owned(),
                None => "an object".to_owned(),
            };
            mistakes.push(wrong(place, show(value), allowed));
        }
    }
}

fn join(to: &str, name: &str) -> String {
    if to.is_empty() { name.to_owned() } else { format!("{to}.{name}") }
}

fn is_below(key: &str, above: &str) -> bool {
    key.strip_prefix(above).is_some_and(|rest| rest.starts_with('.') || rest.starts_with('['))
}

fn is_known(key: &str) -> bool {
    FIELDS.iter().any(|field| field.0 == key || is_below(field.0, key))
}

fn has_keys(key: &str) -> bool {
    key.is_empty() || FIELDS.iter().any(|field| field.0.strip_prefix(key).is_some_and(|r| r.starts_with('.')))
}

fn is_list(key: &str) -> bool {
    FIELDS.iter().any(|field| field.0.strip_prefix(key).is_some_and(|rest| rest.starts_with("[]")))
}

/// The keys that must stand in this object and do not.
fn missing(all: &serde_json::Map<String, Value>, place: &str, key: &str, mistakes: &mut Vec<Mistake>) {
    let mut told: BTreeSet<&str> = BTreeSet::new();
    for Field(name, form, needed, _) in FIELDS {
        let rest = if key.is_empty() {
            Some(*name)
        } else {
            name.strip_prefix(key).and_then(|r| r.strip_prefix('.'))
        };
        let Some(rest) = rest.filter(|_| *needed) else { continue };
        let first = rest.split(['.', '[']).next().unwrap_or(rest);
        if !all.contains_key(first) && told.insert(first) && first != "Tenants" {
            let allowed = if first == rest { form.allowed() } else { format!("what `{rest}` stands in") };
            mistakes.push(Mistake::Missing { field: join(place, first), allowed });
        }
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => kind(value).to_owned(),
        Value::String(text) if text.chars().count() > 40 => {
            format!("\"{}...\"", text.chars().take(40).collect::<String>())
        }
        other => other.to_string(),
    }
}

fn nearest(key: &str) -> &'static str {
    let far = |field: &&Field| (strsim::jaro_winkler(key, field.0) * 1e6) as u64;
    // A whole branch is a key too: `Rulez` is nearest to `Rules`, not to one of the keys below it.
    let branch = |name: &'static str| name.split(['.', '[']).next().unwrap_or(name);
    let best = FIELDS.iter().max_by_key(far).map_or("", |field| field.0);
    if key.contains(['.', '[']) {
        return best;
    }
    let far = |name: &&str| (strsim::jaro_winkler(key, name) * 1e6) as u64;
    FIELDS.iter().map(|field| branch(field.0)).max_by_key(far).unwrap_or(best)
}

/// What no key tells by itself.
fn together(text: &Text, mistakes: &mut Vec<Mistake>) {
    let domain = &text.domain;
    let lists = [
        ("Domain.CompleteFrom", domain.complete_from.len(), true),
        ("Domain.MinShare", domain.min_share.len(), true),
        ("Domain.FetchParts", domain.fetch_parts.len(), false),
    ];
    let classes = text.services.len();
    for (field, length, needed) in lists {
        if length != classes && (needed || length > 0) {
            let allowed = format!("one for each of `Services`, {classes},");
            mistakes.push(wrong(field, format!("a list of {length}"), allowed));
        }
    }
    if classes == 0 {
        mistakes.push(wrong("Services", "empty", "one category at least"));
    }
    let names = [
        ("Services", text.services.iter().map(|s| &s.name).collect::<Vec<_>>()),
        ("Tenants", text.tenants.iter().map(|t| &t.name).collect()),
    ];
    for (list, names) in names {
        let mut seen = BTreeSet::new();
        for (at, name) in names.iter().enumerate().filter(|(_, name)| !seen.insert(name.as_str())) {
            mistakes.push(wrong(
                format!("{list}[{at}].Name"),
                format!("{name:?} once more"),
                "each name once",
            ));
        }
    }
    let mut seen = BTreeSet::new();
    for (at, area) in text.areas.iter().enumerate().filter(|(_, area)| !seen.insert(area.as_str())) {
        mistakes.push(wrong(format!("Areas[{at}]"), format!("{area:?} once more"), "each name once"));
    }
    if !text.areas.is_empty() && usize::from(text.zone) >= text.areas.len() {
        let allowed = format!("a place in `Areas`, less than {},", text.areas.len());
        mistakes.push(wrong("Zone", text.zone.to_string(), allowed));
    }
    // Two turns before the latency objective and four before the deadline an answer must be on its way: with less time
    // than that each query would be given up as it is taken.
    let turns = text.period_ms * 4.0;
    for (at, service) in text.services.iter().enumerate() {
        let field = |name: &str| format!("Services[{at}].{name}");
        let (goal, deadline) = (service.on_time_ms, service.deadline_ms);
        if goal > deadline {
            let allowed = format!("at most `DeadlineMs`, {deadline},");
            mistakes.push(wrong(field("OnTimeMs"), goal.to_string(), allowed));
        }
        if goal <= turns {
            let allowed = format!("more than four times `PeriodMs`, {turns},");
            mistakes.push(wrong(field("OnTimeMs"), goal.to_string(), allowed));
        }
        if service.effect == "deduplicated" && service.dedup_window_ms <= 0.0 {
            let allowed = "more than 0 where `Effect` is `deduplicated`";
            mistakes.push(wrong(field("DedupWindowMs"), service.dedup_window_ms.to_string(), allowed));
        }
        if let (Some(least), Some(whole)) = (domain.min_share.get(at), domain.complete_from.get(at))
            && least > whole
        {
            let allowed = format!("at most `CompleteFrom[{at}]`, {whole},");
            mistakes.push(wrong(format!("Domain.MinShare[{at}]"), least.to_string(), allowed));
        }
        if domain.complete_from.get(at) == Some(&0.0) {
            // An answer of nothing would be whole.
            mistakes.push(wrong(format!("Domain.CompleteFrom[{at}]"), "0", "more than 0"));
        }
    }
    if domain.reach > domain.cells {
        let allowed = format!("at most `Domain.Cells`, {},", domain.cells);
        mistakes.push(wrong("Domain.Reach", domain.reach.to_string(), allowed));
    }
    let rules = &text.rules;
    if rules.warm_up_ms > 0.0 && rules.cold_from <= 0.0 {
        mistakes.push(wrong("Rules.ColdFrom", "0", "more than 0 where `WarmUpMs` is more than 0"));
    }
    if rules.warm_up_ms > 0.0 && (rules.overload_factor <= 0.0 || rules.overload_for_ms <= 0.0) {
        let allowed = "more than 0, as `OverloadForMs`, where `WarmUpMs` is more than 0";
        mistakes.push(wrong("Rules.OverloadFactor", rules.overload_factor.to_string(), allowed));
    }
    // Without its window a stated budget would be passed over, and a broker's own be kept in its place.
    if rules.budget_window_ms.is_none() && (rules.extra_floor.is_some() || rules.resend_ratio.is_some()) {
        let allowed = "a window where `ExtraFloor` or `ResendRatio` stand".to_owned();
        mistakes.push(Mistake::Missing { field: "Rules.BudgetWindowMs".to_owned(), allowed });
    }
    if text.limits.retry_after && text.limits.max_retry_after_ms <= 0.0 {
        mistakes.push(wrong("Limits.MaxRetryAfterMs", "0", "more than 0 where `RetryAfter` is true"));
    }
}
