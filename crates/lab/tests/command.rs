//! The laboratory's command line, as a script sees it.

use rstest::rstest;
use serde_json::Value;
use std::process::{Command, Output};

fn lab(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_barleydrum-lab")).args(words).output().unwrap()
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
    let rejected = serde_json::json!({"blank": 1, "columns-missing": 1, "duplicate": 1});
    assert_eq!(file["rejected"], rejected);
}
