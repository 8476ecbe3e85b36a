//! The laboratory's command line, as a script sees it.

use rstest::rstest;
use serde_json::{Value, json};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

fn lab(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_broker-bench")).args(words).output().unwrap()
}

const ROW: &str = "0,5,0,p,0.5,0.2\n";

/// Exit code 0 for a sound file, 1 for one with rejected rows, 2 where it can't be begun or read as anything.
#[rstest]
#[case("machine_events.csv", ROW, &[], 0, "taken")]
#[case("machine_events.csv", "0,5,0,p,0.5,0.2\n0,6,9,p,0.5,0.2\n", &[], 1, "`event type` is \"9\": one of 0, 1, 2 is allowed (unknown-event)")]
#[case("machine_events.csv", "x\n", &["--tolerate", "first"], 1, "stopped at the first")]
#[case("machines.csv", ROW, &[], 2, "say which with --layout")]
#[case("machines.csv", ROW, &["--layout", "google-2011-machine-events"], 0, "taken")]
#[case("machine_events.csv", ROW, &["--tolerate", "2"], 2, "a share from 0 to 1 is allowed")]
fn checks_traces(
    #[case] name: &str,
    #[case] text: &str,
    #[case] more: &[&str],
    #[case] code: i32,
    #[case] told: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let output = lab(&[&["trace", "check", path.to_str().unwrap()], more].concat());
    let all =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(all.contains(told), "{all}");
}

/// The same file and seed give the same plan, byte for byte; another seed another.
#[rstest]
fn plans_the_same_each_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("batch_task.csv");
    let rows: String = (0..50)
        .map(|no| format!("t{no},2,j{},1,Terminated,{},{},100,0.5\n", no / 5, 90 + no, 95 + no))
        .collect();
    std::fs::write(&path, rows).unwrap();
    let plan = |seed: &str| {
        let words = ["trace", "plan", path.to_str().unwrap(), "--from", "100", "--to", "120", "--seed", seed];
        let output = lab(&words);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    assert_eq!(plan("3"), plan("3"));
    assert_ne!(plan("3"), plan("4"));
    assert!(plan("3").contains("# entries ") && plan("3").contains(" ask "), "{}", plan("3"));
    let none = lab(&["trace", "plan", path.to_str().unwrap(), "--from", "500", "--to", "600"]);
    assert_eq!(none.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&none.stderr).contains("no work in the window"));
}

#[rstest]
fn tells_scripts_what_was_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("machine_events.csv");
    std::fs::write(&path, format!("{ROW}{ROW}\n1,2\n")).unwrap();
    let output = lab(&["trace", "check", "--json", path.to_str().unwrap()]);
    let told: Value = serde_json::from_slice(&output.stdout).unwrap();
    let file = &told["files"][0];
    assert_eq!((&told["sound"], &file["lines"], &file["taken"]), (&false.into(), &4.into(), &1.into()));
    let rejected = json!({"blank": 1, "columns-missing": 1, "duplicate": 1});
    assert_eq!(file["rejected"], rejected);
}

fn trace(name: &str) -> String {
    format!("{}/tests/traces/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Each bad row of the hand-written files is rejected with its reason, and all others are taken.
#[rstest]
#[case("task_events.csv", json!({"unknown-event": 1, "negative": 1, "duplicate": 1, "too-late": 1, "ends-midway": 1}), 60)]
#[case("machine_events.csv", json!({"unknown-machine": 1, "not-a-number": 1}), 10)]
#[case("batch_task.csv",
    json!({"ends-before-start": 1, "not-a-number": 1, "unknown-event": 1, "columns-missing": 1}), 50)]
#[case("batch_instance.csv", json!({"missing-value": 1, "columns-extra": 1}), 50)]
#[case("machine_meta.csv", json!({"unknown-event": 1}), 8)]
#[case("vmtable.csv", json!({"ends-before-start": 1, "out-of-range": 1, "quotes": 1, "blank": 1}), 50)]
fn rejects_each_bad_row(#[case] name: &str, #[case] rejected: Value, #[case] taken: u64) {
    let output = lab(&["trace", "check", "--json", &trace(name)]);
    let told: Value = serde_json::from_slice(&output.stdout).unwrap();
    let file = &told["files"][0];
    assert_eq!(
        (output.status.code(), &file["rejected"], &file["taken"]),
        (Some(1), &rejected, &taken.into())
    );
}

struct Busy(Arc<AtomicBool>);

impl Busy {
    /// A loop on every core, until this is dropped.
    fn everywhere() -> Busy {
        let over = Arc::new(AtomicBool::new(false));
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Busy(over)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Hosts, discovery, brokers and clients on loopback: the same figures and the same digest of all that was
/// decided on five runs, the last beside a busy loop on every core; no rule broken, by what hosts and clients
/// got.
#[rstest]
#[case(&["machine_events.csv", "task_events.csv"], "100", "105")]
#[case(&["machine_meta.csv", "batch_task.csv"], "200", "206")]
#[case(&["machine_meta.csv", "batch_instance.csv"], "200", "206")]
#[case(&["vmtable.csv"], "300", "306")]
fn plays_each_layout_the_same_each_time(#[case] files: &[&str], #[case] from: &str, #[case] to: &str) {
    let files: Vec<String> = files.iter().map(|name| trace(name)).collect();
    let mut words = vec!["trace", "run", "--loopback", "--json", "--from", from, "--to", to, "--hosts", "6"];
    words.extend(["--shards", "12", "--cells", "3", "--brokers", "2", "--effects", "--budget", "0.1"]);
    words.extend(files.iter().map(|file| &file[..]));
    let run = || {
        let output = lab(&words);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let first = run();
    let told: Value = serde_json::from_str(&first).unwrap();
    assert!(told["retrievals"].as_u64() >= Some(50) && told["service"].as_f64() > Some(0.5), "{told}");
    assert_eq!((&told["broken"], &told["partial"]), (&json!({}), &false.into()));
    assert_eq!([run(), run(), run()], [first.clone(), first.clone(), first.clone()]);
    let busy = Busy::everywhere();
    assert_eq!(run(), first);
    drop(busy);
}

/// The newcomer's first command: a service figure, and a page with plots that needs nothing else.
#[rstest]
fn shows_a_newcomer_a_day() {
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("day.html");
    let output = lab(&["demo", "--report", page.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(told.contains("\nservice ") && !told.contains("RULE BROKEN"), "{told}");
    let page = std::fs::read_to_string(&page).unwrap();
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(!page.contains("http://www.w3.org/1999/xlink") && !page.contains("src="), "needs nothing else");
    let figures = std::fs::read(folder.path().join("day.json")).unwrap();
    assert!(serde_json::from_slice::<Value>(&figures).unwrap()["service"].as_f64() > Some(0.5));
}

/// The library is listed; a scenario of one's own is played the same each time; a wrong one is told by line
/// and key.
#[rstest]
fn rehearses_incidents() {
    let listed = lab(&["rehearse", "--list"]);
    let told = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert_eq!(listed.status.code(), Some(0));
    assert!(told.lines().count() >= 20 && told.contains("hall-lost-at-the-rush "), "{told}");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    let text = "[scenario]\nabout = one host is lost\nseconds = 8\nload = 0.3\n[one]\nwhat = lose\nhost = 1\nat = 2\nfor = 2\n";
    std::fs::write(&path, text).unwrap();
    let play = |more: &[&str]| {
        let words =
            ["rehearse", path.to_str().unwrap(), "--hosts", "6", "--brokers", "2", "--seeds", "2", "--json"];
        lab(&[&words, more].concat())
    };
    let (one, other) = (play(&[]), play(&[]));
    assert_eq!((one.status.code(), &one.stdout), (Some(0), &other.stdout), "{one:?}");
    let told: Value = serde_json::from_slice(&play(&["--against", "random"]).stdout).unwrap();
    let row = &told["scenarios"][0];
    assert!(row["service"].as_f64() > Some(0.9) && row["better_by"]["half_span_95"].is_number(), "{row}");
    std::fs::write(&path, text.replace("lose", "loose")).unwrap();
    let wrong = play(&[]);
    let why = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert_eq!(wrong.status.code(), Some(2));
    assert!(why.contains("line 6: `what` of [one] is `loose`"), "{why}");
}
