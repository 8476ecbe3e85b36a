//! Section `[admission]`: admission control.

use crate::OperatorConfigError;
use crate::key_values::KeyValues;
use crate::keys::ADMISSION;
use admission_control::AdmissionConfig;
use routing::TimeSpan;

/// Returns the configuration of admission control, or `None` if it is disabled. Adds an error if it is disabled but
/// other keys of the section are set, because they would have no effect.
pub(crate) fn read(values: &mut KeyValues) -> Option<AdmissionConfig> {
    if values.get(ADMISSION, "door") != "on" {
        if values.has_other_keys(ADMISSION, "door") {
            let error = OperatorConfigError::MissingKey { section: ADMISSION, key: "door = on" };
            values.errors.push(error);
        }
        return None;
    }
    let config = admission_config(values);
    if let Err(errors) = config.check() {
        let line = values.section_line(ADMISSION);
        values.errors.extend(errors.into_iter().map(|error| OperatorConfigError::InvalidValue {
            line,
            section: ADMISSION.to_owned(),
            key: error.key.to_owned(),
            found: error.found,
            allowed: error.allowed.to_owned(),
        }));
    }
    Some(config)
}

/// Converts the keys of the section to the fields that they set.
fn admission_config(values: &KeyValues) -> AdmissionConfig {
    let number = |name: &str| values.number(ADMISSION, name);
    let duration = |name: &str| TimeSpan::from_ms(number(name));
    AdmissionConfig {
        overload_threshold: number("level"),
        window: duration("window_ms"),
        decrease_factor: number("decrease"),
        increase_ratio: number("increase"),
        recovery_headroom: number("open_above"),
        burst: duration("burst_ms"),
        retry_ratio: number("retry_share"),
        min_retries: number("retry_floor"),
        max_tenants: number("most_callers") as u32,
        enforce_quotas: values.get(ADMISSION, "shares") == "on",
    }
}
