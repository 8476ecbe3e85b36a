//! What a running broker applies of a new document: which keys differ, when each applies, and the
//! configuration with the ids that the broker already uses.

use crate::broker_settings::AssignedNumbers;
use crate::compare::{Change, compare};
use crate::document::Document;
use crate::settings_text::SettingsText;
use crate::{Applies, BrokerSettings, FIELDS, NameRegistry, ValidationError, check};
use serde_json::Value;

/// The key of the broker's zone, an index into [`ZONES`].
const ZONE: &str = "Zone";
/// The key of the list of zone names.
const ZONES: &str = "Areas";

/// A document that a running broker can apply.
#[derive(Clone, Debug)]
pub struct SettingsUpdate {
    /// What the broker runs with from now on.
    pub broker_settings: BrokerSettings,
    /// The document with the broker's own keys filled in.
    pub document: Document,
    /// What differs from the document that the broker ran with.
    pub changes: Vec<Change>,
}

/// Checks that a broker that runs with `running` and these ids can apply `new`, and returns what it then runs
/// with. Keys that are each broker's own are taken from `running`; `new` leaves them out, or has the same.
///
/// # Errors
/// Everything that is wrong with `new`, and every change that needs a restart.
pub fn prepare_update(
    running: &Document,
    names: &NameRegistry,
    new: &Document,
) -> Result<SettingsUpdate, Vec<ValidationError>> {
    let mut document = new.clone();
    fill_in_own_keys(&mut document, running);
    let mut errors: Vec<ValidationError> =
        fill_in_zone(&mut document, running, new).err().into_iter().collect();
    errors.extend(check(&document));
    let changes = compare(running, &document);
    errors.extend(changes.iter().filter_map(needs_restart));
    if !errors.is_empty() {
        return Err(errors);
    }
    let broker_settings = broker_settings(&document, names)?;
    Ok(SettingsUpdate { broker_settings, document, changes })
}

fn fill_in_own_keys(document: &mut Document, running: &Document) {
    for field in FIELDS.iter().filter(|field| field.applies == Applies::PerBroker) {
        if document.get(field.key).is_none()
            && let Some(own) = running.get(field.key)
        {
            document.set(field.key, own.clone());
        }
    }
}

/// A broker stays in its zone. The zone is compared by its name, as the new document may list zones in another
/// order.
fn fill_in_zone(document: &mut Document, running: &Document, new: &Document) -> Result<(), ValidationError> {
    let running_zone = zone_name(running);
    if new.get(ZONE).is_some() {
        let new_zone = zone_name(new);
        return if new_zone == running_zone {
            Ok(())
        } else {
            Err(ValidationError::NeedsRestart {
                field: ZONE.to_owned(),
                found: new_zone.unwrap_or_default(),
                running: running_zone.unwrap_or_default(),
            })
        };
    }
    let Some(running_zone) = running_zone else { return Ok(()) };
    let zones = new.get(ZONES).and_then(Value::as_array).cloned().unwrap_or_default();
    let Some(index) = zones.iter().position(|zone| zone.as_str() == Some(&running_zone)) else {
        let found = Value::from(zones).to_string();
        return Err(ValidationError::NeedsRestart { field: ZONES.to_owned(), found, running: running_zone });
    };
    document.set(ZONE, index.into());
    Ok(())
}

fn zone_name(document: &Document) -> Option<String> {
    let index = document.get(ZONE).and_then(Value::as_u64).unwrap_or(0);
    let zones = document.get(ZONES).and_then(Value::as_array)?;
    zones.get(index as usize).and_then(Value::as_str).map(str::to_owned)
}

/// The error of a change that can't apply while the broker runs; the zone is checked by its name.
fn needs_restart(change: &Change) -> Option<ValidationError> {
    let can_apply = !matches!(change.applies, Applies::AfterRestart | Applies::PerBroker);
    if can_apply || change.field == ZONE {
        return None;
    }
    let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "its default".to_owned());
    let (found, running) = (show(&change.is), show(&change.was));
    Some(ValidationError::NeedsRestart { field: change.field.clone(), found, running })
}

/// Reads a checked document with the ids of a running broker, and new ids for new names.
fn broker_settings(
    document: &Document,
    names: &NameRegistry,
) -> Result<BrokerSettings, Vec<ValidationError>> {
    let text: SettingsText =
        serde_json::from_value(document.0.clone()).map_err(|error| unreadable(&error))?;
    let names = names.with(text.class_names(), text.tenant_names());
    let numbers = AssignedNumbers {
        classes: text.class_names().map(|name| names.class_number(name)).collect(),
        tenants: text.tenant_names().map(|name| names.tenant_number(name)).collect(),
    };
    BrokerSettings::from_text(&text, names, &numbers).map_err(|error| unreadable(&error))
}

/// The error of a document that was checked and still can't be read. This can't happen while the table of keys
/// and the types agree; if it does, it is reported.
fn unreadable(error: &dyn std::error::Error) -> Vec<ValidationError> {
    vec![ValidationError::invalid("document", error.to_string(), "")]
}
