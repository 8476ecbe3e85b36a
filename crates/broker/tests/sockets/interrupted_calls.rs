//! System calls that are interrupted by a signal or transfer only a few bytes. Neither is an error of the
//! connection, so the broker must keep the connection and lose no query.

use super::system_faults::Setting;
use super::test_cluster_process::{ClusterProcess, Outcomes};
use super::test_peers::*;
use rstest::rstest;

const QUERIES: usize = 200;

/// Guards against handling EINTR as an error, which would close connections and lose responses. One read, write and
/// wait in eight fails with EINTR from the first call of the process on. Each call must be retried, and every query
/// served.
#[rstest]
fn retries_interrupted_calls() {
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
        let outcomes = cluster.query_sequentially("q", QUERIES).await;
        assert!(cluster.faults.injected_faults() > QUERIES as i64);
        assert_eq!(outcomes, Outcomes::all_served(QUERIES));
    });
}

/// Guards against handling a short transfer as the end of the data, which would truncate frames and leave queries
/// without a response. Each read and write transfers at most three bytes. The rest must be transferred as the poll
/// reports it, and every query served.
#[rstest]
fn continues_short_transfers() {
    run_test(async {
        let set_faults =
            |faults: &super::system_faults::SystemFaults| faults.set(Setting::MaxTransferBytes, 3);
        let cluster = ClusterProcess::start_with_faults(2, |_| (), set_faults).await;
        let outcomes = cluster.query_sequentially("q", 20).await;
        assert!(cluster.faults.injected_faults() > 20);
        assert_eq!(outcomes, Outcomes::all_served(20));
    });
}
