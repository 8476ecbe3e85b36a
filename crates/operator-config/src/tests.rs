//! What the file may say, and what is said of one that is wrong.

use super::{KEYS, LogFormat, OperatorConfig, OperatorConfigError, read};
use admission_control::AdmissionConfig;
use routing::TimeSpan;
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
#[case("")]
#[case("; nothing but a comment\n[log]\nformat = text\n")]
fn everything_is_off_unless_switched_on(#[case] text: &str) {
    assert_eq!(read(text), Ok(OperatorConfig::default()));
}

/// The file that is shipped names every key, with its default, and switches nothing on.
#[rstest]
fn the_shipped_file_names_every_key_and_switches_nothing_on() {
    let shipped = include_str!("../../../deploy/operator.ini");
    assert_eq!(read(shipped), Ok(OperatorConfig::default()));
    let bare: String = shipped
        .lines()
        .map(|line| line.strip_prefix(";").filter(|rest| rest.contains(" =")).unwrap_or(line))
        .fold(String::new(), |all, line| all + line + "\n");
    for key in KEYS {
        let line = format!("{} = {}", key.name, key.default);
        assert!(bare.lines().any(|other| other.trim_end() == line.trim_end()), "`{line}` is not shipped");
    }
}

/// The keys' defaults are those of the decisions: the file, the page and the decisions say the same.
#[rstest]
fn admission_control_is_on_with_the_defaults_of_its_decisions() {
    let config = read("[admission]\ndoor = on\n").unwrap();
    assert_eq!(config.admission, Some(AdmissionConfig::default()));
    let config = read("[admission]\ndoor = on\nshares = off\nwindow_ms = 2000\n").unwrap();
    let admission = config.admission.unwrap();
    assert_eq!((admission.enforce_quotas, admission.window), (false, TimeSpan(20_000)));
}

#[rstest]
#[case("[admission]\nlevel = 0.2\n", "[admission] needs `door = on`")]
#[case("[admission]\ndoor = yes\n", "line 2: `door` of [admission] is `yes`: `off` or `on` is allowed")]
#[case(
    "[admission]\ndoor = on\nlevel = 1\n",
    "line 3: `level` of [admission] is `1`: 0.001 to 0.999 is allowed"
)]
fn names_what_is_wrong_with_admission_control(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(read(text).unwrap_err()[0].to_string(), expected);
}

#[rstest]
fn reads_what_is_switched_on() {
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
#[case("[contol]\nservices = 127.0.0.1:1\n", "line 1: [contol] is no section: [control] is the nearest")]
#[case("[log]\n\nformat = xml\n", "line 3: `format` of [log] is `xml`: `text` or `json` is allowed")]
#[case(
    "[control]\nservices = north\n",
    "line 2: `services` of [control] is `north`: addresses as `127.0.0.1:18000`, \
        with commas between them is allowed"
)]
#[case("[control]\nservices = 127.0.0.1:1\n", "[control] needs `installation`")]
#[case("[control]\ntrial_ms = 5\n", "[control] needs `services`")]
#[case("[control]\ntrial_ms = 0\n", "line 2: `trial_ms` of [control] is `0`: 1 to 86400000 is allowed")]
#[case("[control]\ntrial_ms = NaN\n", "line 2: `trial_ms` of [control] is `NaN`: 1 to 86400000 is allowed")]
#[case(
    "[control]\nservices = 127.0.0.1:1\nservices = 127.0.0.1:2\n",
    "line 2: `services` stands twice in [control]"
)]
#[case(
    "[control]\nservices = 127.0.0.1:1\ninstallation = n\nlongest_trial_ms = 5\n",
    "`longest_trial_ms` of [control] must be more than `trial_ms`, or the same"
)]
#[case("[control\n", "line 2, column 1: expecting \"[Some(']')]\" but found EOF.")]
fn names_what_is_wrong(#[case] text: &str, #[case] expected: &str) {
    let errors: Vec<String> = read(text).unwrap_err().iter().map(OperatorConfigError::to_string).collect();
    assert!(errors.iter().any(|error| error == expected), "{errors:#?}");
}

#[rstest]
fn lists_all_errors_at_once() {
    assert_eq!(read("[log]\nformat = x\nfromat = y\n[what]\na = 1\n").unwrap_err().len(), 3);
}
