//! The scenarios that come with the product. What each is about stands in its text.

macro_rules! library {
    ($($name:literal,)*) => {
        /// Names and texts.
        pub const LIBRARY: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".ini"))),)*];
    };
}

library![
    "brokers-start-anew",
    "cold-return",
    "cut-off-hall",
    "cut-one-way",
    "drained-while-cold",
    "far-gray-hall",
    "far-hall",
    "gray-hall",
    "gray-hosts",
    "gray-third-at-the-rush",
    "hall-falls-silent",
    "hall-lost-at-the-rush",
    "heavy-tail",
    "killer-query",
    "one-busy-broker",
    "one-caller-storms",
    "overload-by-retries",
    "pauses-past-the-cut-off",
    "quick-errors",
    "refusals",
    "release-in-waves",
    "release-too-fast",
    "retries-and-cold-hosts",
    "retries-keep-it-going",
    "returns-while-another-falls",
    "roll-is-late",
    "roll-silent-during-a-drain",
    "short-pauses",
    "warmed-by-requests",
    "work-goes-on",
];

/// The text of this name.
pub fn find(name: &str) -> Option<&'static str> {
    LIBRARY.iter().find(|(other, _)| *other == name).map(|(_, text)| *text)
}
