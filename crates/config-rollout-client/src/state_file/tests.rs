//! Writing and reading, corruption, and a file of an earlier release.

use super::{StateFileError, StoredState, draft_of, parse, read, write};
use crate::wire::Version;
use config_rollout::{Digest, PersistedState, ProbationAttempt, VersionId, WithdrawnVersion};
use rstest::rstest;
use std::path::Path;

fn state(number: u64) -> StoredState {
    let version = Version::from_document(number, "site", br#"{"a": 1}"#);
    StoredState { version, highest: number, ..StoredState::default() }
}

#[rstest]
fn is_read_as_written_and_replaced_whole() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    assert!(matches!(read(&path, 1000), Err(StateFileError::Absent)));
    for number in [1, 2] {
        write(&path, &state(number)).unwrap();
        assert_eq!(read(&path, 1000).unwrap(), state(number));
    }
    // Nothing is left beside it.
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 1);
}

/// The process is killed in the middle of a write. The draft that is left must not be read as the state, and the
/// next write replaces it.
#[rstest]
fn a_write_that_was_cut_leaves_nothing_behind() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    write(&path, &state(1)).unwrap();
    std::fs::write(draft_of(&path), b"half").unwrap();
    assert_eq!(read(&path, 1000).unwrap(), state(1));
    write(&path, &state(2)).unwrap();
    assert_eq!(read(&path, 1000).unwrap(), state(2));
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 1);
}

/// A disk returns a file that was cut short, or with a bit flipped. A broker that took it for a version would run
/// what nobody published: cut at any byte, or with any one bit flipped, the file is no state.
#[rstest]
fn a_corrupt_file_is_no_state() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    write(&path, &state(3)).unwrap();
    let whole = std::fs::read(&path).unwrap();
    for cut in 0..whole.len() {
        assert!(parse(&whole[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 1 << (at % 8);
        assert!(parse(&flipped).is_err(), "a bit at {at}");
    }
    assert!(matches!(parse(b"{\"a\": 1}"), Err(StateFileError::Foreign)));
    std::fs::write(&path, vec![b'x'; 100_000]).unwrap();
    assert!(matches!(read(&path, 100), Err(StateFileError::Corrupt(_))));
}

/// A broker is upgraded, and finds the state file of the release before (written by commit 076ab53). It must read
/// it; the same state is written with the same bytes, so that a downgrade works too.
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
    let folder = tempfile::tempdir().unwrap();
    let rewritten = folder.path().join("state");
    let version = Version::from_document(11, "north", document.as_bytes());
    write(&rewritten, &StoredState::new(&expected, version)).unwrap();
    assert_eq!(std::fs::read(rewritten).unwrap(), std::fs::read(path).unwrap());
}
