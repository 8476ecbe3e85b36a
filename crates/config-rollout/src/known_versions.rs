//! Accepted and withdrawn versions that a broker remembers. Both collections are bounded, because a service may offer
//! new numbers and contents for as long as the process runs.

use crate::persisted_state::WithdrawnVersion;
use crate::rejection::RejectionReason;
use crate::version::{Digest, VersionId};
use std::collections::BTreeMap;

/// Maximum number of accepted versions that are remembered; the one with the lowest number is evicted first. A fork
/// at an evicted number is rejected as older instead.
const MAX_ACCEPTED_NUMBERS: usize = 256;

/// Maximum number of withdrawn digests that are remembered. The one with the lowest number is evicted first, and its
/// contents may be applied again.
const MAX_WITHDRAWN_DIGESTS: usize = 256;

/// The accepted numbers, each with the digest of its contents.
#[derive(Debug)]
pub(crate) struct AcceptedNumbers {
    highest: u64,
    digests: BTreeMap<u64, Digest>,
}

impl AcceptedNumbers {
    /// Creates the collection for a broker that runs `confirmed` and accepted numbers up to `highest` before a
    /// restart.
    pub fn new(confirmed: VersionId, highest: u64) -> AcceptedNumbers {
        AcceptedNumbers {
            highest: highest.max(confirmed.number),
            digests: BTreeMap::from([(confirmed.number, confirmed.digest)]),
        }
    }

    /// Returns the highest number accepted so far, which never decreases.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Records an accepted version, and evicts the lowest number if there are too many.
    pub fn accept(&mut self, version: VersionId) {
        self.raise_highest(version.number);
        self.digests.insert(version.number, version.digest);
        while self.digests.len() > MAX_ACCEPTED_NUMBERS {
            self.digests.pop_first();
        }
    }

    /// Raises the highest number without recording a digest, for a number that was accepted by an earlier process.
    pub fn raise_highest(&mut self, number: u64) {
        self.highest = self.highest.max(number);
    }

    /// Returns the digest recorded for the version's number if it differs from the version's digest.
    pub fn conflicting_digest(&self, version: VersionId) -> Option<Digest> {
        self.digests.get(&version.number).copied().filter(|known| *known != version.digest)
    }
}

/// The reason and the number with which contents were withdrawn.
#[derive(Clone, Debug)]
pub(crate) struct Withdrawal {
    pub number: u64,
    /// Kept as text because it may come from the persisted state.
    pub reason: String,
}

/// Contents that failed a probation on this broker. They are not applied again under any number, so that a broker
/// cannot alternate between a failing version and its predecessor.
#[derive(Debug)]
pub(crate) struct WithdrawnContents {
    withdrawals: BTreeMap<Digest, Withdrawal>,
}

impl WithdrawnContents {
    /// Restores the versions that an earlier process had withdrawn.
    pub fn new(withdrawn: Vec<WithdrawnVersion>) -> WithdrawnContents {
        let withdrawals = withdrawn.into_iter().map(|WithdrawnVersion { version, reason }| {
            (version.digest, Withdrawal { number: version.number, reason })
        });
        WithdrawnContents { withdrawals: withdrawals.collect() }
    }

    /// Records the contents of a version as withdrawn.
    pub fn withdraw(&mut self, version: VersionId, reason: &RejectionReason) {
        if self.withdrawals.len() >= MAX_WITHDRAWN_DIGESTS {
            self.evict_lowest();
        }
        let withdrawal = Withdrawal { number: version.number, reason: reason.to_string() };
        self.withdrawals.insert(version.digest, withdrawal);
    }

    fn evict_lowest(&mut self) {
        let lowest = self.withdrawals.iter().min_by_key(|(_, withdrawal)| withdrawal.number);
        if let Some(digest) = lowest.map(|(digest, _)| *digest) {
            self.withdrawals.remove(&digest);
        }
    }

    /// Returns the withdrawal of these contents, or `None` if they were not withdrawn.
    pub fn get(&self, digest: Digest) -> Option<&Withdrawal> {
        self.withdrawals.get(&digest)
    }

    /// Converts the withdrawals to the form in which they are persisted.
    pub fn to_persisted(&self) -> Vec<WithdrawnVersion> {
        let to_version = |(digest, withdrawal): (&Digest, &Withdrawal)| WithdrawnVersion {
            version: VersionId { number: withdrawal.number, digest: *digest },
            reason: withdrawal.reason.clone(),
        };
        self.withdrawals.iter().map(to_version).collect()
    }
}

#[cfg(test)]
mod tests;
