//! Discovery: snapshots, deltas, watches, and an agent that does not answer.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Discovery sends a snapshot, a delta, and then a list that can't be read. The last one must change nothing,
/// and the complete list must be requested again; draining nodes must get no queries.
#[rstest]
fn watches_the_endpoint_list() {
    run_test(async {
        let mut cluster = TestCluster::start(2).await;
        let list_of = |cluster: &TestCluster, revision: u64, complete: bool, members: &[(usize, &str)]| {
            let members: Vec<Value> =
                members.iter().map(|(at, phase)| member(&cluster.nodes, *at, phase)).collect();
            json!({"revision": revision, "complete": complete, "members": members})
        };
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
        cluster.discovery.reply(list_of(&cluster, 41, true, &[(0, "ready"), (1, "ready")]));
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members?after=41&wait_ms=4000");
        let answered = Instant::now();
        cluster.discovery.reply(list_of(&cluster, 43, false, &[(0, "draining")]));
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members?after=43&wait_ms=4000");
        assert!(answered.elapsed() < Duration::from_millis(200));
        // An invalid list changes nothing, and a snapshot is requested again.
        cluster.discovery.reply("{\"revision\":44,\"complete\":true,\"members\":[{\"id\":7}]}");
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
        for id in ["a", "b", "c", "d"] {
            let mut client = cluster.send_query(id, "lookup", ONE_SHARD).await;
            let (node, connection, shard_requests) = cluster.next_batch().await;
            assert_eq!(node, 1, "the other drains");
            cluster.nodes[1].respond(connection, &shard_requests[0].id, 'S', "v").await;
            assert_eq!(client.reply_status().await, 200);
        }
    });
}

/// A local agent does not answer for a long time. With a backoff the broker would miss a drain for seconds
/// after the agent answers again. It must be asked at the same interval however often that failed, and its list
/// must be used as soon as it answers.
#[rstest]
fn calls_a_silent_agent_until_it_answers() {
    run_test(async {
        let waits =
            |startup: &mut StartupConfig| startup.limits.discovery.list_timeout = Duration::from_millis(300);
        let mut cluster = TestCluster::start_with(1, use_local_agent, waits).await;
        // Doubling from two and a half seconds, twenty calls take minutes.
        let twenty = async {
            for _ in 0..20 {
                assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
            }
        };
        tokio::time::timeout(Duration::from_secs(30), twenty).await.expect("twenty calls");
        let list = snapshot(2, &[member(&cluster.nodes, 0, "ready")]);
        // Most of those requests were given up, but each of them uses up a reply.
        (0..60).for_each(|_| cluster.discovery.reply(&list));
        while cluster.discovery.next_request().await != "/catalog/members?after=2&wait_ms=4000" {}
    });
}

/// A local agent accepts requests and never answers. If all of them waited, they would use up the descriptors
/// set aside for discovery. They must be given up in time: no more than 20 may be open.
#[rstest]
fn few_calls_wait_at_a_silent_agent() {
    run_test(async {
        let agent = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = agent.local_addr().unwrap();
        let _cluster =
            TestCluster::start_with(1, use_local_agent, move |startup| startup.discovery = address).await;
        let (open, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        // By the watch alone, five seconds, fifty would wait.
        for _ in 0..40 {
            let (mut stream, _) = agent.accept().await.unwrap();
            open.set(open.get() + 1);
            most.set(most.get().max(open.get()));
            let open = open.clone();
            tokio::task::spawn_local(async move {
                // Reads to the end, and writes nothing.
                _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                open.set(open.get() - 1);
            });
        }
        assert!(most.get() <= 20, "{}", most.get());
    });
}

/// A list request is never answered, and must be followed by another. A watch without a change is silent, too,
/// as it was asked to be: it must be waited for.
#[rstest]
fn distinguishes_a_long_watch_from_silence() {
    run_test(async {
        let waits = |startup: &mut StartupConfig| {
            startup.limits.discovery.watch_wait = Duration::from_secs(8);
            startup.limits.discovery.watch_slack = Duration::from_millis(300);
            startup.limits.discovery.list_timeout = Duration::from_millis(300);
        };
        let mut cluster = TestCluster::start_with(1, use_local_agent, waits).await;
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
        assert_eq!(
            cluster.discovery.next_request().await,
            "/catalog/members",
            "the first was never answered"
        );
        let members = [member(&cluster.nodes, 0, "ready")];
        let list = snapshot(2, &members);
        // One for the request that was given up, one for the next.
        cluster.discovery.reply(&list);
        cluster.discovery.reply(&list);
        let watch = "/catalog/members?after=2&wait_ms=8000";
        assert_eq!(cluster.discovery.next_request().await, watch);
        sleep_ms(5500).await; // longer than the HTTP client waits by default
        cluster.discovery.reply(json!({"revision": 2, "complete": false, "members": []}));
        assert_eq!(cluster.discovery.next_request().await, watch);
    });
}

#[rstest]
fn is_ready_once_it_knows_a_node() {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(1, |config| config["known"]["members"] = json!([]), |_| ()).await;
        let mut client = cluster.client().await;
        client.write(HEALTH_REQUEST).await;
        assert_eq!(client.reply_status().await, 503);
        cluster.discovery.next_request().await;
        let members = [member(&cluster.nodes, 0, "ready")];
        cluster.discovery.reply(snapshot(2, &members));
        cluster.discovery.next_request().await;
        client.write(HEALTH_REQUEST).await;
        assert_eq!(client.reply_status().await, 200);
    });
}

/// Discovery answers later than the next list request is due. If each request were given up for the next one,
/// the broker would never have a list. The answer to the first request must be used, though others were sent
/// since and none of them is answered.
#[rstest]
fn uses_a_list_that_comes_late() {
    for is_agent in [true, false] {
        run_test(async move {
            let slow = |startup: &mut StartupConfig| {
                startup.limits.discovery.list_timeout = Duration::from_millis(300);
            };
            let unknown = move |config: &mut Value| {
                config["known"]["members"] = json!([]);
                config["settings"]["RegistryMode"] = json!(if is_agent { "automatic" } else { "subscribe" });
            };
            let mut cluster = TestCluster::start_with(1, unknown, slow).await;
            // At an agent the seventh request comes 0.6 s after the first; others are given up after 0.3 s.
            for _ in 0..if is_agent { 7 } else { 2 } {
                assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
            }
            // This answers the first request, the one that has waited longest.
            cluster.discovery.reply(snapshot(2, &[member(&cluster.nodes, 0, "ready")]));
            wait_until(|| cluster.broker.engine.can_serve()).await;
            while cluster.discovery.next_request().await != "/catalog/members?after=2&wait_ms=4000" {}
        });
    }
}

/// Reloads follow each other within milliseconds. If each asked for the complete list, they would load
/// discovery. It must be asked where the last one says, and far less often than there are reloads.
#[rstest]
fn asks_seldom_after_many_reloads() {
    run_test(async {
        let mut cluster = TestCluster::start_with(1, use_local_agent, |_| ()).await;
        let list = snapshot(2, &[member(&cluster.nodes, 0, "ready")]);
        let (address, reloads) = (cluster.discovery.address(), 100);
        for _ in 0..reloads {
            cluster.discovery.reply(&list);
            cluster.broker.discovery_address.send_replace(address);
            sleep_ms(5).await;
        }
        let mut calls = 0;
        // Nothing is answered any more, so that this ends.
        while let Ok(path) =
            tokio::time::timeout(Duration::from_millis(30), cluster.discovery.next_request()).await
        {
            calls += usize::from(path == "/catalog/members");
        }
        assert!((2..=reloads / 4).contains(&calls), "{calls} calls for {reloads} reloads");
    });
}
