//! The section `[admission]`.

use crate::OperatorConfigError;
use crate::key_values::KeyValues;
use crate::keys::ADMISSION;
use admission_control::AdmissionConfig;
use routing::Tenths;

/// Admission control's configuration, where it is on. Other keys of the section without it are an error: they
/// would do nothing.
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
            found: error.holds,
            allowed: error.allowed.to_owned(),
        }));
    }
    Some(config)
}

fn admission_config(values: &KeyValues) -> AdmissionConfig {
    let number = |name: &str| values.number(ADMISSION, name);
    let duration = |name: &str| Tenths::from_ms(number(name));
    AdmissionConfig {
        level: number("level"),
        window: duration("window_ms"),
        decrease: number("decrease"),
        increase: number("increase"),
        open_above: number("open_above"),
        burst: duration("burst_ms"),
        retry_share: number("retry_share"),
        retry_floor: number("retry_floor"),
        max_tenants: number("most_callers") as u32,
        shares: values.get(ADMISSION, "shares") == "on",
    }
}
