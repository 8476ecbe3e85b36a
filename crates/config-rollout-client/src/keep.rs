//! The last good version, and what else must outlast the process, in one file. It is replaced as a whole, so
//! that at any moment the file is the old one or the new one; what is torn or foreign is told as such, and
//! never taken for a version.

use crate::wire::Kept;
use prost::Message;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;
use thiserror::Error;

/// The first line of such a file.
const MARK: &[u8] = b"barleydrum kept version, form 1\n";
/// Bytes that may stand beside a document.
const BESIDE: usize = 64 * 1024;
/// Hex digits of the checksum in the second line.
const SUM: usize = 64;

/// Why a file is not used.
#[derive(Debug, Error)]
pub enum NotKept {
    #[error("there is none")]
    Absent,
    #[error("it can't be read: {0}")]
    Io(io::Error),
    #[error("it is foreign: it does not begin as a kept version does")]
    Foreign,
    #[error("it is torn: {0}")]
    Torn(&'static str),
}

/// Writes the version beside the file, makes sure of it on the disk, puts it in the file's place, and makes
/// sure of the folder. A crash at any point leaves the old file or the new.
pub fn write(path: &Path, kept: &Kept) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let body = kept.encode_to_vec();
    let mut file = tempfile::Builder::new().prefix(".kept-").tempfile_in(folder)?;
    file.write_all(MARK)?;
    writeln!(file, "{}", blake3::hash(&body).to_hex())?;
    file.write_all(&body)?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|e| e.error)?;
    File::open(folder)?.sync_all()
}

/// Reads it; `most` bounds the document and, with some room for the rest, the file.
pub fn read(path: &Path, most: usize) -> Result<Kept, NotKept> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(NotKept::Absent),
        Err(e) => return Err(NotKept::Io(e)),
    };
    let bound = (most + BESIDE) as u64;
    let mut text = Vec::new();
    file.take(bound + 1).read_to_end(&mut text).map_err(NotKept::Io)?;
    if text.len() as u64 > bound {
        return Err(NotKept::Torn("it is longer than a version may be"));
    }
    parse(&text)
}

fn parse(text: &[u8]) -> Result<Kept, NotKept> {
    if text.is_empty() {
        return Err(NotKept::Torn("it is empty"));
    }
    let Some(rest) = text.strip_prefix(MARK) else {
        return Err(if MARK.starts_with(text) { NotKept::Torn("it ends early") } else { NotKept::Foreign });
    };
    let (sum, body) = rest.split_at_checked(SUM + 1).ok_or(NotKept::Torn("it ends early"))?;
    if sum[..SUM] != *blake3::hash(body).to_hex().as_bytes() || sum[SUM] != b'\n' {
        return Err(NotKept::Torn("its checksum is not that of its contents"));
    }
    Kept::decode(body).map_err(|_| NotKept::Torn("its contents can't be read"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::Version;
    use rstest::rstest;

    fn version(number: u64) -> Kept {
        let version = Version::of(number, "site", br#"{"a": 1}"#);
        Kept { version, highest: number, ..Kept::default() }
    }

    #[rstest]
    fn is_read_as_written_and_replaced_whole() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("kept");
        assert!(matches!(read(&path, 1000), Err(NotKept::Absent)));
        for number in [1, 2] {
            write(&path, &version(number)).unwrap();
            assert_eq!(read(&path, 1000).unwrap(), version(number));
        }
        // Nothing is left beside it.
        assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 1);
    }

    /// Cut at any byte, or with any one bit turned, it is no version.
    #[rstest]
    fn what_is_torn_is_no_version() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("kept");
        write(&path, &version(3)).unwrap();
        let whole = std::fs::read(&path).unwrap();
        for cut in 0..whole.len() {
            assert!(parse(&whole[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..whole.len() {
            let mut turned = whole.clone();
            turned[at] ^= 1 << (at % 8);
            assert!(parse(&turned).is_err(), "a bit at {at}");
        }
        assert!(matches!(parse(b"{\"a\": 1}"), Err(NotKept::Foreign)));
        std::fs::write(&path, vec![b'x'; 100_000]).unwrap();
        assert!(matches!(read(&path, 100), Err(NotKept::Torn(_))));
    }
}
