//! Time in whole tenths of a millisecond.

use std::ops::{Add, AddAssign, Sub};

/// A moment on the broker's clock, or a span between two, in tenths of a millisecond. Sums and differences
/// saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenths(
    /// Tenths of a millisecond.
    pub i64,
);

impl Tenths {
    /// No time, or the beginning of the clock.
    pub const ZERO: Tenths = Tenths(0);

    /// Whole tenths of so many milliseconds, rounded down; not-a-number is zero.
    pub fn from_ms(ms: f64) -> Tenths {
        Tenths((ms * 10.0).floor() as i64)
    }

    /// As milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 10.0
    }

    /// This span times a ratio.
    pub fn times(self, ratio: f64) -> Tenths {
        Tenths((self.0 as f64 * ratio) as i64)
    }

    /// This span as a ratio of another; an empty other counts as the smallest span.
    pub fn over(self, other: Tenths) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add for Tenths {
    type Output = Tenths;
    fn add(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tenths {
    fn add_assign(&mut self, other: Tenths) {
        *self = *self + other;
    }
}

impl Sub for Tenths {
    type Output = Tenths;
    fn sub(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_sub(other.0))
    }
}
