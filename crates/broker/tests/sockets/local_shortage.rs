//! The broker's own machine runs short of descriptors, ports or routes for a while. The shortage is no failure of a
//! node, and accepted queries must still be answered.

use super::system_faults::Setting;
use super::test_cluster_process::{ClusterProcess, Outcomes};
use super::test_peers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

/// Makes each query need new connections, because idle ones are closed at once.
fn disable_connection_reuse(config: &mut Value) {
    config["settings"]["Limits"]["StreamsPerConn"] = json!(1);
    config["settings"]["Limits"]["ConnIdleMs"] = json!(10.0);
}

/// Guards against counting a local shortage as a failure of the nodes, which shows as rejections after the
/// shortage. No descriptor is free for 0.8 s, so no connection to a node can be made. Queries that arrive meanwhile
/// must be served late, and those after it at once.
#[rstest]
fn a_shortage_of_descriptors_does_not_count_against_nodes() {
    run_test(async {
        let cluster = ClusterProcess::start(2, disable_connection_reuse).await;
        assert_eq!(cluster.query_concurrently("before", 8).await, Outcomes::all_served(8));
        sleep_ms(100).await; // until the idle connections are closed
        cluster.faults.fail(Setting::SocketOneIn, Setting::SocketErrno, 1, libc::EMFILE);
        let shortage = async {
            sleep_ms(800).await;
            cluster.faults.set(Setting::SocketOneIn, 0);
        };
        let (during, ()) = tokio::join!(cluster.query_concurrently("during", 8), shortage);
        assert_eq!(during, Outcomes::all_served(8));
        let after = cluster.query_for("after", Duration::from_secs(1)).await;
        assert_eq!(after, Outcomes::all_served(after.served.max(1)));
    });
}

/// One connect in three fails because the machine has no local port, no route or no buffer. Each must be retried,
/// and every query served.
#[rstest]
fn local_connect_failures_do_not_lose_queries() {
    run_test(async {
        let cluster = ClusterProcess::start(2, disable_connection_reuse).await;
        for error in [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS] {
            cluster.faults.fail(Setting::ConnectOneIn, Setting::ConnectErrno, 3, error);
            let outcomes = cluster.query_sequentially(&format!("e{error}x"), 60).await;
            assert_eq!(outcomes, Outcomes::all_served(60), "errno {error}");
        }
        assert!(cluster.faults.injected_faults() > 0);
    });
}

/// One accept in three fails because the connection is already closed or no descriptor is free. The other
/// connections in the queue must still be accepted, and every query served.
#[rstest]
fn accept_failures_do_not_lose_queries() {
    run_test(async {
        let mut cluster = ClusterProcess::start(2, |_| ()).await;
        for error in [libc::ECONNABORTED, libc::ENFILE] {
            cluster.faults.fail(Setting::AcceptOneIn, Setting::AcceptErrno, 3, error);
            let outcomes = cluster.query_concurrently(&format!("e{error}x"), 40).await;
            assert_eq!(outcomes, Outcomes::all_served(40), "errno {error}");
        }
        cluster.process.signal("TERM");
        assert_eq!(cluster.query_concurrently("leaving", 40).await, Outcomes::all_served(40));
        assert_eq!(cluster.process.wait(), Some(0));
    });
}

/// No connection can be accepted during the shutdown until shortly before its end. The connections that wait in the
/// accept queue by then must be accepted and answered, not reset.
#[rstest]
#[case::connection_aborted(libc::ECONNABORTED)]
#[case::no_descriptor(libc::EMFILE)]
fn queued_connections_are_served_after_accept_failures(#[case] error: i32) {
    run_test(async {
        let mut cluster = ClusterProcess::start(2, |_| ()).await;
        cluster.faults.fail(Setting::AcceptOneIn, Setting::AcceptErrno, 1, error);
        cluster.process.signal("TERM");
        cluster.process.wait_for_log("shutting down");
        let end_of_faults = async {
            sleep_ms(900).await; // longer than the accept period
            cluster.faults.set(Setting::AcceptOneIn, 0);
        };
        let (outcomes, ()) = tokio::join!(cluster.query_concurrently("queued", 10), end_of_faults);
        assert_eq!(outcomes, Outcomes::all_served(10));
        assert_eq!(cluster.process.wait(), Some(0));
    });
}
