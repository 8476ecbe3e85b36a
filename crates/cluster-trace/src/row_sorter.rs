//! Sorts rows by timestamp within a bounded window, and detects clock steps and wrong timestamps.
//!
//! A published trace is sorted, but a copy of it is often slightly out of order. Three faults occur: rows are
//! slightly late, which the window corrects; a single row has a wrong timestamp; or the clock steps, so that all
//! later timestamps are off by the same amount. A row outside the window is held back. If enough consecutive rows
//! are outside the window on the same side, the clock has stepped. After a backward step the sorter adds an offset
//! to all later rows, so that time continues from the newest row; a forward step is kept as a gap. If a row within
//! the window arrives first, the timestamps of the held rows are wrong and these rows are rejected.

use crate::rejection_reason::RejectionReason;
use crate::row::{RejectedRow, Row, RowOutcome};
use RowTiming::{Ahead, Behind, InWindow};
use SorterState::{Holding, Steady};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The limits within which rows may be out of order.
#[derive(Clone, Copy, Debug)]
pub struct SortWindow {
    /// Maximum distance of a row behind the newest row, in microseconds.
    pub max_lateness: u64,
    /// Maximum distance of a row ahead of the newest row, in microseconds. Rows further ahead are held back.
    pub max_jump: u64,
    /// Maximum number of rows in the window. If it is exceeded, the oldest row is released.
    pub max_rows: usize,
    /// Number of consecutive rows outside the window on the same side from which a clock step is assumed.
    pub min_step_rows: usize,
}

impl Default for SortWindow {
    fn default() -> SortWindow {
        const SECOND: u64 = 1_000_000;
        SortWindow {
            max_lateness: 5 * SECOND,
            max_jump: 6 * 3600 * SECOND,
            max_rows: 65_536,
            min_step_rows: 16,
        }
    }
}

/// A backward step of the trace's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// Line number of the first row after the step.
    pub line: u64,
    /// Offset that the step adds to the timestamps of this and all later rows, in microseconds.
    pub offset_us: i128,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SorterState {
    Steady,
    /// The sorter holds back rows that are outside the window on the given side.
    Holding(RowTiming),
}

/// The position of a row's timestamp relative to the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowTiming {
    InWindow,
    Behind,
    Ahead,
}

/// The action for a row that is added.
#[derive(Clone, Copy)]
enum SortAction {
    /// Adds the row to the window.
    Admit,
    /// Holds the row back. If enough rows are held, the clock has stepped.
    Hold,
    /// Rejects the held rows and adds the row to the window.
    RejectHeldThenAdmit,
    /// Rejects the held rows and holds the row back.
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
    rule(Steady,          InWindow, SortAction::Admit),
    rule(Steady,          Behind, SortAction::Hold),
    rule(Steady,          Ahead,  SortAction::Hold),
    rule(Holding(Behind), InWindow, SortAction::RejectHeldThenAdmit),
    rule(Holding(Behind), Behind, SortAction::Hold),
    rule(Holding(Behind), Ahead,  SortAction::RejectHeldThenHold),
    rule(Holding(Ahead),  InWindow, SortAction::RejectHeldThenAdmit),
    rule(Holding(Ahead),  Behind, SortAction::RejectHeldThenHold),
    rule(Holding(Ahead),  Ahead,  SortAction::Hold),
];

/// The sort key of a row: its timestamp, then its line number.
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

/// A row that arrived after a row with a later timestamp, ordered by its [`SortKey`].
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

/// Sorts rows by timestamp, and rows with equal timestamps by line number.
pub struct RowSorter {
    window: SortWindow,
    state: SorterState,
    /// Rows in the window that arrived in order. These are the majority, and a queue keeps them sorted at no cost.
    in_order: VecDeque<Row>,
    /// Rows in the window that arrived out of order.
    late: BinaryHeap<Reverse<LateRow>>,
    /// Rows outside the window that are held back until a clock step is confirmed or ruled out.
    held: VecDeque<Row>,
    /// Latest timestamp in the window so far, or `None` before the first row.
    newest: Option<u64>,
    /// Latest timestamp of the released rows.
    last_released: u64,
    /// Sum of the offsets of all clock steps so far, in microseconds. It is added to each timestamp.
    offset: i128,
    steps: Vec<ClockStep>,
}

impl RowSorter {
    /// Creates an empty sorter.
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

    /// Returns the backward clock steps detected so far, in line order.
    pub fn steps(&self) -> &[ClockStep] {
        &self.steps
    }

    /// Adds a row, and appends the rows that are released or rejected as a result to `out`.
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

    /// Ends the input: rejects the rows that are held back, and releases the rows in the window, into `out`.
    pub fn finish(&mut self, out: &mut Vec<RowOutcome>) {
        self.reject_held(out);
        self.release_until(u64::MAX, out);
    }

    /// Returns a timestamp corrected for the clock steps so far.
    fn adjusted_time(&self, at: u64) -> i128 {
        i128::from(at) + self.offset
    }

    fn timing_of(&self, at: i128) -> RowTiming {
        let Some(newest) = self.newest.map(i128::from) else { return InWindow };
        if at > newest + i128::from(self.window.max_jump) {
            Ahead
        } else if at < newest - i128::from(self.window.max_lateness) || at < i128::from(self.last_released) {
            Behind
        } else {
            InWindow
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
        if self.held.len() >= self.window.min_step_rows.max(1) {
            self.step_clock(out);
        }
    }

    /// Applies a clock step and processes the held rows again. After a backward step, time continues from the newest
    /// row. A forward step is a gap in the trace and is kept.
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
            // Rows that are outside the window even after the step have wrong timestamps.
            match self.timing_of(self.adjusted_time(row.at)) {
                InWindow => self.admit(row, out),
                Behind | Ahead => out.push(reject(&row, RejectionReason::TimestampOutlier)),
            }
        }
    }

    fn reject_held(&mut self, out: &mut Vec<RowOutcome>) {
        let is_behind = self.state == Holding(Behind);
        let reason = if is_behind { RejectionReason::TooLate } else { RejectionReason::TimestampOutlier };
        self.state = Steady;
        for row in std::mem::take(&mut self.held) {
            out.push(reject(&row, reason));
        }
    }

    /// Releases all rows with timestamps up to and including `until`.
    fn release_until(&mut self, until: u64, out: &mut Vec<RowOutcome>) {
        while self.first_key().is_some_and(|key| key.at <= until) {
            self.release_first(out);
        }
    }

    /// Returns the key of the row that is released next, or `None` if the window is empty.
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
        RejectionReason::TooLate => "a timestamp within the sort window",
        _ => "a timestamp near those of the neighboring rows",
    };
    let (value, allowed) = (format!("{} us", row.at), allowed.to_owned());
    RowOutcome::Rejected(RejectedRow { line: row.line, column: None, value, allowed, reason })
}
