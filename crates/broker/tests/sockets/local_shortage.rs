//! This machine runs short of descriptors, ports or routes for a while. That says nothing of the nodes, and
//! what was accepted must still be answered.

use super::system_faults::Setting;
use super::test_cluster_process::{ClusterProcess, Outcomes};
use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

/// Makes each query need connections of its own: idle ones are closed at once.
fn keep_no_connections(config: &mut Value) {
    config["settings"]["Limits"]["StreamsPerConn"] = json!(1);
    config["settings"]["Limits"]["ConnIdleMs"] = json!(10.0);
}

/// No descriptor is free for 0.8 s, so no connection to a node can be made. Counted against the nodes it would
/// show as rejections after the shortage is over. Queries that came meanwhile must be served late, and those
/// after it at once.
#[rstest]
fn a_shortage_of_descriptors_blames_no_node() {
    run_test(async {
        let cluster = ClusterProcess::start(2, keep_no_connections).await;
        assert_eq!(cluster.query_together("before", 8).await, Outcomes::all_served(8));
        sleep_ms(100).await; // idle connections are closed by then
        cluster.faults.fail(Setting::SocketOneIn, Setting::SocketErrno, 1, libc::EMFILE);
        let shortage = async {
            sleep_ms(800).await;
            cluster.faults.set(Setting::SocketOneIn, 0);
        };
        let (during, ()) = tokio::join!(cluster.query_together("during", 8), shortage);
        assert_eq!(during, Outcomes::all_served(8));
        let after = cluster.query_for("after", Duration::from_secs(1)).await;
        assert_eq!(after, Outcomes::all_served(after.served.max(1)));
    });
}

/// One connect in three fails because this machine has no local port, no route or no buffer. Each must be tried
/// again; every query must be served.
#[rstest]
fn failing_connects_of_our_own_cost_no_query() {
    run_test(async {
        let cluster = ClusterProcess::start(2, keep_no_connections).await;
        for error in [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS] {
            cluster.faults.fail(Setting::ConnectOneIn, Setting::ConnectErrno, 3, error);
            let outcomes = cluster.query_in_turn(&format!("e{error}x"), 60).await;
            assert_eq!(outcomes, Outcomes::all_served(60), "errno {error}");
        }
        assert!(cluster.faults.injected() > 0);
    });
}

/// One accept in three fails, since the connection is gone already or no descriptor is free. The others in the
/// queue must still be accepted, and every query served.
#[rstest]
fn failing_accepts_cost_no_query() {
    run_test(async {
        let mut cluster = ClusterProcess::start(2, |_| ()).await;
        for error in [libc::ECONNABORTED, libc::ENFILE] {
            cluster.faults.fail(Setting::AcceptOneIn, Setting::AcceptErrno, 3, error);
            let outcomes = cluster.query_together(&format!("e{error}x"), 40).await;
            assert_eq!(outcomes, Outcomes::all_served(40), "errno {error}");
        }
        cluster.process.signal("TERM");
        assert_eq!(cluster.query_together("leaving", 40).await, Outcomes::all_served(40));
        assert_eq!(cluster.process.exit(), Some(0));
    });
}

/// No connection can be accepted while the process shuts down, until shortly before its end: those that wait in the
/// listener's queue by then are accepted and answered, and not reset.
#[rstest]
#[case::gone(libc::ECONNABORTED)]
#[case::no_descriptor(libc::EMFILE)]
fn queued_connections_outlast_failing_accepts(#[case] error: i32) {
    run_test(async {
        let mut cluster = ClusterProcess::start(2, |_| ()).await;
        cluster.faults.fail(Setting::AcceptOneIn, Setting::AcceptErrno, 1, error);
        cluster.process.signal("TERM");
        cluster.process.wait_for_log("shutting down");
        let end_of_faults = async {
            sleep_ms(900).await; // past the time for which new connections are served
            cluster.faults.set(Setting::AcceptOneIn, 0);
        };
        let (outcomes, ()) = tokio::join!(cluster.query_together("queued", 10), end_of_faults);
        assert_eq!(outcomes, Outcomes::all_served(10));
        assert_eq!(cluster.process.exit(), Some(0));
    });
}
