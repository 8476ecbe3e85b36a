//! Fleets of the largest size that the pages name.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};

/// A fleet has 3,200 nodes, and discovery sends an indented list, far longer than a request may be. With a
/// bound meant for requests the list would be dropped, and no query served. The list must be used.
#[rstest]
fn uses_a_list_of_3200_nodes() {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["known"]["members"] = json!([]), |_| ()).await;
        let entry = |at: usize| {
            let mut entry = member(&cluster.nodes, 0, "ready");
            entry["id"] = json!(format!("s-{at:08x}"));
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
