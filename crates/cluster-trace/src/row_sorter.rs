//! Sorts rows by time within a bounded window, and decides what a row far outside the window means.
//!
//! A published trace is sorted; a copy of it is often slightly out of order. Rows are a little late (the window
//! sorts them), a single row has a wrong time, or the clock steps (all later times are wrong by the same
//! offset). A row outside the window is held back. If enough rows in succession are outside it on the same
//! side, the clock has stepped: time continues where it was, and the offset is applied to all later rows. If a
//! row within the window comes before that, the rows held back had wrong times and are rejected.

use crate::rejection_reason::RejectionReason;
use crate::row::{RejectedRow, Row, RowOutcome};
use RowTiming::{Ahead, Behind, InTime};
use SorterState::{Holding, Steady};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How far rows may be out of order.
#[derive(Clone, Copy, Debug)]
pub struct SortWindow {
    /// Microseconds that a row may be behind the newest.
    pub max_lateness: u64,
    /// Microseconds that a row may be ahead of the newest without being held back.
    pub max_leap: u64,
    /// Rows that the window holds at most; beyond it the oldest is released.
    pub max_rows: usize,
    /// Rows in succession, off the same way, that make a step of the clock.
    pub step_rows: usize,
}

impl Default for SortWindow {
    fn default() -> SortWindow {
        const SECOND: u64 = 1_000_000;
        SortWindow { max_lateness: 5 * SECOND, max_leap: 6 * 3600 * SECOND, max_rows: 65_536, step_rows: 16 }
    }
}

/// A step of the trace's clock backwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// The line from which it holds.
    pub line: u64,
    /// Microseconds that are added to the times from there on.
    pub offset_us: i128,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SorterState {
    Steady,
    /// Rows are held back that are off this way.
    Holding(RowTiming),
}

/// A row's time compared with the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowTiming {
    InTime,
    Behind,
    Ahead,
}

/// What is done with a row.
#[derive(Clone, Copy)]
enum SortAction {
    /// It goes into the window.
    Admit,
    /// It is held back; with enough of them the clock has stepped.
    Hold,
    /// The rows held back are rejected; this one goes into the window.
    RejectHeldThenAdmit,
    /// The rows held back are rejected; this one is held back.
    RejectHeldThenHold,
}

struct SortRule {
    state: SorterState,
    timing: RowTiming,
    action: SortAction,
}

const fn rule(state: SorterState, timing: RowTiming, action: SortAction) -> SortRule {
    SortRule { state, timing, action }
}

#[rustfmt::skip]
const SORT_RULES: &[SortRule] = &[
    rule(Steady,          InTime, SortAction::Admit),
    rule(Steady,          Behind, SortAction::Hold),
    rule(Steady,          Ahead,  SortAction::Hold),
    rule(Holding(Behind), InTime, SortAction::RejectHeldThenAdmit),
    rule(Holding(Behind), Behind, SortAction::Hold),
    rule(Holding(Behind), Ahead,  SortAction::RejectHeldThenHold),
    rule(Holding(Ahead),  InTime, SortAction::RejectHeldThenAdmit),
    rule(Holding(Ahead),  Behind, SortAction::RejectHeldThenHold),
    rule(Holding(Ahead),  Ahead,  SortAction::Hold),
];

/// A row's place in the order: by its time, then by its line.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    at: u64,
    line: u64,
}

impl SortKey {
    fn of(row: &Row) -> SortKey {
        SortKey { at: row.at, line: row.line }
    }
}

/// A row that came after one with a later time.
struct LateRow(Row);

impl PartialEq for LateRow {
    fn eq(&self, other: &LateRow) -> bool {
        SortKey::of(&self.0) == SortKey::of(&other.0)
    }
}
impl Eq for LateRow {}
impl PartialOrd for LateRow {
    fn partial_cmp(&self, other: &LateRow) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for LateRow {
    fn cmp(&self, other: &LateRow) -> std::cmp::Ordering {
        SortKey::of(&self.0).cmp(&SortKey::of(&other.0))
    }
}

/// Puts rows in the order of their times; those of the same time in the order of their lines.
pub struct RowSorter {
    window: SortWindow,
    state: SorterState,
    /// Rows in the window that came in order. Most do, and cost nothing to keep sorted.
    in_order: VecDeque<Row>,
    /// Rows in the window that came late.
    late: BinaryHeap<Reverse<LateRow>>,
    held: VecDeque<Row>,
    newest: Option<u64>,
    /// The time of the row that was released last.
    last_released: u64,
    /// Microseconds added to each row's time since the clock stepped.
    offset: i128,
    steps: Vec<ClockStep>,
}

impl RowSorter {
    /// A sorter without rows.
    pub fn new(window: SortWindow) -> RowSorter {
        RowSorter {
            window,
            state: Steady,
            in_order: VecDeque::new(),
            late: BinaryHeap::new(),
            held: VecDeque::new(),
            newest: None,
            last_released: 0,
            offset: 0,
            steps: Vec::new(),
        }
    }

    /// The backward steps of the clock so far.
    pub fn steps(&self) -> &[ClockStep] {
        &self.steps
    }

    /// Adds a row, and puts what is released or rejected by it at the end of `out`.
    pub fn add(&mut self, row: Row, out: &mut Vec<RowOutcome>) {
        let timing = self.timing_of(self.adjusted_time(row.at));
        let rule = SORT_RULES.iter().find(|rule| rule.state == self.state && rule.timing == timing);
        match rule.map_or(SortAction::Admit, |rule| rule.action) {
            SortAction::Admit => self.admit(row, out),
            SortAction::Hold => self.hold(row, timing, out),
            SortAction::RejectHeldThenAdmit => {
                self.reject_held(out);
                self.admit(row, out);
            }
            SortAction::RejectHeldThenHold => {
                self.reject_held(out);
                self.hold(row, timing, out);
            }
        }
    }

    /// There are no more rows: rejects what is held back, and releases the rest.
    pub fn finish(&mut self, out: &mut Vec<RowOutcome>) {
        self.reject_held(out);
        self.release_until(u64::MAX, out);
    }

    /// A row's time on the clock without steps.
    fn adjusted_time(&self, at: u64) -> i128 {
        i128::from(at) + self.offset
    }

    fn timing_of(&self, at: i128) -> RowTiming {
        let Some(newest) = self.newest.map(i128::from) else { return InTime };
        if at > newest + i128::from(self.window.max_leap) {
            Ahead
        } else if at < newest - i128::from(self.window.max_lateness) || at < i128::from(self.last_released) {
            Behind
        } else {
            InTime
        }
    }

    fn admit(&mut self, mut row: Row, out: &mut Vec<RowOutcome>) {
        row.at = u64::try_from(self.adjusted_time(row.at)).unwrap_or(0);
        let newest = self.newest.map_or(row.at, |newest| newest.max(row.at));
        self.newest = Some(newest);
        if self.in_order.back().is_none_or(|last| last.at <= row.at) {
            self.in_order.push_back(row);
        } else {
            self.late.push(Reverse(LateRow(row)));
        }
        self.release_until(newest.saturating_sub(self.window.max_lateness), out);
        while self.in_order.len() + self.late.len() > self.window.max_rows {
            self.release_first(out);
        }
    }

    fn hold(&mut self, row: Row, timing: RowTiming, out: &mut Vec<RowOutcome>) {
        self.state = Holding(timing);
        self.held.push_back(row);
        if self.held.len() >= self.window.step_rows.max(1) {
            self.step_clock(out);
        }
    }

    /// The clock has stepped. After a step backwards time goes on where it was; a step forwards is a gap in
    /// the trace, and is kept.
    fn step_clock(&mut self, out: &mut Vec<RowOutcome>) {
        let is_backwards = self.state == Holding(Behind);
        self.state = Steady;
        let Some(first) = self.held.front() else { return };
        let earliest = self.held.iter().map(|row| self.adjusted_time(row.at)).min().unwrap_or_default();
        if is_backwards {
            let offset_us = i128::from(self.newest.unwrap_or_default()) - earliest;
            self.offset += offset_us;
            self.steps.push(ClockStep { line: first.line, offset_us });
        } else {
            self.newest = Some(u64::try_from(earliest).unwrap_or(u64::MAX));
        }
        for row in std::mem::take(&mut self.held) {
            // Rows that are off even among those held back have wrong times.
            match self.timing_of(self.adjusted_time(row.at)) {
                InTime => self.admit(row, out),
                Behind | Ahead => out.push(reject(&row, RejectionReason::Stray)),
            }
        }
    }

    fn reject_held(&mut self, out: &mut Vec<RowOutcome>) {
        let is_behind = self.state == Holding(Behind);
        let reason = if is_behind { RejectionReason::TooLate } else { RejectionReason::Stray };
        self.state = Steady;
        for row in std::mem::take(&mut self.held) {
            out.push(reject(&row, reason));
        }
    }

    /// Releases all rows up to this time.
    fn release_until(&mut self, until: u64, out: &mut Vec<RowOutcome>) {
        while self.first_key().is_some_and(|key| key.at <= until) {
            self.release_first(out);
        }
    }

    /// The key of the row that is released next.
    fn first_key(&self) -> Option<SortKey> {
        let in_order = self.in_order.front().map(SortKey::of);
        let late = self.late.peek().map(|Reverse(late)| SortKey::of(&late.0));
        in_order.into_iter().chain(late).min()
    }

    fn release_first(&mut self, out: &mut Vec<RowOutcome>) {
        let in_order = self.in_order.front().map(SortKey::of);
        let row = if in_order.is_some() && in_order == self.first_key() {
            self.in_order.pop_front()
        } else {
            self.late.pop().map(|Reverse(late)| late.0)
        };
        let Some(row) = row else { return };
        self.last_released = self.last_released.max(row.at);
        out.push(RowOutcome::Accepted(row));
    }
}

fn reject(row: &Row, reason: RejectionReason) -> RowOutcome {
    let allowed = match reason {
        RejectionReason::TooLate => "a time within the window behind the newest",
        _ => "a time near those of the neighbouring rows",
    };
    let (value, allowed) = (format!("{} us", row.at), allowed.to_owned());
    RowOutcome::Rejected(RejectedRow { line: row.line, column: None, value, allowed, reason })
}
