//! Cuts a file into blocks of complete physical lines for the CSV reader. Each line becomes one record,
//! whatever its contents. A line that can't be a row of any known layout (megabytes long, blank, with a quote
//! that is not closed) is replaced by a placeholder, so that memory stays bounded; its fault is kept beside
//! the block.

use crate::rejection_reason::RejectionReason;
use std::collections::VecDeque;
use std::io::{self, BufRead};

/// The longest line that is read, in bytes; a longer one is skipped to its end.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// The line that stands for a faulty one; as a record it has one field, which no row has.
const PLACEHOLDER_LINE: &[u8] = b"\x00\n";
const PLACEHOLDER_FIELD: &[u8] = b"\x00";

/// A block ends once it holds this number of bytes or lines: as much as one thread takes over at a time.
const BLOCK_BYTES: usize = 64 * 1024;
const BLOCK_LINES: u64 = 1024;

/// How many bytes of a faulty line are kept to be shown.
const FAULT_EXCERPT_BYTES: usize = 60;

/// Some lines of a file, in bounded memory.
#[derive(Default)]
pub(crate) struct LineBlock {
    pub(crate) bytes: Vec<u8>,
    /// The number of its first line, from 1.
    pub(crate) first_line: u64,
    pub(crate) line_count: u64,
    /// The faults of the lines that were replaced by placeholders, in their order.
    pub(crate) faults: VecDeque<LineFault>,
    /// Whether its last line has no line end: it is the file's last.
    pub(crate) is_open_ended: bool,
    /// Why the file can't be read any further.
    pub(crate) read_error: Option<io::Error>,
}

/// Why a line was replaced by a placeholder.
pub(crate) struct LineFault {
    pub(crate) reason: RejectionReason,
    /// The length of the whole line.
    pub(crate) bytes: u64,
    /// How the line begins.
    pub(crate) excerpt: Vec<u8>,
}

/// A line that was put at the end of a block.
struct AppendedLine {
    /// Where it begins in the block.
    start: usize,
    /// The length of the whole line, also of what was skipped.
    bytes: u64,
    has_line_end: bool,
}

/// Cuts a file into blocks.
pub(crate) struct BlockReader<R> {
    source: R,
    last_line: u64,
    is_finished: bool,
}

impl<R: BufRead> BlockReader<R> {
    pub(crate) fn new(source: R) -> BlockReader<R> {
        BlockReader { source, last_line: 0, is_finished: false }
    }

    /// The next block; none at the end of the file.
    pub(crate) fn next_block(&mut self) -> Option<LineBlock> {
        if self.is_finished {
            return None;
        }
        let bytes = Vec::with_capacity(BLOCK_BYTES + BLOCK_BYTES / 4);
        let mut block = LineBlock { bytes, first_line: self.last_line + 1, ..LineBlock::default() };
        while block.bytes.len() < BLOCK_BYTES && block.line_count < BLOCK_LINES && !self.is_finished {
            match self.append_line(&mut block) {
                Ok(Some(line)) => {
                    block.finish_line(&line);
                    self.last_line += 1;
                }
                Ok(None) => self.is_finished = true,
                Err(e) => (self.is_finished, block.read_error) = (true, Some(e)),
            }
        }
        (block.line_count > 0 || block.read_error.is_some()).then_some(block)
    }

    /// Puts the next line at the block's end, up to its maximal length; none at the end of the file.
    fn append_line(&mut self, block: &mut LineBlock) -> io::Result<Option<AppendedLine>> {
        let start = block.bytes.len();
        let mut bytes = 0_u64;
        loop {
            let chunk = match self.source.fill_buf() {
                Ok(chunk) => chunk,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    // The part of the line that was read is lost with the rest of the file.
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
    /// Counts the last line, and replaces it if it is faulty.
    fn finish_line(&mut self, line: &AppendedLine) {
        self.line_count += 1;
        self.is_open_ended = !line.has_line_end;
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

/// Why a line with this text, `bytes` long before it was cut, can't be a row; none if it can.
fn find_fault(text: &[u8], bytes: u64) -> Option<RejectionReason> {
    if bytes > MAX_LINE_BYTES as u64 {
        Some(RejectionReason::TooLong)
    } else if text.iter().all(u8::is_ascii_whitespace) {
        Some(RejectionReason::Blank)
    } else if memchr::memchr_iter(b'"', text).count() % 2 == 1 {
        Some(RejectionReason::Quotes)
    } else if memchr::memchr(0, text).is_some() {
        Some(RejectionReason::NotUtf8)
    } else {
        None
    }
}

/// Whether a record stands for a faulty line.
pub(crate) fn is_placeholder(record: &csv::ByteRecord) -> bool {
    record.len() == 1 && record.get(0) == Some(PLACEHOLDER_FIELD)
}
