//! Tests of the command line as a script uses it: exit codes, and the output on each stream.

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

/// Writes a file with this name to a temporary directory. The file is deleted when the returned `TempDir` is
/// dropped.
fn write_file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(name);
    std::fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap().to_owned();
    (dir, path)
}

#[rstest]
fn accepts_valid_files() {
    let (_document_dir, document) = write_file("12.json", &settings().to_string());
    let (_config_dir, broker) = write_file("config.json", &config(&settings()).to_string());
    for path in [shipped_operator_file().to_str().unwrap(), &document, &broker] {
        let output = shard_broker(&["check", path]);
        assert_eq!(output.status.code(), Some(0), "{path}: {output:?}");
    }
}

/// `check` must report every error of a file in one run and exit with code 2, and its JSON output must say the
/// same.
#[rstest]
#[case::document(false)]
#[case::broker(true)]
fn check_reports_every_error(#[case] is_config_file: bool) {
    let mut settings = settings();
    settings["Domain"]["MinShare"][0] = json!(1.5);
    settings["Services"][0]["OnTimeMS"] = json!(5);
    settings["Limits"]["MaxOpen"] = json!("many");
    let text = if is_config_file { config(&settings) } else { settings };
    let (_dir, path) = write_file("config.json", &text.to_string());
    let output = shard_broker(&["check", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    for expected in
        ["`Domain.MinShare[0]` is 1.5", "`Services[0].OnTimeMS` is unknown", "`Limits.MaxOpen` is \"many\""]
    {
        assert!(stderr.contains(expected), "{expected} not in {stderr}");
    }
    let output = shard_broker(&["check", "--json", &path]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let error_count = report["mistakes"].as_array().unwrap().len();
    assert_eq!((output.status.code(), &report["sound"], error_count), (Some(2), &json!(false), 3));
}

#[rstest]
#[case(&["srve"], 2, "similar subcommand exists: 'serve'")]
#[case(&["check"], 2, "<FILE>")]
#[case(&["check", "/nowhere/config.json"], 2, "No such file")]
#[case(&["serve"], 1, "EDGE_CONFIG is not set")]
#[case(&["serve", "--config", "/nowhere/config.json"], 1, "/nowhere/config.json")]
fn reports_invalid_arguments(#[case] arguments: &[&str], #[case] exit_code: i32, #[case] message: &str) {
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

/// Guards against ignoring a misspelt key in the operator's file, which would leave the feature that it enables off
/// unnoticed. The program must not start, and must name the line and the nearest key.
#[rstest]
fn does_not_start_with_an_invalid_operator_file() {
    let (_dir, path) = write_file("operator.ini", "[control]\nservise = 127.0.0.1:1\n");
    let output = shard_broker(&["serve", "--config", "/nowhere", "--operator", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.contains("line 2: unknown key `servise` in section [control]; did you mean `services`?"),
        "{stderr}"
    );
}

/// Guards against a program built without the feature `config-rollout` that starts although the operator's file
/// enables configuration versions, and then never receives one. It must report the missing feature and exit with
/// code 1.
#[cfg(not(feature = "config-rollout"))]
#[rstest]
fn reports_that_it_was_built_without_config_rollout() {
    let (_operator_dir, operator) =
        write_file("operator.ini", "[control]\nservices = 127.0.0.1:1\ninstallation = north\n");
    let (_config_dir, config) = write_file("config.json", &config(&settings()).to_string());
    let output = shard_broker(&["serve", "--config", &config, "--operator", &operator]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("built without it"), "{stderr}");
    assert_eq!(shard_broker(&["control", "status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
}

/// The exit code must be 3 if the broker does not answer, so that a script can distinguish that from invalid
/// arguments.
#[cfg(feature = "config-rollout")]
#[rstest]
fn exits_with_3_if_the_broker_does_not_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(shard_broker(&["control", "status", "--at", &address]).status.code(), Some(3));
}

fn shipped_shape_file() -> String {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/shape.ini");
    shipped.to_str().unwrap().to_owned()
}

/// `check` must find no error in the new file, the old file must stay unchanged, and the report must name the keys
/// that are not carried over.
#[rstest]
fn reshape_converts_a_file() {
    let mut old_config = config(&settings());
    old_config["settings"]["HostTypes"] = json!(["standard"]);
    old_config["known"] = json!({"revision": 1, "complete": true, "members": []});
    let (dir, path) = write_file("config.json", &old_config.to_string());
    let new_path = dir.path().join("new.json");
    let target = new_path.to_str().unwrap();
    let dry_run =
        shard_broker(&["reshape", &path, "--shape", &shipped_shape_file(), "--to", target, "--dry-run"]);
    let stdout = String::from_utf8(dry_run.stdout).unwrap();
    assert_eq!((dry_run.status.code(), new_path.exists()), (Some(0), false), "{stdout}");
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
        target,
        "--json",
    ]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&report["written"], report["left"].as_array().unwrap().len()), (&json!(true), 2));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), old_config.to_string());
    assert_eq!(shard_broker(&["check", target]).status.code(), Some(0));
    let migrated: Value = serde_json::from_slice(&std::fs::read(&new_path).unwrap()).unwrap();
    assert_eq!(
        (&migrated["settings"]["Zone"], &migrated["settings"]["Stats"]["Via"]),
        (&json!(2), &json!("pull"))
    );
}

/// The new file already exists, or the old file or the layout is invalid. `reshape` must not overwrite a file or
/// write one that a broker would refuse to start from, and its error must name the cause.
#[rstest]
#[case("old", "exists")]
#[case("there", "exists")]
#[case("no old", "No such file")]
#[case("no shape", "No such file")]
#[case("not JSON", "failed to parse the old file")]
#[case("misspelt shape", "unknown key `cels` in section [layout]")]
#[case("out of range", "`Services[0].OnTimeMs` is -5: 1 to 600000 milliseconds is allowed")]
fn reshape_writes_nothing_if_an_input_is_invalid(#[case] invalid_input: &str, #[case] message: &str) {
    let mut old_config = config(&settings());
    if invalid_input == "out of range" {
        old_config["settings"]["Services"][0]["OnTimeMs"] = json!(-5);
    }
    let text = if invalid_input == "not JSON" { "{".to_owned() } else { old_config.to_string() };
    let (dir, mut path) = write_file("config.json", &text);
    let mut target = dir.path().join("new.json").to_str().unwrap().to_owned();
    let mut shape = shipped_shape_file();
    match invalid_input {
        "old" => target = path.clone(),
        "there" => std::fs::write(&target, "mine").unwrap(),
        "no old" => path = "/nowhere/config.json".to_owned(),
        "no shape" => shape = "/nowhere/shape.ini".to_owned(),
        "misspelt shape" => {
            let shipped = std::fs::read_to_string(&shape).unwrap();
            shape = dir.path().join("shape.ini").to_str().unwrap().to_owned();
            std::fs::write(&shape, shipped.replace("cells =", "cels =")).unwrap();
        }
        _ => {}
    }
    let output = shard_broker(&["reshape", &path, "--shape", &shape, "--to", &target]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && stderr.contains(message), "{stderr}");
    if invalid_input == "there" {
        assert_eq!(std::fs::read_to_string(&target).unwrap(), "mine");
    }
    if invalid_input == "old" {
        assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    }
}

/// Guards against replacing an unknown, missing or out-of-range setting by a default, which would hide the error.
/// The program must not start, and must name the key and the allowed values.
#[rstest]
#[case("/Stats", json!({"Via": "push"}), "`Stats.Via` is \"push\": `piggyback` or `pull` or `silent` is allowed")]
#[case("/Limits/Probes", json!("yes"), "`Limits.Probes` is \"yes\": true or false is allowed")]
#[case("/Limits/Prbes", json!(true), "`Limits.Prbes` is unknown: `Limits.Probes` is the nearest key")]
#[case(
    "/Limits/MaxOpen",
    Value::Null,
    "`Limits.MaxOpen` is null: a whole number from 2 to 1000000 is allowed"
)]
fn does_not_start_with_an_invalid_setting(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let mut invalid = settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    invalid.pointer_mut(parent).unwrap()[key] = value;
    let (_dir, path) = write_file("config.json", &config(&invalid).to_string());
    let output = shard_broker(&["serve", "--config", &path]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && stderr.contains(message), "{stderr}");
}

/// Without a command, which is how the platform starts it, the program must reject an invalid file as `serve` does
/// and report every error.
#[rstest]
fn reports_every_error_when_started_without_a_command() {
    let mut invalid = settings();
    invalid["PeriodMs"] = json!(-5.0);
    invalid["Domain"]["Cells"] = json!("many");
    let (_dir, path) = write_file("config.json", &config(&invalid).to_string());
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
