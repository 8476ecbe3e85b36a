//! Rows into the order of their times, within a bounded window; and what a row far off means. Decisions only.
//!
//! A published trace is sorted, a copy of it seldom quite: rows are late by a little (the window sorts that),
//! a single row strays (its time is wrong), or the clock steps (all times from there on are wrong by the
//! same). The rule: a row further off than the window is held back. If so many rows in a row are off the same
//! way, the clock has stepped: time goes on where it was, and the offset is kept for all that follows. If a
//! row at the old level comes before that, what was held back had strayed, and is rejected.

use crate::Reason;
use crate::judge::{Rejected, Row, Verdict};
use Class::{Ahead, Behind, InTime};
use State::{Held, Steady};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How far rows may be out of order.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Microseconds that a row may be behind the newest.
    pub late: u64,
    /// Microseconds that a row may be ahead of the newest without being held back.
    pub leap: u64,
    /// Rows that the window holds at the most; beyond it the oldest goes out.
    pub rows: usize,
    /// Rows off the same way, in a row, that make a step of the clock.
    pub step_rows: usize,
}

impl Default for Window {
    fn default() -> Window {
        const SECOND: u64 = 1_000_000;
        Window { late: 5 * SECOND, leap: 6 * 3600 * SECOND, rows: 65_536, step_rows: 16 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Steady,
    /// Rows are held back that are off this way.
    Held(Class),
}

/// A row's time against the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    InTime,
    Behind,
    Ahead,
}

/// In a state, on a row of a class: what is done.
#[derive(Clone, Copy)]
enum Act {
    /// Into the window.
    Admit,
    /// Held back; the step is declared once there are enough.
    Hold,
    /// What was held back had strayed; then this row is admitted, or held back.
    StrayedThenAdmit,
    StrayedThenHold,
}

#[rustfmt::skip]
const TABLE: &[(State, Class, Act)] = &[
    (Steady,       InTime, Act::Admit),
    (Steady,       Behind, Act::Hold),
    (Steady,       Ahead,  Act::Hold),
    (Held(Behind), InTime, Act::StrayedThenAdmit),
    (Held(Behind), Behind, Act::Hold),
    (Held(Behind), Ahead,  Act::StrayedThenHold),
    (Held(Ahead),  InTime, Act::StrayedThenAdmit),
    (Held(Ahead),  Behind, Act::StrayedThenHold),
    (Held(Ahead),  Ahead,  Act::Hold),
];

/// A row that came behind one later than it, by its time and its line.
struct Late(u64, u64, Row);

impl PartialEq for Late {
    fn eq(&self, other: &Late) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Late {}
impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Late) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Late {
    fn cmp(&self, other: &Late) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Puts rows in order. What goes out is in the order of times, rows of one moment in the order of their
/// lines.
pub struct Order {
    window: Window,
    state: State,
    /// Rows that came in order, and those that did not: most are the former, and cost nothing to keep sorted.
    line: VecDeque<Row>,
    late: BinaryHeap<Reverse<Late>>,
    held: VecDeque<Row>,
    newest: Option<u64>,
    /// The time of what went out last.
    out: u64,
    /// Added to each row's time since the clock stepped.
    offset: i128,
    /// Each step: the line from which it holds, and by how many microseconds.
    steps: Vec<(u64, i128)>,
}

impl Order {
    pub fn new(window: Window) -> Order {
        let (line, late, held) = (VecDeque::new(), BinaryHeap::new(), VecDeque::new());
        Order { window, state: Steady, line, late, held, newest: None, out: 0, offset: 0, steps: Vec::new() }
    }

    /// The steps of the clock so far: the line from which each holds, and its microseconds.
    pub fn steps(&self) -> &[(u64, i128)] {
        &self.steps
    }

    /// Takes a row; what goes out by that, in order, or is rejected.
    pub fn take(&mut self, row: Row, out: &mut Vec<Verdict>) {
        let class = self.class(self.time(row.at));
        let act =
            TABLE.iter().find(|(state, of, _)| *state == self.state && *of == class).map(|(.., act)| *act);
        match act.unwrap_or(Act::Admit) {
            Act::Admit => self.admit(row, out),
            Act::Hold => self.hold(row, class, out),
            Act::StrayedThenAdmit => {
                self.strayed(out);
                self.admit(row, out);
            }
            Act::StrayedThenHold => {
                self.strayed(out);
                self.hold(row, class, out);
            }
        }
    }

    /// No more rows: what waits goes out, and what is held back had strayed.
    pub fn end(&mut self, out: &mut Vec<Verdict>) {
        self.strayed(out);
        self.release(u64::MAX, out);
    }

    /// A row's time on the clock that goes on.
    fn time(&self, at: u64) -> i128 {
        i128::from(at) + self.offset
    }

    fn class(&self, at: i128) -> Class {
        let Some(newest) = self.newest.map(i128::from) else { return InTime };
        if at > newest + i128::from(self.window.leap) {
            Ahead
        } else if at < newest - i128::from(self.window.late) || at < i128::from(self.out) {
            Behind
        } else {
            InTime
        }
    }

    fn admit(&mut self, mut row: Row, out: &mut Vec<Verdict>) {
        let at = u64::try_from(self.time(row.at)).unwrap_or(0);
        row.at = at;
        let newest = self.newest.map_or(at, |newest| newest.max(at));
        self.newest = Some(newest);
        if self.line.back().is_none_or(|last| last.at <= at) {
            self.line.push_back(row);
        } else {
            self.late.push(Reverse(Late(at, row.line, row)));
        }
        self.release(newest.saturating_sub(self.window.late), out);
        while self.line.len() + self.late.len() > self.window.rows {
            self.pop(out);
        }
    }

    fn hold(&mut self, row: Row, class: Class, out: &mut Vec<Verdict>) {
        self.state = Held(class);
        self.held.push_back(row);
        if self.held.len() >= self.window.step_rows.max(1) {
            self.step(out);
        }
    }

    /// The clock has stepped: backwards, time goes on where it was; forwards, it is a gap in the trace, and
    /// is kept.
    fn step(&mut self, out: &mut Vec<Verdict>) {
        let backwards = self.state == Held(Behind);
        self.state = Steady;
        let Some(first) = self.held.front() else { return };
        let earliest = self.held.iter().map(|row| self.time(row.at)).min().unwrap_or_default();
        let newest = i128::from(self.newest.unwrap_or_default());
        if backwards {
            self.offset += newest - earliest;
            self.steps.push((first.line, newest - earliest));
        } else {
            self.newest = Some(u64::try_from(earliest).unwrap_or(u64::MAX));
        }
        for row in std::mem::take(&mut self.held) {
            // Those that are off even among themselves had strayed.
            match self.class(self.time(row.at)) {
                InTime => self.admit(row, out),
                _ => out.push(stray(&row)),
            }
        }
    }

    fn strayed(&mut self, out: &mut Vec<Verdict>) {
        let reason = if self.state == Held(Behind) { Reason::TooLate } else { Reason::Stray };
        self.state = Steady;
        for row in std::mem::take(&mut self.held) {
            out.push(rejected(&row, reason));
        }
    }

    /// What is as old as this goes out.
    fn release(&mut self, until: u64, out: &mut Vec<Verdict>) {
        while self.first().is_some_and(|(at, _)| at <= until) {
            self.pop(out);
        }
    }

    /// The moment and line of what goes out next.
    fn first(&self) -> Option<(u64, u64)> {
        let in_line = self.line.front().map(|row| (row.at, row.line));
        let late = self.late.peek().map(|Reverse(late)| (late.0, late.1));
        in_line.into_iter().chain(late).min()
    }

    fn pop(&mut self, out: &mut Vec<Verdict>) {
        let in_line = self.line.front().map(|row| (row.at, row.line));
        let row = if in_line.is_some() && in_line == self.first() {
            self.line.pop_front()
        } else {
            self.late.pop().map(|Reverse(late)| late.2)
        };
        let Some(row) = row else { return };
        self.out = self.out.max(row.at);
        out.push(Verdict::Taken(row));
    }
}

fn stray(row: &Row) -> Verdict {
    rejected(row, Reason::Stray)
}

fn rejected(row: &Row, reason: Reason) -> Verdict {
    let allowed = match reason {
        Reason::TooLate => "a moment within the window behind the newest",
        _ => "a moment near those of the rows about it",
    };
    let holds = format!("{} us", row.at);
    Verdict::Rejected(Rejected { line: row.line, column: None, holds, allowed: allowed.to_owned(), reason })
}
