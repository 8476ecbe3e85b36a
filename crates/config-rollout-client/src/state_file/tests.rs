//! Tests of reading and writing, of corrupt files, and of compatibility with an earlier release.

use super::{StateFileError, StoredState, parse, read, temp_path_of, write};
use crate::wire::Version;
use config_rollout::{Digest, PersistedState, ProbationAttempt, VersionId, WithdrawnVersion};
use rstest::rstest;
use std::path::Path;

fn state(number: u64) -> StoredState {
    let version = Version::from_document(number, "site", br#"{"a": 1}"#);
    StoredState { version, highest_accepted: number, ..StoredState::default() }
}

#[rstest]
fn is_read_as_written_and_replaced_atomically() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("state");
    assert!(matches!(read(&path, 1000), Err(StateFileError::NotFound)));
    for number in [1, 2] {
        write(&path, &state(number)).unwrap();
        assert_eq!(read(&path, 1000).unwrap(), state(number));
    }
    // No temporary file is left in the directory.
    assert_eq!(std::fs::read_dir(directory.path()).unwrap().count(), 1);
}

/// The process is killed during a write. The temporary file that it leaves must not be read as the state, and must be
/// replaced by the next write.
#[rstest]
fn an_interrupted_write_is_replaced_by_the_next() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("state");
    write(&path, &state(1)).unwrap();
    std::fs::write(temp_path_of(&path), b"half").unwrap();
    assert_eq!(read(&path, 1000).unwrap(), state(1));
    write(&path, &state(2)).unwrap();
    assert_eq!(read(&path, 1000).unwrap(), state(2));
    assert_eq!(std::fs::read_dir(directory.path()).unwrap().count(), 1);
}

/// A disk returns a truncated file, or one with a flipped bit. A broker that accepted it would run settings that
/// nobody published. The file must be rejected if it is truncated at any byte or if any single bit is flipped.
#[rstest]
fn a_corrupt_file_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("state");
    write(&path, &state(3)).unwrap();
    let complete = std::fs::read(&path).unwrap();
    for cut in 0..complete.len() {
        assert!(parse(&complete[..cut]).is_err(), "accepted a file truncated at byte {cut}");
    }
    for at in 0..complete.len() {
        let mut flipped = complete.clone();
        flipped[at] ^= 1 << (at % 8);
        assert!(parse(&flipped).is_err(), "accepted a file with a flipped bit in byte {at}");
    }
    assert!(matches!(parse(b"{\"a\": 1}"), Err(StateFileError::UnknownFormat)));
    std::fs::write(&path, vec![b'x'; 100_000]).unwrap();
    assert!(matches!(read(&path, 100), Err(StateFileError::Corrupt(_))));
}

/// A broker is upgraded and finds the state file of the previous release (written by commit 076ab53), which it must
/// be able to read. It must also write the same state with the same bytes, so that a downgrade works.
#[rstest]
fn a_file_of_an_earlier_release_is_read_and_written_the_same() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/kept-version-form-1");
    let stored = read(&path, 1000).unwrap();
    let id = |number, contents: &str| VersionId { number, digest: Digest::of(contents.as_bytes()) };
    let document = r#"{"Instances":3,"PeriodMs":5}"#;
    let verified = stored.version.as_ref().unwrap().verify("north", 1000).unwrap();
    assert_eq!(verified.version, id(11, document));
    assert_eq!(verified.document.canonical(), document.as_bytes());
    let expected = PersistedState {
        confirmed: id(11, document),
        highest_accepted: 14,
        withdrawn: vec![
            WithdrawnVersion {
                version: id(13, "thirteen"),
                reason: "the broker ended 3 times while it was on trial".to_owned(),
            },
            WithdrawnVersion {
                version: id(12, "twelve"),
                reason: "20 of 20 retrievals ended badly in 1.0 s, 0 of 1200 before it".to_owned(),
            },
        ],
        probation_attempt: Some(ProbationAttempt { version: id(14, "fourteen"), unfinished_runs: 2 }),
    };
    assert_eq!(stored.to_persisted(verified.version), expected);
    let directory = tempfile::tempdir().unwrap();
    let rewritten = directory.path().join("state");
    let version = Version::from_document(11, "north", document.as_bytes());
    write(&rewritten, &StoredState::new(&expected, version)).unwrap();
    assert_eq!(std::fs::read(rewritten).unwrap(), std::fs::read(path).unwrap());
}
