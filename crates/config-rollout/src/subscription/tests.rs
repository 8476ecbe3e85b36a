//! Waits, budgets and the choice of a service.

use super::SubscriptionEvent::{
    self, HistoryConflict, ResponseReceived, Started, StreamEnded, StreamOpened, TimerExpired,
};
use super::{Subscription, SubscriptionState::BackingOff, SubscriptionState::Open};
use crate::effects::{Effect, LogEvent};
use crate::inputs::StreamId;
use crate::policy::RolloutPolicy;
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

fn new_subscription(services: usize) -> Subscription {
    Subscription::new(RolloutPolicy::default(), services, fastrand::Rng::with_seed(3))
}

fn handle(subscription: &mut Subscription, now: i64, event: SubscriptionEvent) -> Vec<Effect> {
    let mut effects = Vec::new();
    subscription.handle(Timestamp(now), event, &mut effects);
    effects
}

/// Plays a service that refuses each connection attempt, and returns the times of the attempts.
fn refused(subscription: &mut Subscription, connects: usize) -> Vec<i64> {
    let mut at = vec![0];
    handle(subscription, 0, Started);
    while at.len() < connects {
        handle(subscription, at[at.len() - 1], StreamEnded);
        let due = subscription.next_due().unwrap().0;
        assert!(handle(subscription, due - 1, TimerExpired).is_empty(), "sooner than due");
        assert!(matches!(handle(subscription, due, TimerExpired)[..], [Effect::Connect { .. }]));
        at.push(due);
    }
    at
}

/// A service is down for long. If its brokers called it at a fixed interval they would overload it as it comes back:
/// the waits between attempts grow, are drawn, and stay under a bound.
#[rstest]
fn waits_grow_with_jitter_to_a_bound() {
    let connects = refused(&mut new_subscription(1), 60);
    let waits: Vec<i64> = connects.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits.iter().all(|wait| *wait <= 600_000), "{waits:?}");
    assert!(waits[..3].iter().all(|wait| *wait <= 40_000), "{waits:?}");
    let late = &waits[20..];
    let mean = late.iter().sum::<i64>() / late.len() as i64;
    assert!((200_000..400_000).contains(&mean), "half of the longest, drawn: {mean}");
}

/// A service that accepts each stream and drops it at once gets no more attempts than the budget.
#[rstest]
fn keeps_the_budget_of_connects() {
    let mut subscription = Subscription::new(
        RolloutPolicy {
            max_backoff: TimeSpan(10),
            initial_backoff: TimeSpan(10),
            ..RolloutPolicy::default()
        },
        1,
        fastrand::Rng::with_seed(5),
    );
    let connects = refused(&mut subscription, 100);
    for (at, connect) in connects.iter().enumerate() {
        let recent = connects[..=at].iter().filter(|other| *connect - **other <= 600_000).count();
        assert!(recent <= 10, "{recent} attempts in the minute before {connect}");
    }
}

/// A service accepts streams and drops them soon after. A stream that was open for a moment must not reset the
/// backoff, or the service would be called again at once; one that was stable does.
#[rstest]
#[case(10_000, 2)]
#[case(400_000, 1)]
fn only_a_stable_stream_ends_the_row_of_failures(#[case] open_for: i64, #[case] doublings: i64) {
    let mut waits = Vec::new();
    for seed in 0..200 {
        let mut subscription = Subscription::new(RolloutPolicy::default(), 1, fastrand::Rng::with_seed(seed));
        handle(&mut subscription, 0, Started);
        handle(&mut subscription, 1, StreamEnded);
        let due = subscription.next_due().unwrap().0;
        handle(&mut subscription, due, TimerExpired);
        handle(&mut subscription, due, StreamOpened);
        handle(&mut subscription, due, ResponseReceived);
        handle(&mut subscription, due + open_for, StreamEnded);
        waits.push(subscription.next_due().unwrap().0 - due - open_for);
    }
    let longest = waits.into_iter().max().unwrap();
    let bound = 10_000 << (doublings - 1);
    assert!((bound * 9 / 10..=bound).contains(&longest), "{longest} of {bound}");
}

/// A stream that never opens, or opens and brings no response, is given up in time.
#[rstest]
#[case(false)]
#[case(true)]
fn gives_up_without_a_response(#[case] opens: bool) {
    let mut subscription = new_subscription(1);
    handle(&mut subscription, 0, Started);
    if opens {
        handle(&mut subscription, 10, StreamOpened);
    }
    assert!(handle(&mut subscription, 149_999, TimerExpired).is_empty());
    let effects = handle(&mut subscription, 150_000, TimerExpired);
    assert!(
        matches!(effects[..], [Effect::Disconnect { .. }, Effect::Log(LogEvent::ServiceUnreachable { .. })]),
        "{effects:?}"
    );
    assert_eq!(subscription.state(), BackingOff);
}

/// A service shows another history. The broker changes to another service and avoids the first one for a while;
/// where it is the only one, the broker stays connected.
#[rstest]
fn passes_over_a_suspect_service() {
    let mut two = new_subscription(2);
    handle(&mut two, 0, Started);
    handle(&mut two, 1, StreamOpened);
    let first = two.service();
    assert!(matches!(handle(&mut two, 2, HistoryConflict)[..], [Effect::Disconnect { .. }]));
    assert_ne!(two.service(), first);
    // The other fails; the suspect is avoided, and so the other is connected to again.
    let due = two.next_due().unwrap().0;
    handle(&mut two, due, TimerExpired);
    handle(&mut two, due, StreamEnded);
    assert_ne!(two.service(), first);
    let mut one = new_subscription(1);
    handle(&mut one, 0, Started);
    handle(&mut one, 1, StreamOpened);
    assert!(handle(&mut one, 2, HistoryConflict).is_empty());
    assert_eq!(one.state(), Open);
}

/// A message of a stream that has ended arrives after the next connection attempt began. It must not be taken for
/// one of the new stream.
#[rstest]
fn ignores_messages_of_an_old_stream() {
    let mut subscription = new_subscription(1);
    handle(&mut subscription, 0, Started);
    let old = subscription.stream;
    handle(&mut subscription, 1, StreamEnded);
    assert!(!subscription.is_current(old));
    let due = subscription.next_due().unwrap().0;
    handle(&mut subscription, due, TimerExpired);
    assert!(!subscription.is_current(old) && subscription.is_current(StreamId(2)));
}

/// A service is down after a stream was open for long. The attempts that follow are failures, though the last stream
/// was stable: the backoff must grow, or the service would be called each second for as long as it is down.
#[rstest]
fn the_backoff_grows_after_a_stable_stream() {
    let third_wait = |seed| {
        let mut subscription = Subscription::new(RolloutPolicy::default(), 1, fastrand::Rng::with_seed(seed));
        handle(&mut subscription, 0, Started);
        handle(&mut subscription, 1, StreamOpened);
        handle(&mut subscription, 2, ResponseReceived);
        handle(&mut subscription, 900_000, StreamEnded);
        let mut refused_at = 0;
        for _ in 0..3 {
            refused_at = subscription.next_due().unwrap().0;
            handle(&mut subscription, refused_at, TimerExpired);
            handle(&mut subscription, refused_at, StreamEnded);
        }
        subscription.next_due().unwrap().0 - refused_at
    };
    let longest = (0..200).map(third_wait).max().unwrap();
    assert!((36_000..=40_000).contains(&longest), "{longest} of 40,000");
}

/// A service has answered, and then has nothing new for hours. The time-out of the connection attempt must not end
/// the open stream.
#[rstest]
fn an_answered_stream_stays_open() {
    let mut subscription = new_subscription(1);
    handle(&mut subscription, 0, Started);
    handle(&mut subscription, 10, StreamOpened);
    handle(&mut subscription, 20, ResponseReceived);
    assert!(handle(&mut subscription, 900_000, TimerExpired).is_empty());
    assert_eq!(subscription.state(), Open);
}
