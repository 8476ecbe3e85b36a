//! Tests of the backoff, the budget of connection attempts and the choice of a service.

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

/// Simulates a service that refuses each connection attempt, and returns the times of the attempts.
fn refuse_connects(subscription: &mut Subscription, connects: usize) -> Vec<i64> {
    let mut at = vec![0];
    handle(subscription, 0, Started);
    while at.len() < connects {
        handle(subscription, at[at.len() - 1], StreamEnded);
        let due = subscription.next_due().unwrap().0;
        assert!(
            handle(subscription, due - 1, TimerExpired).is_empty(),
            "connected before the attempt was due"
        );
        assert!(matches!(handle(subscription, due, TimerExpired)[..], [Effect::Connect { .. }]));
        at.push(due);
    }
    at
}

/// A service is down for a long time. Brokers that reconnected at a fixed interval would overload it when it
/// recovers, so the waits must grow, be random, and stay below a bound.
#[rstest]
fn backoff_grows_with_jitter_up_to_a_bound() {
    let connects = refuse_connects(&mut new_subscription(1), 60);
    let waits: Vec<i64> = connects.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits.iter().all(|wait| *wait <= 600_000), "{waits:?}");
    assert!(waits[..3].iter().all(|wait| *wait <= 40_000), "{waits:?}");
    let capped = &waits[20..];
    let mean = capped.iter().sum::<i64>() / capped.len() as i64;
    assert!((200_000..400_000).contains(&mean), "mean wait is not about half of the bound: {mean}");
}

/// A service that accepts each stream and drops it at once must not receive more attempts than the budget permits.
#[rstest]
fn connection_attempts_stay_within_the_budget() {
    let mut subscription = Subscription::new(
        RolloutPolicy {
            max_backoff: TimeSpan(10),
            initial_backoff: TimeSpan(10),
            ..RolloutPolicy::default()
        },
        1,
        fastrand::Rng::with_seed(5),
    );
    let connects = refuse_connects(&mut subscription, 100);
    for (at, connect) in connects.iter().enumerate() {
        let recent = connects[..=at].iter().filter(|other| *connect - **other <= 600_000).count();
        assert!(recent <= 10, "{recent} attempts in the minute before {connect}");
    }
}

/// A service accepts streams and drops them shortly afterwards. A stream that was open only briefly must not reset
/// the backoff, or the broker would reconnect at once; a stable stream must reset it.
#[rstest]
#[case(10_000, 2)]
#[case(400_000, 1)]
fn only_a_stable_stream_resets_the_backoff(#[case] open_for: i64, #[case] doublings: i64) {
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
    assert!((bound * 9 / 10..=bound).contains(&longest), "longest wait {longest}, bound {bound}");
}

/// A connection attempt must time out if the stream never opens, or opens without a response.
#[rstest]
#[case(false)]
#[case(true)]
fn times_out_without_a_response(#[case] opens: bool) {
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

/// A service shows a conflicting history. The broker must change to another service and avoid the first one for a
/// while, but must stay connected if there is no other service.
#[rstest]
fn avoids_a_service_with_a_conflicting_history() {
    let mut two = new_subscription(2);
    handle(&mut two, 0, Started);
    handle(&mut two, 1, StreamOpened);
    let first = two.service();
    assert!(matches!(handle(&mut two, 2, HistoryConflict)[..], [Effect::Disconnect { .. }]));
    assert_ne!(two.service(), first);
    // The second service fails. The first is still avoided, so the broker reconnects to the second.
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

/// An event of a stream that has ended arrives after the next connection attempt began. It must not be taken for an
/// event of the new stream.
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

/// A service goes down after a stable stream. The backoff must grow with each failed attempt that follows, or the
/// broker would call the service every second while it is down.
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
    assert!((36_000..=40_000).contains(&longest), "longest wait {longest}, bound 40,000");
}

/// A service has responded and then has nothing new to send for hours. The connect timeout must not close the open
/// stream.
#[rstest]
fn an_answered_stream_stays_open() {
    let mut subscription = new_subscription(1);
    handle(&mut subscription, 0, Started);
    handle(&mut subscription, 10, StreamOpened);
    handle(&mut subscription, 20, ResponseReceived);
    assert!(handle(&mut subscription, 900_000, TimerExpired).is_empty());
    assert_eq!(subscription.state(), Open);
}
