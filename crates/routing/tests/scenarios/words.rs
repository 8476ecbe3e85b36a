//! The parser of the words of a statement.

use routing::TimeSpan;

/// The words of a statement, split at whitespace.
pub type Words<'a> = Vec<&'a str>;

/// The keys that each statement accepts, as `key=value`.
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

/// Panics on an unknown key. Otherwise a misspelt key would leave its default in effect, and the scenario
/// would test something else.
pub fn check_keys(words: &Words) {
    let known = KEYS.iter().find(|(statement, _)| *statement == words[0]).map_or(&[][..], |(_, keys)| keys);
    for (key, _) in words[1..].iter().filter_map(|word| word.split_once('=')) {
        assert!(known.contains(&key), "statement `{}` has no key `{key}`", words[0]);
    }
}

/// Returns the value of `key=` in a statement, or `default` if the key is absent.
pub fn value<T: std::str::FromStr>(words: &Words, key: &str, default: T) -> T {
    let found = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    found.map_or(default, |text| {
        text.parse().unwrap_or_else(|_| panic!("invalid value `{text}` for key `{key}`"))
    })
}

/// Returns the duration in milliseconds given by `key=`, or `default` milliseconds if the key is absent.
pub fn span(words: &Words, key: &str, default: f64) -> TimeSpan {
    TimeSpan::from_ms(value(words, key, default))
}

/// Returns the id that encodes a name of at most eight letters.
pub fn id(name: &str) -> u64 {
    name.bytes().fold(0, |id, byte| id << 8 | u64::from(byte))
}

/// Returns the name that an id encodes.
pub fn name(id: u64) -> String {
    let bytes: Vec<u8> = id.to_be_bytes().into_iter().filter(|byte| *byte != 0).collect();
    String::from_utf8(bytes).unwrap()
}
