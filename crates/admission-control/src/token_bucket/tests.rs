//! Tests of filling and emptying token buckets.

use super::TokenBucket;
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const BURST: TimeSpan = TimeSpan(10_000);

/// Returns an empty bucket, which is filled at ten tokens per second.
fn empty_bucket() -> TokenBucket {
    let mut bucket = TokenBucket::full(Timestamp(0));
    bucket.fill(Timestamp(0), 10.0, BURST);
    bucket.remove(10.0);
    bucket
}

#[rstest]
fn a_full_bucket_holds_a_burst_of_its_rate() {
    let mut bucket = TokenBucket::full(Timestamp(0));
    bucket.fill(Timestamp(0), 10.0, BURST);
    assert!(bucket.covers(10.0, 10.0, BURST));
    bucket.remove(0.5);
    assert!(!bucket.covers(10.0, 10.0, BURST));
    assert!(bucket.covers(9.5, 10.0, BURST));
}

#[rstest]
fn a_bucket_fills_at_its_rate_up_to_its_depth() {
    let mut bucket = empty_bucket();
    bucket.fill(Timestamp(5_000), 10.0, BURST);
    assert!(bucket.covers(5.0, 10.0, BURST) && !bucket.covers(5.1, 10.0, BURST));
    bucket.fill(Timestamp(5_000), 10.0, BURST);
    assert!(!bucket.covers(5.1, 10.0, BURST), "the same time yields tokens only once");
    bucket.fill(Timestamp(900_000), 10.0, BURST);
    bucket.remove(5.0);
    assert!(!bucket.covers(5.1, 10.0, BURST), "the bucket has at most the tokens of one burst");
}

/// A query may have more shard requests than the depth of the bucket. It would always be rejected if a full bucket
/// did not cover it. Once it is admitted, the number of tokens is negative.
#[rstest]
fn a_full_bucket_covers_any_query_and_may_become_negative() {
    let mut bucket = empty_bucket();
    bucket.fill(Timestamp(10_000), 10.0, BURST);
    assert!(bucket.covers(30.0, 10.0, BURST));
    bucket.remove(30.0);
    bucket.fill(Timestamp(20_000), 10.0, BURST);
    assert!(!bucket.covers(1.0, 10.0, BURST), "ten tokens were added to minus twenty");
}

/// A tenant whose share yields less than one token per burst has a bucket with a depth of one token: after a part of
/// it is removed from a full bucket, the rest remains.
#[rstest]
fn the_depth_is_at_least_one_token() {
    let mut bucket = TokenBucket::full(Timestamp(0));
    bucket.fill(Timestamp(0), 0.1, BURST);
    bucket.remove(0.25);
    assert!(bucket.covers(0.75, 0.1, BURST));
    assert!(!bucket.covers(1.0, 0.1, BURST));
}

#[rstest]
fn a_refill_fills_the_bucket_immediately() {
    let mut bucket = empty_bucket();
    bucket.refill();
    assert!(bucket.covers(10.0, 10.0, BURST));
}
