//! What a bucket holds.

use super::TokenBucket;
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const BURST: TimeSpan = TimeSpan(10_000);

/// A bucket of ten tokens a second, emptied at zero.
fn emptied() -> TokenBucket {
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
fn it_fills_at_its_rate_up_to_its_depth() {
    let mut bucket = emptied();
    bucket.fill(Timestamp(5_000), 10.0, BURST);
    assert!(bucket.covers(5.0, 10.0, BURST) && !bucket.covers(5.1, 10.0, BURST));
    bucket.fill(Timestamp(5_000), 10.0, BURST);
    assert!(!bucket.covers(5.1, 10.0, BURST), "the same time does not count twice");
    bucket.fill(Timestamp(900_000), 10.0, BURST);
    bucket.remove(5.0);
    assert!(!bucket.covers(5.1, 10.0, BURST), "it holds no more than a burst");
}

/// A query may have more shard requests than the bucket is deep. Without the exception it would be rejected
/// for ever; with it, it is admitted once the bucket is full, and the tokens are owed.
#[rstest]
fn a_full_bucket_covers_any_query_and_owes_the_rest() {
    let mut bucket = emptied();
    bucket.fill(Timestamp(10_000), 10.0, BURST);
    assert!(bucket.covers(30.0, 10.0, BURST));
    bucket.remove(30.0);
    bucket.fill(Timestamp(20_000), 10.0, BURST);
    assert!(!bucket.covers(1.0, 10.0, BURST), "twenty were owed, ten came");
}

/// A tenant whose share gives less than one shard request in a burst has a bucket that is one deep: of a full one, a
/// part can be taken and the rest is there.
#[rstest]
fn a_bucket_is_one_token_deep_at_least() {
    let mut bucket = TokenBucket::full(Timestamp(0));
    bucket.fill(Timestamp(0), 0.1, BURST);
    bucket.remove(0.25);
    assert!(bucket.covers(0.75, 0.1, BURST));
    assert!(!bucket.covers(1.0, 0.1, BURST));
}

#[rstest]
fn a_refill_fills_it_up_at_once() {
    let mut bucket = emptied();
    bucket.refill();
    assert!(bucket.covers(10.0, 10.0, BURST));
}
