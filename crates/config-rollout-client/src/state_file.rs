//! State file with the last confirmed version and the other state that must survive a restart.
//!
//! The file is replaced atomically by writing and syncing a temporary file, renaming it, and syncing the directory,
//! so that a crash at any time leaves either the old file or the new one. The first line identifies the format and
//! the second is the hexadecimal BLAKE3 checksum of the remainder, which is a [`StoredState`] encoded as a protobuf
//! message. A file that is corrupt or has another format is reported as an error and is never used as a version.

use crate::wire::Version;
use config_rollout::{Digest, PersistedState, ProbationAttempt, VersionId, WithdrawnVersion};
use prost::Message;
use std::cmp::Reverse;
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// First line of a state file. It is the same as in files of earlier releases, which must remain readable.
const FORMAT_LINE: &[u8] = b"barleydrum kept version, form 1\n";
/// Maximum size of the file in bytes in addition to the document.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;
/// Number of hexadecimal digits of the checksum in the second line.
const CHECKSUM_DIGITS: usize = 64;
/// Maximum number of withdrawn versions that are stored; those with the highest numbers are kept.
const MAX_WITHDRAWN: usize = 32;
/// Maximum number of characters stored of each withdrawal reason.
const MAX_REASON_CHARS: usize = 500;

/// The contents of a state file.
#[derive(Clone, PartialEq, Message)]
pub struct StoredState {
    /// The last confirmed version, or `None` if it is the broker's own file.
    #[prost(message, optional, tag = "1")]
    pub version: Option<Version>,
    /// The highest number accepted so far.
    #[prost(uint64, tag = "2")]
    pub highest_accepted: u64,
    /// Withdrawn versions in descending order of their numbers.
    #[prost(message, repeated, tag = "3")]
    pub withdrawn: Vec<StoredVersionId>,
    /// The version that was on probation when the state was stored, or `None` if there was none.
    #[prost(message, optional, tag = "4")]
    pub on_probation: Option<StoredVersionId>,
    /// The number of processes that applied the version on probation and ended before its probation.
    #[prost(uint32, tag = "5")]
    pub unfinished_runs: u32,
}

/// The number and digest of a version, without its contents.
#[derive(Clone, PartialEq, Message)]
pub struct StoredVersionId {
    /// The number of the version.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The BLAKE3 digest of the contents, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The reason for the withdrawal, or empty if the version was not withdrawn.
    #[prost(string, tag = "3")]
    pub reason: String,
}

impl StoredVersionId {
    fn new(version: VersionId, reason: &str) -> StoredVersionId {
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        StoredVersionId { number: version.number, digest: version.digest.0.to_vec(), reason }
    }

    fn version_id(&self) -> Option<VersionId> {
        let digest = Digest(<[u8; 32]>::try_from(&self.digest[..]).ok()?);
        Some(VersionId { number: self.number, digest })
    }
}

impl StoredState {
    /// Creates the state to store. `version` is the confirmed version, or `None` if that is the broker's own file.
    pub fn new(persisted: &PersistedState, version: Option<Version>) -> StoredState {
        let mut withdrawn: Vec<&WithdrawnVersion> = persisted.withdrawn.iter().collect();
        withdrawn.sort_by_key(|withdrawn| Reverse(withdrawn.version.number));
        withdrawn.truncate(MAX_WITHDRAWN);
        let to_stored =
            |withdrawn: &WithdrawnVersion| StoredVersionId::new(withdrawn.version, &withdrawn.reason);
        let attempt = persisted.probation_attempt;
        StoredState {
            version,
            highest_accepted: persisted.highest_accepted,
            withdrawn: withdrawn.into_iter().map(to_stored).collect(),
            on_probation: attempt.map(|attempt| StoredVersionId::new(attempt.version, "")),
            unfinished_runs: attempt.map_or(0, |attempt| attempt.unfinished_runs),
        }
    }

    /// Converts the state to the one from which the controller starts. `confirmed` is the version that the broker
    /// runs at startup.
    pub fn to_persisted(&self, confirmed: VersionId) -> PersistedState {
        let to_withdrawn = |stored: &StoredVersionId| {
            Some(WithdrawnVersion { version: stored.version_id()?, reason: stored.reason.clone() })
        };
        let unfinished_runs = self.unfinished_runs;
        let on_probation = self.on_probation.as_ref().and_then(StoredVersionId::version_id);
        PersistedState {
            confirmed,
            highest_accepted: self.highest_accepted,
            withdrawn: self.withdrawn.iter().filter_map(to_withdrawn).collect(),
            probation_attempt: on_probation.map(|version| ProbationAttempt { version, unfinished_runs }),
        }
    }
}

/// The reason why a state file is not used. The path of the file precedes the message in the log.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// The file does not exist.
    #[error("file not found")]
    NotFound,
    /// The file cannot be read.
    #[error("failed to read the file: {0}")]
    Io(#[source] io::Error),
    /// The first line is not that of a state file.
    #[error("unknown format: expected `barleydrum kept version, form 1` as the first line")]
    UnknownFormat,
    /// The file has the format of a state file but differs from what was written.
    #[error("the file is corrupt: {0}")]
    Corrupt(#[source] Corruption),
}

/// The kind of damage found in a state file.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Corruption {
    /// The file is empty.
    #[error("it is empty")]
    Empty,
    /// The file ends within its first two lines.
    #[error("it ends within its first two lines, the format and the checksum")]
    Truncated,
    /// The file exceeds the maximum size of a state file.
    #[error("it exceeds the maximum size of a state file")]
    TooLong,
    /// The checksum does not match the contents.
    #[error("the checksum on its second line does not match the contents")]
    Checksum,
    /// The checksum matches, but the contents cannot be decoded.
    #[error("the checksum matches, but the contents are not the Protobuf message of a stored state")]
    Undecodable,
}

impl From<Corruption> for StateFileError {
    fn from(corruption: Corruption) -> StateFileError {
        StateFileError::Corrupt(corruption)
    }
}

/// Writes the state to a temporary file in the same directory, syncs it, renames it over the file, and syncs the
/// directory.
///
/// # Errors
/// Returns the error of the first step that fails. The old file remains in place unless only the last sync failed.
/// The temporary file is removed.
pub fn write(path: &Path, state: &StoredState) -> io::Result<()> {
    let directory =
        path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let temp_path = temp_path_of(path);
    write_temp_file(&temp_path, state)
        .and_then(|()| std::fs::rename(&temp_path, path))
        .inspect_err(|_| _ = std::fs::remove_file(&temp_path))?;
    File::open(directory)?.sync_all()
}

/// Returns the path of the temporary file. The name is always the same, so that a temporary file left by a killed
/// process is replaced by the next write.
fn temp_path_of(path: &Path) -> PathBuf {
    let name = path.file_name().unwrap_or_default();
    let mut temp_path = OsString::from(".kept-");
    temp_path.push(name);
    path.with_file_name(temp_path)
}

fn write_temp_file(temp_path: &Path, state: &StoredState) -> io::Result<()> {
    let body = state.encode_to_vec();
    let mut file = File::create(temp_path)?;
    file.write_all(FORMAT_LINE)?;
    writeln!(file, "{}", blake3::hash(&body).to_hex())?;
    file.write_all(&body)?;
    file.sync_all()
}

/// Reads a state file. `max_document_bytes` is the maximum size of the document in it.
///
/// # Errors
/// Returns an error if the file does not exist, cannot be read, or differs from what a broker writes.
pub fn read(path: &Path, max_document_bytes: usize) -> Result<StoredState, StateFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(StateFileError::NotFound),
        Err(error) => return Err(StateFileError::Io(error)),
    };
    let max_bytes = (max_document_bytes + MAX_OVERHEAD_BYTES) as u64;
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(StateFileError::Io)?;
    if bytes.len() as u64 > max_bytes {
        return Err(Corruption::TooLong.into());
    }
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Result<StoredState, StateFileError> {
    if bytes.is_empty() {
        return Err(Corruption::Empty.into());
    }
    let Some(rest) = bytes.strip_prefix(FORMAT_LINE) else {
        let is_truncated = FORMAT_LINE.starts_with(bytes);
        return Err(if is_truncated { Corruption::Truncated.into() } else { StateFileError::UnknownFormat });
    };
    let (checksum, body) = rest.split_at_checked(CHECKSUM_DIGITS + 1).ok_or(Corruption::Truncated)?;
    let expected = blake3::hash(body).to_hex();
    if checksum[..CHECKSUM_DIGITS] != *expected.as_bytes() || checksum[CHECKSUM_DIGITS] != b'\n' {
        return Err(Corruption::Checksum.into());
    }
    StoredState::decode(body).map_err(|_| Corruption::Undecodable.into())
}

#[cfg(test)]
mod tests;
