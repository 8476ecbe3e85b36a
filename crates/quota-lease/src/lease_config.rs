//! What the brokers of a fleet agree on about one budget.

use routing::TimeSpan;

/// A budget, and how it is lent. Times are of each process's own clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseConfig {
    /// Units that all brokers together may spend in any window.
    pub total_units: u32,
    /// How many brokers share the budget.
    pub brokers: u32,
    /// Over which time spent units count.
    pub window: TimeSpan,
    /// How long a lease may be spent, from when it was requested.
    pub lease_duration: TimeSpan,
    /// Any two clocks differ by one part in so many at the most; 100 or more.
    pub drift_divisor: u32,
    /// The most leases lent, and the most requested or held; one more is not entered.
    pub max_leases: usize,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            total_units: 0,
            brokers: 1,
            window: TimeSpan(10_000),
            lease_duration: TimeSpan(100_000),
            drift_divisor: 100,
            max_leases: 64,
        }
    }
}
