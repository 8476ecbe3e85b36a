//! What a broker remembers of the versions that it has accepted and withdrawn. Both memories are bounded: a
//! service may offer new numbers and contents for as long as the process runs.

use crate::persisted_state::WithdrawnVersion;
use crate::rejection::RejectionReason;
use crate::version::{Digest, VersionId};
use std::collections::BTreeMap;

/// How many accepted numbers are remembered with their digests; the lowest is forgotten first. A fork at a
/// number that was forgotten is rejected as older instead.
const MAX_ACCEPTED_NUMBERS: usize = 256;

/// How many withdrawn digests are remembered; the one with the lowest number is forgotten first, and may be
/// applied again.
const MAX_WITHDRAWN_DIGESTS: usize = 256;

/// The numbers that were accepted, each with the digest of its contents.
#[derive(Debug)]
pub(crate) struct AcceptedNumbers {
    highest: u64,
    digests: BTreeMap<u64, Digest>,
}

impl AcceptedNumbers {
    /// The memory of a broker that runs `confirmed` and had accepted numbers up to `highest` before it was
    /// restarted.
    pub fn new(confirmed: VersionId, highest: u64) -> AcceptedNumbers {
        AcceptedNumbers {
            highest: highest.max(confirmed.number),
            digests: BTreeMap::from([(confirmed.number, confirmed.digest)]),
        }
    }

    /// The highest number accepted; it never falls.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Remembers an accepted version.
    pub fn accept(&mut self, version: VersionId) {
        self.raise_highest(version.number);
        self.digests.insert(version.number, version.digest);
        while self.digests.len() > MAX_ACCEPTED_NUMBERS {
            self.digests.pop_first();
        }
    }

    /// A number that was accepted by an earlier process, whose contents are not to be compared with.
    pub fn raise_highest(&mut self, number: u64) {
        self.highest = self.highest.max(number);
    }

    /// The digest under which the version's number is known, where that is another than the version's.
    pub fn conflicting_digest(&self, version: VersionId) -> Option<Digest> {
        self.digests.get(&version.number).copied().filter(|known| *known != version.digest)
    }
}

/// Why, and under which number, contents were withdrawn.
#[derive(Clone, Debug)]
pub(crate) struct Withdrawal {
    pub number: u64,
    /// A text, as it may come from the stored state.
    pub reason: String,
}

/// The contents that failed a probation here. They are not applied again under any number, so that a broker
/// can't alternate between a version that fails and the one before it.
#[derive(Debug)]
pub(crate) struct WithdrawnContents {
    withdrawals: BTreeMap<Digest, Withdrawal>,
}

impl WithdrawnContents {
    /// What an earlier process had withdrawn.
    pub fn new(withdrawn: Vec<WithdrawnVersion>) -> WithdrawnContents {
        let withdrawals = withdrawn.into_iter().map(|WithdrawnVersion { version, reason }| {
            (version.digest, Withdrawal { number: version.number, reason })
        });
        WithdrawnContents { withdrawals: withdrawals.collect() }
    }

    /// Remembers the contents of a version as withdrawn.
    pub fn withdraw(&mut self, version: VersionId, reason: &RejectionReason) {
        if self.withdrawals.len() >= MAX_WITHDRAWN_DIGESTS {
            self.forget_lowest();
        }
        let withdrawal = Withdrawal { number: version.number, reason: reason.to_string() };
        self.withdrawals.insert(version.digest, withdrawal);
    }

    fn forget_lowest(&mut self) {
        let lowest = self.withdrawals.iter().min_by_key(|(_, withdrawal)| withdrawal.number);
        if let Some(digest) = lowest.map(|(digest, _)| *digest) {
            self.withdrawals.remove(&digest);
        }
    }

    /// Why these contents were withdrawn, if they were.
    pub fn get(&self, digest: Digest) -> Option<&Withdrawal> {
        self.withdrawals.get(&digest)
    }

    /// As it outlives the process.
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
