//! Parameters of a rollout. Operators can configure all of them; the defaults are defined here and listed in the
//! operator documentation.

use routing::TimeSpan;

/// Timeouts, budgets and thresholds of the subscription and the probation.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// Upper bound of the first backoff, which is drawn between 0 and this bound. Each consecutive failure doubles
    /// the bound, up to [`RolloutPolicy::max_backoff`].
    pub initial_backoff: TimeSpan,
    /// Maximum upper bound of the backoff.
    pub max_backoff: TimeSpan,
    /// Maximum number of connection attempts in any [`RolloutPolicy::connect_window`].
    pub max_connects: usize,
    /// Length of the window in which connection attempts are counted.
    pub connect_window: TimeSpan,
    /// Time after which a connection attempt is aborted if no stream has opened, or no response has arrived on it.
    pub connect_timeout: TimeSpan,
    /// Time after which an open stream counts as stable. The end of a stable stream resets the backoff.
    pub stable_stream_age: TimeSpan,
    /// Time for which a service with a conflicting history is avoided, provided that there is another service.
    pub avoid_duration: TimeSpan,
    /// Minimum duration of a probation, and length of the window of earlier outcomes that is its baseline.
    pub probation_duration: TimeSpan,
    /// Maximum duration of a probation, after which it ends without a verdict.
    pub max_probation_duration: TimeSpan,
    /// Minimum number of ended queries for a verdict.
    pub min_ended_queries: u64,
    /// Amount by which the share of failed queries (0 to 1) must exceed the baseline for a version to fail its
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
            avoid_duration: seconds(300),
            probation_duration: seconds(60),
            max_probation_duration: seconds(900),
            min_ended_queries: 30,
            failure_ratio_margin: 0.05,
        }
    }
}

impl RolloutPolicy {
    /// Lengthens the backoff so that `brokers` brokers that are disconnected at once reconnect at a rate of at most
    /// `connects_per_s`, on average over the first backoff.
    pub fn spread_reconnects(mut self, brokers: u32, connects_per_s: f64) -> RolloutPolicy {
        let seconds = f64::from(brokers) / connects_per_s.max(0.001);
        self.initial_backoff = self.initial_backoff.max(TimeSpan((seconds * 10_000.0) as i64));
        self.max_backoff = self.max_backoff.max(self.initial_backoff);
        self
    }
}
