//! What stands between a file and the CSV reader: cuts it into blocks of whole physical lines, each to become
//! one record, whatever is in it. A line that no row of these layouts can be (megabytes long, blank, with a
//! quote that is not closed) goes on as a mark, so that memory stays bounded, and its fault is told apart.

use crate::Reason;
use std::collections::VecDeque;
use std::io::{self, BufRead};

/// The longest line that is read; what is longer is passed over to its end.
pub const LONGEST_LINE: usize = 64 * 1024;

/// A line of one field that no row has.
const MARK: &[u8] = b"\x00\n";

/// A block is cut once it holds so many bytes or lines: what a thread takes over at a time.
const BLOCK: usize = 64 * 1024;
const BLOCK_LINES: u64 = 1024;

/// Lines, bounded, and the faults of those that went on as marks, in their order.
#[derive(Default)]
pub(crate) struct Block {
    pub bytes: Vec<u8>,
    /// The number of its first line, from 1, and how many there are.
    pub first: u64,
    pub lines: u64,
    pub faults: VecDeque<Fault>,
    /// Its last line had no end: the file's last.
    pub open_ended: bool,
    /// Why the file can't be read on behind it.
    pub broken: Option<String>,
}

pub(crate) struct Fault {
    pub reason: Reason,
    pub bytes: u64,
    pub begins: Vec<u8>,
}

/// How much of a faulty line is kept to be shown.
const SHOWN: usize = 60;

/// Cuts a file into blocks.
pub(crate) struct Lines<R> {
    from: R,
    number: u64,
    over: bool,
}

impl<R: BufRead> Lines<R> {
    pub(crate) fn new(from: R) -> Lines<R> {
        Lines { from, number: 0, over: false }
    }

    /// The next block; none at the end.
    pub(crate) fn next_block(&mut self) -> Option<Block> {
        if self.over {
            return None;
        }
        let bytes = Vec::with_capacity(BLOCK + BLOCK / 4);
        let mut block = Block { bytes, first: self.number + 1, ..Block::default() };
        while block.bytes.len() < BLOCK && block.lines < BLOCK_LINES && !self.over {
            match self.next_line(&mut block) {
                Ok(true) => {
                    block.lines += 1;
                    self.number += 1;
                }
                Ok(false) => self.over = true,
                Err(e) => (self.over, block.broken) = (true, Some(e.to_string())),
            }
        }
        (block.lines > 0 || block.broken.is_some()).then_some(block)
    }

    /// Puts the next line at the block's end; false at the file's.
    fn next_line(&mut self, block: &mut Block) -> io::Result<bool> {
        let begins = block.bytes.len();
        let mut bytes = 0_u64;
        let ended = loop {
            let chunk = match self.from.fill_buf() {
                Ok(chunk) => chunk,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    // What there was of the line is lost with the rest.
                    block.bytes.truncate(begins);
                    return Err(e);
                }
            };
            if chunk.is_empty() {
                break false;
            }
            let end = memchr::memchr(b'\n', chunk).map(|at| at + 1);
            let taken = end.unwrap_or(chunk.len());
            let room = (begins + LONGEST_LINE + 1).saturating_sub(block.bytes.len());
            block.bytes.extend_from_slice(&chunk[..taken.min(room)]);
            bytes += taken as u64;
            self.from.consume(taken);
            if end.is_some() {
                break true;
            }
        };
        if bytes == 0 {
            return Ok(false);
        }
        block.open_ended = !ended;
        let line = &block.bytes[begins..];
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        let reason = if bytes > LONGEST_LINE as u64 {
            Some(Reason::TooLong)
        } else if text.iter().all(u8::is_ascii_whitespace) {
            Some(Reason::Blank)
        } else if memchr::memchr_iter(b'"', text).count() % 2 == 1 {
            Some(Reason::Quotes)
        } else if memchr::memchr(0, text).is_some() {
            Some(Reason::NotUtf8)
        } else {
            None
        };
        if let Some(reason) = reason {
            let shown = text[..text.len().min(SHOWN)].to_vec();
            block.faults.push_back(Fault { reason, bytes, begins: shown });
            block.bytes.truncate(begins);
            block.bytes.extend_from_slice(MARK);
        } else if !ended {
            block.bytes.push(b'\n');
        }
        Ok(true)
    }
}

/// Whether a record is the mark of a line with a fault.
pub(crate) fn is_mark(record: &csv::ByteRecord) -> bool {
    record.len() == 1 && record.get(0) == Some(b"\x00")
}
