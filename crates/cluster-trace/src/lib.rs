//! Streaming reader for public cluster traces in CSV, plain or gzip-compressed.
//!
//! A [`Layout`] describes the columns of a published trace. [`TraceReader`] yields one [`RowOutcome`] per line
//! and uses bounded memory. An accepted line becomes a [`Row`]; a rejected line is reported with its line
//! number, column, value, allowed values, and a [`RejectionReason`] whose code is stable. [`RowSorter`] sorts
//! rows by timestamp within a bounded window and distinguishes a clock step from a single row with a wrong
//! timestamp. [`ReadSummary`] counts the outcomes (lines read = accepted + rejected, by reason) and applies the
//! [`RejectionPolicy`].
//!
//! The [`plan`] module turns rows into a schedule of queries and node events for a replay.
//!
//! All I/O is in `line_blocks` and `trace_reader`; `classify`, `row_sorter`, `read_summary` and `plan` do none.
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
pub use row::{HashedId, MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, WorkEvent};
pub use row_sorter::{ClockStep, RowSorter, SortWindow};
pub use trace_reader::{OpenError, TraceReader};
