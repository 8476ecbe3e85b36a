//! A file into verdicts, one for each line, in bounded memory.

use crate::Reason;
use crate::judge::{Rejected, Verdict, judge, quote};
use crate::layout::Layout;
use crate::lines::{LONGEST_LINE, Lines, is_mark};
use csv::{ByteRecord, ReaderBuilder};
use flate2::read::MultiGzDecoder;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use thiserror::Error;

/// Why a file can't be begun.
#[derive(Debug, Error)]
#[error("{path}: {why}")]
pub struct Unreadable {
    pub path: String,
    pub why: io::Error,
}

type Source<'a> = BufReader<Box<dyn Read + 'a>>;

/// Verdicts on the lines of one file.
pub struct Reader<'a> {
    layout: &'static Layout,
    csv: csv::Reader<Lines<Source<'a>>>,
    record: ByteRecord,
    line: u64,
    over: bool,
}

const BUFFER: usize = 256 * 1024;
/// How a gzip file begins.
const GZIP: &[u8] = &[0x1f, 0x8b];

impl<'a> Reader<'a> {
    /// Of anything that can be read; gzip is told by its first bytes.
    pub fn new(layout: &'static Layout, from: impl Read + 'a) -> io::Result<Reader<'a>> {
        let mut from = BufReader::with_capacity(BUFFER, from);
        let packed = from.fill_buf()?.starts_with(GZIP);
        let from: Box<dyn Read + 'a> =
            if packed { Box::new(MultiGzDecoder::new(from)) } else { Box::new(from) };
        let lines = Lines::new(BufReader::with_capacity(BUFFER, from));
        let csv =
            ReaderBuilder::new().has_headers(false).flexible(true).buffer_capacity(BUFFER).from_reader(lines);
        Ok(Reader { layout, csv, record: ByteRecord::new(), line: 0, over: false })
    }

    pub fn open(layout: &'static Layout, path: &Path) -> Result<Reader<'static>, Unreadable> {
        let unreadable = |why| Unreadable { path: path.display().to_string(), why };
        Reader::new(layout, File::open(path).map_err(unreadable)?).map_err(unreadable)
    }

    /// The verdict on a line that went on as a mark.
    fn fault(&mut self) -> Verdict {
        let line = self.line;
        let fault = self.csv.get_mut().faults.pop_front();
        let (reason, bytes, begins) =
            fault.map_or((Reason::NotUtf8, 0, Vec::new()), |fault| (fault.reason, fault.bytes, fault.begins));
        let (holds, allowed) = match reason {
            Reason::TooLong => {
                (format!("{bytes} bytes long, {}", quote(&begins)), format!("{LONGEST_LINE} bytes at most"))
            }
            Reason::Blank => ("blank".to_owned(), "a row".to_owned()),
            Reason::Quotes => (quote(&begins), "quotes in pairs".to_owned()),
            _ => (quote(&begins), "text without NUL".to_owned()),
        };
        Verdict::Rejected(Rejected { line, column: None, holds, allowed, reason })
    }

    /// The file can't be read on: what there was of the last line is lost with the rest.
    fn broken(&mut self, why: &str) -> Verdict {
        self.over = true;
        let (holds, allowed) = (format!("broken off: {why}"), "a whole file".to_owned());
        let line = self.line + 1;
        Verdict::Rejected(Rejected { line, column: None, holds, allowed, reason: Reason::EndsMidway })
    }
}

impl Iterator for Reader<'_> {
    type Item = Verdict;

    fn next(&mut self) -> Option<Verdict> {
        if self.over {
            return None;
        }
        match self.csv.read_byte_record(&mut self.record) {
            Ok(true) => {}
            Ok(false) => {
                self.over = true;
                return None;
            }
            Err(e) => return Some(self.broken(&e.to_string())),
        }
        self.line += 1;
        if is_mark(&self.record) {
            return Some(self.fault());
        }
        let verdict = judge(self.layout, self.line, &self.record);
        let lines = self.csv.get_ref();
        // The last line, without an end, that is no row: it was cut, and is not held against what was meant.
        let cut = lines.open_ended && lines.number == self.line;
        Some(match verdict {
            Verdict::Rejected(rejected) if cut => {
                Verdict::Rejected(Rejected { reason: Reason::EndsMidway, ..rejected })
            }
            verdict => verdict,
        })
    }
}
