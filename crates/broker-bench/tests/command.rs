//! Tests of the command line: arguments, exit codes and output of the `broker-bench` program.

use rstest::rstest;
use serde_json::{Value, json};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

fn run_bench(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_broker-bench")).args(args).output().unwrap()
}

const ROW: &str = "0,5,0,p,0.5,0.2\n";

/// `trace check` exits with 0 for a file without rejected rows, with 1 for a file with rejected rows, and with 2 for
/// an unknown layout or an invalid argument.
#[rstest]
#[case("machine_events.csv", ROW, &[], 0, "accepted")]
#[case("machine_events.csv", "0,5,0,p,0.5,0.2\n0,6,9,p,0.5,0.2\n", &[], 1, "`event type` is \"9\"; allowed: one of 0, 1, 2 (unknown-event)")]
#[case("machine_events.csv", "x\n", &["--tolerate", "first"], 1, "stopped at the first rejected row")]
#[case("machines.csv", ROW, &[], 2, "choose one with --layout")]
#[case("machines.csv", ROW, &["--layout", "google-2011-machine-events"], 0, "accepted")]
#[case("machine_events.csv", ROW, &["--tolerate", "2"], 2, "allowed: `first`, `count`, or a share from 0 to 1")]
fn checks_traces(
    #[case] name: &str,
    #[case] text: &str,
    #[case] args: &[&str],
    #[case] exit_code: i32,
    #[case] expected: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let output = run_bench(&[&["trace", "check", path.to_str().unwrap()], args].concat());
    let text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(exit_code), "{text}");
    assert!(text.contains(expected), "{text}");
}

/// The same file and seed give the same plan byte for byte, and another seed gives a different plan.
#[rstest]
fn plans_are_deterministic() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("batch_task.csv");
    let rows: String = (0..50)
        .map(|no| format!("t{no},2,j{},1,Terminated,{},{},100,0.5\n", no / 5, 90 + no, 95 + no))
        .collect();
    std::fs::write(&path, rows).unwrap();
    let plan = |seed: &str| {
        let args = ["trace", "plan", path.to_str().unwrap(), "--from", "100", "--to", "120", "--seed", seed];
        let output = run_bench(&args);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    assert_eq!(plan("3"), plan("3"));
    assert_ne!(plan("3"), plan("4"));
    assert!(plan("3").contains("# entries ") && plan("3").contains(" ask "), "{}", plan("3"));
    let empty_window = run_bench(&["trace", "plan", path.to_str().unwrap(), "--from", "500", "--to", "600"]);
    assert_eq!(empty_window.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&empty_window.stderr).contains("no work in the window"));
}

#[rstest]
fn reports_rejections_to_scripts() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("machine_events.csv");
    std::fs::write(&path, format!("{ROW}{ROW}\n1,2\n")).unwrap();
    let output = run_bench(&["trace", "check", "--json", path.to_str().unwrap()]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let file = &report["files"][0];
    assert_eq!((&report["sound"], &file["lines"], &file["taken"]), (&false.into(), &4.into(), &1.into()));
    let rejected = json!({"blank": 1, "columns-missing": 1, "duplicate": 1});
    assert_eq!(file["rejected"], rejected);
}

fn trace(name: &str) -> String {
    format!("{}/tests/traces/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Each invalid row of the handwritten files is rejected with its reason, and all other rows are accepted.
#[rstest]
#[case("task_events.csv", json!({"unknown-event": 1, "negative": 1, "duplicate": 1, "too-late": 1, "ends-midway": 1}), 60)]
#[case("machine_events.csv", json!({"unknown-machine": 1, "not-a-number": 1}), 10)]
#[case("batch_task.csv",
    json!({"ends-before-start": 1, "not-a-number": 1, "unknown-event": 1, "columns-missing": 1}), 50)]
#[case("batch_instance.csv", json!({"missing-value": 1, "columns-extra": 1}), 50)]
#[case("machine_meta.csv", json!({"unknown-event": 1}), 8)]
#[case("vmtable.csv", json!({"ends-before-start": 1, "out-of-range": 1, "quotes": 1, "blank": 1}), 50)]
fn rejects_each_invalid_row(#[case] name: &str, #[case] rejected: Value, #[case] accepted: u64) {
    let output = run_bench(&["trace", "check", "--json", &trace(name)]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let file = &report["files"][0];
    assert_eq!(
        (output.status.code(), &file["rejected"], &file["taken"]),
        (Some(1), &rejected, &accepted.into())
    );
}

struct BusyLoops(Arc<AtomicBool>);

impl BusyLoops {
    /// Starts a busy loop on every core, which runs until the returned value is dropped.
    fn on_all_cores() -> BusyLoops {
        let is_stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        BusyLoops(is_stopped)
    }
}

impl Drop for BusyLoops {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Results on loopback sockets are useless if they differ from run to run, for example because of the machine's
/// load. Five runs must give the same figures and the same digest of all decisions, the last one with a busy loop on
/// every core. No rule may be broken, as observed by nodes and clients.
#[rstest]
#[case(&["machine_events.csv", "task_events.csv"], "100", "105")]
#[case(&["machine_meta.csv", "batch_task.csv"], "200", "206")]
#[case(&["machine_meta.csv", "batch_instance.csv"], "200", "206")]
#[case(&["vmtable.csv"], "300", "306")]
fn loopback_runs_are_deterministic_for_each_layout(
    #[case] files: &[&str],
    #[case] from: &str,
    #[case] to: &str,
) {
    let files: Vec<String> = files.iter().map(|name| trace(name)).collect();
    let mut args = vec!["trace", "run", "--loopback", "--json", "--from", from, "--to", to, "--nodes", "6"];
    args.extend(["--shards", "12", "--placement-groups", "3", "--brokers", "2"]);
    args.extend(["--non-idempotent", "--retry-budget", "0.1"]);
    args.extend(files.iter().map(|file| &file[..]));
    let run = || {
        let output = run_bench(&args);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let first = run();
    let report: Value = serde_json::from_str(&first).unwrap();
    assert!(report["retrievals"].as_u64() >= Some(50) && report["service"].as_f64() > Some(0.5), "{report}");
    assert_eq!((&report["broken"], &report["partial"]), (&json!({}), &false.into()));
    assert_eq!([run(), run(), run()], [first.clone(), first.clone(), first.clone()]);
    let busy_loops = BusyLoops::on_all_cores();
    assert_eq!(run(), first);
    drop(busy_loops);
}

/// The demo prints a service figure and writes a self-contained page with plots and the figures as JSON.
#[rstest]
fn demo_prints_figures_and_writes_a_self_contained_page() {
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("run.html");
    let output = run_bench(&["demo", "--report", page.to_str().unwrap()]);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(stdout.contains("\nservice ") && !stdout.contains("RULE BROKEN"), "{stdout}");
    let page = std::fs::read_to_string(&page).unwrap();
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(
        !page.contains("http://www.w3.org/1999/xlink") && !page.contains("src="),
        "the page must not refer to other files"
    );
    let figures = std::fs::read(folder.path().join("run.json")).unwrap();
    assert!(serde_json::from_slice::<Value>(&figures).unwrap()["service"].as_f64() > Some(0.5));
}

/// `simulate` lists the built-in scenarios, simulates a user's scenario file with the same result each time, and
/// reports an invalid file by line and key.
#[rstest]
fn simulates_scenarios() {
    let listed = run_bench(&["simulate", "--list"]);
    let output = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert_eq!(listed.status.code(), Some(0));
    assert!(output.lines().count() >= 20 && output.contains("zone-outage-at-peak-load "), "{output}");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    std::fs::write(&path, USER_SCENARIO).unwrap();
    let simulate = |extra_args: &[&str]| {
        let args =
            ["simulate", path.to_str().unwrap(), "--nodes", "6", "--brokers", "2", "--seeds", "2", "--json"];
        run_bench(&[&args, extra_args].concat())
    };
    let (one, other) = (simulate(&[]), simulate(&[]));
    assert_eq!((one.status.code(), &one.stdout), (Some(0), &other.stdout), "{one:?}");
    let figures: Value = serde_json::from_slice(&simulate(&["--against", "random"]).stdout).unwrap();
    let row = &figures["scenarios"][0];
    assert!(row["service"].as_f64() > Some(0.9) && row["better_by"]["half_span_95"].is_number(), "{row}");
    std::fs::write(&path, USER_SCENARIO.replace("lose", "loose")).unwrap();
    let invalid = simulate(&[]);
    let error = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert_eq!(invalid.status.code(), Some(2));
    assert!(error.contains("line 6: `what` of [one] is `loose`"), "{error}");
}

const USER_SCENARIO: &str = "[scenario]\nabout = one node crashes\nseconds = 8\nload = 0.3\n[one]\nwhat = lose\n\
    host = 1\nat = 2\nfor = 2\n";

/// Users' scripts contain former flags, values and commands. Each must give the same output as its current form.
#[rstest]
#[case::command(&["simulate", "--list"], &["rehearse", "--list"])]
#[case::nodes(&["simulate", "OWN", "--nodes", "9"], &["simulate", "OWN", "--hosts", "9"])]
#[case::zones(&["simulate", "OWN", "--zones", "2"], &["simulate", "OWN", "--halls", "2"])]
#[case::policy(&["simulate", "OWN", "--policy", "design"], &["simulate", "OWN", "--mind", "design"])]
#[case::product(&["simulate", "OWN", "--policy", "product"], &["simulate", "OWN", "--mind", "module"])]
#[case::admission_control(&["simulate", "OWN", "--policy", "admission-control"], &["simulate", "OWN", "--mind", "door"])]
#[case::against(&["simulate", "OWN", "--against", "admission-control"], &["simulate", "OWN", "--against", "door"])]
fn former_simulate_arguments_still_work(#[case] current: &[&str], #[case] former: &[&str]) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    std::fs::write(&path, USER_SCENARIO).unwrap();
    let run = |args: &[&str]| {
        let mut args: Vec<&str> =
            args.iter().map(|arg| if *arg == "OWN" { path.to_str().unwrap() } else { arg }).collect();
        if !args.contains(&"--list") {
            args.extend(["--brokers", "2", "--seeds", "1", "--json"]);
        }
        let output = run_bench(&args);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        output.stdout
    };
    assert_eq!(run(former), run(current));
}

/// Former arguments of `trace plan` must give the same output as their current forms. The output shows the effect of
/// each of these arguments.
#[rstest]
#[case::nodes(&["--nodes", "5"], &["--hosts", "5"])]
#[case::node_ms_per_s(&["--node-ms-per-s", "900"], &["--host-ms-per-s", "900"])]
#[case::time_scale(&["--time-scale", "3"], &["--stretch", "3"])]
#[case::tenants(&["--tenants", "4"], &["--callers", "4"])]
#[case::non_idempotent(&["--non-idempotent"], &["--effects"])]
fn former_plan_arguments_still_work(#[case] current: &[&str], #[case] former: &[&str]) {
    let trace = trace("task_events.csv");
    let plan = |extra_args: &[&str]| {
        let output =
            run_bench(&[&["trace", "plan", &trace[..], "--from", "100", "--to", "105"], extra_args].concat());
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        output.stdout
    };
    assert_eq!(plan(former), plan(current));
    assert_ne!(plan(current), plan(&[]), "the argument must change the plan");
}

/// Former arguments of `trace run` must give the same output as their current forms, in virtual time.
#[rstest]
#[case::policy(&["--policy", "random"], &["--mind", "random"])]
#[case::placement_groups(&["--placement-groups", "3"], &["--cells", "3"])]
#[case::drain_share(&["--drain-share", "1"], &["--drains", "1"])]
#[case::retry_budget(&["--retry-budget", "0.05"], &["--budget", "0.05"])]
fn former_run_arguments_still_work(#[case] current: &[&str], #[case] former: &[&str]) {
    let files = ["machine_events.csv", "task_events.csv"].map(trace);
    let run = |extra_args: &[&str]| {
        let window = ["--from", "100", "--to", "105", "--json"];
        run_bench(&[&["trace", "run", &files[0][..], &files[1][..]], &window[..], extra_args].concat())
    };
    let (by_former, by_current) = (run(former), run(current));
    assert!(!by_current.stdout.is_empty(), "{by_current:?}");
    assert_eq!((by_former.status.code(), by_former.stdout), (by_current.status.code(), by_current.stdout));
}

/// Users' makefiles contain former names of benchmarks, which must still be accepted.
#[rstest]
fn former_benchmark_names_still_work() {
    let figures = |name: &str| {
        let output = run_bench(&["measure", name, "--size", "small", "--seed", "3"]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        output.stdout
    };
    assert_eq!(figures("control"), figures("rollout"));
    for former in ["rehearsal", "lean"] {
        let output = run_bench(&["measure", former, "--size", "wrong"]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            error.contains("invalid value 'wrong' for '--size"),
            "the former name must be accepted: {error}"
        );
    }
}
