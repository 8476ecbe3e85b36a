//! Single probations: which versions fail, which do not, and what pauses a probation.

use super::{OutcomeWindow, Probation};
use crate::policy::RolloutPolicy;
use crate::sample::Sample;
use crate::verdict::{UnprovenReason, Verdict};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const SECOND: i64 = 10_000;

/// A minute of 20 queries a second before: this many percent failed, in each quarter of it.
fn outcomes_before(failed_percent: [u64; 4]) -> OutcomeWindow {
    let mut outcomes = OutcomeWindow::default();
    for second in 0..60 {
        let failed = 20 * failed_percent[(second / 15) as usize] / 100;
        let sample = Sample { ended: 20, failed, failed_on_nodes: 0, ready_nodes: 100 };
        outcomes.record(Timestamp(second * SECOND), sample, TimeSpan(60 * SECOND));
    }
    outcomes
}

/// Plays a probation, a second at a time, to its first verdict; returns the second and the verdict.
fn play(outcomes: &OutcomeWindow, each: impl Fn(i64, &mut Sample)) -> (i64, Verdict) {
    let mut probation = Probation::new(RolloutPolicy::default(), outcomes, Timestamp(61 * SECOND));
    let mut counts = Sample { ready_nodes: 100, ..Sample::default() };
    for second in 1..=1000 {
        each(second, &mut counts);
        match probation.judge(Timestamp((61 + second) * SECOND), counts) {
            Verdict::Pending | Verdict::Paused(_) => {}
            verdict => return (second, verdict),
        }
    }
    panic!("no verdict in a thousand seconds");
}

fn is_failed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Failed(_))
}

#[rstest]
fn a_harmless_version_is_proven_when_its_time_is_over() {
    let (second, verdict) = play(&outcomes_before([0; 4]), |_, counts| counts.ended += 20);
    assert_eq!((second, verdict), (60, Verdict::Proven));
}

/// A version makes all queries fail from its third second on. It must fail its probation within seconds, not after
/// the minute that a probation lasts.
#[rstest]
fn a_version_that_fails_seconds_later_is_found() {
    let (at, verdict) = play(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += 20;
        counts.failed += if second > 3 { 20 } else { 0 };
    });
    assert!(is_failed(&verdict) && at <= 7, "{at}: {verdict:?}");
}

/// The share of failed queries varies by chance, with each of 300 seeds. No version may fail for it: brokers would
/// withdraw harmless versions every few minutes.
#[rstest]
#[case(0.02)]
#[case(0.2)]
fn noise_fails_no_version(#[case] share: f64) {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut draw = |counts: &mut Sample| {
            counts.ended += 20;
            counts.failed += (0..20).filter(|_| rng.f64() < share).count() as u64;
        };
        let mut outcomes = OutcomeWindow::default();
        for second in 0..60 {
            let mut sample = Sample { ready_nodes: 100, ..Sample::default() };
            draw(&mut sample);
            outcomes.record(Timestamp(second * SECOND), sample, TimeSpan(60 * SECOND));
        }
        let draw = std::cell::RefCell::new(draw);
        let (_, verdict) = play(&outcomes, |_, counts| (draw.borrow_mut())(counts));
        assert_eq!(verdict, Verdict::Proven, "seed {seed}");
    }
}

/// Few queries, all failed, and nothing to compare with: they prove nothing, and the version fails once
/// there are more.
#[rstest]
fn a_version_that_looks_worse_is_not_proven() {
    let policy = RolloutPolicy {
        probation_duration: TimeSpan(3 * SECOND),
        failure_ratio_margin: 0.2,
        ..RolloutPolicy::default()
    };
    let mut probation = Probation::new(policy, &OutcomeWindow::default(), Timestamp(0));
    let verdicts = (1..=60).map(|second: i64| {
        let (ended, ready_nodes) = (second as u64 * 10, 5);
        probation.judge(
            Timestamp(second * SECOND),
            Sample { ended, failed: ended, failed_on_nodes: 0, ready_nodes },
        )
    });
    let first = verdicts.into_iter().enumerate().find(|(_, verdict)| *verdict != Verdict::Pending).unwrap();
    assert!(first.0 == 3 && is_failed(&first.1), "{first:?}");
}

/// A fault began a quarter of a minute before the version and goes on. The version must not fail for it.
#[rstest]
fn a_fault_that_began_earlier_fails_no_version() {
    let (second, verdict) = play(&outcomes_before([0, 0, 0, 40]), |_, counts| {
        counts.ended += 20;
        counts.failed += 8;
    });
    assert_eq!((second, verdict), (60, Verdict::Proven));
}

/// A zone lost in the same second: a pause, and the probation starts again when it is back.
#[rstest]
#[case(true)]
#[case(false)]
fn pauses_while_a_zone_is_lost(#[case] listed: bool) {
    let (second, verdict) = play(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += 20;
        let lost = second <= 100;
        counts.failed += if lost { 15 } else { 0 };
        counts.failed_on_nodes += if lost && !listed { 15 } else { 0 };
        counts.ready_nodes = if lost && listed { 60 } else { 100 };
    });
    assert_eq!(verdict, Verdict::Proven);
    assert!(second >= 160, "{second}");
}

/// A version makes queries fail while a zone is lost, too. It fails once the zone is back.
#[rstest]
fn a_bad_version_fails_once_the_zone_is_back() {
    let (at, verdict) = play(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += 20;
        counts.failed += 15;
        counts.ready_nodes = if second <= 100 { 60 } else { 100 };
    });
    assert!(is_failed(&verdict) && (101..=106).contains(&at), "{at}: {verdict:?}");
}

#[rstest]
#[case(100, 0, "0 queries ended, 30 are needed")]
#[case(60, 20, "nodes were failing until the end")]
fn ends_without_a_verdict(#[case] ready_nodes: u64, #[case] per_second: u64, #[case] reason_text: &str) {
    let (second, verdict) = play(&outcomes_before([0; 4]), |_, counts| {
        counts.ended += per_second;
        counts.ready_nodes = ready_nodes;
    });
    let Verdict::Unproven(reason) = verdict else { panic!("{verdict:?}") };
    assert_eq!((second, reason.to_string().as_str()), (900, reason_text));
}

/// A broker has just started and has no earlier outcomes to compare with. Only a version under which most queries
/// fail may fail then.
#[rstest]
#[case(8, false)]
#[case(18, true)]
fn assumes_a_usual_share_at_first(#[case] failed: u64, #[case] fails: bool) {
    let (_, verdict) = play(&OutcomeWindow::default(), |_, counts| {
        counts.ended += 20;
        counts.failed += failed;
        counts.ready_nodes = 100;
    });
    assert_eq!(is_failed(&verdict), fails, "{verdict:?}");
}

/// All of the first queries fail, but they are too few to judge a version by: a broker with little traffic would
/// withdraw a version for the queries of one client.
#[rstest]
fn too_few_queries_withdraw_nothing() {
    let (second, verdict) = play(&outcomes_before([0; 4]), |_, counts| {
        counts.ended += 1;
        counts.failed += 1;
    });
    assert!(is_failed(&verdict) && second == 30, "{second}: {verdict:?}");
}

/// Just enough queries ended, and more of them failed than usual, though not beyond noise: the reason is not that
/// there were too few.
#[rstest]
fn enough_queries_that_point_neither_way_are_inconclusive() {
    let (second, verdict) = play(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += u64::from(second <= 30);
        counts.failed += u64::from(second <= 4);
    });
    assert_eq!((second, verdict), (900, Verdict::Unproven(UnprovenReason::Inconclusive)));
}
