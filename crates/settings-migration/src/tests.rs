//! What a migration carries over, and what it says of files that are wrong.

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
fn makes_the_new_file_and_lists_what_is_left_behind() {
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
    // What the layout does not decide is as it was.
    assert_eq!((&new["name"], &settings["Services"]), (&old()["name"], &old()["settings"]["Services"]));
    assert_eq!(settings["Limits"]["MaxOpen"], json!(111));
    assert!(settings::read(settings.to_string().as_bytes()).unwrap().broker_config.load_by_probe);
    let left: Vec<&str> = migrated.omitted_keys.iter().map(|left| &left.key[..]).collect();
    assert_eq!(left, ["Rules.Colour", "HostTypes", "WeightKind", "known"]);
}

/// A broker's zone may be stated for it alone; it must be one of the new ones.
#[rstest]
#[case(Some("mantova"), Ok(2))]
#[case(Some("north"), Err("zone `north` is none of brescia, cremona, mantova"))]
#[case(None, Err("`zone` is missing"))]
fn a_zone_is_stated_by_name(#[case] zone: Option<&str>, #[case] expected: Result<u64, &str>) {
    let layout = DeploymentLayout::read(&SHAPE.replace("zone = cremona\n", "")).unwrap();
    match (migrate(old().to_string().as_bytes(), &layout, zone), expected) {
        (Ok(migrated), Ok(index)) => {
            let new: Value = serde_json::from_str(&migrated.text).unwrap();
            assert_eq!(new["settings"]["Zone"], json!(index));
        }
        (Err(errors), Err(words)) => assert!(errors[0].to_string().contains(words), "{errors:?}"),
        (migrated, expected) => panic!("{migrated:?} for {expected:?}"),
    }
}

/// What the layout decides is never taken from the old file, and nothing is made where it lacks.
#[rstest]
#[case("cells = 396\n", "", "`Domain.Cells` is missing: a whole number from 1 to 65536 is needed")]
#[case("reach = 3", "reach = 400", "`Domain.Reach` is 400: at most `Domain.Cells`, 396, is allowed")]
#[case("brokers = 34\n", "", "`Instances` is missing")]
fn nothing_is_made_that_could_not_be_served_from(#[case] from: &str, #[case] to: &str, #[case] words: &str) {
    let layout = DeploymentLayout::read(&SHAPE.replace(from, to)).unwrap();
    let errors = migrate(old().to_string().as_bytes(), &layout, None).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().contains(words)), "{errors:?}");
}

#[rstest]
#[case(
    "cells = 396",
    "cells = many",
    "`cells` of [layout] is `many`: a whole number from 1 to 65536 is allowed"
)]
#[case("cells = 396", "cells = 0", "`cells` of [layout] is `0`: a whole number from 1 to 65536 is allowed")]
#[case(
    "told = pull",
    "told = push",
    "`told` of [load] is `push`: `piggyback` or `pull` or `silent` is allowed"
)]
#[case("probes = true", "probes = 1", "`probes` of [load] is `1`: true or false is allowed")]
#[case("zones = brescia, cremona, mantova", "zones = ,", "names, with commas between them")]
#[case("reach", "raech", "`raech` is no key of [layout]: `reach of [layout]` is the nearest")]
#[case("[limits]", "[limmits]", "`copies` is no key of [limmits]")]
fn says_what_is_wrong_in_a_shape_file(#[case] from: &str, #[case] to: &str, #[case] words: &str) {
    let errors = DeploymentLayout::read(&SHAPE.replace(from, to)).unwrap_err();
    assert!(errors.iter().any(|error| error.to_string().contains(words)), "{errors:?}");
}

#[rstest]
#[case(b"", "can't be read")]
#[case(b"[1]", "can't be read")]
#[case(b"{\"settings\": 3}", "`settings` is no object")]
fn an_old_file_that_is_none(#[case] old: &[u8], #[case] words: &str) {
    let errors = migrate(old, &DeploymentLayout::read(SHAPE).unwrap(), None).unwrap_err();
    assert!(errors[0].to_string().contains(words), "{errors:?}");
}

/// Every key goes to one that the settings have.
#[rstest]
fn every_key_has_its_place() {
    for key in KEYS {
        assert!(FIELDS.iter().any(|field| field.key == key.settings_key), "{}", key.settings_key);
    }
}
