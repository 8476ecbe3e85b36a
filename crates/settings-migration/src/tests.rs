//! Tests of the content of migrated files, and of the errors for invalid files.

use super::{DeploymentLayout, KEYS, migrate};
use rstest::rstest;
use serde_json::{Value, json};
use settings::FIELDS;

const SHAPE: &str = "[fleet]\nbrokers = 34\nzones = brescia, cremona, mantova\nzone = cremona\n
    [layout]\ncells = 396\nreach = 3\nshards = 396\nper_call = 1\n
    [load]\ntold = pull\nfields = qps,queue,util\nprobes = true\n[limits]\ncopies = false\n";

fn old() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": true, "members": []},
        "settings": {"Instances": 3, "PeriodMs": 5.0, "RegistryMode": "automatic",
            "Areas": ["north", "south"],
            "Zone": 1, "WeightKind": "nominal", "HostTypes": ["standard"], "Tenants": [],
            "Stats": {"Via": "piggyback", "Fields": ["queue"]},
            "Services": [{"Name": "lookup", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 1.0,
                "Effect": "idempotent"}],
            "Domain": {"Cells": 4, "Reach": 2, "Ranges": 8, "PerCall": 8,
                "CompleteFrom": [1.0], "MinShare": [1.0]},
            "Limits": {"MaxAttempts": 3, "MaxOpen": 111, "SecondCopies": true}, "Rules": {"Colour": 5}}})
}

#[rstest]
fn returns_the_new_file_and_the_omitted_keys() {
    let layout = DeploymentLayout::read(SHAPE).unwrap();
    let migrated = migrate(old().to_string().as_bytes(), &layout, None).unwrap();
    let new: Value = serde_json::from_str(&migrated.text).unwrap();
    let settings = &new["settings"];
    assert_eq!(
        (&settings["Areas"], &settings["Zone"]),
        (&json!(["brescia", "cremona", "mantova"]), &json!(1))
    );
    assert_eq!((&settings["Domain"]["Cells"], &settings["Domain"]["Reach"]), (&json!(396), &json!(3)));
    assert_eq!(settings["Stats"], json!({"Via": "pull", "Fields": ["qps", "queue", "util"]}));
    assert_eq!(
        (&settings["Limits"]["Probes"], &settings["Limits"]["SecondCopies"]),
        (&json!(true), &json!(false))
    );
    // Values that do not depend on the layout are unchanged.
    assert_eq!((&new["name"], &settings["Services"]), (&old()["name"], &old()["settings"]["Services"]));
    assert_eq!(settings["Limits"]["MaxOpen"], json!(111));
    assert!(settings::read(settings.to_string().as_bytes()).unwrap().broker_config.load_by_probe);
    let omitted: Vec<&str> = migrated.omitted_keys.iter().map(|omitted| &omitted.key[..]).collect();
    assert_eq!(omitted, ["Rules.Colour", "HostTypes", "WeightKind", "known"]);
}

/// The caller may provide the zone of a broker, which must be a zone of the new deployment.
#[rstest]
#[case(Some("mantova"), Ok(2))]
#[case(
    Some("north"),
    Err("unknown zone `north`, expected one of the zones in the shape file: brescia, cremona, mantova")
)]
#[case(None, Err("`zone` is missing"))]
fn caller_provides_the_zone_by_name(#[case] zone: Option<&str>, #[case] expected: Result<u64, &str>) {
    let layout = DeploymentLayout::read(&SHAPE.replace("zone = cremona\n", "")).unwrap();
    match (migrate(old().to_string().as_bytes(), &layout, zone), expected) {
        (Ok(migrated), Ok(index)) => {
            let new: Value = serde_json::from_str(&migrated.text).unwrap();
            assert_eq!(new["settings"]["Zone"], json!(index));
        }
        (Err(errors), Err(message)) => assert!(errors[0].to_string().contains(message), "{errors:?}"),
        (migrated, expected) => panic!("{migrated:?} for {expected:?}"),
    }
}

/// Values that depend on the layout must never be taken from the old file. If the layout lacks a required one, or has
/// one that conflicts with others, no file may be returned.
#[rstest]
#[case("cells = 396\n", "", "`Domain.Cells` is missing: a whole number from 1 to 65536 is needed")]
#[case("reach = 3", "reach = 400", "`Domain.Reach` is 400: at most `Domain.Cells`, 396, is allowed")]
#[case("brokers = 34\n", "", "`Instances` is missing")]
fn rejects_a_layout_without_valid_settings(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let layout = DeploymentLayout::read(&SHAPE.replace(from, to)).unwrap();
    let errors = migrate(old().to_string().as_bytes(), &layout, None).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().contains(message)), "{errors:?}");
}

#[rstest]
#[case(
    "cells = 396",
    "cells = many",
    "`cells` in section [layout] is `many`, expected a whole number from 1 to 65536"
)]
#[case(
    "cells = 396",
    "cells = 0",
    "`cells` in section [layout] is `0`, expected a whole number from 1 to 65536"
)]
#[case(
    "told = pull",
    "told = push",
    "`told` in section [load] is `push`, expected `piggyback` or `pull` or `silent`"
)]
#[case("probes = true", "probes = 1", "`probes` in section [load] is `1`, expected true or false")]
#[case("zones = brescia, cremona, mantova", "zones = ,", "expected a comma-separated list of names")]
#[case(
    "reach",
    "raech",
    "unknown key `raech` in section [layout]; did you mean `reach` in section [layout]?"
)]
#[case("[limits]", "[limmits]", "unknown key `copies` in section [limmits]")]
fn layout_error_states_key_and_expected_values(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let errors = DeploymentLayout::read(&SHAPE.replace(from, to)).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().contains(message)), "{errors:?}");
}

#[rstest]
#[case(b"", "failed to parse the old file")]
#[case(b"[1]", "failed to parse the old file")]
#[case(b"{\"settings\": 3}", "expected an object at `settings`")]
fn rejects_an_old_file_without_settings(#[case] old: &[u8], #[case] message: &str) {
    let errors = migrate(old, &DeploymentLayout::read(SHAPE).unwrap(), None).unwrap_err();
    assert!(errors[0].to_string().contains(message), "{errors:?}");
}

/// Each key of the shape file must set a known settings key.
#[rstest]
fn every_key_sets_a_known_settings_key() {
    for key in KEYS {
        assert!(FIELDS.iter().any(|field| field.key == key.settings_key), "{}", key.settings_key);
    }
}
