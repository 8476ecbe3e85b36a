//! Reads public cluster traces in CSV: a verdict for each row, in bounded memory, plain or gzip.
//!
//! A [`Layout`] says what the columns of a published trace are; [`Reader`] gives a [`Verdict`] for each line:
//! taken, as a [`Row`], or rejected, with file line, column, what it holds, what was allowed, and a
//! [`Reason`] whose code never changes. [`Order`] then puts rows in the order of their times within a bounded
//! window, and tells a clock that stepped from a row that strayed. [`Ledger`] counts: lines read = taken +
//! rejected by reason, and holds the policy against them.
//!
//! [`plan`] turns rows into what brokers and hosts are to feel.
//!
//! Decisions (`judge`, `order`, `ledger`, `plan`) do no I/O; `lines` and `reader` do nothing else.
//!
//! ```
//! use cluster_trace::{Reader, Verdict, layout};
//!
//! let text = "0,,1,0,5,0\n";
//! let rows = Reader::new(layout("google-2011-machine-events").unwrap(), text.as_bytes()).unwrap();
//! let verdicts: Vec<Verdict> = rows.collect();
//! assert!(matches!(&verdicts[0], Verdict::Rejected(r) if r.reason.code() == "missing-value"));
//! ```

mod judge;
mod layout;
mod ledger;
mod lines;
mod order;
pub mod plan;
mod reader;

pub use judge::{Id, MachineEvent, Rejected, Row, Verdict, What, WorkEvent, judge};
pub use layout::{Column, Form, LAYOUTS, Layout, Role, Sorted, Unit, layout};
pub use ledger::{Ledger, Policy, Stop};
pub use lines::LONGEST_LINE;
pub use order::{Order, Window};
pub use reader::{Reader, Unreadable};

/// Why a line is not a row that can be used. The codes are stable: scripts read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    Blank,
    TooLong,
    NotUtf8,
    Quotes,
    ColumnsMissing,
    ColumnsExtra,
    MissingValue,
    NotANumber,
    Negative,
    OutOfRange,
    UnknownEvent,
    EndsBeforeStart,
    EndsMidway,
    TooLate,
    Stray,
    Duplicate,
    UnknownMachine,
}

impl Reason {
    pub const ALL: [Reason; 17] = [
        Reason::Blank,
        Reason::TooLong,
        Reason::NotUtf8,
        Reason::Quotes,
        Reason::ColumnsMissing,
        Reason::ColumnsExtra,
        Reason::MissingValue,
        Reason::NotANumber,
        Reason::Negative,
        Reason::OutOfRange,
        Reason::UnknownEvent,
        Reason::EndsBeforeStart,
        Reason::EndsMidway,
        Reason::TooLate,
        Reason::Stray,
        Reason::Duplicate,
        Reason::UnknownMachine,
    ];

    pub fn code(self) -> &'static str {
        match self {
            Reason::Blank => "blank",
            Reason::TooLong => "too-long",
            Reason::NotUtf8 => "not-utf8",
            Reason::Quotes => "quotes",
            Reason::ColumnsMissing => "columns-missing",
            Reason::ColumnsExtra => "columns-extra",
            Reason::MissingValue => "missing-value",
            Reason::NotANumber => "not-a-number",
            Reason::Negative => "negative",
            Reason::OutOfRange => "out-of-range",
            Reason::UnknownEvent => "unknown-event",
            Reason::EndsBeforeStart => "ends-before-start",
            Reason::EndsMidway => "ends-midway",
            Reason::TooLate => "too-late",
            Reason::Stray => "stray",
            Reason::Duplicate => "duplicate",
            Reason::UnknownMachine => "unknown-machine",
        }
    }
}
