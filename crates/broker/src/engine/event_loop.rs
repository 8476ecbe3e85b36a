//! The event loop: waits for something to happen, and gives the decisions their turns.

use super::Engine;
use super::attempt_table::{AttemptTimer, TimerKind};
use crate::limits::to_duration;
use routing::{AttemptOutcome, Input, TimeSpan, Timestamp};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long the event loop sleeps at most while no timer is set.
const LONGEST_SLEEP: Duration = Duration::from_secs(3600);

impl Engine {
    /// Gives the decisions their turns, at least the configured period apart, for as long as the broker runs.
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

    /// Waits for an input, a result, or the next due time. A result is taken over at once, so that its time and its
    /// response are with the engine before the next turn.
    async fn wait_for_work(&self, due: Option<Instant>) {
        let longest = Instant::now() + LONGEST_SLEEP;
        tokio::select! {
            () = self.work_ready.notified() => {}
            () = self.nodes.results_ready.notified() => {
                self.collect_ended_attempts();
                self.collect_probe_results();
            }
            () = sleep_until(due.unwrap_or(longest)) => {}
        }
    }

    /// When the next turn, or the next timer of an attempt, is due.
    fn next_due(&self) -> Option<Instant> {
        let timer = self.attempts.borrow().next_due();
        self.wake_at.get().into_iter().chain(timer).min().map(|at| self.clock.to_instant(at))
    }

    /// One turn: the decisions take in what has happened, and what they decide is carried out.
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
        let effects = self.decider.borrow_mut().turn(now, &inputs);
        self.carry_out(now, effects);
    }

    /// The queued inputs, with the wake-up of the decisions where that is due.
    fn take_inputs(&self, now: Timestamp) -> Vec<Input> {
        let mut inputs = self.inputs.take();
        if self.wake_at.get().is_some_and(|at| at <= now) {
            self.wake_at.set(None);
            inputs.push(Input::Woken);
        }
        inputs
    }

    /// Ends the attempts whose write deadline or timeout is over.
    fn end_overdue_attempts(&self, now: Timestamp) {
        while let Some(timer) = self.next_due_timer(now) {
            match timer.kind {
                TimerKind::WriteDeadline => self.nodes.abort_incomplete(timer.attempt),
                TimerKind::Timeout => self.nodes.cancel(timer.attempt, AttemptOutcome::TimedOut),
            }
        }
    }

    /// Takes the next due timer. The table must not be borrowed while the timer is acted on.
    fn next_due_timer(&self, now: Timestamp) -> Option<AttemptTimer> {
        self.attempts.borrow_mut().pop_due(now)
    }

    /// A query's time runs from when its client sent it, not from the turn that takes it in.
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
