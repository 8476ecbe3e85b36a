//! Makes the new deployment's file of an old one.

use crate::keys::{ZONE, ZONES};
use crate::{
    DeploymentLayout, KEYS, Key, MigratedSettings, MigrationError, OmissionReason, OmittedKey,
    settings_object,
};
use serde_json::{Map, Value, json};
use settings::{Document, FIELDS, Field, ValueType};

/// Settings keys that describe the old fleet's machines.
const OLD_FLEET_KEYS: &[&str] = &["HostTypes", "Stages", "WeightKind", "ScoringMix"];
/// The file's key that holds the settings.
const SETTINGS: &str = "settings";
/// The file's key that holds the nodes that the broker knew last.
const KNOWN_NODES: &str = "known";

/// The new deployment's file for a broker with this old file. `zone`: this broker's, where the shape file does
/// not state one for all brokers.
///
/// # Errors
/// All errors of the new file: a broker could not serve from it.
pub fn migrate(
    old: &[u8],
    layout: &DeploymentLayout,
    zone: Option<&str>,
) -> Result<MigratedSettings, Vec<MigrationError>> {
    let mut file: Map<String, Value> =
        serde_json::from_slice(old).map_err(|error| vec![MigrationError::Syntax(error)])?;
    let Some(Value::Object(settings)) = file.get_mut(SETTINGS) else {
        return Err(vec![MigrationError::NoSettings]);
    };
    let mut migration = Migration { settings, layout, zone, omitted_keys: Vec::new(), errors: Vec::new() };
    migration.leave_unknown_keys();
    migration.leave_old_fleet();
    for key in KEYS {
        migration.migrate_key(key);
    }
    migration.check_zone_is_stated();
    migration.check_settings();
    let Migration { mut omitted_keys, errors, .. } = migration;
    if !errors.is_empty() {
        return Err(errors);
    }
    if file.remove(KNOWN_NODES).is_some() {
        omitted_keys.push(OmittedKey { key: KNOWN_NODES.to_owned(), reason: OmissionReason::KnownNodes });
    }
    let text =
        serde_json::to_string_pretty(&file).map_err(|error| vec![MigrationError::Unwritable(error)])?;
    Ok(MigratedSettings { text: text + "\n", omitted_keys })
}

/// Settings on their way from the old deployment to the new one.
struct Migration<'a> {
    settings: &'a mut Map<String, Value>,
    layout: &'a DeploymentLayout,
    /// This broker's zone, where the caller states it.
    zone: Option<&'a str>,
    omitted_keys: Vec<OmittedKey>,
    errors: Vec<MigrationError>,
}

impl Migration<'_> {
    /// Records a key that is not carried over.
    fn leave(&mut self, key: &str, reason: OmissionReason) {
        self.omitted_keys.push(OmittedKey { key: key.to_owned(), reason });
    }

    /// Removes the keys on the outermost two levels that the settings do not have.
    fn leave_unknown_keys(&mut self) {
        for key in settings_object::keys(self.settings) {
            if !is_known(&key) && settings_object::remove(self.settings, &key).is_some() {
                self.leave(&key, OmissionReason::UnknownKey);
            }
        }
    }

    /// Removes the keys that describe the old fleet's machines.
    fn leave_old_fleet(&mut self) {
        for key in OLD_FLEET_KEYS {
            if self.settings.remove(*key).is_some() {
                self.leave(key, OmissionReason::DescribesOldFleet);
            }
        }
    }

    /// Sets a key to what the layout states, or removes it where its old value may not stay.
    fn migrate_key(&mut self, key: &Key) {
        match self.stated(key) {
            Some(text) => {
                settings_object::remove(self.settings, key.settings_key);
                if key.settings_key == ZONE {
                    self.set_zone(&text);
                } else if let Some(value) = key.parse(&text) {
                    // It was checked when the layout was read.
                    settings_object::set(self.settings, key.settings_key, value);
                }
            }
            None if key.keeps_old_value => {}
            None => {
                if settings_object::remove(self.settings, key.settings_key).is_some() {
                    self.leave(key.shown_settings_key(), OmissionReason::DecidedByLayout);
                }
            }
        }
    }

    /// The new deployment's text for a key; a zone that the caller states takes precedence.
    fn stated(&self, key: &Key) -> Option<String> {
        let own_zone = self.zone.filter(|_| key.settings_key == ZONE);
        own_zone.or(self.layout.text(key.settings_key)).map(str::to_owned)
    }

    fn set_zone(&mut self, zone: &str) {
        let zones = self.zones();
        match zones.iter().position(|other| *other == zone) {
            Some(index) => settings_object::set(self.settings, ZONE, json!(index)),
            None => {
                let zones = zones.join(", ");
                self.errors.push(MigrationError::UnknownZone { zone: zone.to_owned(), zones });
            }
        }
    }

    /// The names of the new deployment's zones; one empty name where the layout has no zones.
    fn zones(&self) -> Vec<&str> {
        self.layout.text(ZONES).unwrap_or("").split(',').map(str::trim).collect()
    }

    fn check_zone_is_stated(&mut self) {
        let has_zones = self.zones() != [""];
        if has_zones && self.zone.is_none() && self.layout.text(ZONE).is_none() {
            self.errors.push(MigrationError::MissingZone);
        }
    }

    fn check_settings(&mut self) {
        let text = Value::Object(self.settings.clone()).to_string();
        match Document::parse(text.as_bytes(), text.len()) {
            Ok(document) => {
                self.errors.extend(settings::check(&document).into_iter().map(MigrationError::from));
            }
            Err(error) => self.errors.push(error.into()),
        }
    }
}

fn is_known(key: &str) -> bool {
    let stands_in = |field: &Field| {
        field.key == key || field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with(['.', '[']))
    };
    let is_below_unchecked = |field: &Field| {
        field.value_type == ValueType::Unchecked
            && key.strip_prefix(field.key).is_some_and(|rest| rest.starts_with('.'))
    };
    FIELDS.iter().any(|field| stands_in(field) || is_below_unchecked(field))
}
