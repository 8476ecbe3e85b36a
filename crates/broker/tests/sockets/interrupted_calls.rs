//! System calls that are interrupted by a signal, or that move only a few bytes. Neither says anything of the
//! connection, so none may break and no query may be lost.

use super::system_faults::Setting;
use super::test_cluster_process::{ClusterProcess, Outcomes};
use super::test_peers::*;
use rstest::rstest;

const QUERIES: usize = 200;

/// One read, write and wait in eight fails with EINTR, from the process's first call on. Taken for errors they
/// would show as closed connections and lost responses. Each call must be repeated, and every query served.
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

/// Each read and write moves at most three bytes. Code that takes a short transfer for the end would show
/// truncated frames and hung queries. The rest must be read and written as the poll reports it, and every query
/// served.
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
