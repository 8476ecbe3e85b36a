//! Black-box tests of configuration versions: broker processes, a configuration service that injects faults, and
//! clients that check that the brokers run the version that they report.

mod fixture;

use config_rollout_client::status_query::RejectionStatus;
use fixture::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use xds_test_server::{FaultPlan, XdsTestServer};

const ANY_PORT: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));
/// Short waits, and a probation with the margin 1, under which failed queries never withdraw a version: some tests
/// send queries that no node can serve.
const FAST_ROLLOUT: &str = "first_wait_ms = 20\nlongest_wait_ms = 200\ncalls_per_minute = 600\n\
    call_within_ms = 5000\nmargin = 1\ntrial_ms = 100\nlongest_trial_ms = 2000\ncount_every_ms = 20";

fn encode_document(number: u64) -> Vec<u8> {
    document(number).to_string().into_bytes()
}

/// The newest version that [`publish_versions`] publishes.
const NEWEST_VERSION: u64 = 12;
/// The version among the published ones that is invalid.
const INVALID_VERSION: u64 = 5;
/// The number of comparisons made with each version before the next is published.
const COMPARISONS_PER_VERSION: u64 = 6;

/// State that the client threads share.
#[derive(Default)]
struct Progress {
    is_over: AtomicBool,
    served: AtomicU64,
    comparisons: AtomicU64,
}

/// Guards against a broker that reports another version than the one in force, stays on an old version or loses a
/// query. The configuration service drops, delays, duplicates, reorders and corrupts its responses to three brokers
/// that serve queries; the seed selects the faults. In each comparison the reported version must be the one in
/// force, all brokers must reach the newest version, and each query must get one response.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_reported_version_is_the_one_in_force(#[case] seed: u64) {
    let faults = FaultPlan {
        seed,
        drop_ratio: 0.5,
        duplicate_ratio: 0.3,
        reorder_ratio: 0.3,
        corrupt_ratio: 0.2,
        max_delay: Duration::from_millis(30),
    };
    let service = XdsTestServer::start(ANY_PORT, faults).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let start = |name| {
        let services = vec![service.address];
        Broker::start(&BrokerStart { dir: dir.path(), name, node_address, services, control: FAST_ROLLOUT })
    };
    let brokers: Vec<Broker> = ["n0", "n1", "n2"].into_iter().map(start).collect();
    let progress = &Progress::default();
    std::thread::scope(|scope| {
        for (index, broker) in brokers.iter().enumerate() {
            let (listen_address, status_address) = (broker.listen_address, broker.status_address);
            scope.spawn(move || send_queries(index, listen_address, progress));
            scope.spawn(move || compare_reports(index, listen_address, status_address, progress));
        }
        publish_versions(&service, progress);
        let all_updated = || brokers.iter().all(|broker| broker.status().number == NEWEST_VERSION);
        wait_until("all brokers run the newest version", all_updated);
        let confirmed = || brokers.iter().all(|broker| broker.status().rollout_state != "on trial");
        wait_until("all probations have ended", confirmed);
        progress.is_over.store(true, Ordering::Relaxed);
    });
    let (served, comparisons) =
        (progress.served.load(Ordering::Relaxed), progress.comparisons.load(Ordering::Relaxed));
    assert!(served > 0 && comparisons >= COMPARISONS_PER_VERSION * NEWEST_VERSION);
    let digests: Vec<String> = brokers.iter().map(|broker| broker.status().digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    check_xds_requests(&service);
}

fn send_queries(index: usize, broker: SocketAddr, progress: &Progress) {
    let mut client = Client::new(&format!("c{index}"), broker);
    while !progress.is_over.load(Ordering::Relaxed) {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        progress.served.fetch_add(1, Ordering::Relaxed);
    }
}

/// Determines the version in force between two status reports: it must be one of the two reported versions or one
/// between them.
fn compare_reports(index: usize, broker: SocketAddr, status_address: SocketAddr, progress: &Progress) {
    let mut client = Client::new(&format!("p{index}"), broker);
    let mut previous = 0;
    while !progress.is_over.load(Ordering::Relaxed) {
        let before = fetch_broker_status(status_address).number;
        let in_force = client.probe_version(before);
        let after = fetch_broker_status(status_address).number;
        let in_force =
            in_force.unwrap_or_else(|| panic!("version {before} reported, but an older one is in force"));
        assert!(
            (before..=after).contains(&in_force),
            "reported {before} and {after}, but {in_force} was in force between the reports"
        );
        assert!(
            previous <= before,
            "reported version went back from {previous} to {before} though none was withdrawn"
        );
        previous = after;
        progress.comparisons.fetch_add(1, Ordering::Relaxed);
    }
}

fn publish_versions(service: &XdsTestServer, progress: &Progress) {
    for number in 1..=NEWEST_VERSION {
        let mut version = document(number);
        if number == INVALID_VERSION {
            // The brokers must stay on the previous version until the next one is published.
            version["Domain"]["MinShare"][0] = json!(3.0);
        }
        service.publish(number, INSTALLATION, version.to_string().as_bytes());
        let before = progress.comparisons.load(Ordering::Relaxed);
        wait_until("enough comparisons were made", || {
            progress.comparisons.load(Ordering::Relaxed) >= before + COMPARISONS_PER_VERSION
        });
    }
}

/// Checks the requests that the service received from the brokers: at least one rejects a version, and no nonce is
/// answered more than once. Also checks that the service dropped streams.
fn check_xds_requests(service: &XdsTestServer) {
    let requests = service.requests();
    assert!(
        requests.iter().any(|request| request.rejection.is_some()),
        "no version was rejected, though version {INVALID_VERSION} is invalid"
    );
    assert!(service.stream_count() > 3, "no stream was dropped");
    let acknowledgements = requests.iter().filter(|request| !request.nonce.is_empty());
    let mut nonces: Vec<_> = acknowledgements.map(|request| &request.nonce).collect();
    let total = nonces.len();
    nonces.sort();
    nonces.dedup();
    assert_eq!(nonces.len(), total);
}

/// A version passes validation but makes every lookup query fail by rejection. The broker must roll back to the
/// last confirmed version within seconds, report that to the service and in its status, and not apply the failed
/// version again. Every query must get its response meanwhile.
#[rstest]
fn withdraws_a_version_that_makes_queries_fail() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let control = "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1";
    let services = vec![service.address];
    let mut broker =
        Broker::start(&BrokerStart { dir: dir.path(), name: "n0", node_address, services, control });
    let mut client = Client::new("c", broker.listen_address);
    service.publish(1, INSTALLATION, &encode_document(1));
    wait_until("version 1 is confirmed", || {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        broker.status().rollout_state == "confirmed"
    });
    // The shards are in placement groups without nodes, so each lookup query waits and is rejected.
    let mut faulty = document(2);
    faulty["Domain"]["Cells"] = json!(3);
    (faulty["Services"][0]["OnTimeMs"], faulty["Services"][1]["OnTimeMs"]) = (json!(60.0), json!(60.0));
    service.publish(2, INSTALLATION, faulty.to_string().as_bytes());
    wait_until("version 2 is applied", || broker.status().number == 2);
    let failed = query_until_rolled_back(&mut client, &broker);
    assert!(failed >= 30, "{failed} queries failed, a verdict needs at least 30");
    let status = broker.status();
    let RejectionStatus { number, reason, .. } = status.last_rejection.clone().unwrap();
    assert_eq!((&number[..], &status.rollout_state[..]), ("2", "confirmed"), "{status:?}");
    assert!(reason.contains(" queries failed in "), "{reason}");
    let withdrawn = broker.wait_for_log("version withdrawn");
    assert_eq!((&withdrawn["number"], &withdrawn["runs"]), (&json!(2), &json!(1)));
    wait_until("the service receives the rejection", || {
        let requests = service.requests();
        let last = requests.last().unwrap();
        last.version == "1"
            && last.rejection.as_ref().is_some_and(|reason| reason.contains(" queries failed in "))
    });
    // The same contents under a higher number are rejected; different contents are applied.
    service.publish(3, INSTALLATION, faulty.to_string().as_bytes());
    wait_until("version 3 is rejected", || broker.status().last_rejection.unwrap().number == "3");
    assert_eq!((broker.status().number, client.send_query("lookup", 2).status), (1, 200));
    service.publish(4, INSTALLATION, &encode_document(4));
    wait_until("version 4 is applied", || broker.status().number == 4);
}

/// Sends queries until version 1 is in force again, and returns the number of queries that failed.
fn query_until_rolled_back(client: &mut Client, broker: &Broker) -> u64 {
    let mut failed = 0;
    wait_until("the broker rolls back to version 1", || {
        let reply = client.send_query("lookup", 2);
        failed += u64::from(reply.status == 503);
        assert!([200, 503].contains(&reply.status), "{reply:?}");
        broker.status().number == 1
    });
    failed
}

/// A broker is killed and restarted while no service is reachable, and later with a truncated state file. It must
/// start with the version that it persisted; a corrupt state file must be logged and must not be used.
#[rstest]
fn restores_the_persisted_version() {
    let mut service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let state_path = dir.path().join("kept");
    let control = format!("{FAST_ROLLOUT}\nkeep_file = {}", state_path.display());
    let start = |service: &XdsTestServer| {
        let services = vec![service.address];
        Broker::start(&BrokerStart { dir: dir.path(), name: "n0", node_address, services, control: &control })
    };
    let mut broker = start(&service);
    service.publish(7, INSTALLATION, &encode_document(7));
    broker.wait_for_log("version persisted");
    service.stop();
    broker.kill();
    let mut broker = start(&service);
    let status = broker.status();
    assert_eq!((status.number, &status.rollout_state[..], status.confirmed), (7, "confirmed", 7));
    assert_eq!(Client::new("c", broker.listen_address).probe_version(7), Some(7));
    // The service restarts with its state lost: a lower number is rejected, a higher one is applied.
    service.clear_versions();
    service.restart().unwrap();
    service.publish(6, INSTALLATION, &encode_document(6));
    wait_until("version 6 is rejected", || {
        broker.status().last_rejection.is_some_and(|last| last.number == "6")
    });
    assert_eq!(broker.status().number, 7);
    service.publish(8, INSTALLATION, &encode_document(8));
    wait_until("version 8 is applied", || broker.status().number == 8);
    broker.wait_for_log("version persisted");
    broker.kill();
    let state = std::fs::read(&state_path).unwrap();
    std::fs::write(&state_path, &state[..state.len() / 2]).unwrap();
    service.stop();
    let broker = start(&service);
    assert_eq!((broker.status().number, &broker.status().rollout_state[..]), (0, "own file"));
    assert!(broker.log.iter().any(|line| line.contains(": the file is corrupt: ")), "{:#?}", broker.log);
}

/// A broker is killed while a version is on probation, and later after it has withdrawn one. After a restart the
/// probation must begin again, and the withdrawn version must be rejected.
#[rstest]
fn restarts_a_probation_and_rejects_a_withdrawn_version() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let state_path = dir.path().join("kept");
    let control = format!(
        "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1\nkeep_file = {}",
        state_path.display()
    );
    let start = || {
        let services = vec![service.address];
        Broker::start(&BrokerStart { dir: dir.path(), name: "n0", node_address, services, control: &control })
    };
    let mut broker = start();
    service.publish(1, INSTALLATION, &encode_document(1));
    wait_until("version 1 is on probation", || broker.status().rollout_state == "on trial");
    broker.kill();
    let mut broker = start();
    wait_until("version 1 is on probation again", || broker.status().number == 1);
    let mut client = Client::new("c", broker.listen_address);
    wait_until("version 1 is confirmed", || {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        broker.status().rollout_state == "confirmed"
    });
    let mut faulty = document(2);
    (faulty["Domain"]["Cells"], faulty["Services"][0]["OnTimeMs"]) = (json!(3), json!(60.0));
    service.publish(2, INSTALLATION, faulty.to_string().as_bytes());
    wait_until("version 2 is withdrawn", || {
        client.send_query("lookup", 2);
        broker.status().last_rejection.is_some()
    });
    broker.kill();
    let broker = start();
    wait_until("version 2 is rejected", || broker.status().last_rejection.is_some());
    let reason = broker.status().last_rejection.unwrap().reason;
    assert!(reason.starts_with("these contents were withdrawn as version 2"), "{reason}");
    assert_eq!(broker.status().number, 1);
}

/// The service sends documents that are too long, too deeply nested, truncated, or without required keys. Each must
/// be rejected with its reason; the broker must continue to serve, and must apply the next valid version.
#[rstest]
#[case(vec![b' '; 10 << 20], "10485760 bytes, at most 1048576 are allowed")]
#[case(vec![b'['; 5000], "recursion limit exceeded")]
#[case(br#"{"Instances": 3, "PeriodMs""#.to_vec(), "EOF while parsing")]
#[case(br#"{"PeriodMs": 1}"#.to_vec(), "`Services` is missing")]
fn rejects_invalid_documents(#[case] document: Vec<u8>, #[case] expected: &str) {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let services = vec![service.address];
    let broker = Broker::start(&BrokerStart {
        dir: dir.path(),
        name: "n0",
        node_address,
        services,
        control: FAST_ROLLOUT,
    });
    service.publish(1, INSTALLATION, &document);
    wait_until("version 1 is rejected", || broker.status().last_rejection.is_some());
    let RejectionStatus { number, reason, .. } = broker.status().last_rejection.unwrap();
    assert!(number == "1" && reason.contains(expected), "{number}: {reason}");
    assert_eq!(Client::new("c", broker.listen_address).send_query("lookup", 2).status, 200);
    service.publish(2, INSTALLATION, &self::encode_document(2));
    wait_until("version 2 is applied", || broker.status().number == 2);
}

/// A version removes a request class and a placement group while queries of them are open. The open queries must
/// continue under the version under which they were accepted; new queries of that class must get 400.
#[rstest]
fn removes_a_class_that_has_open_queries() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let node_address = node.address;
    let services = vec![service.address];
    let broker = Broker::start(&BrokerStart {
        dir: dir.path(),
        name: "n0",
        node_address,
        services,
        control: FAST_ROLLOUT,
    });
    let mut first = document(1);
    first["Services"][1]["OnTimeMs"] = json!(1500.0);
    service.publish(1, INSTALLATION, first.to_string().as_bytes());
    wait_until("version 1 is applied", || broker.status().number == 1);
    std::thread::scope(|scope| {
        let listen_address = broker.listen_address;
        let open = scope.spawn(move || Client::new("p", listen_address).probe_version(1));
        std::thread::sleep(Duration::from_millis(300));
        let mut second = document(2);
        second["Services"].as_array_mut().unwrap().pop();
        (second["Domain"]["MinShare"], second["Domain"]["CompleteFrom"]) = (json!([1.0]), json!([1.0]));
        (second["Domain"]["Cells"], second["Domain"]["Ranges"]) = (json!(1), json!(4));
        service.publish(2, INSTALLATION, second.to_string().as_bytes());
        wait_until("version 2 is applied", || broker.status().number == 2);
        let mut client = Client::new("c", broker.listen_address);
        assert_eq!(client.send_query("probe", 1).status, 400);
        assert_eq!(
            client.send_query("lookup", 3).status,
            200,
            "expected placement group 0 to hold all shards"
        );
        assert_eq!(
            open.join().unwrap(),
            Some(1),
            "query did not end under the version under which it was accepted"
        );
    });
}

/// The directory of the state file does not exist for a while. The confirmed version must be persisted once the
/// directory exists, without another version as the trigger.
#[rstest]
fn retries_persisting_the_state() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (dir, node) = (tempfile::tempdir().unwrap(), start_node());
    let state_dir = dir.path().join("lasting");
    let control = format!("{FAST_ROLLOUT}\nkeep_file = {}", state_dir.join("state").display());
    let start = BrokerStart {
        dir: dir.path(),
        name: "a",
        node_address: node.address,
        services: vec![service.address],
        control: &control,
    };
    let mut broker = Broker::start(&start);
    service.publish(1, INSTALLATION, &encode_document(1));
    // The version is persisted when its probation begins and again when it is confirmed, and both attempts fail.
    (0..2).for_each(|_| _ = broker.wait_for_log("state not persisted"));
    std::fs::create_dir(&state_dir).unwrap();
    wait_until("the state is persisted", || state_dir.join("state").exists());
}
