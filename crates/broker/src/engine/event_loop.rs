//! The event loop, which waits for events and executes the turns of the routing logic.

use super::Engine;
use super::attempt_table::{AttemptTimer, TimerKind};
use crate::limits::to_duration;
use routing::{AttemptOutcome, Input, TimeSpan, Timestamp};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The longest sleep of the event loop while no timer is set.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(3600);

impl Engine {
    /// Executes turns, at least the configured period apart, for as long as the broker runs.
    pub async fn run(self: Rc<Self>) {
        let period = to_duration(self.limits.turn_period);
        let mut last_turn: Option<Instant> = None;
        loop {
            let due = self.next_due();
            if self.inputs.borrow().is_empty() && due.is_none_or(|due| due > Instant::now()) {
                self.wait_for_work(due).await;
                continue;
            }
            if let Some(last_turn) = last_turn {
                sleep_until(last_turn + period).await;
            }
            last_turn = Some(Instant::now());
            self.turn();
        }
    }

    /// Waits for an input, a result, or the time `due`.
    ///
    /// Collects results immediately, so that their times and responses are available to the engine before the next
    /// turn.
    async fn wait_for_work(&self, due: Option<Instant>) {
        let latest = Instant::now() + MAX_IDLE_SLEEP;
        tokio::select! {
            () = self.work_ready.notified() => {}
            () = self.nodes.results_ready.notified() => {
                self.collect_ended_attempts();
                self.collect_probe_results();
            }
            () = sleep_until(due.unwrap_or(latest)) => {}
        }
    }

    /// Returns the earlier of the requested wake-up and the next attempt timer, or `None` if neither is set.
    fn next_due(&self) -> Option<Instant> {
        let timer = self.attempts.borrow().next_due();
        self.wake_at.get().into_iter().chain(timer).min().map(|at| self.clock.to_instant(at))
    }

    /// Executes one turn: passes the queued inputs to the routing logic and applies the resulting effects.
    fn turn(&self) {
        let now = self.clock.now();
        self.end_overdue_attempts(now);
        self.collect_ended_attempts();
        self.collect_probe_results();
        let mut inputs = self.take_inputs(now);
        if inputs.is_empty() {
            return;
        }
        self.set_time_left(&mut inputs, now);
        let effects = self.routing_logic.borrow_mut().turn(now, &inputs);
        self.apply_effects(now, effects);
    }

    /// Takes the queued inputs, and appends [`Input::Woken`] if the requested wake-up is due.
    fn take_inputs(&self, now: Timestamp) -> Vec<Input> {
        let mut inputs = self.inputs.take();
        if self.wake_at.get().is_some_and(|at| at <= now) {
            self.wake_at.set(None);
            inputs.push(Input::Woken);
        }
        inputs
    }

    /// Ends the attempts whose write deadline or timeout has passed.
    fn end_overdue_attempts(&self, now: Timestamp) {
        while let Some(timer) = self.next_due_timer(now) {
            match timer.kind {
                TimerKind::WriteDeadline => self.nodes.abort_incomplete(timer.attempt),
                TimerKind::Timeout => self.nodes.cancel(timer.attempt, AttemptOutcome::TimedOut),
            }
        }
    }

    /// Removes and returns the next due timer. A separate function, so that the attempt table is no longer borrowed
    /// when the timer is handled.
    fn next_due_timer(&self, now: Timestamp) -> Option<AttemptTimer> {
        self.attempts.borrow_mut().pop_due(now)
    }

    /// Sets the remaining time of new queries. The time that they have spent in the input queue counts towards the
    /// client's deadline.
    fn set_time_left(&self, inputs: &mut [Input], now: Timestamp) {
        let queries = self.queries.borrow();
        for input in inputs {
            if let Input::Query(query) = input {
                let deadline = queries.deadline(query.id).unwrap_or(now);
                query.time_left = (deadline - now).max(TimeSpan::ZERO);
            }
        }
    }
}
