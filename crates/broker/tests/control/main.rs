//! Versions from a control service, from outside: the program as processes, a stand-in service that has every
//! trouble, clients that hold the brokers to what they report.

mod party;

use party::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use xds_test_server::{StandIn, Troubles};

const ANY_PORT: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));
/// Calls come soon again, and no trial blames: queries that none can serve are part of the play.
const QUICK: &str = "first_wait_ms = 20\nlongest_wait_ms = 200\ncalls_per_minute = 600\ncall_within_ms = 5000\n\
    margin = 1\ntrial_ms = 100\nlongest_trial_ms = 2000\ncount_every_ms = 20";

fn text(number: u64) -> Vec<u8> {
    document(number).to_string().into_bytes()
}

/// Three brokers, a service that drops, delays, repeats, reorders and garbles by seed, queries all the
/// while: at each look from outside the report is what decides, all come to the newest, and each query
/// has one answer.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn what_is_reported_is_what_decides(#[case] seed: u64) {
    const LAST: u64 = 12;
    let troubles = Troubles {
        seed,
        drop: 0.5,
        repeat: 0.3,
        reorder: 0.3,
        garble: 0.2,
        delay: Duration::from_millis(30),
    };
    let service = StandIn::start(ANY_PORT, troubles).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let start = |name| {
        let services = vec![service.address];
        Broker::start(&Start { folder: folder.path(), name, node, services, control: QUICK })
    };
    let brokers: Vec<Broker> = ["n0", "n1", "n2"].into_iter().map(start).collect();
    let (over, served, looks) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let (over, served, looks) = (&over, &served, &looks);
    std::thread::scope(|scope| {
        for (no, broker) in brokers.iter().enumerate() {
            let (listens, status) = (broker.listens, broker.status);
            scope.spawn(move || {
                let mut client = Client::new(&format!("c{no}"), listens);
                while !over.load(Ordering::Relaxed) {
                    assert_eq!(client.ask("lookup", 2).status, 200);
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
            scope.spawn(move || {
                let mut client = Client::new(&format!("p{no}"), listens);
                let mut last = 0;
                while !over.load(Ordering::Relaxed) {
                    // Taken between two reports: it was decided by the one, the other, or one in between.
                    let before = told(status).number;
                    let decided = client.probe(before);
                    let after = told(status).number;
                    let decided =
                        decided.unwrap_or_else(|| panic!("{before} reported, an older one decides"));
                    assert!(
                        (before..=after).contains(&decided),
                        "{before} reported, {decided} decides, {after}"
                    );
                    assert!(last <= before, "no version was withdrawn, and yet {last} came before {before}");
                    last = after;
                    looks.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        for number in 1..=LAST {
            if number == 5 {
                // One that can't be used: it must stay with the fourth until the sixth comes.
                let mut broken = document(number);
                broken["Domain"]["MinShare"][0] = json!(3.0);
                service.publish(number, INSTALLATION, broken.to_string().as_bytes());
            } else {
                service.publish(number, INSTALLATION, &text(number));
            }
            let seen = looks.load(Ordering::Relaxed);
            wait_until("some looks were taken", || looks.load(Ordering::Relaxed) >= seen + 6);
        }
        let all = || brokers.iter().all(|broker| broker.told().number == LAST);
        wait_until("all run the newest", all);
        let confirmed = || brokers.iter().all(|broker| broker.told().standing != "on trial");
        wait_until("the trials are over", confirmed);
        over.store(true, Ordering::Relaxed);
    });
    assert!(served.load(Ordering::Relaxed) > 0 && looks.load(Ordering::Relaxed) >= 6 * LAST);
    let digests: Vec<String> = brokers.iter().map(|broker| broker.told().digest).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    let said = service.said();
    assert!(
        said.iter().any(|said| said.refusal.is_some()),
        "nothing was turned down, though much was broken"
    );
    assert!(service.streams() > 3, "no stream was ever dropped");
    // Each nonce had one answer at the most.
    let mut nonces: Vec<_> = said.iter().filter(|said| !said.nonce.is_empty()).map(|s| &s.nonce).collect();
    let all = nonces.len();
    nonces.sort();
    nonces.dedup();
    assert_eq!(nonces.len(), all);
}

/// One that passes its checks and makes answers fail: the last confirmed one is put back within seconds, told
/// to the service and to whoever asks, and not taken again. What was open has its answer all the while.
#[rstest]
fn withdraws_a_version_that_makes_answers_fail() {
    let service = StandIn::start(ANY_PORT, Troubles::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let control = "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1";
    let services = vec![service.address];
    let mut broker = Broker::start(&Start { folder: folder.path(), name: "n0", node, services, control });
    let mut client = Client::new("c", broker.listens);
    service.publish(1, INSTALLATION, &text(1));
    wait_until("the first is confirmed", || {
        assert_eq!(client.ask("lookup", 2).status, 200);
        broker.told().standing == "confirmed"
    });
    // Cells that no node is in: each lookup waits, and is rejected.
    let mut bad = document(2);
    bad["Domain"]["Cells"] = json!(3);
    (bad["Services"][0]["OnTimeMs"], bad["Services"][1]["OnTimeMs"]) = (json!(60.0), json!(60.0));
    service.publish(2, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the second is applied", || broker.told().number == 2);
    let mut failed = 0;
    wait_until("the first is put back", || {
        let reply = client.ask("lookup", 2);
        failed += u64::from(reply.status == 503);
        assert!([200, 503].contains(&reply.status), "{reply:?}");
        broker.told().number == 1
    });
    assert!(failed >= 30, "{failed} failed, 30 are the least to judge by");
    let told = broker.told();
    let (number, why, _) = told.last_refusal.clone().unwrap();
    assert_eq!((&number[..], &told.standing[..]), ("2", "confirmed"), "{told:?}");
    assert!(why.contains("ended badly"), "{why}");
    let withdrawn = broker.says("version withdrawn");
    assert_eq!((&withdrawn["number"], &withdrawn["runs"]), (&json!(2), &json!(1)));
    wait_until("the service hears of it", || {
        let said = service.said();
        let last = said.last().unwrap();
        last.version == "1" && last.refusal.as_ref().is_some_and(|refusal| refusal.contains("ended badly"))
    });
    // The same contents under a higher number are turned down; others are taken.
    service.publish(3, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the third is turned down", || broker.told().last_refusal.unwrap().0 == "3");
    assert_eq!((broker.told().number, client.ask("lookup", 2).status), (1, 200));
    service.publish(4, INSTALLATION, &text(4));
    wait_until("the fourth is taken", || broker.told().number == 4);
}

/// Killed and started anew with no service to be had, a broker goes on with what it kept; a torn file is
/// named and passed over.
#[rstest]
fn goes_on_with_the_last_good_version() {
    let mut service = StandIn::start(ANY_PORT, Troubles::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let kept = folder.path().join("kept");
    let control = format!("{QUICK}\nkeep_file = {}", kept.display());
    let start = |service: &StandIn| {
        let services = vec![service.address];
        Broker::start(&Start { folder: folder.path(), name: "n0", node, services, control: &control })
    };
    let mut broker = start(&service);
    service.publish(7, INSTALLATION, &text(7));
    broker.says("version kept");
    service.vanish();
    broker.kill();
    let mut broker = start(&service);
    let told = broker.told();
    assert_eq!((told.number, &told.standing[..], told.confirmed), (7, "confirmed", 7));
    assert_eq!(Client::new("c", broker.listens).probe(7), Some(7));
    // Back with its state lost: a lower number takes no effect, a higher one does.
    service.forget();
    service.come_back().unwrap();
    service.publish(6, INSTALLATION, &text(6));
    wait_until("the sixth is turned down", || broker.told().last_refusal.is_some_and(|last| last.0 == "6"));
    assert_eq!(broker.told().number, 7);
    service.publish(8, INSTALLATION, &text(8));
    wait_until("the eighth is taken", || broker.told().number == 8);
    broker.says("version kept");
    broker.kill();
    let whole = std::fs::read(&kept).unwrap();
    std::fs::write(&kept, &whole[..whole.len() / 2]).unwrap();
    service.vanish();
    let broker = start(&service);
    assert_eq!((broker.told().number, &broker.told().standing[..]), (0, "own file"));
    assert!(broker.log.iter().any(|line| line.contains("it is torn")), "{:#?}", broker.log);
}

/// Killed while a version is on trial, it is tried again; what was cancelled stays so past a restart.
#[rstest]
fn goes_on_with_a_trial_and_remembers_what_it_withdrew() {
    let service = StandIn::start(ANY_PORT, Troubles::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let kept = folder.path().join("kept");
    let control = format!(
        "trial_ms = 300\nlongest_trial_ms = 60000\ncount_every_ms = 20\nmargin = 0.1\nkeep_file = {}",
        kept.display()
    );
    let start = || {
        let services = vec![service.address];
        Broker::start(&Start { folder: folder.path(), name: "n0", node, services, control: &control })
    };
    let mut broker = start();
    service.publish(1, INSTALLATION, &text(1));
    wait_until("the first is on trial", || broker.told().standing == "on trial");
    broker.kill();
    let mut broker = start();
    wait_until("the first is on trial again", || broker.told().number == 1);
    let mut client = Client::new("c", broker.listens);
    wait_until("the first is confirmed", || {
        assert_eq!(client.ask("lookup", 2).status, 200);
        broker.told().standing == "confirmed"
    });
    let mut bad = document(2);
    (bad["Domain"]["Cells"], bad["Services"][0]["OnTimeMs"]) = (json!(3), json!(60.0));
    service.publish(2, INSTALLATION, bad.to_string().as_bytes());
    wait_until("the second is withdrawn", || {
        client.ask("lookup", 2);
        broker.told().last_refusal.is_some()
    });
    broker.kill();
    let broker = start();
    wait_until("the second is turned down", || broker.told().last_refusal.is_some());
    let why = broker.told().last_refusal.unwrap().1;
    assert!(why.starts_with("these contents were withdrawn as version 2"), "{why}");
    assert_eq!(broker.told().number, 1);
}

/// Documents that must not cost a broker its life: each is turned down with its reason, and it serves on.
#[rstest]
#[case(vec![b' '; 10 << 20], "10485760 bytes, at most 1048576 are allowed")]
#[case(vec![b'['; 5000], "recursion limit exceeded")]
#[case(br#"{"Instances": 3, "PeriodMs""#.to_vec(), "EOF while parsing")]
#[case(br#"{"PeriodMs": 1}"#.to_vec(), "`Services` is missing")]
fn turns_down_what_is_no_document(#[case] text: Vec<u8>, #[case] told: &str) {
    let service = StandIn::start(ANY_PORT, Troubles::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let services = vec![service.address];
    let broker = Broker::start(&Start { folder: folder.path(), name: "n0", node, services, control: QUICK });
    service.publish(1, INSTALLATION, &text);
    wait_until("it is turned down", || broker.told().last_refusal.is_some());
    let (number, why, _) = broker.told().last_refusal.unwrap();
    assert!(number == "1" && why.contains(told), "{number}: {why}");
    assert_eq!(Client::new("c", broker.listens).ask("lookup", 2).status, 200);
    service.publish(2, INSTALLATION, &self::text(2));
    wait_until("the next is taken", || broker.told().number == 2);
}

/// A version that strikes a class, and a cell, with queries of them open: those go on by what they were
/// taken under, and new ones are told that there is no such class.
#[rstest]
fn strikes_a_category_with_retrievals_open() {
    let service = StandIn::start(ANY_PORT, Troubles::default()).unwrap();
    let (folder, host) = (tempfile::tempdir().unwrap(), node());
    let node = host.address;
    let services = vec![service.address];
    let broker = Broker::start(&Start { folder: folder.path(), name: "n0", node, services, control: QUICK });
    let mut first = document(1);
    first["Services"][1]["OnTimeMs"] = json!(1500.0);
    service.publish(1, INSTALLATION, first.to_string().as_bytes());
    wait_until("the first is taken", || broker.told().number == 1);
    std::thread::scope(|scope| {
        let listens = broker.listens;
        let open = scope.spawn(move || Client::new("p", listens).probe(1));
        std::thread::sleep(Duration::from_millis(300));
        let mut second = document(2);
        second["Services"].as_array_mut().unwrap().pop();
        (second["Domain"]["MinShare"], second["Domain"]["CompleteFrom"]) = (json!([1.0]), json!([1.0]));
        (second["Domain"]["Cells"], second["Domain"]["Ranges"]) = (json!(1), json!(4));
        service.publish(2, INSTALLATION, second.to_string().as_bytes());
        wait_until("the second is taken", || broker.told().number == 2);
        let mut client = Client::new("c", broker.listens);
        assert_eq!(client.ask("probe", 1).status, 400);
        assert_eq!(client.ask("lookup", 3).status, 200, "cell 0 holds all shards now");
        assert_eq!(open.join().unwrap(), Some(1), "declined by what it was taken under");
    });
}
