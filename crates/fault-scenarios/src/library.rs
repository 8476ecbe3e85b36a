//! The scenarios that come with the product. Each text says what it is about.

/// A scenario that comes with the product.
#[derive(Clone, Copy, Debug)]
pub struct LibraryScenario {
    /// The name by which it is asked for.
    pub name: &'static str,
    /// Its INI text.
    pub text: &'static str,
}

macro_rules! library {
    ($($name:literal,)*) => {
        /// All scenarios that come with the product, by name.
        pub const LIBRARY: &[LibraryScenario] = &[$(LibraryScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".ini")),
        },)*];
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

/// The scenario of this name.
pub fn find_in_library(name: &str) -> Option<&'static LibraryScenario> {
    LIBRARY.iter().find(|scenario| scenario.name == name)
}
