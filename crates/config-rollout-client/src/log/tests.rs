//! Tests of the log lines of each event. Operators search for the messages and scripts read the fields, so both must
//! stay stable and the operator documentation must list each message.

use super::{log_event, log_not_persisted, log_persisted};
use config_rollout::{
    Digest, LogEvent, NodeLoss, ProbationFailure, RejectionReason, ServiceIndex, UnprovenReason, VersionId,
};
use routing::TimeSpan;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

const OPERATOR_DOCS: &str = include_str!("../../../../docs/operate-control.md");

/// Collects the logged bytes.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LogBuffer {
    type Writer = LogBuffer;

    fn make_writer(&self) -> LogBuffer {
        self.clone()
    }
}

/// Returns the single line logged by `write`, without its time and target.
fn logged(write: impl FnOnce()) -> Value {
    let buffer = LogBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .without_time()
        .with_target(false)
        .with_writer(buffer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, write);
    let bytes = buffer.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    assert_eq!(text.lines().count(), 1, "one event must give one line: {text}");
    serde_json::from_str(&text).unwrap()
}

fn version() -> VersionId {
    VersionId { number: 7, digest: Digest([0xab; 32]) }
}

fn running() -> VersionId {
    VersionId { number: 6, digest: Digest([0xcd; 32]) }
}

const FAILURE: ProbationFailure = ProbationFailure {
    failed: 9,
    ended: 10,
    observed: TimeSpan(15_000),
    failed_before: 1,
    ended_before: 100,
};
const NODE_LOSS: NodeLoss = NodeLoss { ready: 5, ready_before: 10, failed_on_nodes: 3, ended: 20 };

#[rstest]
#[case(LogEvent::Applied(version()), "INFO", "version applied, on probation", None)]
#[case(LogEvent::Renumbered(version()), "INFO", "version in use has a new number, contents unchanged", None)]
#[case(LogEvent::Confirmed(version()), "INFO", "version confirmed", None)]
#[case(
    LogEvent::Unproven { version: version(), reason: UnprovenReason::NodesFailing },
    "WARN",
    "probation ended without a verdict, version stays",
    Some("nodes were failing until the end")
)]
#[case(
    LogEvent::ProbationPaused { version: version(), reason: NODE_LOSS },
    "WARN",
    "probation paused",
    Some("nodes are failing (5 ready, 10 before; 3 of 20 queries found a node down)")
)]
fn an_event_of_a_version_names_it(
    #[case] event: LogEvent,
    #[case] level: &str,
    #[case] message: &str,
    #[case] reason: Option<&str>,
) {
    let mut expected = json!({"level": level, "message": message, "number": 7, "digest": "ab".repeat(32)});
    if let Some(reason) = reason {
        expected["reason"] = json!(reason);
    }
    assert_eq!(logged(|| log_event(&event, &[])), expected);
    assert!(
        OPERATOR_DOCS.contains(&format!("| `{message}` ")),
        "`{message}` is not in the operator documentation"
    );
}

#[rstest]
fn a_withdrawal_names_the_running_version() {
    let event = LogEvent::Withdrawn { version: version(), running: running(), reason: FAILURE };
    let expected = json!({"level": "WARN", "message": "version withdrawn, rolled back", "number": 7,
        "digest": "ab".repeat(32), "runs": 6, "reason": "9 of 10 queries failed in 1.5 s, 1 of 100 before it"});
    assert_eq!(logged(|| log_event(&event, &[])), expected);
    assert!(OPERATOR_DOCS.contains("| `version withdrawn, rolled back` "));
}

#[rstest]
#[case(Some(4), json!({"level": "WARN", "message": "version rejected", "number": 4, "reason": "no JSON"}))]
#[case(None, json!({"level": "WARN", "message": "version rejected", "reason": "no JSON"}))]
fn a_rejection_has_its_reason(#[case] number: Option<u64>, #[case] expected: Value) {
    let event = LogEvent::Rejected { number, reason: RejectionReason::Invalid("no JSON".to_owned()) };
    assert_eq!(logged(|| log_event(&event, &[])), expected);
    assert!(OPERATOR_DOCS.contains("| `version rejected` "));
}

#[rstest]
fn services_are_named_by_their_address() {
    let services: [SocketAddr; 2] = ["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    let reached = logged(|| log_event(&LogEvent::ServiceReached(ServiceIndex(1)), &services));
    let expected =
        json!({"level": "INFO", "message": "configuration service reached", "service": "127.0.0.1:2"});
    assert_eq!(reached, expected);
    let event = LogEvent::ServiceUnreachable { service: ServiceIndex(0), reason: "refused".to_owned() };
    let expected = json!({"level": "WARN", "message": "configuration service unreachable",
        "service": "127.0.0.1:1", "reason": "refused"});
    assert_eq!(logged(|| log_event(&event, &services)), expected);
    for message in ["configuration service reached", "configuration service unreachable"] {
        assert!(OPERATOR_DOCS.contains(&format!("| `{message}` ")), "`{message}`");
    }
}

#[rstest]
fn storing_the_state_is_logged() {
    let expected =
        json!({"level": "INFO", "message": "version persisted", "number": 7, "digest": "ab".repeat(32)});
    assert_eq!(logged(|| log_persisted(version())), expected);
    let expected = json!({"level": "WARN", "message": "state not persisted", "reason": "disk full"});
    assert_eq!(logged(|| log_not_persisted(&"disk full")), expected);
    for message in ["version persisted", "state not persisted"] {
        assert!(OPERATOR_DOCS.contains(&format!("| `{message}` ")), "`{message}`");
    }
}
