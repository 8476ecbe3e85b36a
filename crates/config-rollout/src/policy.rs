//! The times and counts that decide a rollout. All are settings of the operator; the defaults are stated
//! here and on the operators' page.

use routing::TimeSpan;

/// Times, budgets and bounds of subscription and probation.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// The wait before a connection attempt is drawn from 0 to this; each failure in a row doubles the
    /// upper bound, up to [`RolloutPolicy::max_backoff`].
    pub initial_backoff: TimeSpan,
    /// The largest upper bound of a wait.
    pub max_backoff: TimeSpan,
    /// The most connection attempts in any [`RolloutPolicy::connect_window`].
    pub max_connects: usize,
    /// The window in which connection attempts are counted.
    pub connect_window: TimeSpan,
    /// A connection attempt that has not opened a stream, or brought no response on it, is given up after
    /// this.
    pub connect_timeout: TimeSpan,
    /// A stream that was open for this long ends the row of failures.
    pub stable_stream_age: TimeSpan,
    /// A service with an older or another history is avoided for this long while there are others.
    pub suspect_duration: TimeSpan,
    /// How long an applied version is on probation; the baseline that it is compared with is as long.
    pub probation_duration: TimeSpan,
    /// A probation that could not be judged ends after this.
    pub max_probation_duration: TimeSpan,
    /// The least number of ended queries by which a version is judged.
    pub min_ended_queries: u64,
    /// By how much the share of failed queries (0 to 1) must exceed the usual share for a version to fail its
    /// probation.
    pub failure_ratio_margin: f64,
}

impl Default for RolloutPolicy {
    fn default() -> RolloutPolicy {
        let seconds = |seconds: i64| TimeSpan(seconds * 10_000);
        RolloutPolicy {
            initial_backoff: seconds(1),
            max_backoff: seconds(60),
            max_connects: 10,
            connect_window: seconds(60),
            connect_timeout: seconds(15),
            stable_stream_age: seconds(10),
            suspect_duration: seconds(300),
            probation_duration: seconds(60),
            max_probation_duration: seconds(900),
            min_ended_queries: 30,
            failure_ratio_margin: 0.05,
        }
    }
}

impl RolloutPolicy {
    /// Lengthens the waits so that `brokers`, all cut off at once, reconnect at `connects_per_s` at the
    /// most, on average over the first wait.
    pub fn spread_reconnects(mut self, brokers: u32, connects_per_s: f64) -> RolloutPolicy {
        let seconds = f64::from(brokers) / connects_per_s.max(0.001);
        self.initial_backoff = self.initial_backoff.max(TimeSpan((seconds * 10_000.0) as i64));
        self.max_backoff = self.max_backoff.max(self.initial_backoff);
        self
    }
}
