//! Reads a trace file and yields one outcome per line, in bounded memory.
//!
//! A file that is opened by its path is read ahead on background threads: one thread splits the file into blocks
//! of lines and distributes them round-robin to workers, which validate the lines. The outcomes are yielded in
//! line order.

use crate::classify::classify_row;
use crate::layout::Layout;
use crate::line_blocks::{BlockReader, LineBlock, LineFault, MAX_LINE_BYTES, is_placeholder};
use crate::rejection_reason::RejectionReason;
use crate::row::{RejectedRow, RowOutcome, quote};
use csv::{ByteRecord, ReaderBuilder};
use flate2::read::MultiGzDecoder;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use thiserror::Error;

/// The error returned when a trace file cannot be opened, its first bytes cannot be read, or a reader thread cannot
/// be started.
#[derive(Debug, Error)]
#[error("failed to open trace file {}: {source}", path.display())]
pub struct OpenError {
    /// Path of the trace file.
    pub path: PathBuf,
    /// Error of the operating system or the decompressor.
    pub source: io::Error,
}

type Source<'a> = BufReader<Box<dyn Read + Send + 'a>>;

/// An iterator over the outcomes of all lines of a file, in line order.
pub struct TraceReader<'a> {
    outcome_source: OutcomeSource<'a>,
    /// Outcomes of the current block that have not been yielded.
    ready: std::vec::IntoIter<RowOutcome>,
}

/// The source of outcomes: the caller's thread or background threads.
enum OutcomeSource<'a> {
    SameThread { layout: &'static Layout, blocks: BlockReader<Source<'a>> },
    ReadAhead(ReadAhead),
}

/// Background threads that validate blocks in round-robin order.
struct ReadAhead {
    /// One receiver per worker.
    outcome_receivers: Vec<Receiver<Vec<RowOutcome>>>,
    /// Index of the worker that has the next block of the file. Blocks are distributed in the same order.
    next_worker: usize,
}

const BUFFER_BYTES: usize = 256 * 1024;
/// The first two bytes of a gzip file.
const GZIP_MAGIC: &[u8] = &[0x1f, 0x8b];
/// The maximum number of workers. Additional workers would only wait for the thread that splits the file or for the
/// consumer of the outcomes.
const MAX_WORKERS: usize = 4;
/// The capacity of the queues before and after each worker, in blocks. It bounds memory even if the consumer is
/// slow.
const QUEUED_BLOCKS: usize = 2;

fn decompress<'a>(source: impl Read + Send + 'a) -> io::Result<BlockReader<Source<'a>>> {
    let mut source = BufReader::with_capacity(BUFFER_BYTES, source);
    let is_gzip = source.fill_buf()?.starts_with(GZIP_MAGIC);
    let source: Box<dyn Read + Send + 'a> =
        if is_gzip { Box::new(MultiGzDecoder::new(source)) } else { Box::new(source) };
    Ok(BlockReader::new(BufReader::with_capacity(BUFFER_BYTES, source)))
}

impl<'a> TraceReader<'a> {
    /// Creates a reader that reads `source` on the caller's thread. Gzip compression is detected by the first bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the first bytes cannot be read.
    pub fn new(layout: &'static Layout, source: impl Read + Send + 'a) -> io::Result<TraceReader<'a>> {
        let outcome_source = OutcomeSource::SameThread { layout, blocks: decompress(source)? };
        Ok(TraceReader { outcome_source, ready: Vec::new().into_iter() })
    }

    /// Opens a file and reads it ahead on background threads, which end after the reader is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened, its first bytes cannot be read, or a thread cannot be
    /// started.
    pub fn open(layout: &'static Layout, path: &Path) -> Result<TraceReader<'static>, OpenError> {
        let open_error = |source| OpenError { path: path.to_owned(), source };
        let blocks = File::open(path).and_then(decompress).map_err(open_error)?;
        let worker_count = thread::available_parallelism().map_or(1, |cores| cores.get().saturating_sub(2));
        let read_ahead =
            ReadAhead::start(layout, blocks, worker_count.clamp(1, MAX_WORKERS)).map_err(open_error)?;
        Ok(TraceReader {
            outcome_source: OutcomeSource::ReadAhead(read_ahead),
            ready: Vec::new().into_iter(),
        })
    }
}

impl ReadAhead {
    /// Starts the workers and one thread that distributes blocks to them round-robin. Each thread ends at the end
    /// of the file, or when the receiver of its results has been dropped.
    fn start(
        layout: &'static Layout,
        blocks: BlockReader<Source<'static>>,
        worker_count: usize,
    ) -> io::Result<ReadAhead> {
        let (mut block_senders, mut outcome_receivers) = (Vec::new(), Vec::new());
        for _ in 0..worker_count {
            let (block_sender, block_receiver) = sync_channel(QUEUED_BLOCKS);
            let (outcome_sender, outcome_receiver) = sync_channel(QUEUED_BLOCKS);
            let worker = move || classify_blocks(layout, &block_receiver, &outcome_sender);
            thread::Builder::new().name("trace-classify".to_owned()).spawn(worker)?;
            block_senders.push(block_sender);
            outcome_receivers.push(outcome_receiver);
        }
        let distributor = move || distribute_blocks(blocks, &block_senders);
        thread::Builder::new().name("trace-cut".to_owned()).spawn(distributor)?;
        Ok(ReadAhead { outcome_receivers, next_worker: 0 })
    }

    fn next_outcomes(&mut self) -> Option<Vec<RowOutcome>> {
        let outcomes = self.outcome_receivers.get(self.next_worker)?.recv().ok()?;
        self.next_worker = (self.next_worker + 1) % self.outcome_receivers.len();
        Some(outcomes)
    }
}

fn distribute_blocks(mut blocks: BlockReader<Source<'static>>, block_senders: &[SyncSender<LineBlock>]) {
    for block_sender in block_senders.iter().cycle() {
        let Some(block) = blocks.next_block() else { return };
        if block_sender.send(block).is_err() {
            return;
        }
    }
}

fn classify_blocks(
    layout: &Layout,
    blocks: &Receiver<LineBlock>,
    outcome_sender: &SyncSender<Vec<RowOutcome>>,
) {
    let mut record = ByteRecord::new();
    for block in blocks {
        if outcome_sender.send(classify_block(layout, block, &mut record)).is_err() {
            return;
        }
    }
}

impl Iterator for TraceReader<'_> {
    type Item = RowOutcome;

    fn next(&mut self) -> Option<RowOutcome> {
        loop {
            if let Some(outcome) = self.ready.next() {
                return Some(outcome);
            }
            let outcomes = match &mut self.outcome_source {
                OutcomeSource::SameThread { layout, blocks } => {
                    classify_block(layout, blocks.next_block()?, &mut ByteRecord::new())
                }
                OutcomeSource::ReadAhead(read_ahead) => read_ahead.next_outcomes()?,
            };
            self.ready = outcomes.into_iter();
        }
    }
}

/// Validates all lines of a block.
fn classify_block(layout: &Layout, mut block: LineBlock, record: &mut ByteRecord) -> Vec<RowOutcome> {
    let bytes = std::mem::take(&mut block.bytes);
    let mut csv = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .buffer_capacity(bytes.len().max(1))
        .from_reader(&bytes[..]);
    let mut outcomes = Vec::with_capacity(block.line_count as usize + 1);
    let last_line = block.first_line + block.line_count - 1;
    for line in block.first_line..=last_line {
        match csv.read_byte_record(record) {
            Ok(true) => outcomes.push(classify_line(layout, &mut block, line, record)),
            // Each line is one record, so the records do not end early. If they did, the outcomes so far would
            // still be valid.
            Ok(false) => break,
            Err(e) => outcomes.push(reject_unreadable(line, &e.to_string())),
        }
    }
    if let Some(error) = &block.read_error {
        outcomes.push(reject_unreadable(last_line + 1, &error.to_string()));
    }
    outcomes
}

fn classify_line(layout: &Layout, block: &mut LineBlock, line: u64, record: &ByteRecord) -> RowOutcome {
    if is_placeholder(record) {
        return reject_fault(line, block.faults.pop_front());
    }
    let is_last_line = line == block.first_line + block.line_count - 1;
    match classify_row(layout, line, record) {
        // An invalid last line without a line end was truncated, so the reason given by its fields would be
        // misleading.
        RowOutcome::Rejected(rejected) if block.lacks_final_newline && is_last_line => {
            RowOutcome::Rejected(RejectedRow { reason: RejectionReason::Truncated, ..rejected })
        }
        outcome => outcome,
    }
}

/// Rejects a line that was replaced by a placeholder.
fn reject_fault(line: u64, fault: Option<LineFault>) -> RowOutcome {
    let unknown = LineFault { reason: RejectionReason::NotUtf8, bytes: 0, excerpt: Vec::new() };
    let LineFault { reason, bytes, excerpt } = fault.unwrap_or(unknown);
    let (value, allowed) = match reason {
        RejectionReason::TooLong => {
            (format!("{bytes} bytes long, {}", quote(&excerpt)), format!("at most {MAX_LINE_BYTES} bytes"))
        }
        RejectionReason::Blank => ("blank".to_owned(), "a row of the layout".to_owned()),
        RejectionReason::UnclosedQuote => (quote(&excerpt), "an even number of quotes".to_owned()),
        _ => (quote(&excerpt), "text without NUL bytes".to_owned()),
    };
    RowOutcome::Rejected(RejectedRow { line, column: None, value, allowed, reason })
}

/// Rejects the line at which a read error occurred. The line is lost even if a part of it was read.
fn reject_unreadable(line: u64, error: &str) -> RowOutcome {
    let (value, allowed) = (format!("unreadable: {error}"), "a complete file".to_owned());
    let reason = RejectionReason::Truncated;
    RowOutcome::Rejected(RejectedRow { line, column: None, value, allowed, reason })
}
