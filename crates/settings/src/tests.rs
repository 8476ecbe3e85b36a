//! Tests of parsing, validating and comparing settings, and of updates of a running broker.

use super::{
    ApplyMode, BrokerSettings, Document, FIELDS, SettingsUpdate, ValidationError, check, compare,
    prepare_update,
};
use routing::{ClassId, Idempotency, TimeSpan, ZoneId};
use rstest::rstest;
use serde_json::{Value, json};

/// Returns a valid document.
fn valid() -> Value {
    json!({"Instances": 3, "Zone": 1, "Me": 2, "PeriodMs": 5.0, "RegistryMode": "automatic",
        "Areas": ["north", "south"],
        "Tenants": [{"Name": "clinic", "QuotaRps": 2.5}, {"Name": "school", "QuotaRps": 5}],
        "Services": [
            {"Name": "report", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 3.0,
                "Effect": "deduplicated", "DedupWindowMs": 5000},
            {"Name": "lookup", "OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 1.0,
                "Effect": "idempotent"}],
        "Domain": {"Cells": 4, "Reach": 2, "Ranges": 8, "CompleteFrom": [1.0, 1.0], "MinShare": [0.4, 1.0]},
        "Limits": {"MaxAttempts": 3, "MaxOpen": 111, "ConnIdleMs": 15000.0, "StreamsPerConn": 32},
        "Rules": {"ColdFrom": 0.2, "WarmUpMs": 17000, "OverloadFactor": 3, "OverloadForMs": 1000},
        "Stats": {"Fields": ["queue"]}})
}

fn document(value: &Value) -> Document {
    Document::parse(value.to_string().as_bytes(), 1 << 20).unwrap()
}

/// Returns the valid document with the value at a JSON pointer replaced, or removed if `replacement` is `null`.
fn with(pointer: &str, replacement: Value) -> Value {
    let mut value = valid();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match value.pointer_mut(parent).unwrap() {
        Value::Object(all) if replacement.is_null() => _ = all.remove(key),
        Value::Object(all) => _ = all.insert(key.to_owned(), replacement),
        Value::Array(all) => all[key.parse::<usize>().unwrap()] = replacement,
        _ => unreachable!(),
    }
    value
}

#[rstest]
fn reads_broker_config_and_front_end_settings() {
    let text = with("/Surprise", json!([1])).to_string();
    let BrokerSettings { broker_config: read, names, zones, connections, load_report } =
        super::read(text.as_bytes()).unwrap();
    assert_eq!((read.period, read.limits.max_open, read.watch_on_request), (TimeSpan(50), 111, false));
    let class = &read.classes[&ClassId(0)];
    assert_eq!((class.idempotency, class.min_coverage), (Idempotency::IdempotencyKey, 0.4));
    assert!(read.rules.retry_budget.is_none());
    assert_eq!(
        (names.class_id("report"), names.tenant_id("school").map(|id| id.0)),
        (Some(ClassId(0)), Some(1))
    );
    assert_eq!((&zones[0][..], read.tenants[&routing::TenantId(0)].quota_per_s), ("north", 2.5));
    assert_eq!((load_report, read.load_by_probe), (vec![routing::LoadMetric::QueueLength], false));
    assert_eq!(
        (connections.idle_timeout, connections.connect_timeout, connections.max_shard_requests),
        (Some(TimeSpan(150_000)), None, Some(32))
    );
}

/// Load is reported by probes only if `Stats.Via` is `pull` and `Limits.Probes` is true. Settings without these keys
/// must keep their earlier meaning, without probes.
#[rstest]
#[case(json!({"Via": "pull"}), json!(true), true)]
#[case(json!({"Via": "pull"}), json!(false), false)]
#[case(json!({"Via": "pull"}), Value::Null, false)]
#[case(json!({"Via": "piggyback"}), json!(true), false)]
#[case(Value::Null, json!(true), false)]
fn load_by_probe_needs_both_keys(#[case] stats: Value, #[case] probes: Value, #[case] expected: bool) {
    let mut value = with("/Stats", stats);
    value["Limits"]["Probes"] = probes;
    value["Limits"].as_object_mut().unwrap().retain(|_, value| !value.is_null());
    let read = super::read(value.to_string().as_bytes()).unwrap();
    assert_eq!(read.broker_config.load_by_probe, expected);
}

/// An error must name the key that is missing or invalid. The broker logs these texts.
#[rstest]
#[case("/Domain/MinShare", json!([]), "settings: `MinShare` is too short")]
#[case("/Domain/CompleteFrom", json!([1.0]), "settings: `CompleteFrom` is too short")]
#[case("/Services/1/Effect", json!("twice"), "settings: `Effect` is `twice`")]
#[case("/PeriodMs", Value::Null, "settings: missing field `PeriodMs` at line 1 column ")]
fn read_error_names_the_key(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    let error = super::read(with(pointer, value).to_string().as_bytes()).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[rstest]
fn accepts_a_valid_document() {
    assert_eq!(check(&document(&valid())), []);
}

/// Each error must state the key, the value and the allowed values.
#[rstest]
#[case("/Domain/MinShare/0", json!(1.5), "`Domain.MinShare[0]` is 1.5: a share from 0 to 1 is allowed")]
#[case(
    "/Domain/MinShare/0",
    json!("much"),
    "`Domain.MinShare[0]` is \"much\": a share from 0 to 1 is allowed"
)]
#[case(
    "/Domain/CompleteFrom",
    json!([0.3, 1]),
    "`Domain.MinShare[0]` is 0.4: at most `CompleteFrom[0]`, 0.3, is allowed"
)]
#[case(
    "/Domain/CompleteFrom",
    json!([1.0]),
    "`Domain.CompleteFrom` is a list of 1: one for each of `Services`, 2, is allowed"
)]
#[case("/Stats/Via", json!("push"), "`Stats.Via` is \"push\": `piggyback` or `pull` or `silent` is allowed")]
#[case("/Stats/Fields", json!("queue"), "`Stats.Fields` is \"queue\": a list is allowed")]
#[case("/Limits/Probes", json!("yes"), "`Limits.Probes` is \"yes\": true or false is allowed")]
#[case("/Domain/Reach", json!(0), "`Domain.Reach` is 0: a whole number from 1 to 65536 is allowed")]
#[case("/Domain/Reach", json!(5), "`Domain.Reach` is 5: at most `Domain.Cells`, 4, is allowed")]
#[case("/Domain/Cells", json!(2.5), "`Domain.Cells` is 2.5: a whole number from 1 to 65536 is allowed")]
#[case(
    "/Services/1/OnTimeMs",
    json!(6000),
    "`Services[1].OnTimeMs` is 6000: at most `DeadlineMs`, 5000, is allowed"
)]
#[case(
    "/Services/1/OnTimeMs",
    json!(20),
    "`Services[1].OnTimeMs` is 20: more than four times `PeriodMs`, 20, is allowed"
)]
#[case(
    "/Services/1/OnTimeMs",
    Value::Null,
    "`Services[1].OnTimeMs` is missing: 1 to 600000 milliseconds is needed"
)]
#[case(
    "/Services/1/Name",
    json!("report"),
    "`Services[1].Name` is \"report\" once more: each name once is allowed"
)]
#[case(
    "/Services/0/DedupWindowMs",
    json!(0),
    "`Services[0].DedupWindowMs` is 0: more than 0 where `Effect` is `deduplicated` is allowed"
)]
#[case(
    "/Services/0/Effect",
    json!("twice"),
    "`Services[0].Effect` is \"twice\": `idempotent` or `deduplicated` or `at_most_once` is allowed"
)]
#[case("/Services", json!({}), "`Services` is an object: a list is allowed")]
#[case(
    "/Tenants/1/QuotaRps",
    json!(-1),
    "`Tenants[1].QuotaRps` is -1: a number from 0 to 1000000000 is allowed"
)]
#[case(
    "/Tenants/1/QuotaRPS",
    json!(1),
    "`Tenants[1].QuotaRPS` is unknown: `Tenants[].QuotaRps` is the nearest key"
)]
#[case(
    "/Rules/BudgetWindow",
    json!(1),
    "`Rules.BudgetWindow` is unknown: `Rules.BudgetWindowMs` is the nearest key"
)]
#[case(
    "/Rules/ResendRatio",
    json!(0.1),
    "`Rules.BudgetWindowMs` is missing: a window where `ExtraFloor` or `ResendRatio` stand is needed"
)]
#[case(
    "/Rules/ColdFrom",
    json!(0),
    "`Rules.ColdFrom` is 0: more than 0 where `WarmUpMs` is more than 0 is allowed"
)]
#[case(
    "/Limits/MaxOpen",
    json!(1e300),
    "`Limits.MaxOpen` is 1e+300: a whole number from 2 to 1000000 is allowed"
)]
#[case("/Zone", json!(2), "`Zone` is 2: a place in `Areas`, less than 2, is allowed")]
#[case("/Domain", Value::Null, "`Domain` is missing: what `Domain.Cells` stands in is needed")]
fn error_states_key_value_and_allowed_values(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let errors: Vec<String> =
        check(&document(&with(pointer, value))).iter().map(ValidationError::to_string).collect();
    assert!(errors.iter().any(|error| error == expected), "{errors:#?}");
}

#[rstest]
fn lists_all_errors_at_once() {
    let mut value = with("/Domain/MinShare/0", json!(2));
    value["Services"][1]["Worth"] = json!("x");
    value["Limits"]["MaxOpen"] = json!(0);
    assert_eq!(check(&document(&value)).len(), 3);
}

#[rstest]
#[case(&b"{\"Instances\": 3, \"Serv"[..], "line 1, column 22: EOF while parsing a string")]
#[case(&b"[]"[..], "not an object but a list")]
#[case(&[b'['; 4000][..], "line 1, column 128: recursion limit exceeded")]
#[case(&[b' '; 5000][..], "5000 bytes, at most 4096 are allowed")]
fn document_error_states_the_reason(#[case] text: &[u8], #[case] expected: &str) {
    assert_eq!(Document::parse(text, 4096).unwrap_err().to_string(), expected);
}

/// Equivalent texts must have the same canonical form, or their digests would differ.
#[rstest]
fn equivalent_documents_have_one_canonical_form() {
    let [a, b] = [&br#"{"b": 5.0, "a": [1e2]}"#[..], &b"{\n\"a\":[100],\"b\":5}"[..]];
    let canonical = |text| Document::parse(text, 100).unwrap().canonical();
    assert_eq!(
        (canonical(a), canonical(b)),
        (b"{\"a\":[100],\"b\":5}".to_vec(), b"{\"a\":[100],\"b\":5}".to_vec())
    );
}

fn update_valid(new: &Value) -> Result<SettingsUpdate, Vec<ValidationError>> {
    let running = document(&valid());
    let names = super::read(valid().to_string().as_bytes()).unwrap().names;
    prepare_update(&running, &names, &document(new))
}

/// A name must keep its id even after it is removed, and a new name must get an unused id. Routing state is stored by
/// id and would otherwise be attributed to another request class or tenant.
#[rstest]
fn names_keep_their_ids() {
    let mut new = valid();
    new["Services"][0] =
        json!({"Name": "bulk", "OnTimeMs": 100, "DeadlineMs": 500, "Worth": 1, "Effect": "idempotent"});
    new["Services"].as_array_mut().unwrap().reverse();
    new["Tenants"] = json!([{"Name": "school", "QuotaRps": 9}]);
    let update = update_valid(&new).unwrap();
    let objectives: Vec<_> = update
        .broker_settings
        .broker_config
        .classes
        .iter()
        .map(|(id, item)| (id.0, item.latency_objective.0))
        .collect();
    assert_eq!(objectives, [(1, 20_000), (2, 1000)]);
    let tenants: Vec<_> = update
        .broker_settings
        .broker_config
        .tenants
        .iter()
        .map(|(id, item)| (id.0, item.quota_per_s))
        .collect();
    assert_eq!(tenants, [(1, 9.0)]);
    assert_eq!(update.broker_settings.names.class_id("report"), Some(ClassId(0)));
}

/// Per-broker keys that a new document leaves out are filled in. The zone is found by its name, because the new
/// document may list zones in another order.
#[rstest]
fn fills_in_per_broker_keys() {
    let mut new = with("/Zone", Value::Null);
    new["Areas"] = json!(["south", "east", "north"]);
    new.as_object_mut().unwrap().remove("Me");
    let update = update_valid(&new).unwrap();
    assert_eq!(update.broker_settings.broker_config.zone, ZoneId(0));
    assert!(
        update
            .changes
            .iter()
            .all(|change| matches!(change.applies, ApplyMode::Immediately | ApplyMode::PerBroker))
    );
}

#[rstest]
#[case("/PeriodMs", json!(2), "`PeriodMs` is 2, the broker runs with 5.0: that needs a restart")]
#[case(
    "/Limits/ConnIdleMs",
    Value::Null,
    "`Limits.ConnIdleMs` is its default, the broker runs with 15000.0: that needs a restart"
)]
#[case("/Zone", json!(0), "`Zone` is north, the broker runs with south: that needs a restart")]
#[case("/Me", json!(0), "`Me` is 0, the broker runs with 2: that needs a restart")]
#[case("/Domain/MinShare/0", json!(2), "`Domain.MinShare[0]` is 2: a share from 0 to 1 is allowed")]
fn rejects_updates_that_cannot_be_applied(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let errors: Vec<String> =
        update_valid(&with(pointer, value)).unwrap_err().iter().map(ValidationError::to_string).collect();
    assert_eq!(errors, [expected]);
}

/// A list in another order is not a change. Each change states the key, the name of the list item, and when it takes
/// effect.
#[rstest]
fn compares_list_items_by_name() {
    let mut new = valid();
    new["Tenants"].as_array_mut().unwrap().reverse();
    assert_eq!(compare(&document(&valid()), &document(&new)), []);
    new["Tenants"][0]["QuotaRps"] = json!(7);
    new["Limits"]["MaxOpen"] = json!(50);
    new["Stages"] = json!(["other"]);
    let changes: Vec<_> = compare(&document(&valid()), &document(&new))
        .into_iter()
        .map(|change| (change.field, change.applies))
        .collect();
    assert_eq!(
        changes,
        [
            ("Limits.MaxOpen".to_owned(), ApplyMode::Immediately),
            ("Tenants[school].QuotaRps".to_owned(), ApplyMode::NewQueries)
        ]
    );
}

/// Look-ups return the first row of a key, so a second row would have no effect.
#[rstest]
fn table_has_one_row_per_key() {
    let keys: std::collections::BTreeSet<&str> = FIELDS.iter().map(|field| field.key).collect();
    assert_eq!(keys.len(), FIELDS.len());
}

/// Property test with arbitrary values in one or two places of a document. The check must either reject the
/// document, or accept one that a broker can read and run with.
mod arbitrary_values {
    use super::{check, compare, document, prepare_update, valid};
    use proptest::prelude::*;
    use routing::Timestamp;
    use serde_json::{Value, json};

    /// Returns the seed from PROPTEST_RNG_SEED, or 1, so that each run generates the same values. A failure prints
    /// the values that caused it.
    fn seed() -> proptest::test_runner::RngSeed {
        let from_env = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
        proptest::test_runner::RngSeed::Fixed(from_env.unwrap_or(1))
    }

    fn value() -> impl Strategy<Value = Value> {
        let leaf = prop_oneof![
            Just(Value::Null),
            any::<bool>().prop_map(Value::from),
            any::<i64>().prop_map(Value::from),
            any::<f64>().prop_map(Value::from),
            (-2.0..6000.0_f64).prop_map(Value::from),
            (0..9_u64).prop_map(Value::from),
            "[a-z_]{0,12}".prop_map(Value::from),
            Just(json!("at_most_once")),
        ];
        leaf.prop_recursive(2, 8, 3, |inner| {
            prop_oneof![
                proptest::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
                ("[A-Z][a-z]{1,6}", inner).prop_map(|(key, value)| json!({ key: value })),
            ]
        })
    }

    fn collect_pointers(value: &Value, pointer: &str, all: &mut Vec<String>) {
        all.push(pointer.to_owned());
        match value {
            Value::Object(object) => {
                object.iter().for_each(|(key, v)| collect_pointers(v, &format!("{pointer}/{key}"), all));
            }
            Value::Array(list) => {
                list.iter()
                    .enumerate()
                    .for_each(|(index, v)| collect_pointers(v, &format!("{pointer}/{index}"), all));
            }
            _ => {}
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 1000,
            failure_persistence: None,
            rng_seed: seed(),
            ..ProptestConfig::default()
        })]

        #[test]
        fn accepted_document_can_be_read_and_applied(
            changes in proptest::collection::vec((any::<prop::sample::Index>(), value()), 1..3)
        ) {
            let mut text = valid();
            for (index, replacement) in changes {
                let mut all = Vec::new();
                collect_pointers(&text, "", &mut all);
                let pointer: &String = index.get(&all[..]);
                if let Some(value) = text.pointer_mut(pointer).filter(|_| !pointer.is_empty()) {
                    *value = replacement;
                }
            }
            let document = document(&text);
            if check(&document).is_empty() {
                let read = super::super::read(text.to_string().as_bytes()).unwrap();
                let mut broker = routing::Broker::start(read.broker_config, 1, Timestamp(0));
                broker.turn(Timestamp(10), &[routing::Input::Woken]);
                // A document has no changes from itself and can be applied to a broker that runs with it.
                prop_assert_eq!(compare(&document, &document), vec![]);
                prop_assert!(prepare_update(&document, &read.names, &document).is_ok());
            }
        }
    }
}
