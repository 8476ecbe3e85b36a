//! The words of a statement.

use routing::TimeSpan;

/// A statement, split at spaces.
pub type Words<'a> = Vec<&'a str>;

/// The keys that each statement takes, as `key=value`.
const KEYS: &[(&str, &[&str])] = &[
    (
        "class",
        &[
            "objective",
            "deadline",
            "stretch",
            "priority",
            "min-coverage",
            "complete-coverage",
            "late-share",
            "second-phase",
            "idempotency",
            "dedup-window",
        ],
    ),
    ("tenant", &["id"]),
    ("layout", &["groups", "replica-groups", "shards", "max-batch"]),
    ("limits", &["attempts", "open"]),
    (
        "rules",
        &[
            "initial-capacity",
            "warm-up",
            "overload-factor",
            "overload-window",
            "list-max-age",
            "late-failure",
        ],
    ),
    ("retry-budget", &["floor", "ratio", "window"]),
    ("query", &["tenant", "time-left", "work", "client-attempt"]),
];

/// A misspelt key would leave its default in force and the scenario would test something else: it fails here.
pub fn check_keys(words: &Words) {
    let known = KEYS.iter().find(|(statement, _)| *statement == words[0]).map_or(&[][..], |(_, keys)| keys);
    for (key, _) in words[1..].iter().filter_map(|word| word.split_once('=')) {
        assert!(known.contains(&key), "`{}` has no key `{key}`", words[0]);
    }
}

/// The value behind `key=` in a line, or what stands for none.
pub fn value<T: std::str::FromStr>(words: &Words, key: &str, none: T) -> T {
    let found = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    found.map_or(none, |text| text.parse().unwrap_or_else(|_| panic!("{key}={text}")))
}

/// A span of milliseconds behind `key=`.
pub fn span(words: &Words, key: &str, none: f64) -> TimeSpan {
    TimeSpan::from_ms(value(words, key, none))
}

/// The id that a name of at most eight letters stands for.
pub fn id(name: &str) -> u64 {
    name.bytes().fold(0, |id, byte| id << 8 | u64::from(byte))
}

/// The name that an id stands for.
pub fn name(id: u64) -> String {
    let bytes: Vec<u8> = id.to_be_bytes().into_iter().filter(|byte| *byte != 0).collect();
    String::from_utf8(bytes).unwrap()
}
