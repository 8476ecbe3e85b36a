//! The largest deployment that the specification names.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};

/// Guards against applying a size limit meant for requests to the endpoint list, which would drop the list and
/// leave all queries unserved. The deployment has 3,200 nodes, and discovery sends an indented list far longer than
/// a request may be. The list must be used.
#[rstest]
fn uses_a_list_of_3200_nodes() {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["known"]["members"] = json!([]), |_| ()).await;
        let entry = |index: usize| {
            let mut entry = member(&cluster.nodes, 0, "ready");
            entry["id"] = json!(format!("s-{index:08x}"));
            entry
        };
        let members: Vec<Value> = (0..3200).map(entry).collect();
        cluster.discovery.next_request().await;
        let list = serde_json::to_string_pretty(&snapshot(7, &members)).unwrap();
        assert!(list.len() > 483_000, "{}", list.len());
        cluster.discovery.reply(list);
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members?after=7&wait_ms=4000");
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        cluster.answer_next_batch("a.3").await;
        assert_eq!(client.reply_status().await, 200);
    });
}
