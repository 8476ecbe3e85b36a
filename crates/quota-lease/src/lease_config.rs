//! The configuration of a leased budget, which is the same on all brokers of a fleet.

use routing::TimeSpan;

/// The configuration of a budget that brokers share by leases. All durations are measured by the clock of the process
/// that uses them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseConfig {
    /// The number of units that all brokers together may spend in any window.
    pub total_units: u32,
    /// The number of brokers that share the budget.
    pub brokers: u32,
    /// The time for which spent units count against the budget.
    pub window: TimeSpan,
    /// The time for which the units of a lease may be spent, from when the lease was requested.
    pub lease_duration: TimeSpan,
    /// The bound on clock drift: the rates of any two clocks differ by at most 1 in `drift_divisor`. 100 or more.
    pub drift_divisor: u32,
    /// The maximum number of leases that a broker records as the lender and, counted separately, as the borrower,
    /// where requested and held leases count together. Further leases are not recorded.
    pub max_leases_per_role: usize,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            total_units: 0,
            brokers: 1,
            window: TimeSpan(10_000),
            lease_duration: TimeSpan(100_000),
            drift_divisor: 100,
            max_leases_per_role: 64,
        }
    }
}
