//! Tests of scenario parsing, schedules, and the combination of overlapping faults.

use fault_scenarios::{
    ActiveFaults, ClusterSize, FaultAction, LIBRARY, LibraryScenario, NodeCondition, NodeTransition,
    PauseCycle, Scenario, find_in_library,
};
use proptest::prelude::*;
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const CLUSTER: ClusterSize = ClusterSize { nodes: 60, zones: 3, placement_groups: 12, brokers: 9 };

#[rstest]
fn library_scenarios_are_valid() {
    assert!(LIBRARY.len() >= 20);
    for LibraryScenario { name, text } in LIBRARY {
        let scenario = Scenario::parse(name, text).unwrap_or_else(|errors| panic!("{name}: {errors:?}"));
        assert!(scenario.description.len() > 20, "{name}");
        for cluster in [ClusterSize { nodes: 6, zones: 3, placement_groups: 3, brokers: 1 }, CLUSTER] {
            let schedule = scenario.schedule(&cluster, 1);
            assert!(!schedule.is_empty() && schedule == scenario.schedule(&cluster, 1), "{name}");
            assert!(schedule.windows(2).all(|pair| pair[0].at <= pair[1].at), "{name}");
        }
    }
}

/// Users' scripts select scenarios by name, so each former name must still resolve to the renamed scenario.
#[rstest]
#[case("brokers-start-anew", "broker-restart-during-zone-outage")]
#[case("cold-return", "cold-restart")]
#[case("cut-off-hall", "zone-partition")]
#[case("cut-one-way", "one-way-partition")]
#[case("drained-while-cold", "drain-while-warming-up")]
#[case("far-gray-hall", "gray-failure-distant-zone")]
#[case("far-hall", "distant-zone")]
#[case("gray-hall", "gray-failure-zone")]
#[case("gray-hosts", "gray-failure-few-nodes")]
#[case("gray-third-at-the-rush", "gray-failure-third-of-nodes")]
#[case("hall-falls-silent", "zone-hangs")]
#[case("hall-lost-at-the-rush", "zone-outage-at-peak-load")]
#[case("killer-query", "query-of-death")]
#[case("one-busy-broker", "skewed-traffic-zone-outage")]
#[case("one-caller-storms", "noisy-neighbor")]
#[case("overload-by-retries", "retry-storm")]
#[case("pauses-past-the-cut-off", "pauses-past-the-deadline")]
#[case("quick-errors", "fast-errors")]
#[case("refusals", "fast-rejections")]
#[case("release-in-waves", "rolling-restart")]
#[case("release-too-fast", "rolling-restart-too-fast")]
#[case("retries-and-cold-hosts", "retry-storm-on-warming-nodes")]
#[case("retries-keep-it-going", "metastable-overload")]
#[case("returns-while-another-falls", "second-zone-outage")]
#[case("roll-is-late", "stale-endpoint-list")]
#[case("roll-silent-during-a-drain", "discovery-outage-during-drain")]
#[case("warmed-by-requests", "warm-up-by-requests")]
#[case("work-goes-on", "work-not-cancelled")]
fn former_names_resolve_to_the_renamed_scenario(#[case] former: &str, #[case] name: &str) {
    let (by_former, by_name) = (find_in_library(former).unwrap(), find_in_library(name).unwrap());
    assert_eq!((by_former.name, by_former.text), (by_name.name, by_name.text));
    assert!(LIBRARY.iter().all(|scenario| scenario.name != former), "`{former}` is also a current name");
}

/// Each error names its line, its key and the allowed values.
#[rstest]
#[case("[scenario]\nload = 0.5\n", "no fault: a section with `what` is needed")]
#[case("[n]\nat = 1\nfor = 2\n", "line 1: [n] needs `what`")]
#[case("[n]\nwhat = lose\nat = 1\n", "line 1: [n] needs `for`")]
#[case("[n]\nwhat = crawl\nat = 1\nfor = 1\n", "line 1: [n] needs `size`")]
#[case(
    "[n]\nwhat = crawl\nat = 1\nfor = 1\nsize = 3\n",
    "line 5: `size` of [n] is `3`; allowed: 0.01 to 1 with `crawl`"
)]
#[case(
    "[n]\nwhat = storm\nat = 1\nfor = 1\nsize = 3\nhall = 1\n",
    "line 6: `hall` of [n] does not apply to `storm`"
)]
#[case("\n[n]\nwhat = loose\nat = 1\nfor = 1\n", "line 3: `what` of [n] is `loose`; allowed: lose, silence")]
#[case("[n]\nwhat = lose\nat = one\nfor = 1\n", "line 3: `at` of [n] is `one`; allowed: 0 to 86400")]
#[case(
    "[n]\nwhat = lose\nat = 1\nfor = 1\nhal = 0\n",
    "line 5: unknown key `hal` in [n]; did you mean `hall`?"
)]
#[case("[n]\nwhat = lose\nat = 1\nat = 1\nfor = 1\n", "line 3: `at` is given twice in [n]")]
#[case(
    "[scenario]\nload = NaN\n[n]\nwhat = lose\nat = 1\nfor = 1\n",
    "line 2: `load` of [scenario] is `NaN`; allowed: "
)]
#[case(
    "[n]\nwhat = cut\nat = 1\nfor = 1\nway = up\n",
    "line 5: `way` of [n] is `up`; allowed: both, to, from"
)]
#[case(
    "[scenario]\ncancel = some\n[n]\nwhat = lose\nat = 1\nfor = 1\n",
    "line 2: `cancel` of [scenario] is `some`; allowed: all"
)]
#[case("[n\nwhat = lose\n", "line ")]
fn reports_each_error(#[case] text: &str, #[case] expected: &str) {
    let errors = Scenario::parse("x", text).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().starts_with(expected)), "{errors:?}");
}

#[rstest]
fn picks_nodes_by_zone_and_share() {
    let text = "[n]\nwhat = lose\nat = 1\nfor = 2\nhall = 1\nshare = 0.5\n";
    let schedule = Scenario::parse("x", text).unwrap().schedule(&CLUSTER, 7);
    let lost: Vec<u32> = schedule
        .iter()
        .filter_map(|scheduled| match scheduled.action {
            FaultAction::Outage { node, begins: true } => Some(node),
            _ => None,
        })
        .collect();
    assert_eq!(lost.len(), 10);
    assert!(lost.iter().all(|node| CLUSTER.zone_of(*node) == 1));
    assert_ne!(
        Scenario::parse("x", text).unwrap().schedule(&CLUSTER, 8),
        schedule,
        "another seed must select other nodes"
    );
}

/// A rolling restart restarts all nodes in groups, and no group starts before the previous one has restarted.
#[rstest]
fn rolling_restart_takes_one_group_at_a_time() {
    let text = "[r]\nwhat = release\nat = 10\nfor = 40\nsize = 0.25\n";
    let schedule = Scenario::parse("x", text).unwrap().schedule(&CLUSTER, 1);
    let mut unavailable: i32 = 0;
    let mut most_unavailable = 0;
    for scheduled in &schedule {
        unavailable += match scheduled.action {
            FaultAction::BeginDrain { .. } => 1,
            FaultAction::Outage { begins: false, .. } => -1,
            _ => 0,
        };
        most_unavailable = most_unavailable.max(unavailable);
    }
    let drains = schedule
        .iter()
        .filter(|scheduled| matches!(scheduled.action, FaultAction::BeginDrain { .. }))
        .count();
    assert_eq!((drains, unavailable), (60, 0));
    assert!(
        most_unavailable <= 30,
        "at most two groups may be unavailable, when one ends as the next begins: {most_unavailable} nodes"
    );
    assert!(schedule.iter().all(|scheduled| scheduled.at <= Timestamp(500_000)));
}

/// The steps are: `d` begins an outage, `u` ends an outage or a drain, `D` begins a drain, `X` finishes it. The
/// cases list the steps, the final condition and the transition of each step.
#[rstest]
#[case("d u", NodeCondition::Ready, "dies starts")]
#[case("d d u", NodeCondition::Down, "dies - -")]
#[case("d d u u", NodeCondition::Ready, "dies - - starts")]
#[case("D X u", NodeCondition::Ready, "drains dies starts")]
#[case("D d X u u", NodeCondition::Ready, "drains dies - - starts")]
#[case("d D u X u", NodeCondition::Ready, "dies - - - starts")]
#[case("D", NodeCondition::Draining, "drains")]
fn combines_overlapping_outages_and_drains(
    #[case] steps: &str,
    #[case] condition: NodeCondition,
    #[case] expected: &str,
) {
    let mut faults = ActiveFaults::default();
    let transitions: Vec<&str> = steps
        .split(' ')
        .map(|step| match step {
            "d" => faults.begin_outage(),
            "u" => faults.end_outage(),
            "D" => faults.begin_drain(),
            _ => faults.finish_drain(),
        })
        .map(|transition| match transition {
            NodeTransition::Unchanged => "-",
            NodeTransition::Stops => "dies",
            NodeTransition::Drains => "drains",
            NodeTransition::Starts => "starts",
        })
        .collect();
    assert_eq!((faults.condition(), &transitions.join(" ")[..]), (condition, expected));
}

proptest! {
    /// No fault remains active after all overlapping faults have ended.
    #[test]
    fn no_fault_outlives_its_end(spans in proptest::collection::vec((0_u8..6, 0_u32..50, 1_u32..50), 0..12)) {
        let mut edges: Vec<(u32, u8, usize, bool)> = Vec::new();
        for (index, (kind, start, duration)) in spans.iter().enumerate() {
            edges.push((*start, *kind, index, true));
            edges.push((start + duration, *kind, index, false));
        }
        edges.sort();
        let mut faults = ActiveFaults::default();
        for (_, kind, index, begins) in edges {
            let share = 0.1 + index as f64 / 100.0;
            match kind {
                0 => _ = if begins { faults.begin_outage() } else { faults.end_outage() },
                1 => faults.set_slowdown(share, begins),
                2 => faults.set_errors(share, begins),
                3 => faults.set_rejecting(begins),
                4 => faults.set_unresponsive(begins),
                _ => {
                    let cycle = PauseCycle { pause: TimeSpan(index as i64), interval: TimeSpan(10) };
                    faults.set_pause(cycle, begins);
                },
            }
            prop_assert!((0.0..=1.0).contains(&faults.speed_factor()));
            prop_assert!((0.0..=1.0).contains(&faults.error_share()));
        }
        prop_assert_eq!(faults, ActiveFaults::default());
    }

    /// The parser accepts or rejects any text without a panic.
    #[test]
    fn never_panics_on_any_text(text in "[ -~\\n]{0,300}") {
        let _ = Scenario::parse("x", &text);
    }
}
