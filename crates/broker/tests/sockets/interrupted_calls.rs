//! System calls that are interrupted, or that move few bytes: no connection breaks by that.

use super::system_faults::Setting;
use super::test_cluster_process::{ClusterProcess, Outcomes};
use super::test_peers::*;
use rstest::rstest;

const QUERIES: usize = 200;

/// One read, write and wait in eight ends with EINTR, from the process's first call on.
#[rstest]
fn interrupted_calls_are_made_again() {
    run_test(async {
        let cluster = ClusterProcess::start_with_faults(
            2,
            |_| (),
            |faults| {
                faults.set(Setting::ReadInterruptedOneIn, 8);
                faults.set(Setting::WriteInterruptedOneIn, 8);
                faults.set(Setting::WaitInterruptedOneIn, 8);
            },
        )
        .await;
        let outcomes = cluster.query_in_turn("q", QUERIES).await;
        assert!(cluster.faults.injected() > QUERIES as i64);
        assert_eq!(outcomes, Outcomes::all_served(QUERIES));
    });
}

/// Each read and write moves three bytes at the most; the poll goes on telling of the rest.
#[rstest]
fn short_transfers_are_gone_on_with() {
    run_test(async {
        let few = |faults: &super::system_faults::SystemFaults| faults.set(Setting::MaxTransferBytes, 3);
        let cluster = ClusterProcess::start_with_faults(2, |_| (), few).await;
        let outcomes = cluster.query_in_turn("q", 20).await;
        assert!(cluster.faults.injected() > 20);
        assert_eq!(outcomes, Outcomes::all_served(20));
    });
}
