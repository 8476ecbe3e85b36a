//! Connection to a configuration service: when to connect, which of several services to choose, and when to time out.
//!
//! Two failures determine the rules. When a service recovers, its whole fleet of brokers reconnects at once; full
//! jitter on the backoff spreads these attempts. A service that accepts streams and then drops them would be
//! reconnected to in a tight loop, since no attempt fails; a budget therefore limits the number of attempts in any
//! window. The drawback is that a broker may learn of a new version several backoff intervals later. An unreachable
//! service is logged once until it responds again.

use crate::effects::{Effect, LogEvent};
use crate::inputs::{ServiceIndex, StreamId};
use crate::policy::RolloutPolicy;
use SubscriptionEvent::{
    HistoryConflict, ResponseReceived, Started, StreamEnded, StreamOpened, TimerExpired,
};
use SubscriptionState::{BackingOff, Connecting, Idle, Open};
use routing::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// State of the connection to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriptionState {
    /// The subscription has not been started.
    Idle,
    /// The subscription is waiting before the next connection attempt.
    BackingOff,
    /// A connection attempt is in progress.
    Connecting,
    /// The stream is open.
    Open,
}

/// Event that may change the state of the subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriptionEvent {
    /// The program started.
    Started,
    /// A time requested by the subscription was reached.
    TimerExpired,
    /// The stream opened.
    StreamOpened,
    /// A response arrived on the open stream.
    ResponseReceived,
    /// The stream ended, or the connection attempt failed.
    StreamEnded,
    /// The service offered an older number, or other contents under a known number.
    HistoryConflict,
}

type Guard = fn(&Subscription, Timestamp) -> bool;
type Action = fn(&mut Subscription, Timestamp, &mut Vec<Effect>);

/// A row of the transition table, which applies if the state and the event match and the guard holds.
struct Transition {
    states: &'static [SubscriptionState],
    event: SubscriptionEvent,
    guard: Guard,
    next: SubscriptionState,
    action: Action,
}

const fn row(
    states: &'static [SubscriptionState],
    event: SubscriptionEvent,
    guard: Guard,
    next: SubscriptionState,
    action: Action,
) -> Transition {
    Transition { states, event, guard, next, action }
}

/// The transition table. The first matching row is taken; an event that matches no row is ignored.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  states              event             guard                    next        action
    row(&[Idle],             Started,          Subscription::always,    Connecting, Subscription::connect),
    row(&[BackingOff],       TimerExpired,     Subscription::is_due,    Connecting, Subscription::connect),
    row(&[Connecting],       StreamOpened,     Subscription::always,    Open,       Subscription::record_open),
    row(&[Connecting, Open], TimerExpired,     Subscription::is_due,    BackingOff, Subscription::time_out),
    row(&[Open],             ResponseReceived, Subscription::always,    Open,       Subscription::record_response),
    row(&[Connecting, Open], StreamEnded,      Subscription::always,    BackingOff, Subscription::back_off),
    row(&[Open],             HistoryConflict,  Subscription::has_other, BackingOff, Subscription::change_service),
];

/// Maximum number of times that the backoff bound is doubled, which prevents an overflow.
const MAX_DOUBLINGS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Reached,
    Unreachable,
}

/// The connection to one of several configuration services.
#[derive(Debug)]
pub struct Subscription {
    policy: RolloutPolicy,
    rng: fastrand::Rng,
    state: SubscriptionState,
    stream: StreamId,
    service: ServiceIndex,
    /// The time until which each service is avoided because its history conflicts with the broker's.
    avoided_until: Vec<Timestamp>,
    /// Consecutive failures: failed connection attempts, and streams that ended before they were stable.
    failures: u32,
    /// The end of the backoff, or the deadline for the first response. `None` once the service has responded.
    due: Option<Timestamp>,
    opened_at: Timestamp,
    recent_connects: VecDeque<Timestamp>,
    /// The reachability that was logged last.
    last_logged: Option<Reachability>,
}

impl Subscription {
    /// Creates a subscription to one of `services` services. The first service is chosen at random, so that the
    /// brokers of a fleet are spread over the services.
    pub fn new(policy: RolloutPolicy, services: usize, mut rng: fastrand::Rng) -> Subscription {
        let service = ServiceIndex(rng.usize(..services.max(1)));
        Subscription {
            policy,
            rng,
            state: Idle,
            stream: StreamId(0),
            service,
            avoided_until: vec![Timestamp(i64::MIN); services.max(1)],
            failures: 0,
            due: None,
            opened_at: Timestamp::ZERO,
            recent_connects: VecDeque::new(),
            last_logged: None,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> SubscriptionState {
        self.state
    }

    /// Returns the service of the current stream, or of the next one while the subscription is backing off.
    pub fn service(&self) -> ServiceIndex {
        self.service
    }

    /// Returns whether this is the current stream, so that its events are handled rather than ignored.
    pub fn is_current(&self, stream: StreamId) -> bool {
        stream == self.stream && matches!(self.state, Connecting | Open)
    }

    /// Returns the id of the stream, or `None` if no stream is open.
    pub fn open_stream(&self) -> Option<StreamId> {
        (self.state == Open).then_some(self.stream)
    }

    /// Takes the first matching transition and runs its action.
    pub fn handle(&mut self, now: Timestamp, event: SubscriptionEvent, effects: &mut Vec<Effect>) {
        let transition = TRANSITIONS
            .iter()
            .find(|row| row.states.contains(&self.state) && row.event == event && (row.guard)(self, now));
        let Some(transition) = transition else { return };
        self.state = transition.next;
        (transition.action)(self, now, effects);
    }

    /// Logs that the service is unreachable, and why. Nothing is logged again until the service has responded.
    pub fn log_unreachable(&mut self, reason: &str, effects: &mut Vec<Effect>) {
        if self.last_logged.replace(Reachability::Unreachable) != Some(Reachability::Unreachable) {
            let (service, reason) = (self.service, reason.to_owned());
            effects.push(Effect::Log(LogEvent::ServiceUnreachable { service, reason }));
        }
    }

    /// Returns the time at which [`SubscriptionEvent::TimerExpired`] is due, or `None` if no timer is set.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due
    }

    // Guards of the transition table.

    fn always(&self, _: Timestamp) -> bool {
        true
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Returns whether there is another service that is not being avoided.
    fn has_other(&self, now: Timestamp) -> bool {
        let mut alternatives =
            self.avoided_until.iter().enumerate().filter(|(index, _)| *index != self.service.0);
        alternatives.any(|(_, until)| *until <= now)
    }

    // Actions of the transition table.

    fn connect(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.recent_connects.push_back(now);
        if self.recent_connects.len() > self.policy.max_connects {
            self.recent_connects.pop_front();
        }
        self.stream = StreamId(self.stream.0 + 1);
        self.due = Some(now + self.policy.connect_timeout);
        effects.push(Effect::Connect { service: self.service, stream: self.stream });
    }

    fn record_open(&mut self, now: Timestamp, _: &mut Vec<Effect>) {
        self.opened_at = now;
    }

    /// Clears the deadline: once the service has responded, an idle stream does not time out.
    fn record_response(&mut self, _: Timestamp, effects: &mut Vec<Effect>) {
        self.due = None;
        if self.last_logged.replace(Reachability::Reached) != Some(Reachability::Reached) {
            effects.push(Effect::Log(LogEvent::ServiceReached(self.service)));
        }
    }

    /// Closes a stream on which no response arrived within the connect timeout.
    fn time_out(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        effects.push(Effect::Disconnect { stream: self.stream });
        self.log_unreachable("no response within the connect timeout", effects);
        self.back_off(now, effects);
    }

    /// Disconnects from a service whose history conflicts with the broker's, and chooses another service.
    fn change_service(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        effects.push(Effect::Disconnect { stream: self.stream });
        self.avoided_until[self.service.0] = now + self.policy.avoid_duration;
        self.back_off(now, effects);
    }

    /// Schedules the next connection attempt. With full jitter, the backoff is drawn between zero and a bound that
    /// doubles with each consecutive failure. A stream that was open for long enough resets the count of failures;
    /// one that was dropped early does not. The attempt is delayed further if the budget of attempts is spent.
    fn back_off(&mut self, now: Timestamp, _: &mut Vec<Effect>) {
        let is_stable =
            self.opened_at > Timestamp::ZERO && now - self.opened_at >= self.policy.stable_stream_age;
        self.failures = if is_stable { 0 } else { self.failures.saturating_add(1) };
        self.opened_at = Timestamp::ZERO;
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.policy.initial_backoff.mul_f64(f64::from(1_u32 << doublings));
        let bound = bound.min(self.policy.max_backoff).max(TimeSpan(1));
        let jittered = now + TimeSpan(self.rng.i64(0..=bound.0));
        self.due = Some(jittered.max(self.next_budgeted_connect().unwrap_or(jittered)));
        self.choose_service(now);
    }

    /// Returns the time at which the budget permits the next connection attempt, or `None` if it permits one
    /// immediately.
    fn next_budgeted_connect(&self) -> Option<Timestamp> {
        let is_spent = self.recent_connects.len() >= self.policy.max_connects;
        let oldest = self.recent_connects.front().filter(|_| is_spent)?;
        Some(*oldest + self.policy.connect_window + TimeSpan(1))
    }

    /// Selects the next service in order that is not being avoided. There is always one: the broker leaves a service
    /// only if another one is not being avoided, and the current service is the last candidate.
    fn choose_service(&mut self, now: Timestamp) {
        let count = self.avoided_until.len();
        let mut following = (1..=count).map(|step| (self.service.0 + step) % count);
        let available = following.find(|index| self.avoided_until[*index] <= now);
        self.service = ServiceIndex(available.unwrap_or(self.service.0));
    }
}

#[cfg(test)]
mod tests;
