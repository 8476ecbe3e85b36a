//! What identifies a version: its number and the digest of its contents.

use std::fmt;

/// BLAKE3 of a document's canonical bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of these canonical bytes.
    pub fn of(canonical: &[u8]) -> Digest {
        Digest(*blake3::hash(canonical).as_bytes())
    }

    /// From 64 hex digits; `None` where it is anything else.
    pub fn parse(hex: &str) -> Option<Digest> {
        blake3::Hash::from_hex(hex).ok().map(|hash| Digest(*hash.as_bytes()))
    }

    /// The first twelve digits, as logs show them.
    pub fn short(&self) -> String {
        self.to_string()[..12].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.short())
    }
}

/// One version of an installation's configuration. Number 0 is a broker's own file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionId {
    /// Given by the service; higher is newer.
    pub number: u64,
    /// Of the contents.
    pub digest: Digest,
}

impl fmt::Display for VersionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} ({})", self.number, self.digest.short())
    }
}
