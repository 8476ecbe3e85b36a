//! Updates of a running broker from a new document: the changed keys, when each change takes effect, and the new
//! settings with the ids that the broker already uses.

use crate::broker_settings::AssignedNumbers;
use crate::compare::{Change, compare};
use crate::document::Document;
use crate::settings_text::SettingsText;
use crate::{ApplyMode, BrokerSettings, FIELDS, NameRegistry, ValidationError, check};
use serde_json::Value;

/// Key of the broker's zone, an index into [`ZONES`].
const ZONE: &str = "Zone";
/// Key of the list of zone names.
const ZONES: &str = "Areas";

/// Update that a running broker can apply.
#[derive(Clone, Debug)]
pub struct SettingsUpdate {
    /// Settings of the broker after the update.
    pub broker_settings: BrokerSettings,
    /// New document, with the per-broker keys filled in.
    pub document: Document,
    /// Changes from the document that the broker runs with.
    pub changes: Vec<Change>,
}

/// Checks that a broker that runs with the document `running` and the ids in `names` can apply the document `new`,
/// and returns the update.
///
/// Per-broker keys that `new` leaves out are taken from `running`.
///
/// # Errors
///
/// Returns all errors in `new` and all changes that need a restart, including changes of per-broker keys.
pub fn prepare_update(
    running: &Document,
    names: &NameRegistry,
    new: &Document,
) -> Result<SettingsUpdate, Vec<ValidationError>> {
    let mut document = new.clone();
    fill_in_per_broker_keys(&mut document, running);
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

fn fill_in_per_broker_keys(document: &mut Document, running: &Document) {
    for field in FIELDS.iter().filter(|field| field.applies == ApplyMode::PerBroker) {
        if document.get(field.key).is_none()
            && let Some(own) = running.get(field.key)
        {
            document.set(field.key, own.clone());
        }
    }
}

/// Fills in the broker's zone, which must not change while the broker runs. Zones are compared by name, because the
/// new document may list them in another order.
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

/// Returns an error if a change needs a restart. The zone is left out, as [`fill_in_zone`] checks it by name.
fn needs_restart(change: &Change) -> Option<ValidationError> {
    let can_apply = !matches!(change.applies, ApplyMode::AfterRestart | ApplyMode::PerBroker);
    if can_apply || change.field == ZONE {
        return None;
    }
    let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "its default".to_owned());
    let (found, running) = (show(&change.new_value), show(&change.old_value));
    Some(ValidationError::NeedsRestart { field: change.field.clone(), found, running })
}

/// Converts a valid document, with the ids of a running broker and new ids for new names.
fn broker_settings(
    document: &Document,
    names: &NameRegistry,
) -> Result<BrokerSettings, Vec<ValidationError>> {
    let raw: SettingsText = serde_json::from_value(document.0.clone()).map_err(|error| unreadable(&error))?;
    let names = names.extended_with(raw.class_names(), raw.tenant_names());
    let numbers = AssignedNumbers {
        classes: raw.class_names().map(|name| names.class_number(name)).collect(),
        tenants: raw.tenant_names().map(|name| names.tenant_number(name)).collect(),
    };
    BrokerSettings::from_raw(&raw, names, &numbers).map_err(|error| unreadable(&error))
}

/// Returns the error of a valid document that can't be converted. This is unreachable as long as [`FIELDS`] and
/// [`SettingsText`] agree; if they do not, the document is rejected.
fn unreadable(error: &dyn std::error::Error) -> Vec<ValidationError> {
    vec![ValidationError::invalid("document", error.to_string(), "")]
}
