//! What a host's troubles come to together. They overlap: a host that two troubles hold down is down until
//! both are over, one that crawls twice crawls by both, one that is lost while it drains is lost.
//!
//! | standing | on | next | change |
//! | --- | --- | --- | --- |
//! | up | down begins | down | dies |
//! | up | drain begins | draining | drains |
//! | draining | down begins | down | dies |
//! | draining | drain's time is up | down | dies |
//! | down | last of what holds it down ends | up | starts, cold |
//! | any | speed, errors, refusals, silence, pauses change | the same | is so from now on |

use Change::{Dies, Drains, Nothing, Starts};
use Input::{Down, DrainBegins, DrainOver, Up};
use Standing::{Draining, Gone, Ready};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// What whoever drives the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Nothing,
    Dies,
    Drains,
    /// A new process, cold.
    Starts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// The first of what holds it down begins; the last ends.
    Down,
    Up,
    DrainBegins,
    DrainOver,
}

#[rustfmt::skip]
const TABLE: &[(Standing, Input, Standing, Change)] = &[
    (Ready,    Down,        Gone,     Dies),
    (Ready,    DrainBegins, Draining, Drains),
    (Draining, Down,        Gone,     Dies),
    (Draining, DrainOver,   Gone,     Dies),
    (Gone,     Up,          Ready,    Starts),
    // A drain that is told of a host that is down: it drains no more, and stays down for the drain's span as
    // well.
    (Gone,     DrainBegins, Gone,     Nothing),
    (Gone,     DrainOver,   Gone,     Nothing),
];

/// One host's troubles.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    standing: Standing,
    /// Troubles that hold it down, and drains that are under way or over and not yet lifted.
    down: u32,
    speeds: Vec<f64>,
    errors: Vec<f64>,
    refuses: u32,
    silent: u32,
    /// How long it stands still, and how often, in tenths of a millisecond.
    pauses: Vec<(i64, i64)>,
}

impl Book {
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn go(&mut self, input: Input) -> Change {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self.standing, input));
        self.standing = row.map_or(self.standing, |row| row.2);
        row.map_or(Nothing, |row| row.3)
    }

    pub fn down(&mut self) -> Change {
        self.down += 1;
        self.go(Down)
    }

    /// One of what held it down is over.
    pub fn up(&mut self) -> Change {
        self.down = self.down.saturating_sub(1);
        if self.down == 0 { self.go(Up) } else { Nothing }
    }

    pub fn drain(&mut self) -> Change {
        self.down += 1;
        self.go(DrainBegins)
    }

    pub fn drained(&mut self) -> Change {
        self.go(DrainOver)
    }

    pub fn crawl(&mut self, share: f64, begins: bool) {
        turn(&mut self.speeds, share, begins);
    }

    pub fn garble(&mut self, share: f64, begins: bool) {
        turn(&mut self.errors, share, begins);
    }

    pub fn refuse(&mut self, begins: bool) {
        count(&mut self.refuses, begins);
    }

    pub fn silence(&mut self, begins: bool) {
        count(&mut self.silent, begins);
    }

    pub fn pause(&mut self, pause: (i64, i64), begins: bool) {
        turn(&mut self.pauses, pause, begins);
    }

    /// The share of its work that it does: of all that slows it, together.
    pub fn speed(&self) -> f64 {
        self.speeds.iter().product()
    }

    /// The share of its answers that are errors: of what one trouble leaves, the next spoils its share.
    pub fn errors(&self) -> f64 {
        1.0 - self.errors.iter().map(|share| 1.0 - share).product::<f64>()
    }

    pub fn refuses(&self) -> bool {
        self.refuses > 0
    }

    pub fn is_silent(&self) -> bool {
        self.silent > 0
    }

    /// How long it stands still within each span, the longest of what holds it.
    pub fn pauses(&self) -> Option<(i64, i64)> {
        self.pauses.iter().copied().max()
    }
}

fn turn<T: PartialEq>(all: &mut Vec<T>, one: T, begins: bool) {
    if begins {
        all.push(one);
    } else if let Some(at) = all.iter().position(|other| *other == one) {
        all.remove(at);
    }
}

fn count(all: &mut u32, begins: bool) {
    *all = if begins { *all + 1 } else { all.saturating_sub(1) };
}
