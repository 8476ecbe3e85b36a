//! What becomes of an offered query: the table of decisions, with its guards and actions.

use crate::controller::AdmissionController;
use crate::mode::Mode::{self, Normal, Overloaded};
use crate::offered_query::OfferedQuery;
use Decision::{Admit, AdmitAtMinCoverage, RejectQuota, RejectRetryBudget};

/// What is decided on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admitted whole.
    Admit,
    /// Rejected: its tenant's retries are over their budget.
    RejectRetryBudget,
    /// Rejected: its tenant asks for more than its share, its bucket does not hold the shard requests, and
    /// others ask, who are not trimmed by it.
    RejectQuota,
    /// As `RejectQuota`, but its class takes partial responses: admitted to be served at its minimum coverage
    /// only. The heaviest shard requests earn most of its priority weight for a few attempts, where a
    /// rejection earns nothing.
    AdmitAtMinCoverage,
}

impl Decision {
    /// Whether the query is kept from the broker.
    pub fn is_rejection(self) -> bool {
        matches!(self, RejectRetryBudget | RejectQuota)
    }
}

/// How many queries each decision fell on, since the controller began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Queries admitted whole.
    pub admitted: u64,
    /// Queries rejected by a retry budget.
    pub rejected_by_retry_budget: u64,
    /// Queries rejected by a tenant's share.
    pub rejected_by_quota: u64,
    /// Queries admitted at their minimum coverage.
    pub admitted_at_min_coverage: u64,
}

impl DecisionCounts {
    pub(crate) fn record(&mut self, decision: Decision) {
        let count = match decision {
            Admit => &mut self.admitted,
            RejectRetryBudget => &mut self.rejected_by_retry_budget,
            RejectQuota => &mut self.rejected_by_quota,
            AdmitAtMinCoverage => &mut self.admitted_at_min_coverage,
        };
        *count += 1;
    }
}

/// In a mode, if the guard holds: the decision, and what is done.
pub(crate) struct Rule {
    mode: Mode,
    guard: fn(&mut AdmissionController, &OfferedQuery) -> bool,
    pub decision: Decision,
    pub action: fn(&mut AdmissionController, &OfferedQuery),
}

#[rustfmt::skip]
const RULES: &[Rule] = &[
    Rule { mode: Normal,     guard: always,           decision: Admit,              action: count_admitted },
    Rule { mode: Overloaded, guard: retries_exceeded, decision: RejectRetryBudget,  action: keep },
    Rule { mode: Overloaded, guard: is_within_share,  decision: Admit,              action: take_tokens },
    Rule { mode: Overloaded, guard: bucket_covers,    decision: Admit,              action: take_tokens },
    Rule { mode: Overloaded, guard: may_be_partial,   decision: AdmitAtMinCoverage, action: count_admitted },
    Rule { mode: Overloaded, guard: has_other_tenants,decision: RejectQuota,        action: keep },
    Rule { mode: Overloaded, guard: always,           decision: Admit,              action: count_admitted },
];

/// The first row of the table that applies.
pub(crate) fn find_rule(controller: &mut AdmissionController, query: &OfferedQuery) -> Option<&'static Rule> {
    RULES.iter().find(|rule| rule.mode == controller.mode() && (rule.guard)(controller, query))
}

// ---- guards

fn always(_: &mut AdmissionController, _: &OfferedQuery) -> bool {
    true
}

/// A retry, and the tenant's retries within the window are past a share of its first attempts and a few.
fn retries_exceeded(controller: &mut AdmissionController, query: &OfferedQuery) -> bool {
    let (now, window) = (controller.now, controller.config.window);
    let (ratio, floor) = (controller.config.retry_share, controller.config.retry_floor);
    query.is_retry() && controller.tenant(query.tenant).is_over_retry_budget(now, window, ratio, floor)
}

/// The tenant gets all that it requests: the bucket is for those that request more.
fn is_within_share(controller: &mut AdmissionController, query: &OfferedQuery) -> bool {
    !controller.tenant(query.tenant).is_limited
}

/// The bucket holds the query's shard requests, or is full.
fn bucket_covers(controller: &mut AdmissionController, query: &OfferedQuery) -> bool {
    let (now, burst) = (controller.now, controller.config.burst);
    let usage = controller.tenant(query.tenant);
    usage.fill_bucket(now, burst);
    usage.bucket_covers(f64::from(query.shard_requests), burst)
}

/// As `has_other_tenants`, and its class takes partial responses.
fn may_be_partial(controller: &mut AdmissionController, query: &OfferedQuery) -> bool {
    let class = controller.broker_config.classes.get(&query.class);
    class.is_some_and(|class| class.min_coverage < class.complete_coverage)
        && has_other_tenants(controller, query)
}

/// Others ask too, and shares are kept: one tenant alone has its excess cut by the broker.
fn has_other_tenants(controller: &mut AdmissionController, query: &OfferedQuery) -> bool {
    controller.config.shares && controller.tenants.has_others(query.tenant, controller.now)
}

// ---- actions

fn keep(_: &mut AdmissionController, _: &OfferedQuery) {}

fn count_admitted(controller: &mut AdmissionController, query: &OfferedQuery) {
    let (now, window) = (controller.now, controller.config.window);
    controller.tenant(query.tenant).record_admitted(now, window, query.is_retry());
}

fn take_tokens(controller: &mut AdmissionController, query: &OfferedQuery) {
    count_admitted(controller, query);
    let (now, burst) = (controller.now, controller.config.burst);
    let usage = controller.tenant(query.tenant);
    usage.fill_bucket(now, burst);
    usage.bucket.remove(f64::from(query.shard_requests));
}
