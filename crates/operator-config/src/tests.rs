//! Tests of parsing the operator's file and of the errors in invalid files.

use super::{KEYS, LogFormat, OperatorConfig, OperatorConfigError, read};
use admission_control::AdmissionConfig;
use routing::TimeSpan;
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
#[case("")]
#[case("; nothing but a comment\n[log]\nformat = text\n")]
fn all_features_are_disabled_by_default(#[case] text: &str) {
    assert_eq!(read(text), Ok(OperatorConfig::default()));
}

/// The shipped file must list every key with its default and enable nothing.
#[rstest]
fn shipped_file_lists_every_key_and_enables_nothing() {
    let shipped = include_str!("../../../deploy/operator.ini");
    assert_eq!(read(shipped), Ok(OperatorConfig::default()));
    let uncommented: String = shipped
        .lines()
        .map(|line| line.strip_prefix(";").filter(|rest| rest.contains(" =")).unwrap_or(line))
        .fold(String::new(), |all, line| all + line + "\n");
    for key in KEYS {
        let line = format!("{} = {}", key.name, key.default);
        assert!(
            uncommented.lines().any(|other| other.trim_end() == line.trim_end()),
            "`{line}` is missing in the shipped file"
        );
    }
}

/// The defaults in the table of keys must equal those of `AdmissionConfig`, so that the file, the documentation and
/// the code agree.
#[rstest]
fn admission_keys_have_the_defaults_of_admission_control() {
    let config = read("[admission]\ndoor = on\n").unwrap();
    assert_eq!(config.admission, Some(AdmissionConfig::default()));
    let config = read("[admission]\ndoor = on\nshares = off\nwindow_ms = 2000\n").unwrap();
    let admission = config.admission.unwrap();
    assert_eq!((admission.enforce_quotas, admission.window), (false, TimeSpan(20_000)));
}

#[rstest]
#[case(
    "[admission]\nlevel = 0.2\n",
    "`door = on` is missing in section [admission]: the other keys of the section require it"
)]
#[case("[admission]\ndoor = yes\n", "line 2: `door` in section [admission] is `yes`, expected `off` or `on`")]
#[case(
    "[admission]\ndoor = on\nlevel = 1\n",
    "line 3: `level` in section [admission] is `1`, expected a number from 0.001 to 0.999"
)]
fn admission_error_states_line_and_expected_values(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(read(text).unwrap_err()[0].to_string(), expected);
}

#[rstest]
fn reads_enabled_features() {
    let text = "[log]\nformat = json\n[control]\nservices = 127.0.0.1:1, [::1]:2\ninstallation = north\n\
        trial_ms = 500\nkeep_file = C:\\kept\nfleet_brokers = 5000\nfleet_calls_per_s = 100\n";
    let config = read(text).unwrap();
    let rollout = config.rollout.unwrap();
    assert_eq!((config.log_format, rollout.services.len()), (LogFormat::Json, 2));
    assert_eq!((rollout.policy.probation_duration, rollout.max_document_bytes), (TimeSpan(5000), 1 << 20));
    assert_eq!(rollout.policy.initial_backoff, TimeSpan(500_000), "5,000 brokers at 100 a second");
    assert_eq!(rollout.state_file, Some(PathBuf::from("C:\\kept")));
}

#[rstest]
#[case("[contol]\nservices = 127.0.0.1:1\n", "line 1: unknown section [contol]; did you mean [control]?")]
#[case("[log]\n\nformat = xml\n", "line 3: `format` in section [log] is `xml`, expected `text` or `json`")]
#[case(
    "[control]\nservices = north\n",
    "line 2: `services` in section [control] is `north`, \
        expected a comma-separated list of addresses such as `127.0.0.1:18000`"
)]
#[case(
    "[control]\nservices = 127.0.0.1:1\n",
    "`installation` is missing in section [control]: the other keys of the section require it"
)]
#[case(
    "[control]\ntrial_ms = 5\n",
    "`services` is missing in section [control]: the other keys of the section require it"
)]
#[case(
    "[control]\ntrial_ms = 0\n",
    "line 2: `trial_ms` in section [control] is `0`, expected a number from 1 to 86400000"
)]
#[case(
    "[control]\ntrial_ms = NaN\n",
    "line 2: `trial_ms` in section [control] is `NaN`, expected a number from 1 to 86400000"
)]
#[case(
    "[control]\nservices = 127.0.0.1:1\nservices = 127.0.0.1:2\n",
    "line 2: `services` in section [control] is set more than once, first on this line"
)]
#[case(
    "[control]\nservices = 127.0.0.1:1\ninstallation = n\nlongest_trial_ms = 5\n",
    "`longest_trial_ms` in section [control] is less than `trial_ms`, expected at least the same value"
)]
#[case("[control\n", "line 2, column 1: invalid INI syntax: expecting \"[Some(']')]\" but found EOF.")]
fn error_states_line_key_and_expected_values(#[case] text: &str, #[case] expected: &str) {
    let errors: Vec<String> = read(text).unwrap_err().iter().map(OperatorConfigError::to_string).collect();
    assert!(errors.iter().any(|error| error == expected), "{errors:#?}");
}

#[rstest]
fn lists_all_errors_at_once() {
    assert_eq!(read("[log]\nformat = x\nfromat = y\n[what]\na = 1\n").unwrap_err().len(), 3);
}
