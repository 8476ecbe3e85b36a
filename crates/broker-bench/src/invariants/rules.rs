//! The texts under which reports list the rules. Tools read the leading number of the rule only.

/// Ratios that show how close a rule came to its limit.
pub mod approach {
    /// Time used of the deadline; its limit is [`super::violation::RESPONSE_TOO_LATE`].
    pub const TIME_TO_RESPONSE: &str = "1: time to the final response / the client's time";
    /// Time used of the grace period; its limit is [`super::violation::ATTEMPT_PAST_GRACE`].
    pub const TIME_SINCE_PUBLISHED: &str =
        "3: time from a node's published end to an attempt / the grace period";
    /// Load on a warming node; its limit is [`super::violation::WARMING_NODE_COLLAPSED`].
    pub const LOAD_ON_WARMING_NODE: &str = "4: load on a warming node / its collapse threshold";
    /// Minimum coverage divided by the coverage; its limit is [`super::violation::UNDER_MIN_COVERAGE`].
    pub const MIN_COVERAGE: &str = "5: the minimum coverage / a response's coverage";
    /// Retries divided by the budget; its limit is [`super::violation::RETRY_BUDGET_EXCEEDED`].
    pub const RETRIES_IN_WINDOW: &str = "6: retries in a window / the retry budget";
}

/// Ways in which a rule is broken.
pub mod violation {
    /// A node received a shard request that no client sent.
    pub const UNKNOWN_SHARD_REQUEST: &str = "1: a shard request of no query";
    /// A broker sent an attempt after the query's final response.
    pub const ATTEMPT_AFTER_RESPONSE: &str = "1: an attempt after the final response";
    /// A client got a response to a query that it did not send.
    pub const UNKNOWN_QUERY: &str = "1: a final response to no query";
    /// A client got two final responses to one query.
    pub const SECOND_RESPONSE: &str = "1: a second final response";
    /// A final response came past the query's deadline.
    pub const RESPONSE_TOO_LATE: &str = "1: a final response past the client's time";
    /// The queries sent are not the sum of those responded to, rejected, failed and abandoned.
    pub const COUNTS_DIFFER: &str = "1: queries sent and queries ended differ in number";
    /// A query has no final response at the end of the run.
    pub const NO_RESPONSE: &str = "1: no final response";
    /// An at-most-once shard request reached a node again after it may have been executed.
    pub const AT_MOST_ONCE_REPEATED: &str =
        "2: at-most-once, attempted again though it may have been executed";
    /// A shard request reached a node again after the deduplication window of its idempotency key.
    pub const KEY_EXPIRED: &str = "2: idempotency key, attempted again outside its window";
    /// An at-most-once query was rejected after it may have been executed. A rejection allows the client to send it
    /// again, which would execute it twice.
    pub const AT_MOST_ONCE_REJECTED: &str = "2: at-most-once, rejected though it may have been executed";
    /// A broker sent an attempt past the grace period after its node was published as draining or removed.
    pub const ATTEMPT_PAST_GRACE: &str = "3: an attempt past the grace period at a draining or removed node";
    /// All brokers together sent more load to a warming node than its collapse threshold.
    pub const WARMING_NODE_COLLAPSED: &str = "4: a warming node collapsed";
    /// A response counts a shard request twice.
    pub const COUNTED_TWICE: &str = "5: a shard request counted twice";
    /// A response counts a shard request that no node has answered.
    pub const COUNTED_UNANSWERED: &str = "5: a shard request counted that no node answered";
    /// A response covers less than its class allows.
    pub const UNDER_MIN_COVERAGE: &str = "5: a response under the minimum coverage";
    /// A response is marked as complete and does not cover the whole weight.
    pub const FALSELY_COMPLETE: &str = "5: a response called complete that is not";
    /// A broker sent more retries and hedges, all attempts beyond a shard request's first, than the budget allows.
    pub const RETRY_BUDGET_EXCEEDED: &str = "6: more retries in a window than the retry budget allows";
}
