use super::{Arrival, attempt_timeout, first_phase_ends_at};
use crate::config::RequestClass;
use crate::policy::test_queries::{class, query};
use crate::state::QueryTimes;
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(100_000);

fn arrival(time_left: i64, work: i64) -> Arrival {
    Arrival { now: NOW, time_left: TimeSpan(time_left), work: TimeSpan(work), turn_period: TimeSpan(50) }
}

// The objective is 10,000 and the deadline 30,000. The margins are 2% of the objective plus two turns, and
// four turns.
#[rstest]
#[case::usual(arrival(30_000, 0), 10_000, 109_700, 129_800)]
#[case::grows_with_declared_work(arrival(30_000, 1_000), 12_000, 111_700, 129_800)]
#[case::never_past_the_deadline(arrival(60_000, 50_000), 30_000, 129_700, 159_800)]
#[case::never_past_the_client_timeout(arrival(4_000, 0), 4_000, 103_700, 103_800)]
fn times(
    #[case] arrival: Arrival,
    #[case] latency_objective: i64,
    #[case] objective_at: i64,
    #[case] deadline_at: i64,
) {
    let class = RequestClass { objective_stretch: 2.0, ..class(1.0, 1.0) };
    let times = arrival.times(&query(class, &[1.0]).policy);
    assert_eq!(times.latency_objective, TimeSpan(latency_objective));
    assert_eq!(times.objective_at, Timestamp(objective_at));
    assert_eq!(times.deadline_at, Timestamp(deadline_at));
}

#[rstest]
fn a_second_phase_has_half_of_the_objective() {
    assert_eq!(first_phase_ends_at(Timestamp(109_700), TimeSpan(10_000)), Timestamp(104_700));
}

// The objective is at 10,000 and the deadline at 20,000.
#[rstest]
#[case::until_the_objective(4_000, 0, 6_000)]
#[case::while_a_late_response_is_useful(4_000, 3_000, 9_000)]
#[case::not_past_the_deadline(4_000, 30_000, 16_000)]
#[case::never_zero(11_000, 0, 1)]
fn attempts_time_out(#[case] now: i64, #[case] useful_after_objective: i64, #[case] expected: i64) {
    let times = QueryTimes {
        latency_objective: TimeSpan(10_000),
        objective_at: Timestamp(10_000),
        deadline_at: Timestamp(20_000),
    };
    let timeout = attempt_timeout(&times, TimeSpan(useful_after_objective), Timestamp(now));
    assert_eq!(timeout, TimeSpan(expected));
}
