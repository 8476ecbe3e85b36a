//! Points in time and time spans in whole tenths of a millisecond. Each clock has its own type, so that the
//! compiler rejects arithmetic between different clocks.

use std::ops::{Add, AddAssign, Sub};

const TENTHS_PER_MS: f64 = 10.0;

const TENTHS_PER_SECOND: i64 = 10_000;

/// Signed time span in tenths of a millisecond. Addition and subtraction saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(
    /// Length in tenths of a millisecond.
    pub i64,
);

impl TimeSpan {
    /// Time span of zero length.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// Creates a time span of `seconds` seconds.
    pub const fn from_secs(seconds: i64) -> TimeSpan {
        TimeSpan(seconds * TENTHS_PER_SECOND)
    }

    /// Creates a time span of `ms` milliseconds, rounded down to whole tenths. Returns zero if `ms` is not a number.
    pub fn from_ms(ms: f64) -> TimeSpan {
        TimeSpan((ms * TENTHS_PER_MS).floor() as i64)
    }

    /// Returns the length in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / TENTHS_PER_MS
    }

    /// Multiplies this span by `ratio` and truncates the product toward zero.
    pub fn mul_f64(self, ratio: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * ratio) as i64)
    }

    /// Returns the length of this span divided by that of `other`. If `other` is not positive, divides by the
    /// smallest positive span.
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
            /// Tenths of a millisecond since the epoch of the clock.
            pub i64,
        );

        impl $name {
            /// Epoch of the clock.
            pub const ZERO: $name = $name(0);

            /// Returns the time `ms` milliseconds after the epoch, rounded down to whole tenths of a
            /// millisecond. Returns the epoch if `ms` is not a number.
            pub fn from_ms(ms: f64) -> $name {
                $name(TimeSpan::from_ms(ms).0)
            }

            /// Returns the number of milliseconds since the epoch.
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
    /// Time on the monotonic clock that a broker's turns use.
    Timestamp;
    /// Time on the wall clock of a machine. A wall clock may be stepped forward or back at any time, and the wall
    /// clocks of two machines differ.
    WallClockTime;
}
