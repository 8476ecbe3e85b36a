//! Configuration versions from a service, seen from outside: the program as processes, a test server with every
//! fault, clients that check that the brokers do what they report.

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
/// Short waits, and a probation that blames nothing: queries that no node can serve are part of the tests.
const QUICK: &str = "first_wait_ms = 20\nlongest_wait_ms = 200\ncalls_per_minute = 600\n\
    call_within_ms = 5000\nmargin = 1\ntrial_ms = 100\nlongest_trial_ms = 2000\ncount_every_ms = 20";

fn text(number: u64) -> Vec<u8> {
    document(number).to_string().into_bytes()
}

/// The newest version that [`publish_versions`] publishes, and the one among them that is invalid.
const LAST: u64 = 12;
const INVALID: u64 = 5;
/// How often each version is looked at before the next is published.
const LOOKS_PER_VERSION: u64 = 6;

/// What the threads of clients share.
#[derive(Default)]
struct Progress {
    is_over: AtomicBool,
    served: AtomicU64,
    looks: AtomicU64,
}

/// The configuration service drops, delays, repeats, reorders and garbles what it sends, by seed, to three
/// brokers that serve queries. A fault shows as a broker that reports another version than it runs, that stays
/// behind, or that loses a query. At each look the reported version must be the one in force, all brokers must
/// reach the newest, and each query must have one response.
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
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let start = |name| {
        let services = vec![service.address];
        Broker::start(&BrokerStart { folder: folder.path(), name, node, services, control: QUICK })
    };
    let brokers: Vec<Broker> = ["n0", "n1", "n2"].into_iter().map(start).collect();
    let progress = &Progress::default();
    std::thread::scope(|scope| {
        for (index, broker) in brokers.iter().enumerate() {
            let (listens, status_address) = (broker.listens, broker.status_address);
            scope.spawn(move || send_queries(index, listens, progress));
            scope.spawn(move || compare_reports(index, listens, status_address, progress));
        }
        publish_versions(&service, progress);
        let all = || brokers.iter().all(|broker| broker.status().number == LAST);
        wait_until("all run the newest", all);
        let confirmed = || brokers.iter().all(|broker| broker.status().rollout_state != "on trial");
        wait_until("the probations are over", confirmed);
        progress.is_over.store(true, Ordering::Relaxed);
    });
    let (served, looks) = (progress.served.load(Ordering::Relaxed), progress.looks.load(Ordering::Relaxed));
    assert!(served > 0 && looks >= LOOKS_PER_VERSION * LAST);
    let digests: Vec<String> = brokers.iter().map(|broker| broker.status().digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    check_requests(&service);
}

fn send_queries(index: usize, broker: SocketAddr, progress: &Progress) {
    let mut client = Client::new(&format!("c{index}"), broker);
    while !progress.is_over.load(Ordering::Relaxed) {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        progress.served.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends a query between two reports: the version in force was the one, the other, or one in between.
fn compare_reports(index: usize, broker: SocketAddr, status_address: SocketAddr, progress: &Progress) {
    let mut client = Client::new(&format!("p{index}"), broker);
    let mut last = 0;
    while !progress.is_over.load(Ordering::Relaxed) {
        let before = fetch(status_address).number;
        let in_force = client.probe(before);
        let after = fetch(status_address).number;
        let in_force = in_force.unwrap_or_else(|| panic!("{before} reported, an older one is in force"));
        assert!((before..=after).contains(&in_force), "{before} reported, {in_force} in force, {after}");
        assert!(last <= before, "no version was withdrawn, and yet {last} came before {before}");
        last = after;
        progress.looks.fetch_add(1, Ordering::Relaxed);
    }
}

fn publish_versions(service: &XdsTestServer, progress: &Progress) {
    for number in 1..=LAST {
        let mut version = document(number);
        if number == INVALID {
            // The brokers must stay with the version before it until the next comes.
            version["Domain"]["MinShare"][0] = json!(3.0);
        }
        service.publish(number, INSTALLATION, version.to_string().as_bytes());
        let seen = progress.looks.load(Ordering::Relaxed);
        wait_until("some looks were made", || {
            progress.looks.load(Ordering::Relaxed) >= seen + LOOKS_PER_VERSION
        });
    }
}

/// Something was rejected, streams were dropped, and each nonce had one response at the most.
fn check_requests(service: &XdsTestServer) {
    let requests = service.requests();
    assert!(
        requests.iter().any(|request| request.rejection.is_some()),
        "nothing was rejected, though much was invalid"
    );
    assert!(service.stream_count() > 3, "no stream was ever dropped");
    let answers = requests.iter().filter(|request| !request.nonce.is_empty());
    let mut nonces: Vec<_> = answers.map(|request| &request.nonce).collect();
    let all = nonces.len();
    nonces.sort();
    nonces.dedup();
    assert_eq!(nonces.len(), all);
}

/// A version passes its checks and makes queries fail: each lookup is rejected. The broker must roll back to
/// the last confirmed version within seconds, report that to the service and in its status, and not apply the
/// failed one again. Every query must have its response all the while.
#[rstest]
fn withdraws_a_version_that_makes_queries_fail() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let control = "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1";
    let services = vec![service.address];
    let mut broker =
        Broker::start(&BrokerStart { folder: folder.path(), name: "n0", node, services, control });
    let mut client = Client::new("c", broker.listens);
    service.publish(1, INSTALLATION, &text(1));
    wait_until("the first is confirmed", || {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        broker.status().rollout_state == "confirmed"
    });
    // Placement groups that no node is in: each lookup waits, and is rejected.
    let mut bad = document(2);
    bad["Domain"]["Cells"] = json!(3);
    (bad["Services"][0]["OnTimeMs"], bad["Services"][1]["OnTimeMs"]) = (json!(60.0), json!(60.0));
    service.publish(2, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the second is applied", || broker.status().number == 2);
    let failed = query_until_rolled_back(&mut client, &broker);
    assert!(failed >= 30, "{failed} failed, 30 are the least to judge by");
    let status = broker.status();
    let RejectionStatus { number, reason, .. } = status.last_rejection.clone().unwrap();
    assert_eq!((&number[..], &status.rollout_state[..]), ("2", "confirmed"), "{status:?}");
    assert!(reason.contains(" queries failed in "), "{reason}");
    let withdrawn = broker.wait_for_log("version withdrawn");
    assert_eq!((&withdrawn["number"], &withdrawn["runs"]), (&json!(2), &json!(1)));
    wait_until("the service is notified", || {
        let requests = service.requests();
        let last = requests.last().unwrap();
        last.version == "1"
            && last.rejection.as_ref().is_some_and(|reason| reason.contains(" queries failed in "))
    });
    // The same contents under a higher number are rejected; others are applied.
    service.publish(3, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the third is rejected", || broker.status().last_rejection.unwrap().number == "3");
    assert_eq!((broker.status().number, client.send_query("lookup", 2).status), (1, 200));
    service.publish(4, INSTALLATION, &text(4));
    wait_until("the fourth is applied", || broker.status().number == 4);
}

/// Sends queries until version 1 runs again; returns how many failed.
fn query_until_rolled_back(client: &mut Client, broker: &Broker) -> u64 {
    let mut failed = 0;
    wait_until("the first is rolled back to", || {
        let reply = client.send_query("lookup", 2);
        failed += u64::from(reply.status == 503);
        assert!([200, 503].contains(&reply.status), "{reply:?}");
        broker.status().number == 1
    });
    failed
}

/// A broker is killed and restarted while no service is reachable, and later with a state file that is cut. It
/// must go on with the version that it stored; a corrupt file must be named in the log and not used.
#[rstest]
fn goes_on_with_the_stored_version() {
    let mut service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let kept = folder.path().join("kept");
    let control = format!("{QUICK}\nkeep_file = {}", kept.display());
    let start = |service: &XdsTestServer| {
        let services = vec![service.address];
        Broker::start(&BrokerStart { folder: folder.path(), name: "n0", node, services, control: &control })
    };
    let mut broker = start(&service);
    service.publish(7, INSTALLATION, &text(7));
    broker.wait_for_log("version persisted");
    service.stop();
    broker.kill();
    let mut broker = start(&service);
    let status = broker.status();
    assert_eq!((status.number, &status.rollout_state[..], status.confirmed), (7, "confirmed", 7));
    assert_eq!(Client::new("c", broker.listens).probe(7), Some(7));
    // The service is back with its state lost: a lower number takes no effect, a higher one does.
    service.clear_versions();
    service.restart().unwrap();
    service.publish(6, INSTALLATION, &text(6));
    wait_until("the sixth is rejected", || {
        broker.status().last_rejection.is_some_and(|last| last.number == "6")
    });
    assert_eq!(broker.status().number, 7);
    service.publish(8, INSTALLATION, &text(8));
    wait_until("the eighth is applied", || broker.status().number == 8);
    broker.wait_for_log("version persisted");
    broker.kill();
    let whole = std::fs::read(&kept).unwrap();
    std::fs::write(&kept, &whole[..whole.len() / 2]).unwrap();
    service.stop();
    let broker = start(&service);
    assert_eq!((broker.status().number, &broker.status().rollout_state[..]), (0, "own file"));
    assert!(broker.log.iter().any(|line| line.contains(": corrupt: ")), "{:#?}", broker.log);
}

/// A broker is killed while a version is on probation, and later after it withdrew one. After the restart the
/// probation must begin again, and what was withdrawn must be rejected.
#[rstest]
fn goes_on_with_a_probation_and_remembers_what_it_withdrew() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let kept = folder.path().join("kept");
    let control = format!(
        "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1\nkeep_file = {}",
        kept.display()
    );
    let start = || {
        let services = vec![service.address];
        Broker::start(&BrokerStart { folder: folder.path(), name: "n0", node, services, control: &control })
    };
    let mut broker = start();
    service.publish(1, INSTALLATION, &text(1));
    wait_until("the first is on probation", || broker.status().rollout_state == "on trial");
    broker.kill();
    let mut broker = start();
    wait_until("the first is on probation again", || broker.status().number == 1);
    let mut client = Client::new("c", broker.listens);
    wait_until("the first is confirmed", || {
        assert_eq!(client.send_query("lookup", 2).status, 200);
        broker.status().rollout_state == "confirmed"
    });
    let mut bad = document(2);
    (bad["Domain"]["Cells"], bad["Services"][0]["OnTimeMs"]) = (json!(3), json!(60.0));
    service.publish(2, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the second is withdrawn", || {
        client.send_query("lookup", 2);
        broker.status().last_rejection.is_some()
    });
    broker.kill();
    let broker = start();
    wait_until("the second is rejected", || broker.status().last_rejection.is_some());
    let reason = broker.status().last_rejection.unwrap().reason;
    assert!(reason.starts_with("these contents were withdrawn as version 2"), "{reason}");
    assert_eq!(broker.status().number, 1);
}

/// The service sends documents that are too long, too deep, cut, or without their keys. Each must be rejected
/// with its reason; the broker must serve on, and apply the next valid version.
#[rstest]
#[case(vec![b' '; 10 << 20], "10485760 bytes, at most 1048576 are allowed")]
#[case(vec![b'['; 5000], "recursion limit exceeded")]
#[case(br#"{"Instances": 3, "PeriodMs""#.to_vec(), "EOF while parsing")]
#[case(br#"{"PeriodMs": 1}"#.to_vec(), "`Services` is missing")]
fn rejects_invalid_documents(#[case] text: Vec<u8>, #[case] expected: &str) {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let services = vec![service.address];
    let broker =
        Broker::start(&BrokerStart { folder: folder.path(), name: "n0", node, services, control: QUICK });
    service.publish(1, INSTALLATION, &text);
    wait_until("it is rejected", || broker.status().last_rejection.is_some());
    let RejectionStatus { number, reason, .. } = broker.status().last_rejection.unwrap();
    assert!(number == "1" && reason.contains(expected), "{number}: {reason}");
    assert_eq!(Client::new("c", broker.listens).send_query("lookup", 2).status, 200);
    service.publish(2, INSTALLATION, &self::text(2));
    wait_until("the next is applied", || broker.status().number == 2);
}

/// A version removes a class and a placement group while queries of them are open. Those must go on under the
/// version under which they were accepted; new ones of that class must get 400.
#[rstest]
fn removes_a_class_with_queries_open() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let services = vec![service.address];
    let broker =
        Broker::start(&BrokerStart { folder: folder.path(), name: "n0", node, services, control: QUICK });
    let mut first = document(1);
    first["Services"][1]["OnTimeMs"] = json!(1500.0);
    service.publish(1, INSTALLATION, first.to_string().as_bytes());
    wait_until("the first is applied", || broker.status().number == 1);
    std::thread::scope(|scope| {
        let listens = broker.listens;
        let open = scope.spawn(move || Client::new("p", listens).probe(1));
        std::thread::sleep(Duration::from_millis(300));
        let mut second = document(2);
        second["Services"].as_array_mut().unwrap().pop();
        (second["Domain"]["MinShare"], second["Domain"]["CompleteFrom"]) = (json!([1.0]), json!([1.0]));
        (second["Domain"]["Cells"], second["Domain"]["Ranges"]) = (json!(1), json!(4));
        service.publish(2, INSTALLATION, second.to_string().as_bytes());
        wait_until("the second is applied", || broker.status().number == 2);
        let mut client = Client::new("c", broker.listens);
        assert_eq!(client.send_query("probe", 1).status, 400);
        assert_eq!(client.send_query("lookup", 3).status, 200, "group 0 holds all shards now");
        assert_eq!(open.join().unwrap(), Some(1), "rejected under the version that it was accepted under");
    });
}

/// The folder of the state file can't be written for a while. What was confirmed meanwhile must be stored once
/// it can be, though no other version comes.
#[rstest]
fn stores_what_it_owes_once_it_can() {
    let service = XdsTestServer::start(ANY_PORT, FaultPlan::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let lasting = folder.path().join("lasting");
    let control = format!("{QUICK}\nkeep_file = {}", lasting.join("state").display());
    let start = BrokerStart {
        folder: folder.path(),
        name: "a",
        node: host.address,
        services: vec![service.address],
        control: &control,
    };
    let mut broker = Broker::start(&start);
    service.publish(1, INSTALLATION, &text(1));
    // Once as it is put on probation, and once as it is confirmed.
    (0..2).for_each(|_| _ = broker.wait_for_log("state not persisted"));
    std::fs::create_dir(&lasting).unwrap();
    wait_until("the state is stored", || lasting.join("state").exists());
}
