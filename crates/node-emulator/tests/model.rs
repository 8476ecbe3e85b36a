//! The model of a host, moment by moment.

use node_emulator::{Build, Cancel, Host, JobNo, Load, State, Taken};
use routing::Tenths;
use rstest::rstest;

fn build() -> Build {
    Build { cores: 2, queue: 2, ..Build::default() }
}

fn job(no: u64) -> JobNo {
    JobNo(no)
}

/// Two cores and two places: the fifth is turned away; as one ends, the first that waits begins.
#[rstest]
fn queues_and_turns_away() {
    let mut host = Host::new(build(), None);
    let taken: Vec<Taken> = (0..5).map(|no| host.take(Tenths(0), job(no), 10_000)).collect();
    assert_eq!(taken, [Taken::Begun, Taken::Begun, Taken::Queued, Taken::Queued, Taken::Refused]);
    assert_eq!(host.load(Tenths(0)), Load { queue: 2, qps: 0, inflight: 4 });
    assert_eq!((host.end(Tenths(99)), host.next_end()), (None, Some(Tenths(100))));
    assert_eq!(
        (host.end(Tenths(100)), host.end(Tenths(100)), host.end(Tenths(100))),
        (Some(job(0)), Some(job(1)), None)
    );
    assert_eq!(
        (host.next_end(), host.load(Tenths(100))),
        (Some(Tenths(200)), Load { queue: 0, qps: 2, inflight: 2 })
    );
    assert_eq!(host.load(Tenths(20_000)).qps, 0);
}

/// Just started it does a fifth, at half of the way three fifths, then all.
#[rstest]
#[case(0, 500)]
#[case(85_000, 167)]
#[case(170_000, 100)]
fn warms_up(#[case] age: i64, #[case] takes: i64) {
    let mut host = Host::new(build(), Some(Tenths(0)));
    host.take(Tenths(age), job(1), 10_000);
    assert_eq!(host.next_end(), Some(Tenths(age + takes)));
}

#[rstest]
fn a_cold_one_falls_over_where_a_warm_one_only_queues() {
    let sent = |started| {
        let mut host = Host::new(Build { queue: 10_000, ..build() }, started);
        (0..200)
            .map(|no| host.take(Tenths(no), job(no as u64), 10_000))
            .find(|taken| *taken == Taken::FellOver)
    };
    // Two cores at a fifth bear 400 ms in the window, three times that are 1,200: the 121st is too much.
    assert_eq!((sent(None), sent(Some(Tenths(0)))), (None, Some(Taken::FellOver)));
}

/// Draining it finishes what it has; dead it loses that, and comes back cold under its name.
#[rstest]
fn drains_dies_and_returns() {
    let mut host = Host::new(build(), None);
    (0..3).for_each(|no| _ = host.take(Tenths(0), job(no), 10_000));
    host.drain();
    assert_eq!((host.take(Tenths(1), job(9), 1), host.end(Tenths(100))), (Taken::Refused, Some(job(0))));
    assert_eq!((host.die(), host.state()), (vec![job(1), job(2)], State::Dead));
    assert_eq!((host.die(), host.take(Tenths(101), job(9), 1)), (vec![], Taken::Unreachable));
    host.drain();
    assert_eq!(host.state(), State::Dead, "what is dead does not drain");
    host.start(Tenths(500));
    assert_eq!(
        (host.state(), host.is_cold(Tenths(500)), host.load(Tenths(500)).inflight),
        (State::Ready, true, 0)
    );
    host.start(Tenths(900));
    assert_eq!(host.started(), Some(Tenths(500)), "what runs is not started again");
}

#[rstest]
fn what_is_given_up_makes_room() {
    let mut host = Host::new(build(), None);
    (0..4).for_each(|no| _ = host.take(Tenths(0), job(no), 10_000));
    assert!(
        host.give_up(Tenths(10), job(0))
            && host.give_up(Tenths(10), job(3))
            && !host.give_up(Tenths(10), job(3))
    );
    assert_eq!(host.load(Tenths(10)), Load { queue: 0, qps: 0, inflight: 2 });
    host.slow(0.5);
    host.give_up(Tenths(20), job(1));
    host.take(Tenths(20), job(7), 10_000);
    assert!(host.end(Tenths(110)).is_some() && host.next_end() == Some(Tenths(220)), "half as fast");
}

/// Warmed by what it did, and by nothing else: an hour of waiting leaves it as cold as it was.
#[rstest]
fn waiting_does_not_warm() {
    let build = Build { cores: 1, warm_jobs: Some(4), ..Build::default() };
    let mut host = Host::new(build, None);
    host.die();
    host.start(Tenths(0));
    let later = Tenths(36_000_000);
    assert!((host.share(later) - 0.2).abs() < 1e-9);
    for no in 0..4 {
        host.take(later, JobNo(no), 100);
        host.end(host.next_end().unwrap());
    }
    assert!((host.share(later) - 1.0).abs() < 1e-9);
}

/// What is given up costs nothing more, or what runs goes on, or all does.
#[rstest]
#[case(Cancel::All, 0)]
#[case(Cancel::Waiting, 1)]
#[case(Cancel::Nothing, 2)]
fn work_goes_on(#[case] cancel: Cancel, #[case] ended: usize) {
    let mut host = Host::new(Build { cores: 1, cancel, ..Build::default() }, None);
    host.take(Tenths(0), JobNo(1), 1000);
    host.take(Tenths(0), JobNo(2), 1000);
    host.give_up(Tenths(1), JobNo(2));
    host.give_up(Tenths(1), JobNo(1));
    let mut count = 0;
    while let Some(end) = host.next_end() {
        host.end(end);
        count += 1;
    }
    assert_eq!(count, ended);
}
