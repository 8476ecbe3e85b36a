//! Load reports that nodes send in response to probes.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Configures load reports by probe only, and a latency objective. The broker waits a fiftieth of the objective for
/// a report.
fn use_load_probes(config: &mut Value, latency_objective_ms: f64) {
    config["settings"]["Stats"] = json!({"Via": "pull", "Fields": ["qps", "queue", "util"]});
    config["settings"]["Limits"]["Probes"] = json!(true);
    for class in config["settings"]["Services"].as_array_mut().unwrap() {
        (class["OnTimeMs"], class["DeadlineMs"]) = (json!(latency_objective_ms), json!(500_000.0));
    }
}

/// Both replicas must be probed first, and the shard request must go to the one with the shorter queue. A report
/// that can't be parsed counts as none.
#[rstest]
#[case("qps=1.5,queue=7,util=0.5", "queue=2", 1)]
#[case("queue=0", "qps=9,queue=4", 0)]
#[case("E", "queue=4", 1)]
#[case("queue=3", "E", 0)]
#[case("queue=1", "queue=many", 1)]
#[case("queue=-5", "queue=NaN,queue", 0)]
fn prefers_the_replica_with_the_shortest_queue(
    #[case] first: &str,
    #[case] second: &str,
    #[case] expected_node: usize,
) {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(2, |config| use_load_probes(config, 500_000.0), |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        for _ in 0..2 {
            let (node, connection, event) = cluster.next_event().await;
            assert_eq!(
                event,
                PeerEvent::LoadProbe,
                "received another event before both replicas were probed"
            );
            cluster.nodes[node].send_load(connection, [first, second][node]).await;
        }
        let (node, connection, _) = cluster.next_batch().await;
        // In the last case neither report is valid, so both replicas are equal and either may get the shard
        // request.
        assert!(node == expected_node || first.starts_with("queue=-5"), "{node}");
        cluster.nodes[node].respond(connection, "a.3", 'S', "v").await;
        assert_eq!(client.reply_status().await, 200);
    });
}

/// Guards against missing the latency objective because of an unanswered probe. One of two replicas does not answer
/// its probe, or closes the connection. After a fiftieth of the latency objective the shard request must go to the
/// replica that reported.
#[rstest]
#[case(false)]
#[case(true)]
fn an_unanswered_probe_delays_shard_requests_only_briefly(#[case] closes: bool) {
    run_test(async {
        let mut cluster =
            TestCluster::start_with(2, |config| use_load_probes(config, 80_000.0), |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let sent = Instant::now();
        for _ in 0..2 {
            let (node, connection, event) = cluster.next_event().await;
            assert_eq!(event, PeerEvent::LoadProbe);
            match node {
                0 if closes => cluster.nodes[0].close(connection),
                0 => {}
                _ => cluster.nodes[1].send_load(connection, "queue=20").await,
            }
        }
        let (node, connection, shard_requests) = cluster.next_batch_skipping_events().await;
        assert_eq!(
            (node, shard_requests.len()),
            (1, 1),
            "expected one shard request at the replica that reported its load"
        );
        assert!(
            sent.elapsed() < Duration::from_secs(20),
            "the broker waited longer than a fiftieth of the latency objective"
        );
        cluster.nodes[1].respond(connection, "a.3", 'S', "v").await;
        assert_eq!(client.reply_status().await, 200);
    });
}

/// No node may be probed if load reports come with responses, or if probes are not allowed.
#[rstest]
#[case("piggyback", true)]
#[case("pull", false)]
fn sends_no_probes_unless_reports_need_them(#[case] via: &str, #[case] allowed: bool) {
    run_test(async {
        let settings = |config: &mut Value| {
            config["settings"]["Stats"] = json!({"Via": via, "Fields": ["queue"]});
            config["settings"]["Limits"]["Probes"] = json!(allowed);
        };
        let mut cluster = TestCluster::start_with(2, settings, |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        cluster.answer_next_batch("a.3").await;
        assert_eq!(client.reply_status().await, 200);
    });
}

/// A broker must serve from a settings file that was converted to another layout: it must probe the replicas first,
/// by the new layout.
#[rstest]
fn serves_from_a_migrated_settings_file() {
    run_test(async {
        let text = "[fleet]\nbrokers = 2\nzones = east, west\n[layout]\ncells = 2\nreach = 1\nshards = 16\n
            [load]\ntold = pull\nprobes = true\nfields = queue\n";
        let shape = settings_migration::DeploymentLayout::read(text).unwrap();
        let migrate = |config: &mut Value| {
            let migrated =
                settings_migration::migrate(config.to_string().as_bytes(), &shape, Some("west")).unwrap();
            *config = serde_json::from_str(&migrated.text).unwrap();
            // The converted file has no nodes of the old deployment; discovery lists the new ones.
            assert!(config.get("known").is_none());
            use_load_probes(config, 500_000.0);
        };
        let mut cluster = TestCluster::start_with(2, migrate, |_| ()).await;
        let members: Vec<Value> = (0..2).map(|index| member(&cluster.nodes, index, "ready")).collect();
        cluster.discovery.next_request().await;
        cluster.discovery.reply(snapshot(7, &members));
        wait_until(|| cluster.broker.engine.can_serve()).await;
        // By the new layout only placement group 3 mod 2 = 1 holds shard 3.
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (node, connection, event) = cluster.next_event().await;
        assert_eq!((node, event), (1, PeerEvent::LoadProbe));
        cluster.nodes[1].send_load(connection, "queue=0").await;
        let node = cluster.answer_next_batch("a.3").await;
        assert_eq!((node, client.reply_status().await), (1, 200));
    });
}
