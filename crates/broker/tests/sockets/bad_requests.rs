//! Requests that are rejected as client errors, or because the protocol can't carry them.

use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};

const LONG_BODY_HEAD: &str = "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n";

/// Returns a valid request, which the cases of bad requests modify.
fn valid_request() -> String {
    query_request("a", "lookup", 900, &body(ONE_SHARD))
}

/// Clients send invalid queries: wrong paths, headers, lengths and bodies. Each must get its status, none of its
/// shard requests may be sent to a node, and the next client must be served.
#[rstest]
#[case("POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404)]
#[case("GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 405)]
#[case("POST /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405)]
#[case("no request at all\r\n\r\n", 400)]
#[case(&query_request("a b", "lookup", 900, &body(ONE_SHARD)), 400)]
#[case(&query_request("", "lookup", 900, &body(ONE_SHARD)), 400)]
#[case(&query_request("a", "unheard-of", 900, &body(ONE_SHARD)), 400)]
#[case(&valid_request().replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: soon"), 400)]
#[case(&valid_request().replace("X-Time-Left-Ms: ", "X-Time-Left-Ms: +"), 400)]
#[case(&valid_request().replace("X-Time", "X-Time-Left-Ms: 5\r\nX-Time"), 400)]
#[case(&valid_request().replace("Host", "X-Correlation-Id: b\r\nHost"), 400)]
#[case(&valid_request().replace("Host", "Upgrade: websocket\r\nHost"), 400)]
#[case(&valid_request().replace("Host", "Transfer-Encoding: chunked\r\nHost"), 400)]
#[case(&valid_request().replace("Host", "Content-Length: 0\r\nHost"), 400)]
#[case(&valid_request().replace("Length: ", "Length: +"), 400)]
#[case(&valid_request().replace("Length: ", "Length: -"), 400)]
#[case(&query_request("a", "lookup", 900, "{\"slices\":"), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[])), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[(3, 0.5), (3, 0.5)])), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[(16, 1.0)])), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[(3, 0.4), (4, 0.4)])), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[(3, 1.5), (4, -0.5)])), 400)]
#[case(&query_request("a", "lookup", 900, &body(&[(3, 1.005)])), 400)]
#[case(&query_request("a", "lookup", 900, &" ".repeat(64 * 1024 + 1)), 413)]
#[case(LONG_BODY_HEAD, 413)]
#[case(&(LONG_BODY_HEAD.to_owned() + &" ".repeat(200_000)), 413)]
#[case(&format!("GET /_health HTTP/1.1\r\nHost: x\r\nX: {}", "x".repeat(100_000)), 431)]
fn rejects_bad_requests(#[case] text: &str, #[case] status: u16) {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut client = cluster.client().await;
        client.write(text).await;
        assert_eq!(client.reply_status().await, status);
        assert!(cluster.has_no_event());
        let mut other = cluster.send_query("a", "lookup", ONE_SHARD).await;
        cluster.answer_next_batch("a.3").await;
        assert_eq!(other.reply_status().await, 200);
    });
}

/// Guards against a client that repeats a bad request without end, which costs the broker a parse each time. The
/// connection must be closed when the limit is reached.
#[rstest]
fn closes_a_connection_after_repeated_bad_requests() {
    run_test(async {
        let cluster = TestCluster::start_with(
            1,
            |_| (),
            |startup| startup.limits.clients.max_consecutive_bad_requests = 3,
        )
        .await;
        let mut client = cluster.client().await;
        for _ in 0..3 {
            client.write(&query_request("a", "unheard-of", 900, &body(ONE_SHARD))).await;
            assert_eq!(client.reply_status().await, 400);
        }
        assert!(client.reply().await.is_none());
    });
}

/// Guards against a response that reaches the wrong client. Two clients use the same query id, so their shard
/// requests would have the same ids at the nodes. The second query must be rejected, and the first answered as
/// usual.
#[rstest]
fn rejects_the_id_of_an_open_query() {
    run_test(async {
        let mut cluster = TestCluster::start(1).await;
        let mut first = cluster.send_query("a", "lookup", ONE_SHARD).await;
        let (_, connection, _) = cluster.next_batch().await;
        assert_eq!(cluster.send_query("a", "lookup", TWO_SHARDS).await.reply_status().await, 400);
        assert!(cluster.has_no_event());
        cluster.nodes[0].respond(connection, "a.3", 'S', "v").await;
        assert_eq!(first.reply_status().await, 200);
    });
}

/// Guards against queries that need information for which frames have no field: a second phase, without which the
/// response is empty, or an idempotency key, without which the query can be executed twice. The query must be
/// rejected (503), and none of its shard requests sent.
#[rstest]
#[case("lookup", "", 503)]
#[case("once", "Idempotency-Key: 710d\r\n", 503)]
#[case("once", "", 200)]
#[case("report", "Idempotency-Key: 710d\r\n", 200)]
fn rejects_what_the_protocol_cannot_carry(#[case] class: &str, #[case] header: &str, #[case] status: u16) {
    run_test(async {
        let unsupported = |config: &mut Value| {
            config["settings"]["Domain"]["FetchParts"] = json!([0, 2, 0]);
            config["settings"]["Services"][2]["Effect"] = json!("deduplicated");
        };
        let mut cluster = TestCluster::start_with(1, unsupported, |_| ()).await;
        let mut client = cluster.client().await;
        let text =
            query_request("a", class, 9000, &body(ONE_SHARD)).replace("Host:", &format!("{header}Host:"));
        client.write(&text).await;
        if status == 200 {
            cluster.answer_next_batch("a.3").await;
        }
        assert_eq!(client.reply_status().await, status);
        assert!(cluster.has_no_event());
    });
}
