//! The operator's file, `deploy/operator.ini`: what is switched on at an installation, and how. Without the file,
//! or with an empty one, everything in it is off.
//!
//! ```
//! let fitting = operator_config::read("[control]\nservices = 127.0.0.1:18000\ninstallation = north\n").unwrap();
//! assert_eq!(fitting.control.unwrap().installation, "north");
//! let mistakes = operator_config::read("[control]\nservise = 127.0.0.1:18000\n").unwrap_err();
//! assert_eq!(mistakes[0].to_string(), "line 2: `servise` is no key of [control]: `services` is the nearest");
//! ```

mod keys;

pub use keys::{KEYS, Key};

use admission_control::AdmissionConfig;
use config_rollout::RolloutPolicy;
use ini::{Ini, ParseOption};
use routing::Tenths;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// How a broker is fitted to its installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fitting {
    pub log: LogForm,
    pub control: Option<Control>,
    /// The admission controller before the module, where it is switched on.
    pub admission: Option<AdmissionConfig>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Versions from control services.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub services: Vec<SocketAddr>,
    pub installation: String,
    pub patience: RolloutPolicy,
    /// Bytes of a document.
    pub document: usize,
    pub count_every: Duration,
    /// Where the client status service listens.
    pub status: Option<SocketAddr>,
    pub keep: Option<PathBuf>,
}

/// One thing wrong in the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Mistake {
    #[error("line {line}, column {column}: {why}")]
    Syntax { line: usize, column: usize, why: String },
    #[error("line {line}: [{section}] is no section: [{nearest}] is the nearest")]
    Section { line: usize, section: String, nearest: &'static str },
    #[error("line {line}: `{key}` is no key of [{section}]: `{nearest}` is the nearest")]
    Key { line: usize, section: String, key: String, nearest: &'static str },
    #[error("line {line}: `{key}` stands twice in [{section}]")]
    Twice { line: usize, section: String, key: String },
    #[error("line {line}: `{key}` of [{section}] is `{holds}`: {allowed} is allowed")]
    Value { line: usize, section: String, key: String, holds: String, allowed: String },
    #[error("[{section}] needs `{key}`")]
    Missing { section: &'static str, key: &'static str },
    #[error("`{key}` of [control] must be more than `{less}`, or the same")]
    Order { key: &'static str, less: &'static str },
}

/// Reads the file's text, or lists all that is wrong with it.
pub fn read(text: &str) -> Result<Fitting, Vec<Mistake>> {
    // Backslashes stay as they are: a path may hold them.
    let options = ParseOption { enabled_escape: false, enabled_quote: true, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, options).map_err(|e| {
        let why = e.msg.to_string();
        vec![Mistake::Syntax { line: e.line, column: e.col, why }]
    })?;
    let mut taken = Taken { text, values: Vec::new(), mistakes: Vec::new() };
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        if !KEYS.iter().any(|key| key.section == section) {
            let nearest = nearest(section, KEYS.iter().map(|key| key.section));
            let (line, section) = (taken.line(section, None), section.to_owned());
            taken.mistakes.push(Mistake::Section { line, section, nearest });
            continue;
        }
        let mut seen = Vec::new();
        for (name, value) in properties.iter() {
            taken.take(section, name, value, seen.contains(&name));
            seen.push(name);
        }
    }
    let fitting = fit(&mut taken);
    if taken.mistakes.is_empty() { Ok(fitting) } else { Err(taken.mistakes) }
}

fn nearest(name: &str, among: impl Iterator<Item = &'static str>) -> &'static str {
    among.max_by_key(|other| (strsim::jaro_winkler(name, other) * 1e6) as u64).unwrap_or_default()
}

/// Values that were found sound one by one, and what was not.
struct Taken<'a> {
    text: &'a str,
    values: Vec<(&'static Key, String)>,
    mistakes: Vec<Mistake>,
}

impl Taken<'_> {
    fn take(&mut self, section: &str, name: &str, value: &str, again: bool) {
        let line = self.line(section, Some(name));
        let place = (section.to_owned(), name.to_owned());
        let Some(key) = KEYS.iter().find(|key| (key.section, key.name) == (section, name)) else {
            let nearest = nearest(name, KEYS.iter().filter(|key| key.section == section).map(|key| key.name));
            return self.mistakes.push(Mistake::Key { line, section: place.0, key: place.1, nearest });
        };
        if again {
            return self.mistakes.push(Mistake::Twice { line, section: place.0, key: place.1 });
        }
        if let Err(allowed) = (key.check)(value.trim()) {
            let holds = value.to_owned();
            return self.mistakes.push(Mistake::Value {
                line,
                section: place.0,
                key: place.1,
                holds,
                allowed,
            });
        }
        self.values.push((key, value.trim().to_owned()));
    }

    /// The line that a section, or a key in it, stands on: the parser does not tell.
    fn line(&self, section: &str, key: Option<&str>) -> usize {
        let mut within = section.is_empty();
        for (at, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                within = name.trim() == section;
                if within && key.is_none() {
                    return at + 1;
                }
            } else if let Some(key) = key.filter(|_| within)
                && line.split(['=', ':']).next().is_some_and(|name| name.trim() == key)
            {
                return at + 1;
            }
        }
        1
    }

    /// The value that stands for a key, or its default.
    fn get(&self, section: &str, name: &str) -> String {
        let told = self.values.iter().find(|(key, _)| (key.section, key.name) == (section, name));
        let row = KEYS.iter().find(|key| (key.section, key.name) == (section, name));
        told.map(|(_, value)| value.clone()).or(row.map(|key| key.default.to_owned())).unwrap_or_default()
    }

    fn number(&self, section: &str, name: &str) -> f64 {
        self.get(section, name).parse().unwrap_or(0.0)
    }
}

/// Puts sound values together.
fn fit(taken: &mut Taken) -> Fitting {
    let log = if taken.get("log", "format") == "json" { LogForm::Json } else { LogForm::Text };
    let admission = door(taken);
    let control = control(taken);
    Fitting { log, control, admission }
}

/// The admission controller's configuration, where it is on. Keys of it with the admission controller off are said to do nothing.
fn door(taken: &mut Taken) -> Option<AdmissionConfig> {
    let number = |name: &str| taken.number("admission", name);
    let time = |name: &str| Tenths::from_ms(number(name));
    let allowance = AdmissionConfig {
        level: number("level"),
        window: time("window_ms"),
        decrease: number("decrease"),
        increase: number("increase"),
        open_above: number("open_above"),
        burst: time("burst_ms"),
        retry_share: number("retry_share"),
        retry_floor: number("retry_floor"),
        most_callers: number("most_callers") as u32,
        shares: taken.get("admission", "shares") == "on",
    };
    if taken.get("admission", "door") != "on" {
        let others = taken.values.iter().any(|(key, _)| key.section == "admission" && key.name != "door");
        if others {
            taken.mistakes.push(Mistake::Missing { section: "admission", key: "door = on" });
        }
        return None;
    }
    if let Err(wrong) = allowance.check() {
        let line = taken.line("admission", None);
        taken.mistakes.extend(wrong.into_iter().map(|wrong| Mistake::Value {
            line,
            section: "admission".to_owned(),
            key: wrong.key.to_owned(),
            holds: wrong.holds,
            allowed: wrong.allowed.to_owned(),
        }));
    }
    Some(allowance)
}

/// Versions from control services, where there are any.
fn control(taken: &mut Taken) -> Option<Control> {
    let text = |name: &str| Some(taken.get("control", name)).filter(|text| !text.is_empty());
    let services: Vec<SocketAddr> = keys::addresses(&taken.get("control", "services")).unwrap_or_default();
    let installation = text("installation");
    if services.is_empty() {
        let others = taken.values.iter().any(|(key, _)| key.section == "control" && key.name != "services");
        if others {
            taken.mistakes.push(Mistake::Missing { section: "control", key: "services" });
        }
        return None;
    }
    let number = |name: &str| taken.number("control", name);
    let time = |name: &str| Tenths::from_ms(number(name));
    let patience = RolloutPolicy {
        initial_backoff: time("first_wait_ms"),
        max_backoff: time("longest_wait_ms"),
        max_connects: number("calls_per_minute") as usize,
        connect_window: Tenths::from_ms(60_000.0),
        connect_timeout: time("call_within_ms"),
        stable_stream_age: time("steady_ms"),
        suspect_duration: time("suspect_ms"),
        probation_duration: time("trial_ms"),
        max_probation_duration: time("longest_trial_ms"),
        min_ended_queries: number("least_retrievals") as u64,
        failure_ratio_margin: number("margin"),
    };
    let mut orders = Vec::new();
    if patience.max_backoff < patience.initial_backoff {
        orders.push(Mistake::Order { key: "longest_wait_ms", less: "first_wait_ms" });
    }
    if patience.max_probation_duration < patience.probation_duration {
        orders.push(Mistake::Order { key: "longest_trial_ms", less: "trial_ms" });
    }
    let patience = patience.spread_reconnects(number("fleet_brokers") as u32, number("fleet_calls_per_s"));
    let control = Control {
        services,
        installation: installation.clone().unwrap_or_default(),
        patience,
        document: number("document_bytes") as usize,
        count_every: Duration::from_millis(number("count_every_ms") as u64),
        status: text("status_listen").and_then(|address| address.parse().ok()),
        keep: text("keep_file").map(PathBuf::from),
    };
    taken.mistakes.extend(orders);
    if installation.is_none() {
        taken.mistakes.push(Mistake::Missing { section: "control", key: "installation" });
    }
    Some(control)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case("")]
    #[case("; nothing but a comment\n[log]\nformat = text\n")]
    fn everything_is_off_unless_switched_on(#[case] text: &str) {
        assert_eq!(read(text), Ok(Fitting::default()));
    }

    /// The file that is shipped names every key, with its default, and switches nothing on.
    #[rstest]
    fn the_shipped_file_names_every_key_and_switches_nothing_on() {
        let shipped = include_str!("../../../deploy/operator.ini");
        assert_eq!(read(shipped), Ok(Fitting::default()));
        let bare: String = shipped
            .lines()
            .map(|line| line.strip_prefix(";").filter(|rest| rest.contains(" =")).unwrap_or(line))
            .fold(String::new(), |all, line| all + line + "\n");
        for key in KEYS {
            let line = format!("{} = {}", key.name, key.default);
            assert!(bare.lines().any(|other| other.trim_end() == line.trim_end()), "`{line}` is not shipped");
        }
    }

    /// The admission controller's keys stand for its defaults: the file, the page and the decisions say the same.
    #[rstest]
    fn the_door_is_on_with_the_defaults_of_its_decisions() {
        let fitting = read("[admission]\ndoor = on\n").unwrap();
        assert_eq!(fitting.admission, Some(AdmissionConfig::default()));
        let told = read("[admission]\ndoor = on\nshares = off\nwindow_ms = 2000\n").unwrap();
        let allowance = told.admission.unwrap();
        assert_eq!((allowance.shares, allowance.window), (false, Tenths(20_000)));
    }

    #[rstest]
    #[case("[admission]\nlevel = 0.2\n", "[admission] needs `door = on`")]
    #[case("[admission]\ndoor = yes\n", "line 2: `door` of [admission] is `yes`: `off` or `on` is allowed")]
    #[case(
        "[admission]\ndoor = on\nlevel = 1\n",
        "line 3: `level` of [admission] is `1`: 0.001 to 0.999 is allowed"
    )]
    fn names_what_is_wrong_with_the_door(#[case] text: &str, #[case] said: &str) {
        assert_eq!(read(text).unwrap_err()[0].to_string(), said);
    }

    #[rstest]
    fn reads_what_is_switched_on() {
        let text = "[log]\nformat = json\n[control]\nservices = 127.0.0.1:1, [::1]:2\ninstallation = north\n\
            trial_ms = 500\nkeep_file = C:\\kept\nfleet_brokers = 5000\nfleet_calls_per_s = 100\n";
        let fitting = read(text).unwrap();
        let control = fitting.control.unwrap();
        assert_eq!((fitting.log, control.services.len()), (LogForm::Json, 2));
        assert_eq!((control.patience.probation_duration, control.document), (Tenths(5000), 1 << 20));
        assert_eq!(control.patience.initial_backoff, Tenths(500_000), "5,000 brokers at 100 a second");
        assert_eq!(control.keep, Some(PathBuf::from("C:\\kept")));
    }

    #[rstest]
    #[case("[contol]\nservices = 127.0.0.1:1\n", "line 1: [contol] is no section: [control] is the nearest")]
    #[case("[log]\n\nformat = xml\n", "line 3: `format` of [log] is `xml`: `text` or `json` is allowed")]
    #[case(
        "[control]\nservices = north\n",
        "line 2: `services` of [control] is `north`: addresses as `127.0.0.1:18000`, with commas between them is allowed"
    )]
    #[case("[control]\nservices = 127.0.0.1:1\n", "[control] needs `installation`")]
    #[case("[control]\ntrial_ms = 5\n", "[control] needs `services`")]
    #[case("[control]\ntrial_ms = 0\n", "line 2: `trial_ms` of [control] is `0`: 1 to 86400000 is allowed")]
    #[case(
        "[control]\ntrial_ms = NaN\n",
        "line 2: `trial_ms` of [control] is `NaN`: 1 to 86400000 is allowed"
    )]
    #[case(
        "[control]\nservices = 127.0.0.1:1\nservices = 127.0.0.1:2\n",
        "line 2: `services` stands twice in [control]"
    )]
    #[case(
        "[control]\nservices = 127.0.0.1:1\ninstallation = n\nlongest_trial_ms = 5\n",
        "`longest_trial_ms` of [control] must be more than `trial_ms`, or the same"
    )]
    #[case("[control\n", "line 2, column 1: expecting \"[Some(']')]\" but found EOF.")]
    fn names_what_is_wrong(#[case] text: &str, #[case] told: &str) {
        let mistakes: Vec<String> = read(text).unwrap_err().iter().map(Mistake::to_string).collect();
        assert!(mistakes.iter().any(|mistake| mistake == told), "{mistakes:#?}");
    }

    #[rstest]
    fn lists_all_mistakes_at_once() {
        assert_eq!(read("[log]\nformat = x\nfromat = y\n[what]\na = 1\n").unwrap_err().len(), 3);
    }
}
