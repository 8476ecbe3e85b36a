//! What a running broker takes over from a new document: which keys differ, when each applies, and the
//! configuration in the numbers that the broker already uses.

use crate::check::{Mistake, check};
use crate::document::Document;
use crate::fields::{Applies, FIELDS, Form};
use crate::text::Text;
use crate::{BrokerSettings, NameRegistry, prescribe};
use serde_json::Value;

/// A key that differs between two documents. Items of a list are compared by their `Name`, where they have
/// one, so that a list in another order is the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub field: String,
    pub was: Option<String>,
    pub is: Option<String>,
    pub applies: Applies,
}

/// A document that a running broker can take over.
#[derive(Clone, Debug)]
pub struct Revised {
    pub broker_settings: BrokerSettings,
    /// With the broker's own keys filled in.
    pub document: Document,
    pub changes: Vec<Change>,
}

/// The keys by which two documents differ, those that the broker does not read left out.
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    differ(Some(&old.0), Some(&new.0), "", "", &mut changes);
    changes
}

fn differ(old: Option<&Value>, new: Option<&Value>, place: &str, key: &str, changes: &mut Vec<Change>) {
    let join = |to: &str, name: &str| if to.is_empty() { name.to_owned() } else { format!("{to}.{name}") };
    if same(old, new) {
        return;
    }
    if let Some(field) = FIELDS.iter().find(|field| field.0 == key && field.1 != Form::Any) {
        let show = |value: &Value| value.to_string();
        let (was, is) = (old.map(show), new.map(show));
        return changes.push(Change { field: place.to_owned(), was, is, applies: field.3 });
    }
    let object = |value: Option<&Value>| value.and_then(Value::as_object).cloned().unwrap_or_default();
    let list = |value: Option<&Value>| value.and_then(Value::as_array).cloned().unwrap_or_default();
    let is_list = |value: Option<&Value>| value.is_some_and(Value::is_array);
    if is_list(old) || is_list(new) {
        let key = format!("{key}[]");
        let (olds, news) = (list(old), list(new));
        let name = |value: &Value| value.get("Name").and_then(Value::as_str).map(str::to_owned);
        if olds.iter().chain(&news).all(|value| name(value).is_some()) {
            let names: std::collections::BTreeSet<String> =
                olds.iter().chain(&news).filter_map(name).collect();
            for named in names {
                let find = |all: &[Value]| all.iter().find(|v| name(v).as_ref() == Some(&named)).cloned();
                let (old, new) = (find(&olds), find(&news));
                differ(old.as_ref(), new.as_ref(), &format!("{place}[{named}]"), &key, changes);
            }
        } else {
            for at in 0..olds.len().max(news.len()) {
                differ(olds.get(at), news.get(at), &format!("{place}[{at}]"), &key, changes);
            }
        }
        return;
    }
    let (olds, news) = (object(old), object(new));
    let names: std::collections::BTreeSet<&String> = olds.keys().chain(news.keys()).collect();
    for name in names {
        differ(olds.get(name), news.get(name), &join(place, name), &join(key, name), changes);
    }
}

/// 5 and 5.0 are the same number.
fn same(old: Option<&Value>, new: Option<&Value>) -> bool {
    match (old.and_then(Value::as_f64), new.and_then(Value::as_f64)) {
        (Some(old), Some(new)) => old == new,
        _ => old == new,
    }
}

/// Makes what a broker takes over of `new`, while it runs with `running` and these numbers; or tells all that
/// stands against it. The broker's own keys are `running`'s; `new` leaves them out, or says the same.
pub fn revise(running: &Document, names: &NameRegistry, new: &Document) -> Result<Revised, Vec<Mistake>> {
    let mut document = new.clone();
    for field in FIELDS.iter().filter(|field| field.3 == Applies::Own) {
        if let (None, Some(own)) = (new.get(field.0), running.get(field.0)) {
            document.set(field.0, own.clone());
        }
    }
    // A broker's zone is where it stands: the new document may list zones in another order.
    let mut mistakes = Vec::new();
    let own_zone = zone_name(running);
    if new.get("Zone").is_none()
        && let Some(name) = &own_zone
    {
        let areas = new.get("Areas").and_then(Value::as_array).cloned().unwrap_or_default();
        match areas.iter().position(|area| area.as_str() == Some(name)) {
            Some(at) => document.set("Zone", at.into()),
            None => {
                let holds = Value::from(areas).to_string();
                mistakes.push(Mistake::NeedsRestart { field: "Areas".to_owned(), holds, runs: name.clone() });
            }
        }
    }
    if new.get("Zone").is_some() && zone_name(new) != own_zone {
        let holds = zone_name(new).unwrap_or_default();
        let runs = own_zone.clone().unwrap_or_default();
        mistakes.push(Mistake::NeedsRestart { field: "Zone".to_owned(), holds, runs });
    }
    mistakes.extend(check(&document));
    let changes = compare(running, &document);
    for change in changes.iter().filter(|change| change.field != "Zone") {
        if matches!(change.applies, Applies::Restart | Applies::Own) {
            let word = |value: &Option<String>| value.clone().unwrap_or("its default".to_owned());
            let (holds, runs) = (word(&change.is), word(&change.was));
            mistakes.push(Mistake::NeedsRestart { field: change.field.clone(), holds, runs });
        }
    }
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    let unread = |why: String| {
        vec![Mistake::Wrong { field: "document".to_owned(), holds: why, allowed: String::new() }]
    };
    let text: Text = serde_json::from_value(document.0.clone()).map_err(|e| unread(e.to_string()))?;
    let names = names.with(
        text.services.iter().map(|service| &service.name[..]),
        text.tenants.iter().map(|tenant| &tenant.name[..]),
    );
    let (class, tenant) = (|_, name: &str| names.class_at(name), |_, name: &str| names.tenant_at(name));
    let broker_settings = prescribe(&text, names.clone(), class, tenant).map_err(unread)?;
    Ok(Revised { broker_settings, document, changes })
}

fn zone_name(document: &Document) -> Option<String> {
    let at = document.get("Zone").and_then(Value::as_u64).unwrap_or(0);
    let areas = document.get("Areas").and_then(Value::as_array)?;
    areas.get(at as usize).and_then(Value::as_str).map(str::to_owned)
}
