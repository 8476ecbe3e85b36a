//! The command line, as a script sees it: exit codes, and what is printed on which stream.

use rstest::rstest;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn shard_broker(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shard-broker"));
    for variable in ["EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"] {
        command.env_remove(variable);
    }
    command.args(arguments).output().unwrap()
}

fn shipped_operator_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operator.ini")
}

fn settings() -> Value {
    json!({"Instances": 3, "PeriodMs": 5.0, "RegistryMode": "automatic",
        "Services": [{"Name": "lookup", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 1.0,
            "Effect": "idempotent"}],
        "Domain": {"Cells": 4, "Reach": 2, "Ranges": 8, "CompleteFrom": [1.0], "MinShare": [1.0]},
        "Limits": {"MaxAttempts": 3, "MaxOpen": 111}, "Rules": {}})
}

fn config(settings: &Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f",
        "limits": {"memory_mb": 64, "sockets": 256}, "settings": settings})
}

/// Writes a file of this name; it is there as long as the folder that comes with its path.
fn write_file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap().to_owned();
    (folder, path)
}

#[rstest]
fn accepts_files_without_mistakes() {
    let (_document_folder, document) = write_file("12.json", &settings().to_string());
    let (_broker_folder, broker) = write_file("config.json", &config(&settings()).to_string());
    for path in [shipped_operator_file().to_str().unwrap(), &document, &broker] {
        let output = shard_broker(&["check", path]);
        assert_eq!(output.status.code(), Some(0), "{path}: {output:?}");
    }
}

/// Every mistake of a file at once, exit 2, and the same for scripts.
#[rstest]
#[case::document(false)]
#[case::broker(true)]
fn lists_every_mistake(#[case] is_config_file: bool) {
    let mut settings = settings();
    settings["Domain"]["MinShare"][0] = json!(1.5);
    settings["Services"][0]["OnTimeMS"] = json!(5);
    settings["Limits"]["MaxOpen"] = json!("many");
    let text = if is_config_file { config(&settings) } else { settings };
    let (_folder, path) = write_file("config.json", &text.to_string());
    let output = shard_broker(&["check", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    for mistake in
        ["`Domain.MinShare[0]` is 1.5", "`Services[0].OnTimeMS` is unknown", "`Limits.MaxOpen` is \"many\""]
    {
        assert!(stderr.contains(mistake), "{mistake} not in {stderr}");
    }
    let output = shard_broker(&["check", "--json", &path]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let mistake_count = report["mistakes"].as_array().unwrap().len();
    assert_eq!((output.status.code(), &report["sound"], mistake_count), (Some(2), &json!(false), 3));
}

#[rstest]
#[case(&["srve"], 2, "similar subcommand exists: 'serve'")]
#[case(&["check"], 2, "<FILE>")]
#[case(&["check", "/nowhere/config.json"], 2, "No such file")]
#[case(&["serve"], 1, "EDGE_CONFIG is not set")]
#[case(&["serve", "--config", "/nowhere/config.json"], 1, "/nowhere/config.json")]
fn says_what_is_wrong_with_its_arguments(
    #[case] arguments: &[&str],
    #[case] exit_code: i32,
    #[case] message: &str,
) {
    let output = shard_broker(arguments);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(exit_code), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}

#[rstest]
fn prints_help_with_examples() {
    let output = shard_broker(&["--help"]);
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout.contains("shard-broker check config.json") && stdout.contains("Exit codes"), "{stdout}");
}

/// An operator's file has a misspelt key. Served as if it were not there, what it switches on would stay off unnoticed.
/// The program must not start, and must name the line and the nearest key.
#[rstest]
fn does_not_start_with_a_wrong_operator_file() {
    let (_folder, path) = write_file("operator.ini", "[control]\nservise = 127.0.0.1:1\n");
    let output = shard_broker(&["serve", "--config", "/nowhere", "--operator", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.contains("line 2: unknown key `servise` in section [control]; did you mean `services`?"),
        "{stderr}"
    );
}

/// The operator switches configuration versions on, and the program is built without them. Started all the same, it
/// would never get a version. It must say so, and exit with code 1.
#[cfg(not(feature = "config-rollout"))]
#[rstest]
fn says_that_it_is_built_without_config_rollout() {
    let (_operator_folder, operator) =
        write_file("operator.ini", "[control]\nservices = 127.0.0.1:1\ninstallation = north\n");
    let (_config_folder, config) = write_file("config.json", &config(&settings()).to_string());
    let output = shard_broker(&["serve", "--config", &config, "--operator", &operator]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("built without it"), "{stderr}");
    assert_eq!(shard_broker(&["control", "status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
}

/// The broker whose status is asked for is not there. A script must be able to tell that from wrong arguments: the exit
/// code must be 3.
#[cfg(feature = "config-rollout")]
#[rstest]
fn has_an_exit_code_for_no_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(shard_broker(&["control", "status", "--at", &address]).status.code(), Some(3));
}

fn shipped_shape_file() -> String {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/shape.ini");
    shipped.to_str().unwrap().to_owned()
}

/// The new file is one in which `check` finds no mistake; the old one stays as it is, and what is not carried over is named.
#[rstest]
fn reshapes_a_file() {
    let mut old = config(&settings());
    old["settings"]["HostTypes"] = json!(["standard"]);
    old["known"] = json!({"revision": 1, "complete": true, "members": []});
    let (folder, path) = write_file("config.json", &old.to_string());
    let new = folder.path().join("new.json");
    let to = new.to_str().unwrap();
    let dry = shard_broker(&["reshape", &path, "--shape", &shipped_shape_file(), "--to", to, "--dry-run"]);
    let stdout = String::from_utf8(dry.stdout).unwrap();
    assert_eq!((dry.status.code(), new.exists()), (Some(0), false), "{stdout}");
    for key in ["`HostTypes`", "`known`", "nothing was written"] {
        assert!(stdout.contains(key), "{key} not in {stdout}");
    }
    let output = shard_broker(&[
        "reshape",
        &path,
        "--shape",
        &shipped_shape_file(),
        "--zone",
        "mantova",
        "--to",
        to,
        "--json",
    ]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&report["written"], report["left"].as_array().unwrap().len()), (&json!(true), 2));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), old.to_string());
    assert_eq!(shard_broker(&["check", to]).status.code(), Some(0));
    let new_file: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(
        (&new_file["settings"]["Zone"], &new_file["settings"]["Stats"]["Via"]),
        (&json!(2), &json!("pull"))
    );
}

/// The new file exists already, or the old file or the layout can't be used. No file may be overwritten, and none written
/// that a broker would not start from; the message must say what is wrong.
#[rstest]
#[case("old", "exists")]
#[case("there", "exists")]
#[case("no old", "No such file")]
#[case("no shape", "No such file")]
#[case("not JSON", "failed to parse the old file")]
#[case("misspelt shape", "unknown key `cels` in section [layout]")]
#[case("out of range", "`Services[0].OnTimeMs` is -5: 1 to 600000 milliseconds is allowed")]
fn reshapes_nothing(#[case] what: &str, #[case] message: &str) {
    let mut old = config(&settings());
    if what == "out of range" {
        old["settings"]["Services"][0]["OnTimeMs"] = json!(-5);
    }
    let text = if what == "not JSON" { "{".to_owned() } else { old.to_string() };
    let (folder, mut path) = write_file("config.json", &text);
    let mut to = folder.path().join("new.json").to_str().unwrap().to_owned();
    let mut shape = shipped_shape_file();
    match what {
        "old" => to = path.clone(),
        "there" => std::fs::write(&to, "mine").unwrap(),
        "no old" => path = "/nowhere/config.json".to_owned(),
        "no shape" => shape = "/nowhere/shape.ini".to_owned(),
        "misspelt shape" => {
            let shipped = std::fs::read_to_string(&shape).unwrap();
            shape = folder.path().join("shape.ini").to_str().unwrap().to_owned();
            std::fs::write(&shape, shipped.replace("cells =", "cels =")).unwrap();
        }
        _ => {}
    }
    let output = shard_broker(&["reshape", &path, "--shape", &shape, "--to", &to]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && stderr.contains(message), "{stderr}");
    if what == "there" {
        assert_eq!(std::fs::read_to_string(&to).unwrap(), "mine");
    }
    if what == "old" {
        assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    }
}

/// A setting is unknown, missing or out of range. Served with a default in its place, the mistake would go unnoticed.
/// The program must not start, and must name the key and what is allowed.
#[rstest]
#[case("/Stats", json!({"Via": "push"}), "`Stats.Via` is \"push\": `piggyback` or `pull` or `silent` is allowed")]
#[case("/Limits/Probes", json!("yes"), "`Limits.Probes` is \"yes\": true or false is allowed")]
#[case("/Limits/Prbes", json!(true), "`Limits.Prbes` is unknown: `Limits.Probes` is the nearest key")]
#[case(
    "/Limits/MaxOpen",
    Value::Null,
    "`Limits.MaxOpen` is null: a whole number from 2 to 1000000 is allowed"
)]
fn refuses_a_wrong_setting_at_the_start(#[case] pointer: &str, #[case] to: Value, #[case] message: &str) {
    let mut wrong = settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    wrong.pointer_mut(parent).unwrap()[key] = to;
    let (_folder, path) = write_file("config.json", &config(&wrong).to_string());
    let output = shard_broker(&["serve", "--config", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && stderr.contains(message), "{stderr}");
}

/// The program is started without a command, as the platform does, with a file that can't be used. It must end as
/// `serve` does, and list every mistake.
#[rstest]
fn the_bare_form_lists_every_mistake() {
    let mut broken = settings();
    broken["PeriodMs"] = json!(-5.0);
    broken["Domain"]["Cells"] = json!("many");
    let (_folder, path) = write_file("config.json", &config(&broken).to_string());
    let output = Command::new(env!("CARGO_BIN_EXE_shard-broker"))
        .env("EDGE_CONFIG", &path)
        .env("EDGE_LISTEN", "127.0.0.1:0")
        .env("EDGE_DISCOVERY", "127.0.0.1:9")
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("PeriodMs") && stderr.contains("Cells"), "{stderr}");
}
