//! Discovery: snapshots, deltas, watches, and an agent that does not answer.

use super::test_peers::*;
use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Discovery sends a snapshot, a delta, and then an invalid list. The invalid list must change nothing, and a
/// snapshot must be requested again; draining nodes must receive no queries.
#[rstest]
fn watches_the_endpoint_list() {
    run_test(async {
        let mut cluster = TestCluster::start(2).await;
        let list_of = |cluster: &TestCluster, revision: u64, complete: bool, members: &[(usize, &str)]| {
            let members: Vec<Value> =
                members.iter().map(|(index, phase)| member(&cluster.nodes, *index, phase)).collect();
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
            assert_eq!(node, 1, "expected the node that is not draining");
            cluster.nodes[1].respond(connection, &shard_requests[0].id, 'S', "v").await;
            assert_eq!(client.reply_status().await, 200);
        }
    });
}

/// Guards against a backoff between list requests, by which the broker would miss a drain for seconds after an
/// unresponsive local agent recovers. The interval of the requests must stay the same however many have failed, and
/// the list must be used as soon as the agent answers.
#[rstest]
fn polls_an_unresponsive_agent_at_a_constant_interval() {
    run_test(async {
        let set_timeouts =
            |startup: &mut StartupConfig| startup.limits.discovery.list_timeout = Duration::from_millis(300);
        let mut cluster = TestCluster::start_with(1, use_local_agent, set_timeouts).await;
        // With an interval that doubles from 2.5 s, twenty requests would take minutes.
        let twenty_requests = async {
            for _ in 0..20 {
                assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
            }
        };
        tokio::time::timeout(Duration::from_secs(30), twenty_requests)
            .await
            .expect("fewer than twenty requests within 30 s");
        let list = snapshot(2, &[member(&cluster.nodes, 0, "ready")]);
        // Most of those requests have timed out, but each of them consumes a reply.
        (0..60).for_each(|_| cluster.discovery.reply(&list));
        while cluster.discovery.next_request().await != "/catalog/members?after=2&wait_ms=4000" {}
    });
}

/// Guards against using up the descriptors reserved for discovery. A local agent accepts requests and never
/// answers. The requests must time out, so that no more than 20 are open at once.
#[rstest]
fn limits_open_requests_to_an_unresponsive_agent() {
    run_test(async {
        let agent = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = agent.local_addr().unwrap();
        let _cluster =
            TestCluster::start_with(1, use_local_agent, move |startup| startup.discovery = address).await;
        let (open, max_open) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        // With only the timeout of the watch, five seconds, fifty requests would wait.
        for _ in 0..40 {
            let (mut stream, _) = agent.accept().await.unwrap();
            open.set(open.get() + 1);
            max_open.set(max_open.get().max(open.get()));
            let open = open.clone();
            tokio::task::spawn_local(async move {
                // Reads until the broker closes the connection, and never answers.
                _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                open.set(open.get() - 1);
            });
        }
        assert!(max_open.get() <= 20, "{}", max_open.get());
    });
}

/// A list request that is not answered must be followed by another. A watch without a change is silent too, as it
/// was asked to be, and must not be given up.
#[rstest]
fn distinguishes_a_long_watch_from_an_unanswered_request() {
    run_test(async {
        let set_timeouts = |startup: &mut StartupConfig| {
            startup.limits.discovery.watch_wait = Duration::from_secs(8);
            startup.limits.discovery.watch_slack = Duration::from_millis(300);
            startup.limits.discovery.list_timeout = Duration::from_millis(300);
        };
        let mut cluster = TestCluster::start_with(1, use_local_agent, set_timeouts).await;
        assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
        assert_eq!(
            cluster.discovery.next_request().await,
            "/catalog/members",
            "expected another list request, as the first was not answered"
        );
        let members = [member(&cluster.nodes, 0, "ready")];
        let list = snapshot(2, &members);
        // The first reply is consumed by the request that timed out, the second by the next one.
        cluster.discovery.reply(&list);
        cluster.discovery.reply(&list);
        let watch = "/catalog/members?after=2&wait_ms=8000";
        assert_eq!(cluster.discovery.next_request().await, watch);
        sleep_ms(5500).await; // longer than the default timeout of the HTTP client
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

/// Guards against a broker that never gets a list because it gives up each request for the next one. Discovery
/// answers later than the next list request is due. The response to the first request must be used, though others
/// were sent since and none of them is answered.
#[rstest]
fn uses_a_late_response() {
    for is_local_agent in [true, false] {
        run_test(async move {
            let set_timeouts = |startup: &mut StartupConfig| {
                startup.limits.discovery.list_timeout = Duration::from_millis(300);
            };
            let change_config = move |config: &mut Value| {
                config["known"]["members"] = json!([]);
                config["settings"]["RegistryMode"] =
                    json!(if is_local_agent { "automatic" } else { "subscribe" });
            };
            let mut cluster = TestCluster::start_with(1, change_config, set_timeouts).await;
            // The seventh request to an agent comes 0.6 s after the first; other discovery requests time out after
            // 0.3 s.
            for _ in 0..if is_local_agent { 7 } else { 2 } {
                assert_eq!(cluster.discovery.next_request().await, "/catalog/members");
            }
            // This reply answers the first request, which has waited longest.
            cluster.discovery.reply(snapshot(2, &[member(&cluster.nodes, 0, "ready")]));
            wait_until(|| cluster.broker.engine.can_serve()).await;
            while cluster.discovery.next_request().await != "/catalog/members?after=2&wait_ms=4000" {}
        });
    }
}

/// Guards against overloading discovery when reloads follow each other within milliseconds. The list must be
/// requested at the address of the last reload, and far less often than there are reloads.
#[rstest]
fn limits_list_requests_after_many_reloads() {
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
        // No further request is answered, so the requests come to an end.
        while let Ok(path) =
            tokio::time::timeout(Duration::from_millis(30), cluster.discovery.next_request()).await
        {
            calls += usize::from(path == "/catalog/members");
        }
        assert!((2..=reloads / 4).contains(&calls), "{calls} list requests for {reloads} reloads");
    });
}
