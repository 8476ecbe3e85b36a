//! The built-in scenarios and the lookup by name.

/// A built-in scenario.
#[derive(Clone, Copy, Debug)]
pub struct LibraryScenario {
    /// The name by which users select the scenario.
    pub name: &'static str,
    /// The contents of the scenario's INI file.
    pub text: &'static str,
}

macro_rules! library {
    ($($name:literal,)*) => {
        /// All built-in scenarios, sorted by name.
        pub const LIBRARY: &[LibraryScenario] = &[$(LibraryScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".ini")),
        },)*];
    };
}

library![
    "broker-restart-during-zone-outage",
    "cold-restart",
    "discovery-outage-during-drain",
    "distant-zone",
    "drain-while-warming-up",
    "fast-errors",
    "fast-rejections",
    "gray-failure-distant-zone",
    "gray-failure-few-nodes",
    "gray-failure-third-of-nodes",
    "gray-failure-zone",
    "heavy-tail",
    "metastable-overload",
    "noisy-neighbor",
    "one-way-partition",
    "pauses-past-the-deadline",
    "query-of-death",
    "retry-storm",
    "retry-storm-on-warming-nodes",
    "rolling-restart",
    "rolling-restart-too-fast",
    "second-zone-outage",
    "short-pauses",
    "skewed-traffic-zone-outage",
    "stale-endpoint-list",
    "warm-up-by-requests",
    "work-not-cancelled",
    "zone-hangs",
    "zone-outage-at-peak-load",
    "zone-partition",
];

/// A name that a built-in scenario had in an earlier version.
struct FormerName {
    former: &'static str,
    name: &'static str,
}

/// Former names, which are still accepted because users' scripts contain them.
#[rustfmt::skip]
const FORMER_NAMES: &[FormerName] = &[
    FormerName { former: "brokers-start-anew", name: "broker-restart-during-zone-outage" },
    FormerName { former: "cold-return", name: "cold-restart" },
    FormerName { former: "cut-off-hall", name: "zone-partition" },
    FormerName { former: "cut-one-way", name: "one-way-partition" },
    FormerName { former: "drained-while-cold", name: "drain-while-warming-up" },
    FormerName { former: "far-gray-hall", name: "gray-failure-distant-zone" },
    FormerName { former: "far-hall", name: "distant-zone" },
    FormerName { former: "gray-hall", name: "gray-failure-zone" },
    FormerName { former: "gray-hosts", name: "gray-failure-few-nodes" },
    FormerName { former: "gray-third-at-the-rush", name: "gray-failure-third-of-nodes" },
    FormerName { former: "hall-falls-silent", name: "zone-hangs" },
    FormerName { former: "hall-lost-at-the-rush", name: "zone-outage-at-peak-load" },
    FormerName { former: "killer-query", name: "query-of-death" },
    FormerName { former: "one-busy-broker", name: "skewed-traffic-zone-outage" },
    FormerName { former: "one-caller-storms", name: "noisy-neighbor" },
    FormerName { former: "overload-by-retries", name: "retry-storm" },
    FormerName { former: "pauses-past-the-cut-off", name: "pauses-past-the-deadline" },
    FormerName { former: "quick-errors", name: "fast-errors" },
    FormerName { former: "refusals", name: "fast-rejections" },
    FormerName { former: "release-in-waves", name: "rolling-restart" },
    FormerName { former: "release-too-fast", name: "rolling-restart-too-fast" },
    FormerName { former: "retries-and-cold-hosts", name: "retry-storm-on-warming-nodes" },
    FormerName { former: "retries-keep-it-going", name: "metastable-overload" },
    FormerName { former: "returns-while-another-falls", name: "second-zone-outage" },
    FormerName { former: "roll-is-late", name: "stale-endpoint-list" },
    FormerName { former: "roll-silent-during-a-drain", name: "discovery-outage-during-drain" },
    FormerName { former: "warmed-by-requests", name: "warm-up-by-requests" },
    FormerName { former: "work-goes-on", name: "work-not-cancelled" },
];

/// Returns the built-in scenario with this current or former name, or `None` if there is none.
pub fn find_in_library(name: &str) -> Option<&'static LibraryScenario> {
    let renamed = FORMER_NAMES.iter().find(|entry| entry.former == name);
    let name = renamed.map_or(name, |entry| entry.name);
    LIBRARY.iter().find(|scenario| scenario.name == name)
}
