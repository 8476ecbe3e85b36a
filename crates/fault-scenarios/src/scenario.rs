//! A scenario's text, INI: `[scenario]` and `[clients]` with the day, and a section for each trouble, named
//! as one likes.

use ini::{Ini, ParseOption};
use std::fmt;
use thiserror::Error;

/// What befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Processes die, and come back cold at the end.
    Lose,
    /// Machines take everything and answer nothing; what they had is lost, and they come back cold.
    Silence,
    /// They do the share `size` of their work.
    Crawl,
    /// They stand still for `size` ms in each `every_ms`.
    Pause,
    /// They turn everything away.
    Refuse,
    /// The share `size` of their answers are errors.
    Garble,
    /// They drain, end after `drain_s`, and come back cold at the end.
    Drain,
    /// One `size`th share after the other drains, ends after `drain_s`, and comes back cold: all within
    /// `for`.
    Release,
    /// What brokers and these hosts send each other is lost; `way` says in which direction.
    Cut,
    /// It takes `size` ms longer.
    Delay,
    /// Discovery tells everything `size` ms later.
    LateRoll,
    /// Discovery tells nothing.
    SilentRoll,
    /// `size` times as much is asked; with `tenant`, by that tenant alone.
    Storm,
    /// Of the queries the share `size` is `times` as much work.
    Heavy,
    /// Of the queries the share `size` brings down every host that begins a shard request of it.
    Killer,
    /// The share `size` of the brokers starts anew, and knows nothing.
    Forget,
    /// The share `size` of all queries goes to one broker.
    Lopsided,
}

struct Kind(&'static str, What, Needs, (f64, f64));

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Needs {
    /// Hosts, and no size.
    Hosts,
    HostsAndSize,
    Size,
    Nothing,
}

#[rustfmt::skip]
const KINDS: &[Kind] = &[
    Kind("lose",        What::Lose,       Needs::Hosts,        (0.0, 0.0)),
    Kind("silence",     What::Silence,    Needs::Hosts,        (0.0, 0.0)),
    Kind("crawl",       What::Crawl,      Needs::HostsAndSize, (0.01, 1.0)),
    Kind("pause",       What::Pause,      Needs::HostsAndSize, (1.0, 60_000.0)),
    Kind("refuse",      What::Refuse,     Needs::Hosts,        (0.0, 0.0)),
    Kind("garble",      What::Garble,     Needs::HostsAndSize, (0.0, 1.0)),
    Kind("drain",       What::Drain,      Needs::Hosts,        (0.0, 0.0)),
    Kind("release",     What::Release,    Needs::HostsAndSize, (0.01, 1.0)),
    Kind("cut",         What::Cut,        Needs::Hosts,        (0.0, 0.0)),
    Kind("delay",       What::Delay,      Needs::HostsAndSize, (0.1, 10_000.0)),
    Kind("late-roll",   What::LateRoll,   Needs::Size,         (1.0, 600_000.0)),
    Kind("silent-roll", What::SilentRoll, Needs::Nothing,      (0.0, 0.0)),
    Kind("storm",       What::Storm,      Needs::Size,         (0.1, 100.0)),
    Kind("heavy",       What::Heavy,      Needs::Size,         (0.0, 1.0)),
    Kind("killer",      What::Killer,     Needs::Size,         (0.0, 1.0)),
    Kind("forget",      What::Forget,     Needs::Size,         (0.0, 1.0)),
    Kind("lopsided",    What::Lopsided,   Needs::Size,         (0.0, 1.0)),
];

/// On which hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct On {
    pub hall: Option<u32>,
    pub cell: Option<u32>,
    pub host: Option<u32>,
    /// Of those that fit, this share, drawn by seed; one at the least.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub name: String,
    pub what: What,
    pub on: On,
    /// Seconds.
    pub at: f64,
    pub lasts: f64,
    pub size: f64,
    pub times: f64,
    pub every_ms: f64,
    pub drain_s: f64,
    /// In which direction a cut or a delay holds: to the hosts, from them.
    pub to: bool,
    pub from: bool,
    /// Whose traffic a storm is; none: everybody's.
    pub tenant: Option<u32>,
}

/// What a host does with work that is given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cancel {
    #[default]
    All,
    /// What runs goes on.
    Waiting,
    /// All goes on.
    Nothing,
}

const CANCELS: &[(&str, Cancel)] =
    &[("all", Cancel::All), ("waiting", Cancel::Waiting), ("none", Cancel::Nothing)];

/// What clients do with what they get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clients {
    /// How often one that was rejected or failed asks again.
    pub retries: u32,
    /// How long it waits before that, doubled each time, with as much again by lot.
    pub backoff_ms: f64,
    /// The share that stays away as long as it is told.
    pub honours: f64,
    /// The share that leaves before its time is up, at half of it.
    pub impatient: f64,
    /// How many tenants ask, each as much as the others.
    pub tenants: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    pub seconds: f64,
    /// Work asked for, over what hosts can do.
    pub load: f64,
    /// Milliseconds one way, within a hall and between two.
    pub near_ms: f64,
    pub far_ms: f64,
    /// So many jobs warm a host; 0: time does.
    pub warm_jobs: u32,
    /// What hosts do with work that is given up.
    pub cancel: Cancel,
    pub clients: Clients,
    pub troubles: Vec<Trouble>,
}

/// One thing wrong in a scenario's text.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Mistake {
    #[error("line {line}: {why}")]
    Syntax { line: usize, why: String },
    #[error("line {line}: `{key}` is no key of [{section}]: `{nearest}` is the nearest")]
    Key { line: usize, section: String, key: String, nearest: &'static str },
    #[error("line {line}: `{key}` stands twice in [{section}]")]
    Twice { line: usize, section: String, key: String },
    #[error("line {line}: `{key}` of [{section}] is `{holds}`: {allowed} is allowed")]
    Value { line: usize, section: String, key: String, holds: String, allowed: String },
    #[error("line {line}: [{section}] needs `{key}`")]
    Missing { line: usize, section: String, key: &'static str },
    #[error("no trouble: a section with `what` is needed")]
    NoTrouble,
}

/// A key, its least and its most, and what stands where it does not.
struct Key(&'static str, f64, f64, f64);

const DAY: f64 = 86_400.0;
const SCENARIO: &[Key] = &[
    Key("seconds", 1.0, DAY, 60.0),
    Key("load", 0.001, 100.0, 0.5),
    Key("near_ms", 0.1, 1000.0, 0.5),
    Key("far_ms", 0.1, 1000.0, 1.0),
    Key("warm_jobs", 0.0, 1e6, 0.0),
];
const CLIENTS: &[Key] = &[
    Key("retries", 0.0, 100.0, 0.0),
    Key("backoff_ms", 0.0, 60_000.0, 50.0),
    Key("honours", 0.0, 1.0, 1.0),
    Key("impatient", 0.0, 1.0, 0.0),
    Key("callers", 1.0, 1000.0, 1.0),
];
const TROUBLE: &[Key] = &[
    Key("at", 0.0, DAY, 0.0),
    Key("for", 0.0, DAY, 0.0),
    Key("size", 0.0, 600_000.0, 0.0),
    Key("times", 1.0, 1000.0, 10.0),
    Key("every_ms", 1.0, 600_000.0, 1000.0),
    Key("drain_s", 0.1, 600.0, 2.0),
    Key("hall", 0.0, 1000.0, 0.0),
    Key("cell", 0.0, 100_000.0, 0.0),
    Key("host", 0.0, 1_000_000.0, 0.0),
    Key("share", 0.0001, 1.0, 1.0),
    Key("caller", 0.0, 999.0, 0.0),
];
const WAYS: &[&str] = &["both", "to", "from"];

impl Scenario {
    /// Reads a text, or lists all that is wrong with it.
    pub fn read(name: &str, text: &str) -> Result<Scenario, Vec<Mistake>> {
        let options = ParseOption { enabled_escape: false, enabled_quote: true, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|e| vec![Mistake::Syntax { line: e.line, why: e.msg.to_string() }])?;
        let mut reading = Reading { text, mistakes: Vec::new() };
        let (mut day, mut clients, mut troubles) = (Values::default(), Values::default(), Vec::new());
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            let all: Vec<(&str, &str)> = properties.iter().collect();
            match section {
                "" if all.is_empty() => {}
                "scenario" => day = reading.values(section, &all, SCENARIO, &["about", "cancel"]),
                "clients" => clients = reading.values(section, &all, CLIENTS, &[]),
                _ => troubles.extend(reading.trouble(section, &all)),
            }
        }
        let word = day.word("cancel").unwrap_or("all".to_owned());
        let cancel = CANCELS.iter().find(|(name, _)| *name == word).map(|(_, cancel)| *cancel);
        if cancel.is_none() {
            let allowed = CANCELS.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
            reading.wrong("scenario", "cancel", word, allowed);
        }
        if troubles.is_empty() && reading.mistakes.is_empty() {
            reading.mistakes.push(Mistake::NoTrouble);
        }
        if !reading.mistakes.is_empty() {
            return Err(reading.mistakes);
        }
        let clients = Clients {
            retries: clients.number("retries", CLIENTS) as u32,
            backoff_ms: clients.number("backoff_ms", CLIENTS),
            honours: clients.number("honours", CLIENTS),
            impatient: clients.number("impatient", CLIENTS),
            tenants: clients.number("callers", CLIENTS) as u32,
        };
        let strange = troubles.iter().filter_map(|t: &Trouble| Some((t, t.tenant?)));
        for (trouble, tenant) in strange.filter(|(_, tenant)| *tenant >= clients.tenants) {
            let line = reading.line(&trouble.name, Some("caller"));
            let (section, key, holds) = (trouble.name.clone(), "caller".to_owned(), tenant.to_string());
            let allowed = format!("under {}, the number of callers", clients.tenants);
            reading.mistakes.push(Mistake::Value { line, section, key, holds, allowed });
        }
        if !reading.mistakes.is_empty() {
            return Err(reading.mistakes);
        }
        Ok(Scenario {
            name: name.to_owned(),
            about: day.word("about").unwrap_or_default(),
            seconds: day.number("seconds", SCENARIO),
            load: day.number("load", SCENARIO),
            near_ms: day.number("near_ms", SCENARIO),
            far_ms: day.number("far_ms", SCENARIO),
            warm_jobs: day.number("warm_jobs", SCENARIO) as u32,
            cancel: cancel.unwrap_or_default(),
            clients,
            troubles,
        })
    }
}

/// What a section holds, found sound.
#[derive(Default)]
struct Values {
    numbers: Vec<(&'static str, f64)>,
    words: Vec<(&'static str, String)>,
}

impl Values {
    fn told(&self, name: &str) -> Option<f64> {
        self.numbers.iter().find(|(key, _)| *key == name).map(|(_, number)| *number)
    }

    fn number(&self, name: &str, keys: &[Key]) -> f64 {
        let none = keys.iter().find(|key| key.0 == name).map_or(0.0, |key| key.3);
        self.told(name).unwrap_or(none)
    }

    fn word(&self, name: &str) -> Option<String> {
        self.words.iter().find(|(key, _)| *key == name).map(|(_, word)| word.clone())
    }
}

struct Reading<'a> {
    text: &'a str,
    mistakes: Vec<Mistake>,
}

impl Reading<'_> {
    fn values(
        &mut self,
        section: &str,
        all: &[(&str, &str)],
        keys: &'static [Key],
        words: &[&'static str],
    ) -> Values {
        let mut values = Values::default();
        let mut seen: Vec<&str> = Vec::new();
        for (name, value) in all {
            let (line, value) = (self.line(section, Some(name)), value.trim());
            let (section, key) = (section.to_owned(), (*name).to_owned());
            if seen.contains(name) {
                self.mistakes.push(Mistake::Twice { line, section, key });
                continue;
            }
            seen.push(name);
            if let Some(word) = words.iter().find(|word| *word == name) {
                values.words.push((word, value.to_owned()));
                continue;
            }
            let Some(Key(known, least, most, _)) = keys.iter().find(|key| key.0 == *name) else {
                let among = keys.iter().map(|key| key.0).chain(words.iter().copied());
                let like = |other: &&str| (strsim::jaro_winkler(name, other) * 1e6) as u64;
                let nearest = among.max_by_key(like).unwrap_or_default();
                self.mistakes.push(Mistake::Key { line, section, key, nearest });
                continue;
            };
            match value.parse::<f64>() {
                Ok(number) if (*least..=*most).contains(&number) => values.numbers.push((known, number)),
                _ => {
                    let (holds, allowed) = (value.to_owned(), format!("{least} to {most}"));
                    self.mistakes.push(Mistake::Value { line, section, key, holds, allowed });
                }
            }
        }
        values
    }

    fn trouble(&mut self, section: &str, all: &[(&str, &str)]) -> Option<Trouble> {
        let before = self.mistakes.len();
        let values = self.values(section, all, TROUBLE, &["what", "way"]);
        let Some(word) = values.word("what") else {
            let (line, section) = (self.line(section, None), section.to_owned());
            self.mistakes.push(Mistake::Missing { line, section, key: "what" });
            return None;
        };
        let Some(Kind(_, what, needs, bounds)) = KINDS.iter().find(|kind| kind.0 == word) else {
            let allowed = KINDS.iter().map(|kind| kind.0).collect::<Vec<_>>().join(", ");
            self.wrong(section, "what", word, allowed);
            return None;
        };
        let way = values.word("way").unwrap_or("both".to_owned());
        if !WAYS.contains(&&way[..]) {
            self.wrong(section, "way", way.clone(), WAYS.join(", "));
        }
        let (hosts, sized) = match needs {
            Needs::Hosts => (true, false),
            Needs::HostsAndSize => (true, true),
            Needs::Size => (false, true),
            Needs::Nothing => (false, false),
        };
        let mut needed = vec!["at"];
        needed.extend((*what != What::Forget).then_some("for"));
        needed.extend(sized.then_some("size"));
        for key in needed {
            if values.told(key).is_none() && !all.iter().any(|(name, _)| *name == key) {
                let (line, section) = (self.line(section, None), section.to_owned());
                self.mistakes.push(Mistake::Missing { line, section, key });
            }
        }
        if let Some(number) = values.told("caller").filter(|_| *what != What::Storm) {
            self.wrong(section, "caller", number.to_string(), format!("nothing with `{word}`"));
        }
        for key in ["hall", "cell", "host", "share"] {
            if let Some(number) = values.told(key).filter(|_| !hosts) {
                self.wrong(section, key, number.to_string(), format!("nothing with `{word}`"));
            }
        }
        if let Some(size) = values.told("size") {
            if !sized {
                self.wrong(section, "size", size.to_string(), format!("nothing with `{word}`"));
            } else if !(bounds.0..=bounds.1).contains(&size) {
                self.wrong(
                    section,
                    "size",
                    size.to_string(),
                    format!("{} to {} with `{word}`", bounds.0, bounds.1),
                );
            }
        }
        let place = |key: &str| values.told(key).map(|number| number as u32);
        let number = |key: &str| values.number(key, TROUBLE);
        (self.mistakes.len() == before).then(|| Trouble {
            name: section.to_owned(),
            what: *what,
            on: On { hall: place("hall"), cell: place("cell"), host: place("host"), share: number("share") },
            at: number("at"),
            lasts: number("for"),
            size: number("size"),
            times: number("times"),
            every_ms: number("every_ms"),
            drain_s: number("drain_s"),
            to: way != "from",
            from: way != "to",
            tenant: place("caller"),
        })
    }

    fn wrong(&mut self, section: &str, key: &str, holds: String, allowed: String) {
        let line = self.line(section, Some(key));
        let (section, key) = (section.to_owned(), key.to_owned());
        self.mistakes.push(Mistake::Value { line, section, key, holds, allowed });
    }

    /// The line that a section, or a key in it, stands on: the parser does not tell.
    fn line(&self, section: &str, key: Option<&str>) -> usize {
        let mut within = false;
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
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(KINDS.iter().find(|kind| kind.1 == *self).map_or("", |kind| kind.0))
    }
}
