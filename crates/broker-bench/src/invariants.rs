//! Checks the six invariants ("rules") of the service on the messages that clients and nodes receive, never on
//! reports of a broker. The checker does no I/O: the run, in virtual time or on sockets, reports events and times.
//!
//! | rule | what is checked |
//! | --- | --- |
//! | 1 | final responses as they reach clients, and shard requests that reach nodes after them |
//! | 2 | shard requests that reach nodes again after they may have been executed, and rejections of their queries |
//! | 3 | shard requests that reach a node past the grace period after it was published as draining or removed |
//! | 4 | warming nodes that collapsed |
//! | 5 | responses, compared with the answers of the nodes |
//! | 6 | shard requests that reach nodes again in any window, compared with those that brokers accepted in it |

mod retry_window;
mod rules;

use retry_window::RetryWindow;
use routing::{EndpointState, Idempotency, RetryBudget, TimeSpan, Timestamp};
use rules::{approach, violation};
use std::collections::BTreeMap;
use std::ops::Range;

/// The limits of the rules for one request class.
#[derive(Clone, Debug)]
pub struct ClassLimits {
    /// Maximum time that may pass between a query and its final response.
    pub deadline: TimeSpan,
    /// Minimum coverage of a response, from 0 to 1.
    pub min_coverage: f64,
    /// Whether, and under which condition, a shard request may be executed twice.
    pub idempotency: Idempotency,
    /// Time in which nodes deduplicate repeats under one idempotency key.
    pub dedup_window: TimeSpan,
}

/// The limits of the rules.
#[derive(Clone, Debug)]
pub struct InvariantLimits {
    /// Limits of the classes, indexed by class.
    pub classes: Vec<ClassLimits>,
    /// The retry budget of each broker, or `None` if retries are unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// Time in which shard requests may still be sent to a node that was published as draining or removed.
    pub grace: TimeSpan,
    /// Maximum delay between an event and its observation. The checks of points in time allow for it.
    pub slack: TimeSpan,
}

/// The number of a shard request among those of all queries of the run, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardRequestIndex(pub usize);

/// The state of a node that discovery published last, and the time of publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedState {
    /// The state of the node.
    pub state: EndpointState,
    /// Time of publication.
    pub at: Timestamp,
}

/// The end of a query as its client observes it.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEnd {
    /// The client received a response that contains answers.
    Responded {
        /// Whether the response is marked as complete.
        complete: bool,
        /// The shard requests whose answers the response contains.
        counted: Vec<ShardRequestIndex>,
    },
    /// The client received a rejection and may send the query again.
    Rejected,
    /// The client received a failure or nothing; the query may have been executed.
    Failed,
}

/// The number of queries, and of each way in which they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// Queries that clients sent.
    pub sent: u64,
    /// Queries that ended with a response.
    pub responded: u64,
    /// Queries that ended with a rejection.
    pub rejected: u64,
    /// Queries that ended with a failure.
    pub failed: u64,
    /// Queries whose clients left before the end.
    pub abandoned: u64,
}

/// The violations of a rule in one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violations {
    /// Number of violations, at least 1.
    pub count: u64,
    /// Time of the first violation.
    pub first_at: Timestamp,
}

/// The measured value that came closest to violating a rule, or that violated it by the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClosestApproach {
    /// Measured value divided by its limit; 1 is the limit.
    pub ratio: f64,
    /// Time of the measurement.
    pub at: Timestamp,
}

#[derive(Clone, Debug)]
struct ShardRequest {
    query: usize,
    weight: f64,
    /// Number of times that it reached a node.
    arrivals: u32,
    /// Time at which a node first accepted it. From then on it may have been executed.
    accepted_at: Option<Timestamp>,
    /// Time at which a node first answered it.
    answered_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Query {
    broker: usize,
    class: usize,
    /// Whether no response is required any more, as the client has left or the broker was restarted.
    is_released: bool,
    /// Time at which the client's deadline expires.
    deadline_at: Timestamp,
    shard_requests: Range<usize>,
    ended_at: Option<Timestamp>,
}

/// Checks the rules during one run.
pub struct InvariantChecker {
    closest: BTreeMap<&'static str, ClosestApproach>,
    limits: InvariantLimits,
    shard_requests: Vec<ShardRequest>,
    queries: Vec<Query>,
    retry_windows: Vec<RetryWindow>,
    violations: BTreeMap<&'static str, Violations>,
}

/// Tolerance for rounding in sums of weights.
const WEIGHT_ROUNDING: f64 = 0.0001;

impl InvariantChecker {
    /// Returns a checker for a run with this many brokers, before its first event.
    pub fn new(limits: InvariantLimits, brokers: usize) -> InvariantChecker {
        InvariantChecker {
            closest: BTreeMap::new(),
            limits,
            shard_requests: Vec::new(),
            queries: Vec::new(),
            retry_windows: vec![RetryWindow::default(); brokers],
            violations: BTreeMap::new(),
        }
    }

    /// Returns the violations so far, by the text of the violation.
    pub fn violations(&self) -> &BTreeMap<&'static str, Violations> {
        &self.violations
    }

    /// Returns, for each rule with any measurement, the value that came closest to violating it or violated it by
    /// the most.
    pub fn closest(&self) -> &BTreeMap<&'static str, ClosestApproach> {
        &self.closest
    }

    fn record_approach(&mut self, now: Timestamp, rule: &'static str, ratio: f64) {
        let closest = self.closest.entry(rule).or_insert(ClosestApproach { ratio, at: now });
        if ratio > closest.ratio {
            *closest = ClosestApproach { ratio, at: now };
        }
    }

    fn record_violation(&mut self, now: Timestamp, rule: &'static str) {
        self.violations.entry(rule).or_insert(Violations { count: 0, first_at: now }).count += 1;
    }

    /// Records the load of a warming node; at a ratio of 1 it collapses.
    pub fn warming_node_loaded(&mut self, now: Timestamp, ratio: f64) {
        self.record_approach(now, approach::LOAD_ON_WARMING_NODE, ratio);
    }

    /// Records the collapse of a warming node.
    pub fn node_collapsed(&mut self, now: Timestamp) {
        self.record_violation(now, violation::WARMING_NODE_COLLAPSED);
    }

    /// Records a query that a client sends to a broker with this time left, and the weights of its shard requests.
    /// Returns the index of the first shard request; the others follow.
    pub fn query_sent(
        &mut self,
        now: Timestamp,
        broker: usize,
        class: usize,
        time_left: TimeSpan,
        weights: &[f64],
    ) -> ShardRequestIndex {
        let (first, query) = (self.shard_requests.len(), self.queries.len());
        let shard_request = |weight: &f64| ShardRequest {
            query,
            weight: *weight,
            arrivals: 0,
            accepted_at: None,
            answered_at: None,
        };
        self.shard_requests.extend(weights.iter().map(shard_request));
        let shard_requests = first..self.shard_requests.len();
        let accepted = 1 + shard_requests.len();
        let deadline_at = now + time_left.min(self.limits.classes[class].deadline);
        let (ended_at, is_released) = (None, false);
        self.queries.push(Query { broker, class, deadline_at, shard_requests, ended_at, is_released });
        self.retry_windows[broker].record_accepted(now, accepted);
        ShardRequestIndex(first)
    }

    /// Records a shard request that reaches a node. `sent_at` is the time at which it left its broker, or `now` if
    /// that is unknown; `published` is the node's published state.
    pub fn shard_request_arrived(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        index: ShardRequestIndex,
        published: PublishedState,
    ) {
        let slack = self.limits.slack;
        let Some(shard_request) = self.shard_requests.get_mut(index.0) else {
            return self.record_violation(now, violation::UNKNOWN_SHARD_REQUEST);
        };
        shard_request.arrivals += 1;
        let (is_retry, accepted_at) = (shard_request.arrivals > 1, shard_request.accepted_at);
        let Query { broker, class, ended_at, .. } = self.queries[shard_request.query];
        if ended_at.is_some_and(|ended_at| sent_at - ended_at > slack) {
            self.record_violation(now, violation::ATTEMPT_AFTER_RESPONSE);
        }
        if let Some(accepted_at) = accepted_at {
            self.check_repeat(now, class, accepted_at);
        }
        if published.state != EndpointState::Ready {
            self.check_grace(now, sent_at - published.at);
        }
        if is_retry {
            self.check_retry_budget(now, broker);
        }
    }

    fn check_repeat(&mut self, now: Timestamp, class: usize, accepted_at: Timestamp) {
        let ClassLimits { idempotency, dedup_window, .. } = self.limits.classes[class];
        match idempotency {
            Idempotency::AtMostOnce => {
                self.record_violation(now, violation::AT_MOST_ONCE_REPEATED);
            }
            Idempotency::IdempotencyKey if now - accepted_at > dedup_window + self.limits.slack => {
                self.record_violation(now, violation::KEY_EXPIRED);
            }
            _ => {}
        }
    }

    fn check_grace(&mut self, now: Timestamp, sent_after: TimeSpan) {
        let grace = self.limits.grace;
        self.record_approach(now, approach::TIME_SINCE_PUBLISHED, sent_after.ratio_to(grace));
        if sent_after > grace + self.limits.slack {
            self.record_violation(now, violation::ATTEMPT_PAST_GRACE);
        }
    }

    /// Checks the window that ends with this retry. Fixed windows would miss an excess that spans two of them.
    fn check_retry_budget(&mut self, now: Timestamp, broker: usize) {
        let Some(budget) = &self.limits.retry_budget else { return };
        let retry_use = self.retry_windows[broker].record_retry(now, budget, self.limits.slack);
        self.record_approach(now, approach::RETRIES_IN_WINDOW, retry_use.ratio());
        if retry_use.is_exceeded() {
            self.record_violation(now, violation::RETRY_BUDGET_EXCEEDED);
        }
    }

    /// Records that a node accepted a shard request: from now on it may have been executed.
    pub fn shard_request_accepted(&mut self, now: Timestamp, index: ShardRequestIndex) {
        if let Some(shard_request) = self.shard_requests.get_mut(index.0) {
            shard_request.accepted_at.get_or_insert(now);
        }
    }

    /// Records that a node answered a shard request.
    pub fn shard_request_answered(&mut self, now: Timestamp, index: ShardRequestIndex) {
        if let Some(shard_request) = self.shard_requests.get_mut(index.0) {
            shard_request.answered_at.get_or_insert(now);
        }
    }

    /// Records the end of a query at its client. Returns the coverage of its response (0 without a response), or
    /// `None` if the query is unknown or has ended before.
    pub fn query_ended(&mut self, now: Timestamp, query: usize, end: &QueryEnd) -> Option<f64> {
        let Some(Query { class, deadline_at, ended_at, shard_requests, .. }) = self.queries.get_mut(query)
        else {
            self.record_violation(now, violation::UNKNOWN_QUERY);
            return None;
        };
        let (class, deadline_at, shard_requests) = (*class, *deadline_at, shard_requests.clone());
        let had_ended = ended_at.is_some();
        ended_at.get_or_insert(now);
        if had_ended {
            self.record_violation(now, violation::SECOND_RESPONSE);
            return None;
        }
        let ClassLimits { deadline, min_coverage, idempotency, .. } = self.limits.classes[class];
        let time_used = 1.0 - (deadline_at - now).ratio_to(deadline);
        self.record_approach(now, approach::TIME_TO_RESPONSE, time_used);
        if now > deadline_at + self.limits.slack {
            self.record_violation(now, violation::RESPONSE_TOO_LATE);
        }
        let mut own_requests = self.shard_requests[shard_requests.clone()].iter();
        let maybe_executed = own_requests.any(|shard_request| shard_request.accepted_at.is_some());
        if idempotency == Idempotency::AtMostOnce && *end == QueryEnd::Rejected && maybe_executed {
            self.record_violation(now, violation::AT_MOST_ONCE_REJECTED);
        }
        let QueryEnd::Responded { complete, counted } = end else { return Some(0.0) };
        let coverage = self.check_counted(now, &shard_requests, counted);
        self.check_coverage(now, coverage, min_coverage, *complete);
        Some(coverage.min(1.0))
    }

    /// Checks the shard requests that a response counts. Returns its coverage.
    fn check_counted(&mut self, now: Timestamp, own: &Range<usize>, counted: &[ShardRequestIndex]) -> f64 {
        let mut distinct: Vec<ShardRequestIndex> = counted.to_vec();
        distinct.sort();
        distinct.dedup();
        if distinct.len() < counted.len() {
            self.record_violation(now, violation::COUNTED_TWICE);
        }
        let mut weight = 0.0;
        for index in distinct {
            let shard_request = self.shard_requests.get(index.0).filter(|_| own.contains(&index.0));
            match shard_request.filter(|request| request.answered_at.is_some_and(|at| at <= now)) {
                Some(shard_request) => weight += shard_request.weight,
                None => self.record_violation(now, violation::COUNTED_UNANSWERED),
            }
        }
        let total: f64 = self.shard_requests[own.clone()].iter().map(|request| request.weight).sum();
        if total > 0.0 { weight / total } else { 1.0 }
    }

    fn check_coverage(&mut self, now: Timestamp, coverage: f64, min_coverage: f64, is_complete: bool) {
        let ratio = min_coverage / coverage.max(WEIGHT_ROUNDING);
        self.record_approach(now, approach::MIN_COVERAGE, ratio);
        if coverage + WEIGHT_ROUNDING < min_coverage {
            self.record_violation(now, violation::UNDER_MIN_COVERAGE);
        }
        if is_complete && coverage + WEIGHT_ROUNDING < 1.0 {
            self.record_violation(now, violation::FALSELY_COMPLETE);
        }
    }

    /// Records that no response to a query is required any more, as its client has left or its broker was restarted.
    /// The query ends here: a running broker must not send further attempts for it.
    pub fn release_query(&mut self, now: Timestamp, query: usize) {
        if let Some(query) = self.queries.get_mut(query) {
            query.ended_at.get_or_insert(now);
            query.is_released = true;
        }
    }

    /// Returns whether [`InvariantChecker::release_query`] was called for the query.
    pub fn is_released(&self, query: usize) -> bool {
        self.queries.get(query).is_some_and(|query| query.is_released)
    }

    /// Checks that sent = responded + rejected + failed + abandoned, which holds in each run that was not stopped.
    pub fn check_conservation(&mut self, now: Timestamp, counts: &QueryCounts) {
        if counts.sent != counts.responded + counts.rejected + counts.failed + counts.abandoned {
            self.record_violation(now, violation::COUNTS_DIFFER);
        }
    }

    /// Records a violation for each query without a final response at the end of the run.
    pub fn finish(&mut self, now: Timestamp) {
        let lost = self.queries.iter().filter(|query| query.ended_at.is_none()).count();
        for _ in 0..lost {
            self.record_violation(now, violation::NO_RESPONSE);
        }
    }
}

#[cfg(test)]
mod tests;
