//! What stands between a file and the CSV reader: each physical line becomes one record, whatever is in it. A line
//! that no row of these layouts can be (megabytes long, blank, with a quote that is not closed) goes on as a mark, so
//! that the reader's memory stays bounded, and its fault is told apart.

use crate::Reason;
use std::collections::VecDeque;
use std::io::{self, BufRead, Read};

/// The longest line that is read; what is longer is passed over to its end.
pub const LONGEST_LINE: usize = 64 * 1024;

/// A line of one field that no row has.
const MARK: &[u8] = b"\x00\n";

/// Lines, bounded; and the faults of those that went on as marks, in their order.
pub(crate) struct Lines<R> {
    from: R,
    line: Vec<u8>,
    given: usize,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) number: u64,
    /// The last line had no end.
    pub(crate) open_ended: bool,
}

pub(crate) struct Fault {
    pub reason: Reason,
    pub bytes: u64,
    pub begins: Vec<u8>,
}

/// How much of a faulty line is kept to be shown.
const SHOWN: usize = 60;

impl<R: BufRead> Lines<R> {
    pub(crate) fn new(from: R) -> Lines<R> {
        Lines { from, line: Vec::new(), given: 0, faults: VecDeque::new(), number: 0, open_ended: false }
    }

    /// Reads the next line into the buffer; false at the end.
    fn next_line(&mut self) -> io::Result<bool> {
        self.line.clear();
        self.given = 0;
        let mut bytes = 0_u64;
        let ended = loop {
            let chunk = match self.from.fill_buf() {
                Ok(chunk) => chunk,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            if chunk.is_empty() {
                break false;
            }
            let end = memchr::memchr(b'\n', chunk).map(|at| at + 1);
            let taken = end.unwrap_or(chunk.len());
            let room = (LONGEST_LINE + 1).saturating_sub(self.line.len());
            self.line.extend_from_slice(&chunk[..taken.min(room)]);
            bytes += taken as u64;
            self.from.consume(taken);
            if end.is_some() {
                break true;
            }
        };
        if bytes == 0 {
            return Ok(false);
        }
        self.number += 1;
        self.open_ended = !ended;
        let text = self.line.strip_suffix(b"\n").unwrap_or(&self.line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        let reason = if bytes > LONGEST_LINE as u64 {
            Some(Reason::TooLong)
        } else if text.iter().all(u8::is_ascii_whitespace) {
            Some(Reason::Blank)
        } else if memchr::memchr_iter(b'"', text).count() % 2 == 1 {
            Some(Reason::Quotes)
        } else if text.contains(&0) {
            Some(Reason::NotUtf8)
        } else {
            None
        };
        if let Some(reason) = reason {
            let begins = text[..text.len().min(SHOWN)].to_vec();
            self.faults.push_back(Fault { reason, bytes, begins });
            self.line.clear();
            self.line.extend_from_slice(MARK);
        } else if !ended {
            self.line.push(b'\n');
        }
        Ok(true)
    }
}

impl<R: BufRead> Read for Lines<R> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if self.given == self.line.len() && !self.next_line()? {
            return Ok(0);
        }
        let left = &self.line[self.given..];
        let count = left.len().min(to.len());
        to[..count].copy_from_slice(&left[..count]);
        self.given += count;
        Ok(count)
    }
}

/// Whether a record is the mark of a line with a fault.
pub(crate) fn is_mark(record: &csv::ByteRecord) -> bool {
    record.len() == 1 && record.get(0) == Some(b"\x00")
}
