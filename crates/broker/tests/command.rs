//! The command line, as a script sees it: exit codes, and what is told on which stream.

use rstest::rstest;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn barleydrum(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_barleydrum"));
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
        let output = barleydrum(&["check", path]);
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
    let output = barleydrum(&["check", &path]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{told}");
    for part in
        ["`Domain.MinShare[0]` is 1.5", "`Services[0].OnTimeMS` is unknown", "`Limits.MaxOpen` is \"many\""]
    {
        assert!(told.contains(part), "{part} not in {told}");
    }
    let output = barleydrum(&["check", "--json", &path]);
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
    let output = barleydrum(words);
    let all = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(all.contains(told), "{all}");
}

#[rstest]
fn helps_with_examples() {
    let output = barleydrum(&["--help"]);
    let told = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(told.contains("barleydrum check config.json") && told.contains("Exit codes"), "{told}");
}

/// An operator's file with a mistake starts nothing.
#[rstest]
fn does_not_start_by_a_wrong_operators_file() {
    let (_folder, path) = file("operator.ini", "[control]\nservise = 127.0.0.1:1\n");
    let output = barleydrum(&["serve", "--config", "/nowhere", "--operator", &path]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(told.contains("line 2: `servise` is no key of [control]: `services` is the nearest"), "{told}");
}

/// Nobody is left to think that versions are followed by a program that can't.
#[cfg(not(feature = "control"))]
#[rstest]
fn says_that_it_is_built_without_versions() {
    let (_one, operator) = file("operator.ini", "[control]\nservices = 127.0.0.1:1\ninstallation = north\n");
    let (_other, config) = file("config.json", &config(&settings()).to_string());
    let output = barleydrum(&["serve", "--config", &config, "--operator", &operator]);
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(told.contains("built without it"), "{told}");
    assert_eq!(barleydrum(&["control", "status", "--at", "127.0.0.1:1"]).status.code(), Some(2));
}

/// A broker that can't be asked is told apart from wrong words.
#[cfg(feature = "control")]
#[rstest]
fn tells_when_no_broker_answers() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(barleydrum(&["control", "status", "--at", &address]).status.code(), Some(3));
}
