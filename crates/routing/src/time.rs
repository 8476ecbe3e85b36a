//! Moments and spans, in whole tenths of a millisecond. Moments of different clocks are different types, so
//! that the compiler refuses a sum or a difference that means nothing.

use std::ops::{Add, AddAssign, Sub};

/// Tenths of a millisecond in a millisecond.
const TENTHS_PER_MS: f64 = 10.0;

/// Tenths of a millisecond in a second.
const TENTHS_PER_SECOND: i64 = 10_000;

/// A span of time, in tenths of a millisecond. Sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(
    /// Tenths of a millisecond.
    pub i64,
);

impl TimeSpan {
    /// No time.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// So many seconds.
    pub const fn from_secs(seconds: i64) -> TimeSpan {
        TimeSpan(seconds * TENTHS_PER_SECOND)
    }

    /// Whole tenths of so many milliseconds, rounded down; not-a-number is zero.
    pub fn from_ms(ms: f64) -> TimeSpan {
        TimeSpan((ms * TENTHS_PER_MS).floor() as i64)
    }

    /// As milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / TENTHS_PER_MS
    }

    /// This span times a ratio.
    pub fn mul_f64(self, ratio: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * ratio) as i64)
    }

    /// This span as a ratio of another; an empty other counts as the smallest span.
    pub fn ratio_to(self, other: TimeSpan) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl AddAssign for TimeSpan {
    fn add_assign(&mut self, other: TimeSpan) {
        *self = *self + other;
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;
    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }
}

macro_rules! clocks {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Tenths of a millisecond since the clock's beginning.
            pub i64,
        );

        impl $name {
            /// The beginning of the clock.
            pub const ZERO: $name = $name(0);

            /// The moment so many milliseconds after the clock's beginning, rounded down; not-a-number is the
            /// beginning.
            pub fn from_ms(ms: f64) -> $name {
                $name(TimeSpan::from_ms(ms).0)
            }

            /// Milliseconds since the clock's beginning.
            pub fn as_ms(self) -> f64 {
                TimeSpan(self.0).as_ms()
            }
        }

        impl Add<TimeSpan> for $name {
            type Output = $name;
            fn add(self, span: TimeSpan) -> $name {
                $name(self.0.saturating_add(span.0))
            }
        }

        impl AddAssign<TimeSpan> for $name {
            fn add_assign(&mut self, span: TimeSpan) {
                *self = *self + span;
            }
        }

        impl Sub<TimeSpan> for $name {
            type Output = $name;
            fn sub(self, span: TimeSpan) -> $name {
                $name(self.0.saturating_sub(span.0))
            }
        }

        impl Sub for $name {
            type Output = TimeSpan;
            fn sub(self, earlier: $name) -> TimeSpan {
                TimeSpan(self.0.saturating_sub(earlier.0))
            }
        }
    )*};
}

clocks! {
    /// A moment on the monotonic clock that a broker's turns are given by.
    Timestamp;
    /// A moment on a machine's wall clock. Wall clocks may be set forward or back at any time, and those of
    /// two machines differ.
    WallClockTime;
}
