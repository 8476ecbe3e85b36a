//! The command line, as a script sees it: exit codes, and what is told on which stream.

use rstest::rstest;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn shard_broker(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shard-broker"));
    for variable in ["EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"] {
        command.env_remove(variable);
    }
    command.args(words).output().unwrap()
}

fn shipped() -> PathBuf {
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

/// Writes a file of this name, and keeps the folder alive.
fn file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap().to_owned();
    (folder, path)
}

#[rstest]
fn finds_sound_files_sound() {
    let (_one, document) = file("12.json", &settings().to_string());
    let (_other, broker) = file("config.json", &config(&settings()).to_string());
    for path in [shipped().to_str().unwrap(), &document, &broker] {
        let output = shard_broker(&["check", path]);
        assert_eq!(output.status.code(), Some(0), "{path}: {output:?}");
    }
}

/// Every mistake of a file at once, exit 2, and the same for scripts.
#[rstest]
#[case::document(false)]
#[case::broker(true)]
fn lists_every_mistake(#[case] whole: bool) {
    let mut settings = settings();
    settings["Domain"]["MinShare"][0] = json!(1.5);
    settings["Services"][0]["OnTimeMS"] = json!(5);
    settings["Limits"]["MaxOpen"] = json!("many");
    let text = if whole { config(&settings) } else { settings };
    let (_folder, path) = file("config.json", &text.to_string());
    let output = shard_broker(&["check", &path]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{told}");
    for shard_request in
        ["`Domain.MinShare[0]` is 1.5", "`Services[0].OnTimeMS` is unknown", "`Limits.MaxOpen` is \"many\""]
    {
        assert!(told.contains(shard_request), "{shard_request} not in {told}");
    }
    let output = shard_broker(&["check", "--json", &path]);
    let told: Value = serde_json::from_slice(&output.stdout).unwrap();
    let mistakes = told["mistakes"].as_array().unwrap().len();
    assert_eq!((output.status.code(), &told["sound"], mistakes), (Some(2), &json!(false), 3));
}

#[rstest]
#[case(&["srve"], 2, "similar subcommand exists: 'serve'")]
#[case(&["check"], 2, "<FILE>")]
#[case(&["check", "/nowhere/config.json"], 2, "No such file")]
#[case(&["serve"], 1, "EDGE_CONFIG is not set")]
#[case(&["serve", "--config", "/nowhere/config.json"], 1, "/nowhere/config.json")]
fn tells_what_is_wrong_with_its_words(#[case] words: &[&str], #[case] code: i32, #[case] told: &str) {
    let output = shard_broker(words);
    let all = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(all.contains(told), "{all}");
}

#[rstest]
fn helps_with_examples() {
    let output = shard_broker(&["--help"]);
    let told = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(told.contains("shard-broker check config.json") && told.contains("Exit codes"), "{told}");
}

/// An operator's file with a mistake starts nothing.
#[rstest]
fn does_not_start_by_a_wrong_operators_file() {
    let (_folder, path) = file("operator.ini", "[control]\nservise = 127.0.0.1:1\n");
    let output = shard_broker(&["serve", "--config", "/nowhere", "--operator", &path]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(told.contains("line 2: `servise` is no key of [control]: `services` is the nearest"), "{told}");
}

/// Nobody is left to think that versions are followed by a program that can't.
#[cfg(not(feature = "config-rollout"))]
#[rstest]
fn says_that_it_is_built_without_versions() {
    let (_one, operator) = file("operator.ini", "[control]\nservices = 127.0.0.1:1\ninstallation = north\n");
    let (_other, config) = file("config.json", &config(&settings()).to_string());
    let output = shard_broker(&["serve", "--config", &config, "--operator", &operator]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(told.contains("built without it"), "{told}");
    assert_eq!(shard_broker(&["control", "status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
}

/// A broker that can't be asked is told apart from wrong words.
#[cfg(feature = "config-rollout")]
#[rstest]
fn tells_when_no_broker_answers() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(shard_broker(&["control", "status", "--at", &address]).status.code(), Some(3));
}

fn shape() -> String {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/shape.ini");
    shipped.to_str().unwrap().to_owned()
}

/// The new file is one that `check` finds sound; the old one stays as it is, and what stays behind is named.
#[rstest]
fn reshapes_a_file() {
    let mut old = config(&settings());
    old["settings"]["HostTypes"] = json!(["standard"]);
    old["known"] = json!({"revision": 1, "complete": true, "members": []});
    let (folder, path) = file("config.json", &old.to_string());
    let new = folder.path().join("new.json");
    let to = new.to_str().unwrap();
    let dry = shard_broker(&["reshape", &path, "--shape", &shape(), "--to", to, "--dry-run"]);
    let told = String::from_utf8(dry.stdout).unwrap();
    assert_eq!((dry.status.code(), new.exists()), (Some(0), false), "{told}");
    for key in ["`HostTypes`", "`known`", "nothing was written"] {
        assert!(told.contains(key), "{key} not in {told}");
    }
    let output =
        shard_broker(&["reshape", &path, "--shape", &shape(), "--zone", "mantova", "--to", to, "--json"]);
    let told: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&told["written"], told["left"].as_array().unwrap().len()), (&json!(true), 2));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), old.to_string());
    assert_eq!(shard_broker(&["check", to]).status.code(), Some(0));
    let made: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!((&made["settings"]["Zone"], &made["settings"]["Stats"]["Via"]), (&json!(2), &json!("pull")));
}

/// Nothing is written over, nothing is made of what can't be read or would not be served from.
#[rstest]
#[case("old", "exists")]
#[case("there", "exists")]
#[case("no old", "No such file")]
#[case("no shape", "No such file")]
#[case("not JSON", "can't be read")]
#[case("misspelt shape", "`cels` is no key of [layout]")]
#[case("out of range", "`Services[0].OnTimeMs` is -5: 1 to 600000 milliseconds is allowed")]
fn reshapes_nothing(#[case] what: &str, #[case] words: &str) {
    let mut old = config(&settings());
    if what == "out of range" {
        old["settings"]["Services"][0]["OnTimeMs"] = json!(-5);
    }
    let text = if what == "not JSON" { "{".to_owned() } else { old.to_string() };
    let (folder, mut path) = file("config.json", &text);
    let mut to = folder.path().join("new.json").to_str().unwrap().to_owned();
    let mut shape = shape();
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
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && told.contains(words), "{told}");
    if what == "there" {
        assert_eq!(std::fs::read_to_string(&to).unwrap(), "mine");
    }
    if what == "old" {
        assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    }
}

/// A setting that is unknown, missing or out of range is refused at the start, with its key and what is allowed.
#[rstest]
#[case("/Stats", json!({"Via": "push"}), "`Stats.Via` is \"push\": `piggyback` or `pull` or `silent` is allowed")]
#[case("/Limits/Probes", json!("yes"), "`Limits.Probes` is \"yes\": true or false is allowed")]
#[case("/Limits/Prbes", json!(true), "`Limits.Prbes` is unknown: `Limits.Probes` is the nearest key")]
#[case(
    "/Limits/MaxOpen",
    Value::Null,
    "`Limits.MaxOpen` is null: a whole number from 2 to 1000000 is allowed"
)]
fn refuses_a_wrong_setting_at_the_start(#[case] pointer: &str, #[case] to: Value, #[case] words: &str) {
    let mut wrong = settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    wrong.pointer_mut(parent).unwrap()[key] = to;
    let (_folder, path) = file("config.json", &config(&wrong).to_string());
    let output = shard_broker(&["serve", "--config", &path]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && told.contains(words), "{told}");
}
