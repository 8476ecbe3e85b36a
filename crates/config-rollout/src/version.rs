//! Version identifiers: a number and a digest of the contents.

use std::fmt;

/// BLAKE3 digest of the canonical bytes of a document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of canonical bytes.
    pub fn of(canonical: &[u8]) -> Digest {
        Digest(*blake3::hash(canonical).as_bytes())
    }

    /// Parses 64 hexadecimal digits. Returns `None` for any other input.
    pub fn parse(hex: &str) -> Option<Digest> {
        blake3::Hash::from_hex(hex).ok().map(|hash| Digest(*hash.as_bytes()))
    }

    /// Returns the first twelve hexadecimal digits, for logs and messages.
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

/// Identifier of one version of an installation's configuration. Number 0 stands for the broker's own file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionId {
    /// Number assigned by the service; a higher number is newer.
    pub number: u64,
    /// Digest of the contents.
    pub digest: Digest,
}

impl fmt::Display for VersionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} ({})", self.number, self.digest.short())
    }
}
