//! The texts under which rules are reported, by the number of the rule. Tools read the number, people the rest.

/// How near a rule came to its limit: what is divided, and by what.
pub mod approach {
    /// See [`super::violation::RESPONSE_TOO_LATE`].
    pub const TIME_TO_RESPONSE: &str = "1: time to the final response / the client's time";
    /// See [`super::violation::ATTEMPT_PAST_GRACE`].
    pub const TIME_SINCE_PUBLISHED: &str =
        "3: time from a node's published end to an attempt / the grace period";
    /// See [`super::violation::WARMING_NODE_COLLAPSED`].
    pub const LOAD_ON_WARMING_NODE: &str = "4: load on a warming node / its collapse threshold";
    /// See [`super::violation::UNDER_MIN_COVERAGE`].
    pub const MIN_COVERAGE: &str = "5: the minimum coverage / a response's coverage";
    /// See [`super::violation::RETRY_BUDGET_EXCEEDED`].
    pub const RETRIES_IN_WINDOW: &str = "6: retries in a window / the retry budget";
}

/// What broke a rule.
pub mod violation {
    /// A node received a shard request that no client sent.
    pub const UNKNOWN_SHARD_REQUEST: &str = "1: a shard request of no query";
    /// An attempt left its broker after the query's final response.
    pub const ATTEMPT_AFTER_RESPONSE: &str = "1: an attempt after the final response";
    /// A client got a response to a query that it did not send.
    pub const UNKNOWN_QUERY: &str = "1: a final response to no query";
    /// A client got two final responses to one query.
    pub const SECOND_RESPONSE: &str = "1: a second final response";
    /// A final response came past the query's deadline.
    pub const RESPONSE_TOO_LATE: &str = "1: a final response past the client's time";
    /// Queries sent are not the sum of those responded to, rejected, failed and abandoned.
    pub const COUNTS_DIFFER: &str = "1: queries sent and queries ended differ in number";
    /// The day is over, and a query has no final response.
    pub const NO_RESPONSE: &str = "1: no final response";
    /// A second attempt at what must not be executed twice.
    pub const AT_MOST_ONCE_REPEATED: &str =
        "2: at-most-once, attempted again though it may have been executed";
    /// A second attempt after nodes have forgotten the idempotency key.
    pub const KEY_EXPIRED: &str = "2: idempotency key, attempted again outside its window";
    /// A rejection allows the client to send the query again, which would execute it twice.
    pub const AT_MOST_ONCE_REJECTED: &str = "2: at-most-once, rejected though it may have been executed";
    /// An attempt left its broker too long after discovery published that its node drains or is removed.
    pub const ATTEMPT_PAST_GRACE: &str = "3: an attempt past the grace period at a draining or removed node";
    /// Brokers together sent more to a warming node than it bears.
    pub const WARMING_NODE_COLLAPSED: &str = "4: a warming node collapsed";
    /// A response counts a shard request twice.
    pub const COUNTED_TWICE: &str = "5: a shard request counted twice";
    /// A response counts a shard request that no node has answered.
    pub const COUNTED_UNANSWERED: &str = "5: a shard request counted that no node answered";
    /// A response covers less than its class allows.
    pub const UNDER_MIN_COVERAGE: &str = "5: a response under the minimum coverage";
    /// A response is called complete and covers less.
    pub const FALSELY_COMPLETE: &str = "5: a response called complete that is not";
    /// Attempts beyond the first of their shard requests, retries and hedges.
    pub const RETRY_BUDGET_EXCEEDED: &str = "6: more retries in a window than the retry budget allows";
}
