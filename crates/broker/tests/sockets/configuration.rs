//! Configuration at startup, and its reload on SIGHUP.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};

/// Guards against a broker that ends or keeps using the old endpoint list after its discovery moved. SIGHUP makes
/// the broker read its config file again; some of the files are invalid. The broker must request the list at the
/// new address at once and use that list though its revision is lower; an invalid file must change nothing.
#[rstest]
fn follows_discovery_to_the_address_of_a_reloaded_config() {
    run_test(async {
        let mut old_cluster = TestCluster::start(2).await; // its nodes serve the process
        let mut new_discovery = Discovery::start().await;
        let config_path = std::env::temp_dir().join(format!("shard-broker-{}.json", std::process::id()));
        let write = |text: String| std::fs::write(&config_path, text).unwrap();
        let old_config = config(&old_cluster.nodes, &old_cluster.discovery.address().to_string());
        write(old_config.to_string());
        old_cluster.discovery.next_request().await;
        let process = Process::start(&config_path, &old_cluster.discovery.address().to_string());
        assert_eq!(old_cluster.discovery.next_request().await, "/catalog/members");
        for _ in 0..2 {
            old_cluster.discovery.reply(snapshot(41, &[]));
            assert_eq!(old_cluster.discovery.next_request().await, "/catalog/members?after=41&wait_ms=4000");
        }
        for invalid in ["{\"name\":", "{}", &old_config.to_string().replace("\"discovery\":", "\"else\":")] {
            write(invalid.to_owned());
            process.signal("HUP");
            process.wait_for_log("config reload failed");
        }
        write(config(&old_cluster.nodes, &new_discovery.address().to_string()).to_string());
        process.signal("HUP");
        assert_eq!(new_discovery.next_request().await, "/catalog/members");
        new_discovery.reply(snapshot(3, &[member(&old_cluster.nodes, 1, "ready")]));
        assert_eq!(new_discovery.next_request().await, "/catalog/members?after=3&wait_ms=4000");
        let mut client = Client::connect(process.listen_address).await;
        client.write(&query_request("a", "lookup", 9000, &body(ONE_SHARD))).await;
        assert_eq!(old_cluster.answer_next_batch("a.3").await, 1);
        assert_eq!(client.reply_status().await, 200);
        process.signal("TERM");
        process.wait_for_log("shut down");
        std::fs::remove_file(&config_path).unwrap();
    });
}

/// The error for a config file with one invalid value must name the key and the cause.
#[rstest]
#[case("/seed", json!("no number"), "`seed`")]
#[case("/listen", json!("everywhere"), "`listen` is `everywhere`")]
#[case("/discovery", Value::Null, "`discovery` is missing")]
#[case("/limits/sockets", json!(40), "40 sockets are too few")]
#[case("/limits/memory_mb", json!(1), "1 MB of memory")]
#[case("/settings/Domain", json!({}), "missing field `Cells`")]
#[case("/settings/Services/0/Effect", json!("none"), "`Effect` is `none`")]
#[case("/known/members/0/phase", json!("lost"), "unknown variant `lost`")]
fn reports_an_invalid_config(#[case] pointer: &str, #[case] value: Value, #[case] expected: &str) {
    run_test(async {
        let cluster = TestCluster::start(1).await;
        let mut text = config(&cluster.nodes, "127.0.0.1:1");
        *text.pointer_mut(pointer).unwrap() = value;
        let error = StartupConfig::read(text.to_string().as_bytes(), |_| None).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    });
}

#[rstest]
fn the_environment_overrides_the_config() {
    let env = |name: &str| (name == "EDGE_LISTEN").then(|| "127.0.0.7:99".to_owned());
    let startup = StartupConfig::read(config(&[], "127.0.0.1:1").to_string().as_bytes(), env).unwrap();
    assert_eq!((startup.listen.to_string(), &startup.name[..]), ("127.0.0.7:99".to_owned(), "n1"));
}
