//! Reads public cluster traces in CSV, plain or gzip, with one outcome for each line and in bounded memory.
//!
//! A [`Layout`] describes the columns of a published trace. [`TraceReader`] gives a [`RowOutcome`] for each
//! line: accepted, as a [`Row`], or rejected, with the line, the column, its value, what is allowed, and a
//! [`RejectionReason`] whose code never changes. [`RowSorter`] then puts rows in the order of their times
//! within a bounded window, and tells a clock that stepped from a single row with a wrong time.
//! [`ReadSummary`] counts (lines read = accepted + rejected by reason) and applies the [`RejectionPolicy`].
//!
//! [`plan`] turns rows into what brokers and nodes are to do.
//!
//! `classify`, `row_sorter`, `read_summary` and `plan` do no I/O; `line_blocks` and `trace_reader` do nothing
//! else.
//!
//! ```
//! use cluster_trace::{RowOutcome, TraceReader, find_layout};
//!
//! let text = "0,,1,0,5,0\n";
//! let layout = find_layout("google-2011-machine-events").unwrap();
//! let outcomes: Vec<RowOutcome> = TraceReader::new(layout, text.as_bytes()).unwrap().collect();
//! assert!(matches!(&outcomes[0], RowOutcome::Rejected(row) if row.reason.code() == "missing-value"));
//! ```

#![warn(missing_docs)]

mod classify;
mod layout;
mod line_blocks;
pub mod plan;
mod read_summary;
mod rejection_reason;
mod row;
mod row_sorter;
mod trace_reader;

pub use classify::classify_row;
pub use layout::{Column, ColumnFormat, ColumnRole, LAYOUTS, Layout, RowOrder, TimeUnit, find_layout};
pub use line_blocks::MAX_LINE_BYTES;
pub use read_summary::{PolicyViolation, ReadSummary, RejectedRows, RejectionPolicy};
pub use rejection_reason::RejectionReason;
pub use row::{MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, TraceId, WorkEvent};
pub use row_sorter::{ClockStep, RowSorter, SortWindow};
pub use trace_reader::{OpenError, TraceReader};
