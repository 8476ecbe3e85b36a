//! Queries from request to response: batches, retries, cancellation.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

#[rstest]
fn responds_with_the_values_of_the_nodes() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.client().await;
        let body = r#"{"slices":[{"slice":3,"mass":0.7,"micros":9000,"term":"00ff"},{"slice":9,"mass":0.3}],
            "filter":"a\n\"ü\" \u00e9","more":[1]}"#;
        client.write(&query_request("9b1f", "lookup", 9000, body)).await;
        let (_, connection, shard_requests) = cluster.next_batch().await;
        let received: Vec<(&str, u32, &str)> = shard_requests
            .iter()
            .map(|shard_request| (&shard_request.id[..], shard_request.shard, &shard_request.text[..]))
            .collect();
        assert_eq!(received, [("9b1f.3", 3, "a\n\"ü\" é"), ("9b1f.9", 9, "a\n\"ü\" é")]);
        let wait: u64 = shard_requests[0].parameters.strip_prefix("d=").unwrap().parse().unwrap();
        assert!((1..9000).contains(&wait), "{wait}");
        cluster.nodes[0].respond(connection, "9b1f.9", 'S', "plain").await;
        cluster.nodes[0].respond(connection, "9b1f.3", 'S', "\"quoted\"\\ü\n").await;
        let reply = client.reply().await.unwrap();
        assert_eq!(reply.status, 200);
        let items = json!([{"slice": 3, "body": "\"quoted\"\\ü\n"}, {"slice": 9, "body": "plain"}]);
        let response: Value = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(response, json!({"entire": true, "items": items}));
        // The connection stays open.
        client.write(HEALTH_REQUEST).await;
        assert_eq!(client.reply_status().await, 200);
    });
}

/// Attempts of one engine turn to one node must share a batch, across queries; consecutive turns are a period
/// apart.
#[rstest]
fn attempts_of_one_turn_share_a_batch() {
    run_test(async {
        let lengthen_period = |config: &mut Value| config["settings"]["PeriodMs"] = json!(1500.0);
        let mut cluster = TestCluster::start_with(1, lengthen_period, |_| ()).await;
        sleep_ms(100).await;
        let _first = cluster.send_query("a", "lookup", TWO_SHARDS).await;
        let _second = cluster.send_query("b", "lookup", &[(0, 0.3), (1, 0.3), (2, 0.4)]).await;
        let (mut ids, mut sizes) = (Vec::new(), Vec::new());
        while ids.len() < 5 {
            let (_, _, shard_requests) = cluster.next_batch().await;
            sizes.push(shard_requests.len());
            ids.extend(shard_requests.into_iter().map(|shard_request| shard_request.id));
        }
        ids.sort();
        assert_eq!((ids.join(" "), sizes), ("a.3 a.9 b.0 b.1 b.2".to_owned(), vec![4, 1]));
    });
}

/// Guards against a node that works until the timeout for a client that has disconnected while its query is open.
/// The attempt must be cancelled at the node, a late response must be dropped, and the connection must stay usable.
#[rstest]
fn cancels_attempts_when_the_client_disconnects() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (node, connection, _) = cluster.next_batch().await;
        let disconnected_at = Instant::now();
        drop(client);
        assert_eq!(cluster.next_event().await, (node, connection, PeerEvent::Cancel("a.3".to_owned())));
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(5),
            "cancelled only at the timeout of the attempt"
        );
        assert_eq!(cluster.broker.engine.open_queries(), 0);
        // A late value belongs to no query, and the connection is used again.
        cluster.nodes[node].respond(connection, "a.3", 'S', "late").await;
        let mut other = cluster.send_query("b", "lookup", ONE_SHARD).await;
        assert_eq!(cluster.next_batch().await.1, connection);
        cluster.nodes[node].respond(connection, "b.3", 'S', "in time").await;
        assert!(other.reply().await.unwrap().body.contains("in time"));
    });
}

/// An attempt fails: its connection is closed, or the node answers with an error, an invalid frame, or an overload
/// rejection. A frame that was written may have been executed, unless the node rejected it. An at-most-once query
/// must then fail (502); any other query must be retried on the other replica.
#[rstest]
#[case("report", "dropped", true, 200)]
#[case("report", "error", true, 200)]
#[case("report", "bad frame", true, 200)]
#[case("report", "overloaded", true, 200)]
#[case("once", "dropped", false, 502)]
#[case("once", "error", false, 502)]
#[case("once", "bad frame", false, 502)]
#[case("once", "overloaded", true, 200)]
fn retries_only_if_the_outcome_allows(
    #[case] class: &str,
    #[case] outcome: &str,
    #[case] retries: bool,
    #[case] status: u16,
) {
    run_test(async {
        let mut cluster = TestCluster::start(2).await;
        let mut client = cluster.send_query("a", class, ONE_SHARD).await;
        let (first, connection, _) = cluster.next_batch().await;
        match outcome {
            "dropped" => cluster.nodes[first].close(connection),
            "error" => cluster.nodes[first].respond(connection, "a.3", 'E', "").await,
            "overloaded" => cluster.nodes[first].respond(connection, "a.3", 'B', "").await,
            _ => cluster.nodes[first].write(connection, &u32::MAX.to_le_bytes()).await,
        }
        if retries {
            let (second, connection, shard_requests) = loop {
                match cluster.next_event().await {
                    (node, connection, PeerEvent::Batch(shard_requests)) => {
                        break (node, connection, shard_requests);
                    }
                    (_, _, PeerEvent::Closed) => {}
                    other => panic!("{other:?}"),
                }
            };
            assert_ne!(first, second);
            cluster.nodes[second].respond(connection, &shard_requests[0].id, 'S', "v").await;
        }
        assert_eq!(client.reply_status().await, status);
    });
}

/// A node does not answer within the client's time, which runs from the first byte of the request. The client must
/// be rejected in time, with a `Retry-After`, and the attempt must be cancelled at the node.
#[rstest]
fn rejects_at_the_clients_deadline_and_cancels_attempts() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.client().await;
        let started = Instant::now();
        let text = query_request("a", "lookup", 700, &body(ONE_SHARD));
        let (head, rest) = text.split_at(text.len() - 1);
        client.write(head).await;
        sleep_ms(300).await;
        client.write(rest).await;
        let (node, connection, shard_requests) = cluster.next_batch().await;
        assert!(
            shard_requests[0].parameters[2..].parse::<u64>().unwrap() <= 400,
            "{}",
            shard_requests[0].parameters
        );
        let reply = client.reply().await.unwrap();
        assert!(started.elapsed() < Duration::from_millis(750), "{:?}", started.elapsed());
        assert_eq!(reply.status, 503);
        assert!(reply.head.contains("retry-after: 1.5000"), "{}", reply.head);
        assert_eq!(cluster.next_event().await, (node, connection, PeerEvent::Cancel("a.3".to_owned())));
    });
}

/// With admission control, as the operator's file enables it, queries must be served as they are without it.
#[rstest]
fn serves_behind_admission_control() {
    run_test(async {
        let operator = broker::OperatorConfig {
            admission: Some(admission_control::AdmissionConfig::default()),
            ..Default::default()
        };
        let mut cluster = TestCluster::start_with_operator_config(1, |_| (), |_| (), operator).await;
        for id in ["a", "b"] {
            let mut client = cluster.send_query(id, "lookup", TWO_SHARDS).await;
            let (_, connection, shard_requests) = cluster.next_batch().await;
            for shard_request in &shard_requests {
                cluster.nodes[0].respond(connection, &shard_request.id, 'S', "v").await;
            }
            let reply = client.reply().await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    });
}

/// A connection is closed with a shard request on it that may have been executed. A retry is safe only if the class
/// is idempotent, or if the idempotency key is still known when the last byte of the retry is sent, for which a new
/// connection may be needed first (2 s here). Otherwise nothing may be sent again.
#[rstest]
#[case::idempotent("idempotent", 0.0, true)]
#[case::key_still_known("deduplicated", 5000.0, true)]
#[case::key_forgotten_before_the_retry_arrives("deduplicated", 1500.0, false)]
#[case::at_most_once("at_most_once", 5000.0, false)]
fn retries_only_if_the_settings_of_the_class_allow(
    #[case] effect: &str,
    #[case] window_ms: f64,
    #[case] retries: bool,
) {
    run_test(async {
        let settings = |config: &mut Value| {
            config["settings"]["Services"][1]["Effect"] = json!(effect);
            config["settings"]["Services"][1]["DedupWindowMs"] = json!(window_ms);
        };
        let mut cluster = TestCluster::start_with(2, settings, |_| ()).await;
        let mut client = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (first, connection, _) = cluster.next_batch().await;
        cluster.nodes[first].close(connection);
        if retries {
            let (second, connection, _) = cluster.next_batch_skipping_events().await;
            cluster.nodes[second].respond(connection, "a.3", 'S', "v").await;
        }
        let status = client.reply_status().await;
        assert_eq!(status == 200, retries, "{status}");
        while let Ok(received) = cluster.events.try_recv() {
            assert!(!matches!(received.event, PeerEvent::Batch(_)), "the shard request was sent again");
        }
    });
}

/// A tenant that only another deployment has must be served, without a quota of its own.
#[rstest]
fn serves_a_tenant_that_the_settings_do_not_name() {
    run_test(async {
        let mut cluster = TestCluster::start_with(
            1,
            |config| {
                config["settings"]["Tenants"] = json!([{"Name": "ours", "Share": 1.0, "QuotaRps": 100.0}]);
            },
            |_| (),
        )
        .await;
        let mut client = cluster.client().await;
        let text = query_request("a", "lookup", 9000, &body(ONE_SHARD))
            .replace("Host:", "X-Account: theirs\r\nHost:");
        client.write(&text).await;
        cluster.answer_next_batch("a.3").await;
        assert_eq!(client.reply_status().await, 200);
    });
}
