//! Conversion of a broker's old configuration file to the new deployment.

use crate::keys::{ZONE, ZONES};
use crate::{
    DeploymentLayout, KEYS, Key, MigratedSettings, MigrationError, OmissionReason, OmittedKey,
    settings_object,
};
use serde_json::{Map, Value, json};
use settings::{Document, FIELDS, Field, ValueType};

/// Settings keys that describe the machines of the old fleet.
const OLD_FLEET_KEYS: &[&str] = &["HostTypes", "Stages", "WeightKind", "ScoringMix"];
/// Key of the file that contains the settings.
const SETTINGS: &str = "settings";
/// Key of the file that contains the last endpoint list of the broker.
const KNOWN_NODES: &str = "known";

/// Converts the configuration file `old` of a broker to the new deployment with the given layout.
///
/// `zone` is the name of this broker's zone. It takes precedence over the zone in the shape file, which applies to
/// all brokers.
///
/// # Errors
///
/// Returns all errors of the new file, if a broker could not start with it, or the reason why the old file can't be
/// parsed.
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
    migration.omit_unknown_keys();
    migration.omit_old_fleet_keys();
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

/// Settings that are being converted.
struct Migration<'a> {
    settings: &'a mut Map<String, Value>,
    layout: &'a DeploymentLayout,
    /// Name of the broker's zone, if the caller provides it.
    zone: Option<&'a str>,
    omitted_keys: Vec<OmittedKey>,
    errors: Vec<MigrationError>,
}

impl Migration<'_> {
    /// Records that a key of the old file is omitted.
    fn omit(&mut self, key: &str, reason: OmissionReason) {
        self.omitted_keys.push(OmittedKey { key: key.to_owned(), reason });
    }

    /// Removes unknown keys on the two outermost levels.
    fn omit_unknown_keys(&mut self) {
        for key in settings_object::keys(self.settings) {
            if !is_known(&key) && settings_object::remove(self.settings, &key).is_some() {
                self.omit(&key, OmissionReason::UnknownKey);
            }
        }
    }

    /// Removes the keys that describe the machines of the old fleet.
    fn omit_old_fleet_keys(&mut self) {
        for key in OLD_FLEET_KEYS {
            if self.settings.remove(*key).is_some() {
                self.omit(key, OmissionReason::DescribesOldFleet);
            }
        }
    }

    /// Sets a key to the value in the layout. If the layout has none, removes the key unless its old value may be
    /// kept.
    fn migrate_key(&mut self, key: &Key) {
        match self.new_value(key) {
            Some(text) => {
                settings_object::remove(self.settings, key.settings_key);
                if key.settings_key == ZONE {
                    self.set_zone(&text);
                } else if let Some(value) = key.parse(&text) {
                    // The value is valid, because it was parsed when the layout was read.
                    settings_object::set(self.settings, key.settings_key, value);
                }
            }
            None if key.keeps_old_value => {}
            None => {
                if settings_object::remove(self.settings, key.settings_key).is_some() {
                    self.omit(key.shown_settings_key(), OmissionReason::DecidedByLayout);
                }
            }
        }
    }

    /// Returns the new value of a key as text. A zone from the caller takes precedence over the layout.
    fn new_value(&self, key: &Key) -> Option<String> {
        let broker_zone = self.zone.filter(|_| key.settings_key == ZONE);
        broker_zone.or(self.layout.text(key.settings_key)).map(str::to_owned)
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

    /// Returns the names of the new deployment's zones, or one empty name if the layout has no zones.
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
    let contains_key = |field: &Field| {
        field.key == key || field.key.strip_prefix(key).is_some_and(|rest| rest.starts_with(['.', '[']))
    };
    let is_below_unchecked = |field: &Field| {
        field.value_type == ValueType::Unchecked
            && key.strip_prefix(field.key).is_some_and(|rest| rest.starts_with('.'))
    };
    FIELDS.iter().any(|field| contains_key(field) || is_below_unchecked(field))
}
