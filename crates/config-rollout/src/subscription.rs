//! The way to a control service: when to call, which of several, when to give up. Guards against a service
//! that is stormed as it comes back, and against one that takes calls and drops them.

use crate::effects::{Effect, LogEvent};
use crate::inputs::{ServiceNo, StreamNo};
use crate::policy::RolloutPolicy;
use Event::{Began, Due, Ended, Heard, Opened, Suspected};
use State::{Calling, Open, Resting, Waiting};
use routing::Tenths;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not begun.
    Resting,
    /// Until the next call.
    Waiting,
    /// A call is out.
    Calling,
    /// The stream is up.
    Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Began,
    Due,
    Opened,
    /// A response came.
    Heard,
    Ended,
    /// The service showed an older or another history.
    Suspected,
}

type Guard = fn(&Subscription, Tenths) -> bool;
type Act = fn(&mut Subscription, Tenths, &mut Vec<Effect>);

struct Row(&'static [State], Event, Guard, State, Act);

/// In a state, on an event, if the guard holds: the next state, and what is done. The first row that fits is
/// taken; where none fits, nothing happens.
#[rustfmt::skip]
const TABLE: &[Row] = &[
    Row(&[Resting],       Began,     |_, _| true,      Calling, Subscription::call),
    Row(&[Waiting],       Due,       Subscription::is_due,     Calling, Subscription::call),
    Row(&[Calling],       Opened,    |_, _| true,      Open,    Subscription::up),
    Row(&[Calling, Open], Due,       Subscription::is_overdue, Waiting, Subscription::hang_up),
    Row(&[Open],          Heard,     |_, _| true,      Open,    Subscription::heard),
    Row(&[Calling, Open], Ended,     |_, _| true,      Waiting, Subscription::wait),
    Row(&[Open],          Suspected, Subscription::has_other,  Waiting, Subscription::leave),
];

/// The most that a wait is doubled, so that the doubling does not overflow.
const MOST_DOUBLINGS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Reached,
    Gone,
}

#[derive(Debug)]
pub struct Subscription {
    patience: RolloutPolicy,
    rng: fastrand::Rng,
    state: State,
    stream: StreamNo,
    service: ServiceNo,
    /// For each service, until when it is passed over.
    suspect_until: Vec<Tenths>,
    /// Calls that came to nothing, in a row.
    failures: u32,
    /// The end of the wait, or of the time for a call.
    due: Option<Tenths>,
    opened: Tenths,
    calls: VecDeque<Tenths>,
    /// What was told last: that it was reached, or is gone.
    told: Option<Told>,
}

impl Subscription {
    /// The service to begin with is drawn, so that a fleet spreads over them.
    pub fn new(patience: RolloutPolicy, services: usize, mut rng: fastrand::Rng) -> Subscription {
        let service = ServiceNo(rng.usize(..services.max(1)));
        Subscription {
            patience,
            rng,
            state: Resting,
            stream: StreamNo(0),
            service,
            suspect_until: vec![Tenths(i64::MIN); services.max(1)],
            failures: 0,
            due: None,
            opened: Tenths::ZERO,
            calls: VecDeque::new(),
            told: None,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn service(&self) -> ServiceNo {
        self.service
    }

    /// Whether a message on this stream still counts.
    pub fn is_current(&self, stream: StreamNo) -> bool {
        stream == self.stream && matches!(self.state, Calling | Open)
    }

    /// The stream, while it is up.
    pub fn stream(&self) -> Option<StreamNo> {
        (self.state == Open).then_some(self.stream)
    }

    /// The loop that reads `TABLE`.
    pub fn hear(&mut self, now: Tenths, event: Event, effects: &mut Vec<Effect>) {
        let row = TABLE.iter().find(|row| row.0.contains(&self.state) && row.1 == event && row.2(self, now));
        let Some(Row(.., next, act)) = row else { return };
        self.state = *next;
        act(self, now, effects);
    }

    /// Tells once that a service can't be reached, and why.
    pub fn note_gone(&mut self, why: &str, effects: &mut Vec<Effect>) {
        if self.told.replace(Told::Gone) != Some(Told::Gone) {
            effects.push(Effect::Say(LogEvent::Gone { service: self.service, why: why.to_owned() }));
        }
    }

    /// The next moment at which something is due.
    pub fn next_due(&self) -> Option<Tenths> {
        self.due
    }

    // ---- guards

    fn is_due(&self, now: Tenths) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// The call is not up, or brought nothing, in its time.
    fn is_overdue(&self, now: Tenths) -> bool {
        self.is_due(now)
    }

    /// There is a service that is not passed over.
    fn has_other(&self, now: Tenths) -> bool {
        let others = self.suspect_until.iter().enumerate().filter(|(no, _)| *no != self.service.0);
        others.into_iter().any(|(_, until)| *until <= now)
    }

    // ---- acts

    fn call(&mut self, now: Tenths, effects: &mut Vec<Effect>) {
        self.calls.push_back(now);
        if self.calls.len() > self.patience.calls {
            self.calls.pop_front();
        }
        self.stream = StreamNo(self.stream.0 + 1);
        self.due = Some(now + self.patience.call_within);
        effects.push(Effect::Call { service: self.service, stream: self.stream });
    }

    fn up(&mut self, now: Tenths, _: &mut Vec<Effect>) {
        self.opened = now;
    }

    /// A response: the service is there, and the time for the first one is over.
    fn heard(&mut self, _: Tenths, effects: &mut Vec<Effect>) {
        self.due = None;
        if self.told.replace(Told::Reached) != Some(Told::Reached) {
            effects.push(Effect::Say(LogEvent::Reached(self.service)));
        }
    }

    fn hang_up(&mut self, now: Tenths, effects: &mut Vec<Effect>) {
        effects.push(Effect::HangUp { stream: self.stream });
        self.note_gone("no response in time", effects);
        self.wait(now, effects);
    }

    fn leave(&mut self, now: Tenths, effects: &mut Vec<Effect>) {
        effects.push(Effect::HangUp { stream: self.stream });
        self.suspect_until[self.service.0] = now + self.patience.suspect_for;
        self.wait(now, effects);
    }

    /// Full jitter: the wait is drawn from nothing to a ceiling that doubles with each failure in a row. A
    /// stream that held for long ends the row, one that was dropped at once does not. The budget over any
    /// window comes on top.
    fn wait(&mut self, now: Tenths, _: &mut Vec<Effect>) {
        let held = self.opened > Tenths::ZERO && now - self.opened >= self.patience.steady;
        self.failures = if held { 0 } else { self.failures.saturating_add(1) };
        self.opened = Tenths::ZERO;
        let doublings = self.failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let ceiling = self.patience.first_wait.times(f64::from(1_u32 << doublings));
        let ceiling = ceiling.min(self.patience.longest_wait).max(Tenths(1));
        let drawn = now + Tenths(self.rng.i64(0..=ceiling.0));
        let full = self.calls.len() >= self.patience.calls;
        let oldest =
            self.calls.front().filter(|_| full).map(|at| *at + self.patience.calls_window + Tenths(1));
        self.due = Some(drawn.max(oldest.unwrap_or(drawn)));
        self.choose(now);
    }

    /// The next service in order that is not passed over; where all are, the next.
    fn choose(&mut self, now: Tenths) {
        let count = self.suspect_until.len();
        let after = (1..=count).map(|step| (self.service.0 + step) % count);
        let sound = after.clone().find(|no| self.suspect_until[*no] <= now);
        self.service = ServiceNo(sound.or(after.clone().next()).unwrap_or(0));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn line(services: usize) -> Subscription {
        Subscription::new(RolloutPolicy::default(), services, fastrand::Rng::with_seed(3))
    }

    fn hear(line: &mut Subscription, now: i64, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        line.hear(Tenths(now), event, &mut effects);
        effects
    }

    /// Plays a service that refuses each call, and gives the moments of the calls.
    fn refused(line: &mut Subscription, calls: usize) -> Vec<i64> {
        let mut at = vec![0];
        hear(line, 0, Began);
        while at.len() < calls {
            hear(line, at[at.len() - 1], Ended);
            let due = line.next_due().unwrap().0;
            assert!(hear(line, due - 1, Due).is_empty(), "sooner than due");
            assert!(matches!(hear(line, due, Due)[..], [Effect::Call { .. }]));
            at.push(due);
        }
        at
    }

    #[rstest]
    fn waits_grow_with_jitter_to_a_bound() {
        let calls = refused(&mut line(1), 60);
        let waits: Vec<i64> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(waits.iter().all(|wait| *wait <= 600_000), "{waits:?}");
        assert!(waits[..3].iter().all(|wait| *wait <= 40_000), "{waits:?}");
        let late = &waits[20..];
        let mean = late.iter().sum::<i64>() / late.len() as i64;
        assert!((200_000..400_000).contains(&mean), "half of the longest, drawn: {mean}");
    }

    /// A service that takes each call and drops it at once gets no more calls than the budget.
    #[rstest]
    fn keeps_the_budget_of_calls() {
        let mut line = Subscription::new(
            RolloutPolicy { longest_wait: Tenths(10), first_wait: Tenths(10), ..RolloutPolicy::default() },
            1,
            fastrand::Rng::with_seed(5),
        );
        let calls = refused(&mut line, 100);
        for (at, call) in calls.iter().enumerate() {
            let lately = calls[..=at].iter().filter(|other| *call - **other <= 600_000).count();
            assert!(lately <= 10, "{lately} calls in the minute before {call}");
        }
    }

    #[rstest]
    #[case(10_000, 2)]
    #[case(400_000, 1)]
    fn only_a_stream_that_held_ends_the_row_of_failures(#[case] held: i64, #[case] doublings: i64) {
        let mut waits = Vec::new();
        for seed in 0..200 {
            let mut line = Subscription::new(RolloutPolicy::default(), 1, fastrand::Rng::with_seed(seed));
            hear(&mut line, 0, Began);
            hear(&mut line, 1, Ended);
            let due = line.next_due().unwrap().0;
            hear(&mut line, due, Due);
            hear(&mut line, due, Opened);
            hear(&mut line, due, Heard);
            hear(&mut line, due + held, Ended);
            waits.push(line.next_due().unwrap().0 - due - held);
        }
        let longest = waits.into_iter().max().unwrap();
        let ceiling = 10_000 << (doublings - 1);
        assert!((ceiling * 9 / 10..=ceiling).contains(&longest), "{longest} of {ceiling}");
    }

    /// One that never comes up, or comes up and says nothing, is given up in its time.
    #[rstest]
    #[case(false)]
    #[case(true)]
    fn gives_up_what_says_nothing(#[case] comes_up: bool) {
        let mut line = line(1);
        hear(&mut line, 0, Began);
        if comes_up {
            hear(&mut line, 10, Opened);
        }
        assert!(hear(&mut line, 149_999, Due).is_empty());
        let effects = hear(&mut line, 150_000, Due);
        assert!(
            matches!(effects[..], [Effect::HangUp { .. }, Effect::Say(LogEvent::Gone { .. })]),
            "{effects:?}"
        );
        assert_eq!(line.state(), Waiting);
    }

    /// A service with another history is left for the others, and alone it is kept.
    #[rstest]
    fn passes_over_a_suspect() {
        let mut two = line(2);
        hear(&mut two, 0, Began);
        hear(&mut two, 1, Opened);
        let first = two.service();
        assert!(matches!(hear(&mut two, 2, Suspected)[..], [Effect::HangUp { .. }]));
        assert_ne!(two.service(), first);
        // The other fails; the suspect is passed over, and so the other is asked again.
        let due = two.next_due().unwrap().0;
        hear(&mut two, due, Due);
        hear(&mut two, due, Ended);
        assert_ne!(two.service(), first);
        let mut one = line(1);
        hear(&mut one, 0, Began);
        hear(&mut one, 1, Opened);
        assert!(hear(&mut one, 2, Suspected).is_empty());
        assert_eq!(one.state(), Open);
    }

    #[rstest]
    fn what_comes_on_an_old_stream_does_not_count() {
        let mut line = line(1);
        hear(&mut line, 0, Began);
        let old = line.stream;
        hear(&mut line, 1, Ended);
        assert!(!line.is_current(old));
        let due = line.next_due().unwrap().0;
        hear(&mut line, due, Due);
        assert!(!line.is_current(old) && line.is_current(StreamNo(2)));
    }
}
