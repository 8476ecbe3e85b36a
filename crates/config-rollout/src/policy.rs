//! The times and counts by which a keeper goes. All are the operator's; the defaults are stated here and on
//! the operators' page.

use routing::Tenths;

#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// The wait before a call is drawn from 0 to this; each failure in a row doubles it...
    pub first_wait: Tenths,
    /// ...up to this.
    pub longest_wait: Tenths,
    /// At most so many calls...
    pub calls: usize,
    /// ...in any window of this length.
    pub calls_window: Tenths,
    /// A call that is not up by then, or brings no response by then, is given up.
    pub call_within: Tenths,
    /// A stream that was up for so long ends the row of failures.
    pub steady: Tenths,
    /// A service with an older or another history is passed over for so long, while there are others.
    pub suspect_for: Tenths,
    /// An applied version is on trial for so long.
    pub trial: Tenths,
    /// A trial that could not be judged ends after so long.
    pub longest_trial: Tenths,
    /// The least number of queries by which anything is judged.
    pub least_ended: u64,
    /// How much larger the share that ends badly must be, at the least, to be held against a version.
    pub margin: f64,
}

impl Default for RolloutPolicy {
    fn default() -> RolloutPolicy {
        let seconds = |s: i64| Tenths(s * 10_000);
        RolloutPolicy {
            first_wait: seconds(1),
            longest_wait: seconds(60),
            calls: 10,
            calls_window: seconds(60),
            call_within: seconds(15),
            steady: seconds(10),
            suspect_for: seconds(300),
            trial: seconds(60),
            longest_trial: seconds(900),
            least_ended: 30,
            margin: 0.05,
        }
    }
}

impl RolloutPolicy {
    /// Waits by which a fleet of so many brokers, all cut off at once, come back at this rate a second at the
    /// most, on average over the first wait.
    pub fn spread(mut self, brokers: u32, calls_per_s: f64) -> RolloutPolicy {
        let seconds = f64::from(brokers) / calls_per_s.max(0.001);
        self.first_wait = self.first_wait.max(Tenths((seconds * 10_000.0) as i64));
        self.longest_wait = self.longest_wait.max(self.first_wait);
        self
    }
}
