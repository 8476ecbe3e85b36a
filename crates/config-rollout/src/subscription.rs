//! The connection to a configuration service: when to connect, to which of several, when to give up.
//!
//! Two failures shape the rules. A service that comes back is connected to by its whole fleet at once: the
//! backoff is drawn with full jitter, so that the attempts spread. A service that accepts streams and drops
//! them would be connected to in a tight loop, as no attempt fails: a budget bounds the attempts in any window. The
//! cost is that a broker may learn of a new version some waits later. An unreachable service shows as one log
//! event until it responds again.

use crate::effects::{Effect, LogEvent};
use crate::inputs::{ServiceIndex, StreamId};
use crate::policy::RolloutPolicy;
use SubscriptionEvent::{
    HistoryConflict, ResponseReceived, Started, StreamEnded, StreamOpened, TimerExpired,
};
use SubscriptionState::{BackingOff, Connecting, Idle, Open};
use routing::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// The state of the one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriptionState {
    /// Not started.
    Idle,
    /// Waiting before the next connection attempt.
    BackingOff,
    /// A connection attempt is under way.
    Connecting,
    /// The stream is open.
    Open,
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriptionEvent {
    /// The program started.
    Started,
    /// A requested time has come.
    TimerExpired,
    /// The stream opened.
    StreamOpened,
    /// A response arrived.
    ResponseReceived,
    /// The stream ended, or never opened.
    StreamEnded,
    /// The service showed an older or another history.
    HistoryConflict,
}

type Guard = fn(&Subscription, Timestamp) -> bool;
type Action = fn(&mut Subscription, Timestamp, &mut Vec<Effect>);

/// In one of these states, on the event, if the guard holds: the next state, and what is done.
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

/// The first row that fits is taken; where none fits, nothing happens.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  states              event             guard                    next        action
    row(&[Idle],             Started,          Subscription::always,    Connecting, Subscription::connect),
    row(&[BackingOff],       TimerExpired,     Subscription::is_due,    Connecting, Subscription::connect),
    row(&[Connecting],       StreamOpened,     Subscription::always,    Open,       Subscription::record_open),
    row(&[Connecting, Open], TimerExpired,     Subscription::is_due,    BackingOff, Subscription::give_up),
    row(&[Open],             ResponseReceived, Subscription::always,    Open,       Subscription::record_response),
    row(&[Connecting, Open], StreamEnded,      Subscription::always,    BackingOff, Subscription::back_off),
    row(&[Open],             HistoryConflict,  Subscription::has_other, BackingOff, Subscription::change_service),
];

/// How often the bound of a wait is doubled at most, so that it does not overflow.
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
    /// For each service, until when it is avoided because its history conflicts with the broker's.
    suspect_until: Vec<Timestamp>,
    /// Failed connection attempts in a row, and streams that ended before they were stable.
    failures: u32,
    /// The end of the wait, or the time by which a response must have arrived.
    due: Option<Timestamp>,
    opened_at: Timestamp,
    recent_connects: VecDeque<Timestamp>,
    /// What was logged last.
    logged: Option<Reachability>,
}

impl Subscription {
    /// A subscription to one of `services` services. The first is drawn, so that a fleet spreads over them.
    pub fn new(policy: RolloutPolicy, services: usize, mut rng: fastrand::Rng) -> Subscription {
        let service = ServiceIndex(rng.usize(..services.max(1)));
        Subscription {
            policy,
            rng,
            state: Idle,
            stream: StreamId(0),
            service,
            suspect_until: vec![Timestamp(i64::MIN); services.max(1)],
            failures: 0,
            due: None,
            opened_at: Timestamp::ZERO,
            recent_connects: VecDeque::new(),
            logged: None,
        }
    }

    /// The state of the connection.
    pub fn state(&self) -> SubscriptionState {
        self.state
    }

    /// The service of the current, or the next, stream.
    pub fn service(&self) -> ServiceIndex {
        self.service
    }

    /// Whether a message on this stream still counts.
    pub fn is_current(&self, stream: StreamId) -> bool {
        stream == self.stream && matches!(self.state, Connecting | Open)
    }

    /// The stream, while it is open.
    pub fn open_stream(&self) -> Option<StreamId> {
        (self.state == Open).then_some(self.stream)
    }

    /// Takes the first row of `TRANSITIONS` that fits.
    pub fn handle(&mut self, now: Timestamp, event: SubscriptionEvent, effects: &mut Vec<Effect>) {
        let transition = TRANSITIONS
            .iter()
            .find(|row| row.states.contains(&self.state) && row.event == event && (row.guard)(self, now));
        let Some(transition) = transition else { return };
        self.state = transition.next;
        (transition.action)(self, now, effects);
    }

    /// Logs, once until it is reached again, that a service can't be reached, and why.
    pub fn log_unreachable(&mut self, reason: &str, effects: &mut Vec<Effect>) {
        if self.logged.replace(Reachability::Unreachable) != Some(Reachability::Unreachable) {
            let (service, reason) = (self.service, reason.to_owned());
            effects.push(Effect::Log(LogEvent::ServiceUnreachable { service, reason }));
        }
    }

    /// The next time at which something is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due
    }

    // ---- guards

    fn always(&self, _: Timestamp) -> bool {
        true
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// There is another service that is not avoided.
    fn has_other(&self, now: Timestamp) -> bool {
        let mut others = self.suspect_until.iter().enumerate().filter(|(index, _)| *index != self.service.0);
        others.any(|(_, until)| *until <= now)
    }

    // ---- actions

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

    /// The service responds: there is no time-out until the next connection attempt.
    fn record_response(&mut self, _: Timestamp, effects: &mut Vec<Effect>) {
        self.due = None;
        if self.logged.replace(Reachability::Reached) != Some(Reachability::Reached) {
            effects.push(Effect::Log(LogEvent::ServiceReached(self.service)));
        }
    }

    /// No response came in time.
    fn give_up(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        effects.push(Effect::Disconnect { stream: self.stream });
        self.log_unreachable("no response in time", effects);
        self.back_off(now, effects);
    }

    /// The service has another history than the broker: another service is tried.
    fn change_service(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        effects.push(Effect::Disconnect { stream: self.stream });
        self.suspect_until[self.service.0] = now + self.policy.suspect_duration;
        self.back_off(now, effects);
    }

    /// Full jitter: the wait is drawn from zero to a bound that doubles with each failure in a row. A
    /// stream that was open for long ends the row, one that was dropped at once does not. The budget of
    /// connection attempts in any window comes on top.
    fn back_off(&mut self, now: Timestamp, _: &mut Vec<Effect>) {
        let was_stable =
            self.opened_at > Timestamp::ZERO && now - self.opened_at >= self.policy.stable_stream_age;
        self.failures = if was_stable { 0 } else { self.failures.saturating_add(1) };
        self.opened_at = Timestamp::ZERO;
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.policy.initial_backoff.mul_f64(f64::from(1_u32 << doublings));
        let bound = bound.min(self.policy.max_backoff).max(TimeSpan(1));
        let drawn = now + TimeSpan(self.rng.i64(0..=bound.0));
        self.due = Some(drawn.max(self.budget_free_at().unwrap_or(drawn)));
        self.choose_service(now);
    }

    /// When the budget of connection attempts allows the next; `None`: at once.
    fn budget_free_at(&self) -> Option<Timestamp> {
        let is_spent = self.recent_connects.len() >= self.policy.max_connects;
        let oldest = self.recent_connects.front().filter(|_| is_spent)?;
        Some(*oldest + self.policy.connect_window + TimeSpan(1))
    }

    /// The next service in order that is not avoided. There always is one: a service is left only while there is
    /// another that is not avoided, and the current one is among those that follow, as the last.
    fn choose_service(&mut self, now: Timestamp) {
        let count = self.suspect_until.len();
        let mut following = (1..=count).map(|step| (self.service.0 + step) % count);
        let trusted = following.find(|index| self.suspect_until[*index] <= now);
        self.service = ServiceIndex(trusted.unwrap_or(self.service.0));
    }
}

#[cfg(test)]
mod tests;
