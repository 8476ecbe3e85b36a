//! The last confirmed version, and what else must outlive the process, in one file.
//!
//! The file is replaced as a whole (draft, sync, rename, sync of the folder), so that a crash at any moment
//! leaves the old file or the new one. It begins with a line that names its format, then a line with the
//! BLAKE3 checksum of the rest, in hex, then the rest: a [`StoredState`] as a protobuf message. A corrupt or
//! foreign file is reported as such, and never taken for a version.

use crate::wire::Version;
use config_rollout::{Digest, PersistedState, ProbationAttempt, VersionId, WithdrawnVersion};
use prost::Message;
use std::cmp::Reverse;
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first line of such a file. Files of earlier releases have it, so it stays.
const MARK: &[u8] = b"barleydrum kept version, form 1\n";
/// Bytes that the file may have beside the document.
const MAX_BYTES_BESIDE_DOCUMENT: usize = 64 * 1024;
/// Hex digits of the checksum in the second line.
const CHECKSUM_DIGITS: usize = 64;
/// How many withdrawn versions are stored: those with the highest numbers.
const MAX_WITHDRAWN: usize = 32;
/// How many characters of the reason of each are stored.
const MAX_REASON_CHARS: usize = 500;

/// The contents of the file.
#[derive(Clone, PartialEq, Message)]
pub struct StoredState {
    /// The last confirmed version; `None`: the broker's own file.
    #[prost(message, optional, tag = "1")]
    pub version: Option<Version>,
    /// The highest number accepted.
    #[prost(uint64, tag = "2")]
    pub highest: u64,
    /// Withdrawn versions, the newest first.
    #[prost(message, repeated, tag = "3")]
    pub withdrawn: Vec<StoredVersionId>,
    /// The version that was on probation when the state was stored, if there was one.
    #[prost(message, optional, tag = "4")]
    pub on_probation: Option<StoredVersionId>,
    /// How often that was applied by a process that ended before its probation did.
    #[prost(uint32, tag = "5")]
    pub unfinished_runs: u32,
}

/// A version without its contents.
#[derive(Clone, PartialEq, Message)]
pub struct StoredVersionId {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its digest, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// Why it was withdrawn, if it was.
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
    /// The state to store, with the confirmed version if that is not the broker's own file.
    pub fn new(persisted: &PersistedState, version: Option<Version>) -> StoredState {
        let mut withdrawn: Vec<&WithdrawnVersion> = persisted.withdrawn.iter().collect();
        withdrawn.sort_by_key(|withdrawn| Reverse(withdrawn.version.number));
        withdrawn.truncate(MAX_WITHDRAWN);
        let to_stored =
            |withdrawn: &WithdrawnVersion| StoredVersionId::new(withdrawn.version, &withdrawn.reason);
        let attempt = persisted.probation_attempt;
        StoredState {
            version,
            highest: persisted.highest_accepted,
            withdrawn: withdrawn.into_iter().map(to_stored).collect(),
            on_probation: attempt.map(|attempt| StoredVersionId::new(attempt.version, "")),
            unfinished_runs: attempt.map_or(0, |attempt| attempt.unfinished_runs),
        }
    }

    /// What the controller starts from, with the version that the broker goes on with.
    pub fn to_persisted(&self, confirmed: VersionId) -> PersistedState {
        let to_withdrawn = |stored: &StoredVersionId| {
            Some(WithdrawnVersion { version: stored.version_id()?, reason: stored.reason.clone() })
        };
        let unfinished_runs = self.unfinished_runs;
        let on_probation = self.on_probation.as_ref().and_then(StoredVersionId::version_id);
        PersistedState {
            confirmed,
            highest_accepted: self.highest,
            withdrawn: self.withdrawn.iter().filter_map(to_withdrawn).collect(),
            probation_attempt: on_probation.map(|version| ProbationAttempt { version, unfinished_runs }),
        }
    }
}

/// Why a state file is not used. The texts follow the file's path.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// There is no file.
    #[error("there is no such file")]
    Absent,
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Io(#[source] io::Error),
    /// The file is of another kind.
    #[error("not a state file of a broker")]
    Foreign,
    /// The file is of this kind, but not as it was written.
    #[error("corrupt: {0}")]
    Corrupt(#[source] Corruption),
}

/// What shows that a file is not as it was written.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Corruption {
    /// It has no bytes.
    #[error("the file is empty")]
    Empty,
    /// It ends within its first two lines.
    #[error("the file ends early")]
    Truncated,
    /// It is longer than any that would have been written.
    #[error("the file is longer than a stored version may be")]
    TooLong,
    /// The checksum does not match.
    #[error("the checksum does not match the contents")]
    Checksum,
    /// The checksum matches, but the contents can't be decoded.
    #[error("the contents can't be decoded")]
    Contents,
}

impl From<Corruption> for StateFileError {
    fn from(corruption: Corruption) -> StateFileError {
        StateFileError::Corrupt(corruption)
    }
}

/// Writes the state to a draft beside the file, syncs it, renames it over the file, and syncs the folder.
///
/// # Errors
/// Any step that fails; the file is then the old one, unless only the last sync failed. The draft is removed.
pub fn write(path: &Path, state: &StoredState) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let draft = draft_of(path);
    write_draft(&draft, state)
        .and_then(|()| std::fs::rename(&draft, path))
        .inspect_err(|_| _ = std::fs::remove_file(&draft))?;
    File::open(folder)?.sync_all()
}

/// The draft of a file. Its name is always the same, so that what a killed process has left of it is replaced
/// by the next write.
fn draft_of(path: &Path) -> PathBuf {
    let name = path.file_name().unwrap_or_default();
    let mut draft = OsString::from(".kept-");
    draft.push(name);
    path.with_file_name(draft)
}

fn write_draft(draft: &Path, state: &StoredState) -> io::Result<()> {
    let body = state.encode_to_vec();
    let mut file = File::create(draft)?;
    file.write_all(MARK)?;
    writeln!(file, "{}", blake3::hash(&body).to_hex())?;
    file.write_all(&body)?;
    file.sync_all()
}

/// Reads the file; `max_document_bytes` bounds the document, and with some room for the rest the file.
///
/// # Errors
/// There is no file, it can't be read, or it is not as a broker has written it.
pub fn read(path: &Path, max_document_bytes: usize) -> Result<StoredState, StateFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(StateFileError::Absent),
        Err(error) => return Err(StateFileError::Io(error)),
    };
    let max_bytes = (max_document_bytes + MAX_BYTES_BESIDE_DOCUMENT) as u64;
    let mut text = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut text).map_err(StateFileError::Io)?;
    if text.len() as u64 > max_bytes {
        return Err(Corruption::TooLong.into());
    }
    parse(&text)
}

fn parse(text: &[u8]) -> Result<StoredState, StateFileError> {
    if text.is_empty() {
        return Err(Corruption::Empty.into());
    }
    let Some(rest) = text.strip_prefix(MARK) else {
        let is_truncated = MARK.starts_with(text);
        return Err(if is_truncated { Corruption::Truncated.into() } else { StateFileError::Foreign });
    };
    let (checksum, body) = rest.split_at_checked(CHECKSUM_DIGITS + 1).ok_or(Corruption::Truncated)?;
    let expected = blake3::hash(body).to_hex();
    if checksum[..CHECKSUM_DIGITS] != *expected.as_bytes() || checksum[CHECKSUM_DIGITS] != b'\n' {
        return Err(Corruption::Checksum.into());
    }
    StoredState::decode(body).map_err(|_| Corruption::Contents.into())
}

#[cfg(test)]
mod tests;
