//! Parses scenario files in INI format. `[scenario]` and `[clients]` describe the run; every other section
//! describes one fault and may have any name. Some keys predate the terms used in the code (`hall` is a zone,
//! `cell` a placement group, `host` a node, `caller` a tenant). They are kept because users have stored
//! scenarios with them. Only this file and the table of fault kinds in `fault.rs` map them to those terms.

use crate::fault::{Direction, FAULT_KINDS, Fault, FaultKind, FaultKindSpec, FaultTarget};
use crate::scenario::{CancelBehavior, ClientBehavior, Scenario};
use crate::scenario_error::ScenarioError;
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;

/// A key with a numeric value, its allowed range and its default.
struct NumberKey {
    name: &'static str,
    minimum: f64,
    maximum: f64,
    default: f64,
}

const fn number_key(name: &'static str, minimum: f64, maximum: f64, default: f64) -> NumberKey {
    NumberKey { name, minimum, maximum, default }
}

const MAX_DURATION_S: f64 = 86_400.0;
const SCENARIO_NUMBERS: &[NumberKey] = &[
    number_key("seconds", 1.0, MAX_DURATION_S, 60.0),
    number_key("load", 0.001, 100.0, 0.5),
    number_key("near_ms", 0.1, 1000.0, 0.5),
    number_key("far_ms", 0.1, 1000.0, 1.0),
    number_key("warm_jobs", 0.0, 1e6, 0.0),
];
const CLIENT_NUMBERS: &[NumberKey] = &[
    number_key("retries", 0.0, 100.0, 0.0),
    number_key("backoff_ms", 0.0, 60_000.0, 50.0),
    number_key("honours", 0.0, 1.0, 1.0),
    number_key("impatient", 0.0, 1.0, 0.0),
    number_key("callers", 1.0, 1000.0, 1.0),
];
const FAULT_NUMBERS: &[NumberKey] = &[
    number_key("at", 0.0, MAX_DURATION_S, 0.0),
    number_key("for", 0.0, MAX_DURATION_S, 0.0),
    number_key("size", 0.0, 600_000.0, 0.0),
    number_key("times", 1.0, 1000.0, 10.0),
    number_key("every_ms", 1.0, 600_000.0, 1000.0),
    number_key("drain_s", 0.1, 600.0, 2.0),
    number_key("hall", 0.0, 1000.0, 0.0),
    number_key("cell", 0.0, 100_000.0, 0.0),
    number_key("host", 0.0, 1_000_000.0, 0.0),
    number_key("share", 0.0001, 1.0, 1.0),
    number_key("caller", 0.0, 999.0, 0.0),
];
/// The keys that select nodes. They apply only to fault kinds that target nodes.
const TARGET_KEYS: &[&str] = &["hall", "cell", "host", "share"];

/// A keyword that is allowed as a value, and its meaning.
struct Keyword<T> {
    text: &'static str,
    value: T,
}

const CANCEL_KEYWORDS: &[Keyword<CancelBehavior>] = &[
    Keyword { text: "all", value: CancelBehavior::DropAll },
    Keyword { text: "waiting", value: CancelBehavior::DropQueued },
    Keyword { text: "none", value: CancelBehavior::DropNone },
];
const DIRECTION_KEYWORDS: &[Keyword<Direction>] = &[
    Keyword { text: "both", value: Direction::Both },
    Keyword { text: "to", value: Direction::ToNode },
    Keyword { text: "from", value: Direction::FromNode },
];

fn list_keywords<T>(keywords: &[Keyword<T>]) -> String {
    keywords.iter().map(|keyword| keyword.text).collect::<Vec<_>>().join(", ")
}

impl Scenario {
    /// Parses the contents of a scenario file. `name` is the scenario's name or path.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the file instead of only the first. An INI syntax error is reported alone, and
    /// tenants are checked only when there is no other error.
    pub fn parse(name: &str, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
        let options = ParseOption { enabled_escape: false, enabled_quote: true, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|e| vec![ScenarioError::Syntax { line: e.line, reason: e.msg.to_string() }])?;
        let mut parser = Parser { text, errors: Vec::new() };
        let sections = parser.read_sections(&ini);
        let cancel = parser.cancel_behavior(&sections.scenario);
        if sections.faults.is_empty() && parser.errors.is_empty() {
            parser.errors.push(ScenarioError::NoFaults);
        }
        if !parser.errors.is_empty() {
            return Err(parser.errors);
        }
        let clients = client_behavior(&sections.clients);
        parser.check_tenants(&sections.faults, clients.tenants);
        if !parser.errors.is_empty() {
            return Err(parser.errors);
        }
        let scenario = sections.scenario;
        Ok(Scenario {
            name: name.to_owned(),
            description: scenario.text("about").unwrap_or_default(),
            duration_s: scenario.number("seconds"),
            load: scenario.number("load"),
            intra_zone_latency_ms: scenario.number("near_ms"),
            inter_zone_latency_ms: scenario.number("far_ms"),
            warm_up_jobs: scenario.number("warm_jobs") as u32,
            cancel,
            clients,
            faults: sections.faults,
        })
    }
}

fn client_behavior(values: &SectionValues) -> ClientBehavior {
    ClientBehavior {
        retries: values.number("retries") as u32,
        backoff_ms: values.number("backoff_ms"),
        retry_after_share: values.number("honours"),
        impatient_share: values.number("impatient"),
        tenants: values.number("callers") as u32,
    }
}

/// The parsed sections of a scenario file.
struct Sections {
    scenario: SectionValues,
    clients: SectionValues,
    faults: Vec<Fault>,
}

/// The valid values of a section, by key.
struct SectionValues {
    number_keys: &'static [NumberKey],
    numbers: BTreeMap<&'static str, f64>,
    texts: BTreeMap<&'static str, String>,
}

impl SectionValues {
    fn empty(number_keys: &'static [NumberKey]) -> SectionValues {
        SectionValues { number_keys, numbers: BTreeMap::new(), texts: BTreeMap::new() }
    }

    fn explicit_number(&self, name: &str) -> Option<f64> {
        self.numbers.get(name).copied()
    }

    /// Returns the number in the section, or the default of the key.
    fn number(&self, name: &str) -> f64 {
        let key = self.number_keys.iter().find(|key| key.name == name);
        self.explicit_number(name).unwrap_or(key.map_or(0.0, |key| key.default))
    }

    fn index(&self, name: &str) -> Option<u32> {
        self.explicit_number(name).map(|number| number as u32)
    }

    fn text(&self, name: &str) -> Option<String> {
        self.texts.get(name).cloned()
    }
}

/// The keys and values of a section, in the order of the file.
type Properties<'a> = [(&'a str, &'a str)];

struct Parser<'a> {
    text: &'a str,
    errors: Vec<ScenarioError>,
}

impl Parser<'_> {
    fn read_sections(&mut self, ini: &Ini) -> Sections {
        let mut scenario = SectionValues::empty(SCENARIO_NUMBERS);
        let mut clients = SectionValues::empty(CLIENT_NUMBERS);
        let mut faults = Vec::new();
        for (section, properties) in ini {
            let properties: Vec<(&str, &str)> = properties.iter().collect();
            match section.unwrap_or_default() {
                "" if properties.is_empty() => {}
                "scenario" => {
                    let text_keys = &["about", "cancel"];
                    scenario = self.read_values("scenario", &properties, SCENARIO_NUMBERS, text_keys);
                }
                "clients" => clients = self.read_values("clients", &properties, CLIENT_NUMBERS, &[]),
                section => faults.extend(self.read_fault(section, &properties)),
            }
        }
        Sections { scenario, clients, faults }
    }

    fn read_values(
        &mut self,
        section: &str,
        properties: &Properties,
        number_keys: &'static [NumberKey],
        text_keys: &[&'static str],
    ) -> SectionValues {
        let mut values = SectionValues::empty(number_keys);
        let mut seen: Vec<&str> = Vec::new();
        for (name, value) in properties {
            if seen.contains(name) {
                let line = self.line_of(section, Some(name));
                let (section, key) = (section.to_owned(), (*name).to_owned());
                self.errors.push(ScenarioError::DuplicateKey { line, section, key });
                continue;
            }
            seen.push(name);
            if let Some(key) = text_keys.iter().find(|key| *key == name) {
                values.texts.insert(key, value.trim().to_owned());
            } else if let Some(key) = number_keys.iter().find(|key| key.name == *name) {
                if let Some(number) = self.read_number(section, key, value.trim()) {
                    values.numbers.insert(key.name, number);
                }
            } else {
                self.report_unknown_key(section, name, number_keys, text_keys);
            }
        }
        values
    }

    fn read_number(&mut self, section: &str, key: &NumberKey, value: &str) -> Option<f64> {
        let number = value.parse::<f64>().ok();
        let number = number.filter(|number| (key.minimum..=key.maximum).contains(number));
        if number.is_none() {
            let allowed = format!("{} to {}", key.minimum, key.maximum);
            self.report_invalid_value(section, key.name, value.to_owned(), allowed);
        }
        number
    }

    fn cancel_behavior(&mut self, scenario: &SectionValues) -> CancelBehavior {
        let Some(text) = scenario.text("cancel") else { return CancelBehavior::default() };
        let keyword = CANCEL_KEYWORDS.iter().find(|keyword| keyword.text == text);
        if keyword.is_none() {
            self.report_invalid_value("scenario", "cancel", text, list_keywords(CANCEL_KEYWORDS));
        }
        keyword.map(|keyword| keyword.value).unwrap_or_default()
    }

    /// Parses the section of a fault. Returns `None` if it contains an error.
    fn read_fault(&mut self, section: &str, properties: &Properties) -> Option<Fault> {
        let earlier_errors = self.errors.len();
        let values = self.read_values(section, properties, FAULT_NUMBERS, &["what", "way"]);
        let spec = self.fault_kind(section, &values)?;
        let direction = self.direction(section, &values);
        self.check_required_keys(section, spec, properties);
        self.check_target(section, spec, &values);
        self.check_size(section, spec, &values);
        (self.errors.len() == earlier_errors).then(|| Fault {
            name: section.to_owned(),
            kind: spec.kind,
            target: FaultTarget {
                zone: values.index("hall"),
                placement_group: values.index("cell"),
                node: values.index("host"),
                share: values.number("share"),
            },
            start_s: values.number("at"),
            duration_s: values.number("for"),
            magnitude: values.number("size"),
            work_factor: values.number("times"),
            pause_interval_ms: values.number("every_ms"),
            drain_s: values.number("drain_s"),
            direction,
            tenant: values.index("caller"),
        })
    }

    fn fault_kind(&mut self, section: &str, values: &SectionValues) -> Option<&'static FaultKindSpec> {
        let Some(name) = values.text("what") else {
            self.report_missing_key(section, "what");
            return None;
        };
        let spec = FAULT_KINDS.iter().find(|spec| spec.name == name);
        if spec.is_none() {
            let allowed = FAULT_KINDS.iter().map(|spec| spec.name).collect::<Vec<_>>().join(", ");
            self.report_invalid_value(section, "what", name, allowed);
        }
        spec
    }

    fn direction(&mut self, section: &str, values: &SectionValues) -> Direction {
        let Some(text) = values.text("way") else { return Direction::default() };
        let keyword = DIRECTION_KEYWORDS.iter().find(|keyword| keyword.text == text);
        if keyword.is_none() {
            self.report_invalid_value(section, "way", text, list_keywords(DIRECTION_KEYWORDS));
        }
        keyword.map(|keyword| keyword.value).unwrap_or_default()
    }

    /// Reports required keys that are absent. A key with an invalid value is not reported as missing, because it
    /// has its own error.
    fn check_required_keys(&mut self, section: &str, spec: &FaultKindSpec, properties: &Properties) {
        let mut required = vec!["at"];
        required.extend((spec.kind != FaultKind::BrokerRestart).then_some("for"));
        required.extend(spec.size_range.is_some().then_some("size"));
        for key in required {
            if !properties.iter().any(|(name, _)| *name == key) {
                self.report_missing_key(section, key);
            }
        }
    }

    fn check_target(&mut self, section: &str, spec: &FaultKindSpec, values: &SectionValues) {
        if spec.kind != FaultKind::TrafficSurge {
            self.report_inapplicable_key(section, "caller", spec, values);
        }
        if !spec.targets_nodes {
            for key in TARGET_KEYS {
                self.report_inapplicable_key(section, key, spec, values);
            }
        }
    }

    fn check_size(&mut self, section: &str, spec: &FaultKindSpec, values: &SectionValues) {
        let Some(range) = &spec.size_range else {
            self.report_inapplicable_key(section, "size", spec, values);
            return;
        };
        if let Some(size) = values.explicit_number("size").filter(|size| !range.contains(size)) {
            let allowed = format!("{} to {} with `{}`", range.start(), range.end(), spec.name);
            self.report_invalid_value(section, "size", size.to_string(), allowed);
        }
    }

    /// Reports traffic surges of a tenant that does not exist in the scenario.
    fn check_tenants(&mut self, faults: &[Fault], tenants: u32) {
        for fault in faults {
            if let Some(tenant) = fault.tenant.filter(|tenant| *tenant >= tenants) {
                let allowed = format!("less than {tenants}, the number of tenants (`callers`)");
                self.report_invalid_value(&fault.name, "caller", tenant.to_string(), allowed);
            }
        }
    }

    /// Reports `key` if the section contains it although it does not apply to this kind of fault.
    fn report_inapplicable_key(
        &mut self,
        section: &str,
        key: &str,
        spec: &FaultKindSpec,
        values: &SectionValues,
    ) {
        if values.explicit_number(key).is_some() {
            let line = self.line_of(section, Some(key));
            let (section, key, kind) = (section.to_owned(), key.to_owned(), spec.kind);
            self.errors.push(ScenarioError::InapplicableKey { line, section, key, kind });
        }
    }

    fn report_invalid_value(&mut self, section: &str, key: &str, value: String, allowed: String) {
        let line = self.line_of(section, Some(key));
        let (section, key) = (section.to_owned(), key.to_owned());
        self.errors.push(ScenarioError::InvalidValue { line, section, key, value, allowed });
    }

    fn report_unknown_key(
        &mut self,
        section: &str,
        name: &str,
        number_keys: &[NumberKey],
        text_keys: &[&'static str],
    ) {
        let line = self.line_of(section, Some(name));
        let similarity = |other: &&str| (strsim::jaro_winkler(name, other) * 1e6) as u64;
        let allowed = number_keys.iter().map(|key| key.name).chain(text_keys.iter().copied());
        let nearest = allowed.max_by_key(similarity).unwrap_or_default();
        let (section, key) = (section.to_owned(), name.to_owned());
        self.errors.push(ScenarioError::UnknownKey { line, section, key, nearest });
    }

    fn report_missing_key(&mut self, section: &str, key: &'static str) {
        let line = self.line_of(section, None);
        self.errors.push(ScenarioError::MissingKey { line, section: section.to_owned(), key });
    }

    /// Returns the line of a section or of a key in it, counted from 1. The INI parser does not keep line numbers,
    /// so this searches the text. Falls back to 1.
    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let mut is_in_section = false;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                is_in_section = name.trim() == section;
                if is_in_section && key.is_none() {
                    return index + 1;
                }
            } else if let Some(key) = key.filter(|_| is_in_section)
                && line.split(['=', ':']).next().is_some_and(|name| name.trim() == key)
            {
                return index + 1;
            }
        }
        1
    }
}
