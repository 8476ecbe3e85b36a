//! Splits a file into blocks of complete physical lines for the CSV reader.
//!
//! Each line becomes exactly one CSV record, whatever it contains. A line that cannot be a row of any layout
//! (too long, blank, with an unclosed quote or a NUL byte) is replaced by a placeholder, which keeps memory
//! bounded; the reason is stored in the block as a [`LineFault`].

use crate::rejection_reason::RejectionReason;
use std::collections::VecDeque;
use std::io::{self, BufRead};

/// The maximum length of a line, in bytes including its line end. Longer lines are skipped and rejected as
/// [`RejectionReason::TooLong`].
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Replaces an invalid line. As a CSV record it has a single field that contains NUL, which no valid row has.
const PLACEHOLDER_LINE: &[u8] = b"\x00\n";
const PLACEHOLDER_FIELD: &[u8] = b"\x00";

/// A block is complete when it contains this number of bytes or lines. A block is the unit of work that is passed
/// to a worker thread.
const BLOCK_BYTES: usize = 64 * 1024;
const BLOCK_LINES: u64 = 1024;

/// The number of bytes of an invalid line that are kept for the rejection.
const FAULT_EXCERPT_BYTES: usize = 60;

/// A bounded number of consecutive lines of a file.
#[derive(Default)]
pub(crate) struct LineBlock {
    pub(crate) bytes: Vec<u8>,
    /// Line number of the first line, starting at 1.
    pub(crate) first_line: u64,
    pub(crate) line_count: u64,
    /// Faults of the lines that were replaced by placeholders, in line order.
    pub(crate) faults: VecDeque<LineFault>,
    /// Whether the last line has no line end. This is possible only at the end of the file.
    pub(crate) lacks_final_newline: bool,
    /// Error that prevents reading the rest of the file.
    pub(crate) read_error: Option<io::Error>,
}

/// The reason for replacing a line by a placeholder.
pub(crate) struct LineFault {
    pub(crate) reason: RejectionReason,
    /// Length of the whole line, including the bytes that were skipped.
    pub(crate) bytes: u64,
    /// First bytes of the line, for display.
    pub(crate) excerpt: Vec<u8>,
}

/// A line that was appended to a block.
struct AppendedLine {
    /// Offset of the line in the block.
    start: usize,
    /// Length of the whole line, including the bytes that were skipped.
    bytes: u64,
    has_line_end: bool,
}

/// Splits a source into blocks of lines.
pub(crate) struct BlockReader<R> {
    source: R,
    last_line: u64,
    is_finished: bool,
}

impl<R: BufRead> BlockReader<R> {
    pub(crate) fn new(source: R) -> BlockReader<R> {
        BlockReader { source, last_line: 0, is_finished: false }
    }

    /// Reads the next block, or returns `None` at the end of the file or after a read error.
    pub(crate) fn next_block(&mut self) -> Option<LineBlock> {
        if self.is_finished {
            return None;
        }
        let bytes = Vec::with_capacity(BLOCK_BYTES + BLOCK_BYTES / 4);
        let mut block = LineBlock { bytes, first_line: self.last_line + 1, ..LineBlock::default() };
        while block.bytes.len() < BLOCK_BYTES && block.line_count < BLOCK_LINES && !self.is_finished {
            match self.append_line(&mut block) {
                Ok(Some(line)) => {
                    block.complete_line(&line);
                    self.last_line += 1;
                }
                Ok(None) => self.is_finished = true,
                Err(e) => (self.is_finished, block.read_error) = (true, Some(e)),
            }
        }
        (block.line_count > 0 || block.read_error.is_some()).then_some(block)
    }

    /// Appends the next line to the block, truncated to one byte more than [`MAX_LINE_BYTES`]. Returns `None` at the
    /// end of the file.
    fn append_line(&mut self, block: &mut LineBlock) -> io::Result<Option<AppendedLine>> {
        let start = block.bytes.len();
        let mut bytes = 0_u64;
        loop {
            let chunk = match self.source.fill_buf() {
                Ok(chunk) => chunk,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    // A partial line is of no use without its remainder.
                    block.bytes.truncate(start);
                    return Err(e);
                }
            };
            if chunk.is_empty() {
                return Ok((bytes > 0).then_some(AppendedLine { start, bytes, has_line_end: false }));
            }
            let line_end = memchr::memchr(b'\n', chunk).map(|index| index + 1);
            let consumed = line_end.unwrap_or(chunk.len());
            let capacity = (start + MAX_LINE_BYTES + 1).saturating_sub(block.bytes.len());
            block.bytes.extend_from_slice(&chunk[..consumed.min(capacity)]);
            bytes += consumed as u64;
            self.source.consume(consumed);
            if line_end.is_some() {
                return Ok(Some(AppendedLine { start, bytes, has_line_end: true }));
            }
        }
    }
}

impl LineBlock {
    /// Counts the line that was appended last, and replaces it by a placeholder if it is invalid.
    fn complete_line(&mut self, line: &AppendedLine) {
        self.line_count += 1;
        self.lacks_final_newline = !line.has_line_end;
        let text = &self.bytes[line.start..];
        let text = text.strip_suffix(b"\n").unwrap_or(text);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if let Some(reason) = find_fault(text, line.bytes) {
            let excerpt = text[..text.len().min(FAULT_EXCERPT_BYTES)].to_vec();
            self.faults.push_back(LineFault { reason, bytes: line.bytes, excerpt });
            self.bytes.truncate(line.start);
            self.bytes.extend_from_slice(PLACEHOLDER_LINE);
        } else if !line.has_line_end {
            self.bytes.push(b'\n');
        }
    }
}

/// Returns the reason why a line cannot be a row, or `None` if it can. `text` is the line without its line end,
/// possibly truncated, and `bytes` is the length of the whole line.
fn find_fault(text: &[u8], bytes: u64) -> Option<RejectionReason> {
    if bytes > MAX_LINE_BYTES as u64 {
        Some(RejectionReason::TooLong)
    } else if text.iter().all(u8::is_ascii_whitespace) {
        Some(RejectionReason::Blank)
    } else if memchr::memchr_iter(b'"', text).count() % 2 == 1 {
        Some(RejectionReason::UnclosedQuote)
    } else if memchr::memchr(0, text).is_some() {
        Some(RejectionReason::NotUtf8)
    } else {
        None
    }
}

/// Returns whether a record is the placeholder of an invalid line.
pub(crate) fn is_placeholder(record: &csv::ByteRecord) -> bool {
    record.len() == 1 && record.get(0) == Some(PLACEHOLDER_FIELD)
}
