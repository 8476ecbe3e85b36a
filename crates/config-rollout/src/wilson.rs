//! Wilson score interval of a proportion.

/// Half-width of the interval in standard deviations (z-score). A probation evaluates its counts every second, so
/// that a narrower interval would fail harmless versions by chance.
const Z_SCORE: f64 = 4.0;

/// Lower and upper bound of a proportion, each between 0 and 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Interval {
    pub(crate) lower: f64,
    pub(crate) upper: f64,
}

/// Returns the score interval of the true proportion if `hits` of `total` were observed, or 0 to 1 if `total` is
/// zero.
pub(crate) fn score_interval(hits: u64, total: u64) -> Interval {
    if total == 0 {
        return Interval { lower: 0.0, upper: 1.0 };
    }
    let (n, z) = (total as f64, Z_SCORE);
    let share = hits.min(total) as f64 / n;
    let center = share + z * z / (2.0 * n);
    let half_width = z * (share * (1.0 - share) / n + z * z / (4.0 * n * n)).sqrt();
    let scale = 1.0 + z * z / n;
    Interval {
        lower: ((center - half_width) / scale).max(0.0),
        upper: ((center + half_width) / scale).min(1.0),
    }
}
