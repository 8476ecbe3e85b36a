//! The six rules of the service, checked by what clients and nodes got, never by what a broker says. No I/O:
//! whoever plays a day (in virtual time, or on sockets) reports what happened and when.
//!
//! | rule | what is checked |
//! | --- | --- |
//! | 1 | final responses as they reach clients, and shard requests that reach nodes after them |
//! | 2 | shard requests that reach nodes again after one of them may have been executed; rejections of such |
//! | 3 | shard requests that reach a node past the grace period after discovery published its end |
//! | 4 | warming nodes that collapsed |
//! | 5 | responses compared with what nodes answered for them |
//! | 6 | shard requests that reach nodes again, in any window, compared with what was sent in it |

mod retry_window;
mod rules;

use retry_window::RetryWindow;
use routing::{EndpointState, Idempotency, RetryBudget, TimeSpan, Timestamp};
use rules::{approach, violation};
use std::collections::BTreeMap;
use std::ops::Range;

/// What the rules allow for one class.
#[derive(Clone, Debug)]
pub struct ClassLimits {
    /// The longest time from a query to its final response.
    pub deadline: TimeSpan,
    /// The least share of a query's weight that a response may cover.
    pub min_coverage: f64,
    /// What a second execution of a shard request would do.
    pub idempotency: Idempotency,
    /// How long nodes drop a repeat under one idempotency key.
    pub dedup_window: TimeSpan,
}

/// What the rules allow.
#[derive(Clone, Debug)]
pub struct InvariantLimits {
    /// By class.
    pub classes: Vec<ClassLimits>,
    /// None: any number of retries is allowed.
    pub retry_budget: Option<RetryBudget>,
    /// How long a shard request may still be sent to a node whose end was published.
    pub grace: TimeSpan,
    /// How much later than it was done something may be observed.
    pub slack: TimeSpan,
}

/// A shard request, counted up over all queries of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardRequestIndex(pub usize);

/// What discovery published last of a node, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedState {
    /// The published state.
    pub state: EndpointState,
    /// When it was published.
    pub at: Timestamp,
}

/// How a query ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryEnd {
    /// With a response that counts these shard requests.
    Responded {
        /// The response says that it is complete.
        complete: bool,
        /// The shard requests whose answers are in it.
        counted: Vec<ShardRequestIndex>,
    },
    /// Without a response; the client may send it again.
    Rejected,
    /// Without a response; it may have been executed.
    Failed,
}

/// How many queries ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryCounts {
    /// All queries.
    pub sent: u64,
    /// Those that ended with a response.
    pub responded: u64,
    /// Those that were rejected.
    pub rejected: u64,
    /// Those that failed.
    pub failed: u64,
    /// Clients that left before the end.
    pub abandoned: u64,
}

/// How often a rule was broken in one way, and when first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violations {
    /// How often.
    pub count: u64,
    /// The time of the first.
    pub first_at: Timestamp,
}

/// How near a rule came to its limit: 1 is the limit; and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClosestApproach {
    /// What was measured, divided by the limit.
    pub ratio: f64,
    /// When that was.
    pub at: Timestamp,
}

#[derive(Clone, Debug)]
struct ShardRequest {
    query: usize,
    weight: f64,
    /// How often it reached a node.
    arrivals: u32,
    /// When a node first accepted it, so that it may have been executed.
    accepted_at: Option<Timestamp>,
    /// When a node first answered it.
    answered_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Query {
    broker: usize,
    class: usize,
    /// No broker owes it a response any more: its client has left, or its broker was restarted.
    is_released: bool,
    /// When its client's time is over.
    until: Timestamp,
    shard_requests: Range<usize>,
    ended_at: Option<Timestamp>,
}

/// Checks the rules.
pub struct InvariantChecker {
    closest: BTreeMap<&'static str, ClosestApproach>,
    limits: InvariantLimits,
    shard_requests: Vec<ShardRequest>,
    queries: Vec<Query>,
    retry_windows: Vec<RetryWindow>,
    violations: BTreeMap<&'static str, Violations>,
}

/// How much the weights of a query may differ from 1 in sum, by rounding.
const WEIGHT_ROUNDING: f64 = 0.0001;

impl InvariantChecker {
    /// A checker of a day with this many brokers, in which nothing has happened.
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

    /// The broken rules.
    pub fn violations(&self) -> &BTreeMap<&'static str, Violations> {
        &self.violations
    }

    /// How near each rule came to its limit, where anything came near it at all.
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

    /// A warming node has this share of the work that makes it collapse.
    pub fn warming_node_loaded(&mut self, now: Timestamp, ratio: f64) {
        self.record_approach(now, approach::LOAD_ON_WARMING_NODE, ratio);
    }

    /// A warming node collapsed.
    pub fn node_collapsed(&mut self, now: Timestamp) {
        self.record_violation(now, violation::WARMING_NODE_COLLAPSED);
    }

    /// A query is sent to a broker; returns its first shard request, the others follow. `time_left` is its
    /// client's.
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
        let until = now + time_left.min(self.limits.classes[class].deadline);
        let (ended_at, is_released) = (None, false);
        self.queries.push(Query { broker, class, until, shard_requests, ended_at, is_released });
        self.retry_windows[broker].record_accepted(now, accepted);
        ShardRequestIndex(first)
    }

    /// A shard request reaches a node. `sent_at`: when it left its broker, where that is known.
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

    /// Each retry ends a window. A check only at the ends of fixed windows would miss those that lie across
    /// two.
    fn check_retry_budget(&mut self, now: Timestamp, broker: usize) {
        let Some(budget) = &self.limits.retry_budget else { return };
        let retry_use = self.retry_windows[broker].record_retry(now, budget, self.limits.slack);
        self.record_approach(now, approach::RETRIES_IN_WINDOW, retry_use.ratio());
        if retry_use.is_exceeded() {
            self.record_violation(now, violation::RETRY_BUDGET_EXCEEDED);
        }
    }

    /// A node accepted a shard request: from now on it may have been executed.
    pub fn shard_request_accepted(&mut self, now: Timestamp, index: ShardRequestIndex) {
        if let Some(shard_request) = self.shard_requests.get_mut(index.0) {
            shard_request.accepted_at.get_or_insert(now);
        }
    }

    /// A node answered a shard request.
    pub fn shard_request_answered(&mut self, now: Timestamp, index: ShardRequestIndex) {
        if let Some(shard_request) = self.shard_requests.get_mut(index.0) {
            shard_request.answered_at.get_or_insert(now);
        }
    }

    /// A query's end reaches its client; returns the weight that its response has. None: it had ended before.
    pub fn query_ended(&mut self, now: Timestamp, query: usize, end: &QueryEnd) -> Option<f64> {
        let Some(Query { class, until, ended_at, shard_requests, .. }) = self.queries.get_mut(query) else {
            self.record_violation(now, violation::UNKNOWN_QUERY);
            return None;
        };
        let (class, until, shard_requests) = (*class, *until, shard_requests.clone());
        let had_ended = ended_at.is_some();
        ended_at.get_or_insert(now);
        if had_ended {
            self.record_violation(now, violation::SECOND_RESPONSE);
            return None;
        }
        let ClassLimits { deadline, min_coverage, idempotency, .. } = self.limits.classes[class];
        let time_used = 1.0 - (until - now).ratio_to(deadline);
        self.record_approach(now, approach::TIME_TO_RESPONSE, time_used);
        if now > until + self.limits.slack {
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

    /// The share of the query's weight that a response has.
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

    /// A query's client has left, or its broker was restarted: nobody owes it a response. A broker that lives
    /// on may send nothing more of it.
    pub fn release_query(&mut self, now: Timestamp, query: usize) {
        if let Some(query) = self.queries.get_mut(query) {
            query.ended_at.get_or_insert(now);
            query.is_released = true;
        }
    }

    /// Whether nobody owes a query's client a response any more.
    pub fn is_released(&self, query: usize) -> bool {
        self.queries.get(query).is_some_and(|query| query.is_released)
    }

    /// Sent = responded + rejected + failed + abandoned, in each day that was played to its end.
    pub fn check_conservation(&mut self, now: Timestamp, counts: &QueryCounts) {
        if counts.sent != counts.responded + counts.rejected + counts.failed + counts.abandoned {
            self.record_violation(now, violation::COUNTS_DIFFER);
        }
    }

    /// The day is over: a query without a final response by now has none.
    pub fn finish(&mut self, now: Timestamp) {
        let lost = self.queries.iter().filter(|query| query.ended_at.is_none()).count();
        for _ in 0..lost {
            self.record_violation(now, violation::NO_RESPONSE);
        }
    }
}

#[cfg(test)]
mod tests;
