//! Reasons for rejecting a line of a trace file.

macro_rules! rejection_reasons {
    ($($(#[$doc:meta])* $reason:ident = $code:literal,)*) => {
        /// The reason for rejecting a line. Scripts parse the codes, so a code never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RejectionReason {
            $($(#[$doc])* $reason,)*
        }

        impl RejectionReason {
            /// All reasons, in declaration order.
            pub const ALL: &[RejectionReason] = &[$(RejectionReason::$reason,)*];

            /// Returns the stable code, for example `too-long`.
            pub fn code(self) -> &'static str {
                match self {
                    $(RejectionReason::$reason => $code,)*
                }
            }
        }
    };
}

rejection_reasons! {
    /// The line is empty or contains only whitespace.
    Blank = "blank",
    /// The line is longer than [`crate::MAX_LINE_BYTES`].
    TooLong = "too-long",
    /// A field is not valid UTF-8, or the line contains a NUL byte.
    NotUtf8 = "not-utf8",
    /// The line contains an unclosed quote.
    UnclosedQuote = "quotes",
    /// The line has fewer columns than the layout.
    TooFewColumns = "columns-missing",
    /// The line has more columns than the layout.
    TooManyColumns = "columns-extra",
    /// A required field is empty.
    MissingValue = "missing-value",
    /// A field that must be a number cannot be parsed as one.
    NotANumber = "not-a-number",
    /// A number is negative where the minimum is 0.
    Negative = "negative",
    /// A number exceeds the maximum of its column, or a name exceeds the maximum length.
    OutOfRange = "out-of-range",
    /// An event, status or category code is not defined by the layout.
    UnknownEvent = "unknown-event",
    /// The end time of the work is earlier than its start time.
    EndsBeforeStart = "ends-before-start",
    /// The file ends in the middle of the line, or the rest of the file cannot be read.
    Truncated = "ends-midway",
    /// The row's timestamp is too far behind the newest one to be sorted within the window.
    TooLate = "too-late",
    /// The row's timestamp is far from those of the neighboring rows.
    TimestampOutlier = "stray",
    /// The row equals a recently read row.
    Duplicate = "duplicate",
    /// The row refers to a machine that no earlier row has added.
    UnknownMachine = "unknown-machine",
}
