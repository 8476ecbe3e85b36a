//! Texts, scripts, and what overlapping troubles come to.

use fault_scenarios::{Act, Book, Change, Fleet, LIBRARY, Scenario, Standing};
use proptest::prelude::*;
use routing::Tenths;
use rstest::rstest;

const FLEET: Fleet = Fleet { hosts: 60, halls: 3, cells: 12, brokers: 9 };

#[rstest]
fn the_library_is_sound() {
    assert!(LIBRARY.len() >= 20);
    for (name, text) in LIBRARY {
        let scenario = Scenario::read(name, text).unwrap_or_else(|mistakes| panic!("{name}: {mistakes:?}"));
        assert!(scenario.about.len() > 20, "{name}");
        for fleet in [Fleet { hosts: 6, halls: 3, cells: 3, brokers: 1 }, FLEET] {
            let script = scenario.script(&fleet, 1);
            assert!(!script.is_empty() && script == scenario.script(&fleet, 1), "{name}");
            assert!(script.windows(2).all(|pair| pair[0].at <= pair[1].at), "{name}");
        }
    }
}

/// Each mistake with its line, its key and what is allowed; all of them at once.
#[rstest]
#[case("[scenario]\nload = 0.5\n", "no trouble: a section with `what` is needed")]
#[case("[n]\nat = 1\nfor = 2\n", "line 1: [n] needs `what`")]
#[case("[n]\nwhat = lose\nat = 1\n", "line 1: [n] needs `for`")]
#[case("[n]\nwhat = crawl\nat = 1\nfor = 1\n", "line 1: [n] needs `size`")]
#[case(
    "[n]\nwhat = crawl\nat = 1\nfor = 1\nsize = 3\n",
    "line 5: `size` of [n] is `3`: 0.01 to 1 with `crawl` is allowed"
)]
#[case(
    "[n]\nwhat = storm\nat = 1\nfor = 1\nsize = 3\nhall = 1\n",
    "line 6: `hall` of [n] is `1`: nothing with `storm` is allowed"
)]
#[case("\n[n]\nwhat = loose\nat = 1\nfor = 1\n", "line 3: `what` of [n] is `loose`: lose, silence")]
#[case("[n]\nwhat = lose\nat = one\nfor = 1\n", "line 3: `at` of [n] is `one`: 0 to 86400 is allowed")]
#[case(
    "[n]\nwhat = lose\nat = 1\nfor = 1\nhal = 0\n",
    "line 5: `hal` is no key of [n]: `hall` is the nearest"
)]
#[case("[n]\nwhat = lose\nat = 1\nat = 1\nfor = 1\n", "line 3: `at` stands twice in [n]")]
#[case(
    "[scenario]\nload = NaN\n[n]\nwhat = lose\nat = 1\nfor = 1\n",
    "line 2: `load` of [scenario] is `NaN`"
)]
#[case(
    "[n]\nwhat = cut\nat = 1\nfor = 1\nway = up\n",
    "line 5: `way` of [n] is `up`: both, to, from is allowed"
)]
#[case(
    "[scenario]\ncancel = some\n[n]\nwhat = lose\nat = 1\nfor = 1\n",
    "line 2: `cancel` of [scenario] is `some`: all"
)]
#[case("[n\nwhat = lose\n", "line ")]
fn tells_each_mistake(#[case] text: &str, #[case] told: &str) {
    let mistakes = Scenario::read("x", text).unwrap_err();
    assert!(mistakes.iter().any(|mistake| mistake.to_string().starts_with(told)), "{mistakes:?}");
}

#[rstest]
fn picks_hosts_by_hall_and_share() {
    let text = "[n]\nwhat = lose\nat = 1\nfor = 2\nhall = 1\nshare = 0.5\n";
    let script = Scenario::read("x", text).unwrap().script(&FLEET, 7);
    let lost: Vec<u32> = script
        .iter()
        .filter_map(|moment| match moment.act {
            Act::Down { host, begins: true } => Some(host),
            _ => None,
        })
        .collect();
    assert_eq!(lost.len(), 10);
    assert!(lost.iter().all(|host| FLEET.hall_of(*host) == 1));
    assert_ne!(Scenario::read("x", text).unwrap().script(&FLEET, 8), script, "another seed, other hosts");
}

/// A release restarts all hosts, a share at a time, and no wave before the one ahead is back.
#[rstest]
fn releases_in_waves() {
    let text = "[r]\nwhat = release\nat = 10\nfor = 40\nsize = 0.25\n";
    let script = Scenario::read("x", text).unwrap().script(&FLEET, 1);
    let mut away: i32 = 0;
    let mut most = 0;
    for moment in &script {
        away += match moment.act {
            Act::Drain { .. } => 1,
            Act::Down { begins: false, .. } => -1,
            _ => 0,
        };
        most = most.max(away);
    }
    let drains = script.iter().filter(|moment| matches!(moment.act, Act::Drain { .. })).count();
    assert_eq!((drains, away), (60, 0));
    assert!(most <= 30, "two waves at the most, where one ends as the next begins: {most}");
    assert!(script.iter().all(|moment| moment.at <= Tenths(500_000)));
}

/// A step a word: `d` down, `u` up, `D` drain, `X` its time is up. What it comes to, and what was done.
#[rstest]
#[case("d u", Standing::Ready, "dies starts")]
#[case("d d u", Standing::Gone, "dies - -")]
#[case("d d u u", Standing::Ready, "dies - - starts")]
#[case("D X u", Standing::Ready, "drains dies starts")]
#[case("D d X u u", Standing::Ready, "drains dies - - starts")]
#[case("d D u X u", Standing::Ready, "dies - - - starts")]
#[case("D", Standing::Draining, "drains")]
fn overlaps(#[case] steps: &str, #[case] standing: Standing, #[case] done: &str) {
    let mut book = Book::default();
    let did: Vec<&str> = steps
        .split(' ')
        .map(|step| match step {
            "d" => book.down(),
            "u" => book.up(),
            "D" => book.drain(),
            _ => book.drained(),
        })
        .map(|change| match change {
            Change::Nothing => "-",
            Change::Dies => "dies",
            Change::Drains => "drains",
            Change::Starts => "starts",
        })
        .collect();
    assert_eq!((book.standing(), &did.join(" ")[..]), (standing, done));
}

proptest! {
    /// Whatever overlaps, when all is over nothing is left.
    #[test]
    fn nothing_stays(spans in proptest::collection::vec((0_u8..6, 0_u32..50, 1_u32..50), 0..12)) {
        let mut moments: Vec<(u32, u8, usize, bool)> = Vec::new();
        for (no, (kind, at, lasts)) in spans.iter().enumerate() {
            moments.push((*at, *kind, no, true));
            moments.push((at + lasts, *kind, no, false));
        }
        moments.sort();
        let mut book = Book::default();
        for (_, kind, no, begins) in moments {
            let share = 0.1 + no as f64 / 100.0;
            match kind {
                0 => _ = if begins { book.down() } else { book.up() },
                1 => book.crawl(share, begins),
                2 => book.garble(share, begins),
                3 => book.refuse(begins),
                4 => book.silence(begins),
                _ => book.pause((no as i64, 10), begins),
            }
            prop_assert!((0.0..=1.0).contains(&book.speed()) && (0.0..=1.0).contains(&book.errors()));
        }
        prop_assert_eq!(book, Book::default());
    }

    /// Any text is read or told to be wrong.
    #[test]
    fn no_text_is_too_much(text in "[ -~\\n]{0,300}") {
        let _ = Scenario::read("x", &text);
    }
}
