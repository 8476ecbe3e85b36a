//! Tests of single probations: which versions fail, which pass, and when a probation is paused.

use super::{OutcomeWindow, Probation};
use crate::policy::RolloutPolicy;
use crate::sample::Sample;
use crate::verdict::{UnprovenReason, Verdict};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const SECOND: i64 = 10_000;

/// Returns the outcomes of one minute with 20 queries per second, of which the given percentage failed in each
/// quarter.
fn outcomes_before(failed_percent: [u64; 4]) -> OutcomeWindow {
    let mut outcomes = OutcomeWindow::default();
    for second in 0..60 {
        let failed = 20 * failed_percent[(second / 15) as usize] / 100;
        let sample = Sample { ended: 20, failed, failed_on_nodes: 0, ready_nodes: 100 };
        outcomes.record(Timestamp(second * SECOND), sample, TimeSpan(60 * SECOND));
    }
    outcomes
}

/// Runs a probation with one evaluation per second, and returns the second of the first verdict and the verdict.
fn run_probation(outcomes: &OutcomeWindow, update: impl Fn(i64, &mut Sample)) -> (i64, Verdict) {
    let mut probation = Probation::new(RolloutPolicy::default(), outcomes, Timestamp(61 * SECOND));
    let mut counts = Sample { ready_nodes: 100, ..Sample::default() };
    for second in 1..=1000 {
        update(second, &mut counts);
        match probation.judge(Timestamp((61 + second) * SECOND), counts) {
            Verdict::Pending | Verdict::Paused(_) => {}
            verdict => return (second, verdict),
        }
    }
    panic!("no verdict within 1000 s");
}

fn is_failed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Failed(_))
}

#[rstest]
fn a_harmless_version_is_proven_after_the_minimum_duration() {
    let (second, verdict) = run_probation(&outcomes_before([0; 4]), |_, counts| counts.ended += 20);
    assert_eq!((second, verdict), (60, Verdict::Proven));
}

/// A version makes all queries fail from its fourth second on. It must fail its probation within seconds, not after
/// the minute that a probation lasts.
#[rstest]
fn a_version_that_fails_seconds_later_is_detected() {
    let (at, verdict) = run_probation(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += 20;
        counts.failed += if second > 3 { 20 } else { 0 };
    });
    assert!(is_failed(&verdict) && at <= 7, "{at}: {verdict:?}");
}

/// The share of failed queries varies by chance, with 300 seeds. This must not fail a version, or brokers would
/// withdraw harmless versions every few minutes.
#[rstest]
#[case(0.02)]
#[case(0.2)]
fn noise_does_not_fail_a_version(#[case] share: f64) {
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
        let (_, verdict) = run_probation(&outcomes, |_, counts| (draw.borrow_mut())(counts));
        assert_eq!(verdict, Verdict::Proven, "seed {seed}");
    }
}

/// All of the first queries fail, and there is no baseline. The few queries must not prove the version, which fails
/// once there are more.
#[rstest]
fn a_version_above_the_baseline_is_not_proven() {
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

/// A fault began 15 seconds before the version was applied and continues. It must not fail the version.
#[rstest]
fn a_fault_that_began_earlier_does_not_fail_a_version() {
    let (second, verdict) = run_probation(&outcomes_before([0, 0, 0, 40]), |_, counts| {
        counts.ended += 20;
        counts.failed += 8;
    });
    assert_eq!((second, verdict), (60, Verdict::Proven));
}

/// A zone is lost in the second in which the version is applied. The probation is paused and starts again after the
/// zone has recovered.
#[rstest]
#[case(true)]
#[case(false)]
fn pauses_while_a_zone_is_lost(#[case] listed: bool) {
    let (second, verdict) = run_probation(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += 20;
        let lost = second <= 100;
        counts.failed += if lost { 15 } else { 0 };
        counts.failed_on_nodes += if lost && !listed { 15 } else { 0 };
        counts.ready_nodes = if lost && listed { 60 } else { 100 };
    });
    assert_eq!(verdict, Verdict::Proven);
    assert!(second >= 160, "{second}");
}

/// A version makes queries fail while a zone is also lost. It must fail once the zone has recovered.
#[rstest]
fn a_bad_version_fails_once_the_zone_is_back() {
    let (at, verdict) = run_probation(&outcomes_before([0; 4]), |second, counts| {
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
    let (second, verdict) = run_probation(&outcomes_before([0; 4]), |_, counts| {
        counts.ended += per_second;
        counts.ready_nodes = ready_nodes;
    });
    let Verdict::Unproven(reason) = verdict else { panic!("{verdict:?}") };
    assert_eq!((second, reason.to_string().as_str()), (900, reason_text));
}

/// A broker has just started and has no earlier outcomes for a baseline. A version must fail only if most of its
/// queries fail.
#[rstest]
#[case(8, false)]
#[case(18, true)]
fn assumes_a_baseline_without_earlier_outcomes(#[case] failed: u64, #[case] fails: bool) {
    let (_, verdict) = run_probation(&OutcomeWindow::default(), |_, counts| {
        counts.ended += 20;
        counts.failed += failed;
        counts.ready_nodes = 100;
    });
    assert_eq!(is_failed(&verdict), fails, "{verdict:?}");
}

/// All of the first queries fail, but they are too few for a verdict. Otherwise a broker with little traffic would
/// withdraw a version because of the queries of one client.
#[rstest]
fn too_few_queries_withdraw_nothing() {
    let (second, verdict) = run_probation(&outcomes_before([0; 4]), |_, counts| {
        counts.ended += 1;
        counts.failed += 1;
    });
    assert!(is_failed(&verdict) && second == 30, "{second}: {verdict:?}");
}

/// Enough queries ended, and more of them failed than before but within noise. The reason must not be that there were
/// too few queries.
#[rstest]
fn failures_within_noise_are_inconclusive() {
    let (second, verdict) = run_probation(&outcomes_before([0; 4]), |second, counts| {
        counts.ended += u64::from(second <= 30);
        counts.failed += u64::from(second <= 4);
    });
    assert_eq!((second, verdict), (900, Verdict::Unproven(UnprovenReason::Inconclusive)));
}
