//! Why a line of a trace file is not used.

macro_rules! rejection_reasons {
    ($($(#[$doc:meta])* $reason:ident = $code:literal,)*) => {
        /// Why a line is not a row that can be used. The codes are stable: scripts read them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RejectionReason {
            $($(#[$doc])* $reason,)*
        }

        impl RejectionReason {
            /// All reasons, in their order.
            pub const ALL: &[RejectionReason] = &[$(RejectionReason::$reason,)*];

            /// The stable code of the reason.
            pub fn code(self) -> &'static str {
                match self {
                    $(RejectionReason::$reason => $code,)*
                }
            }
        }
    };
}

rejection_reasons! {
    /// The line is empty or has only white space.
    Blank = "blank",
    /// The line is longer than [`crate::MAX_LINE_BYTES`].
    TooLong = "too-long",
    /// A field is not UTF-8, or the line has a NUL byte.
    NotUtf8 = "not-utf8",
    /// A quote is not closed.
    Quotes = "quotes",
    /// The line has fewer columns than its layout.
    ColumnsMissing = "columns-missing",
    /// The line has more columns than its layout.
    ColumnsExtra = "columns-extra",
    /// A required field is empty.
    MissingValue = "missing-value",
    /// A field is not the number that it has to be.
    NotANumber = "not-a-number",
    /// A number is negative.
    Negative = "negative",
    /// A number is too large, or a name too long.
    OutOfRange = "out-of-range",
    /// An event or a category has a code that its layout does not know.
    UnknownEvent = "unknown-event",
    /// The work ends before it begins.
    EndsBeforeStart = "ends-before-start",
    /// The file ends within the line, or can't be read any further.
    EndsMidway = "ends-midway",
    /// The row's time is too far behind the newest.
    TooLate = "too-late",
    /// The row's time is far ahead of the rows around it.
    Stray = "stray",
    /// The row is the same as a recent one.
    Duplicate = "duplicate",
    /// The row is about a machine that was never added.
    UnknownMachine = "unknown-machine",
}
