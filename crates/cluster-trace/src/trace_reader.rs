//! Reads a file into outcomes, one for each line, in bounded memory. A file that is opened by its path is
//! read ahead on threads of its own: one cuts blocks of lines, a few classify them in turn, and the outcomes
//! come in the order of the lines.

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

/// A file can't be opened, or its first bytes can't be read.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct OpenError {
    /// The file.
    pub path: PathBuf,
    /// What the system says.
    pub source: io::Error,
}

type Source<'a> = BufReader<Box<dyn Read + Send + 'a>>;

/// The outcomes of the lines of one file, in their order.
pub struct TraceReader<'a> {
    classifier: Classifier<'a>,
    ready: std::vec::IntoIter<RowOutcome>,
}

/// Where blocks are classified.
enum Classifier<'a> {
    OnThisThread { layout: &'static Layout, blocks: BlockReader<Source<'a>> },
    ReadAhead(ReadAhead),
}

/// Threads that classify blocks in turn.
struct ReadAhead {
    workers: Vec<Receiver<Vec<RowOutcome>>>,
    /// The worker that has the next block: blocks were dealt out in the same order.
    next_worker: usize,
}

const BUFFER_BYTES: usize = 256 * 1024;
/// How a gzip file begins.
const GZIP_MAGIC: &[u8] = &[0x1f, 0x8b];
/// The largest number of threads that classify. More would wait for the thread that cuts blocks or for the
/// one that uses the outcomes.
const MAX_WORKERS: usize = 4;
/// Blocks queued before and behind each worker. This bounds the memory, however slowly outcomes are used.
const QUEUED_BLOCKS: usize = 2;

fn decompress<'a>(source: impl Read + Send + 'a) -> io::Result<BlockReader<Source<'a>>> {
    let mut source = BufReader::with_capacity(BUFFER_BYTES, source);
    let is_gzip = source.fill_buf()?.starts_with(GZIP_MAGIC);
    let source: Box<dyn Read + Send + 'a> =
        if is_gzip { Box::new(MultiGzDecoder::new(source)) } else { Box::new(source) };
    Ok(BlockReader::new(BufReader::with_capacity(BUFFER_BYTES, source)))
}

impl<'a> TraceReader<'a> {
    /// Reads from any source on the caller's thread. Gzip is recognized by its first bytes.
    ///
    /// # Errors
    ///
    /// The first bytes can't be read.
    pub fn new(layout: &'static Layout, source: impl Read + Send + 'a) -> io::Result<TraceReader<'a>> {
        let classifier = Classifier::OnThisThread { layout, blocks: decompress(source)? };
        Ok(TraceReader { classifier, ready: Vec::new().into_iter() })
    }

    /// Reads a file ahead, on threads of its own. They end when the reader is dropped.
    ///
    /// # Errors
    ///
    /// The file can't be opened, its first bytes can't be read, or no thread can be started.
    pub fn open(layout: &'static Layout, path: &Path) -> Result<TraceReader<'static>, OpenError> {
        let open_error = |source| OpenError { path: path.to_owned(), source };
        let blocks = File::open(path).and_then(decompress).map_err(open_error)?;
        let cores = thread::available_parallelism().map_or(1, |cores| cores.get().saturating_sub(2));
        let read_ahead = ReadAhead::start(layout, blocks, cores.clamp(1, MAX_WORKERS)).map_err(open_error)?;
        Ok(TraceReader { classifier: Classifier::ReadAhead(read_ahead), ready: Vec::new().into_iter() })
    }
}

impl ReadAhead {
    /// Starts this number of workers, and one thread that deals blocks to them in turn. Each thread ends when
    /// its receiver has been dropped.
    fn start(
        layout: &'static Layout,
        blocks: BlockReader<Source<'static>>,
        worker_count: usize,
    ) -> io::Result<ReadAhead> {
        let (mut to_workers, mut workers) = (Vec::new(), Vec::new());
        for _ in 0..worker_count {
            let (to_worker, from_cutter) = sync_channel(QUEUED_BLOCKS);
            let (to_user, from_worker) = sync_channel(QUEUED_BLOCKS);
            let worker = move || classify_blocks(layout, &from_cutter, &to_user);
            thread::Builder::new().name("trace-classify".to_owned()).spawn(worker)?;
            to_workers.push(to_worker);
            workers.push(from_worker);
        }
        let cutter = move || deal_blocks(blocks, &to_workers);
        thread::Builder::new().name("trace-cut".to_owned()).spawn(cutter)?;
        Ok(ReadAhead { workers, next_worker: 0 })
    }

    fn next_outcomes(&mut self) -> Option<Vec<RowOutcome>> {
        let outcomes = self.workers.get(self.next_worker)?.recv().ok()?;
        self.next_worker = (self.next_worker + 1) % self.workers.len();
        Some(outcomes)
    }
}

fn deal_blocks(mut blocks: BlockReader<Source<'static>>, to_workers: &[SyncSender<LineBlock>]) {
    for to_worker in to_workers.iter().cycle() {
        let Some(block) = blocks.next_block() else { return };
        if to_worker.send(block).is_err() {
            return;
        }
    }
}

fn classify_blocks(layout: &Layout, blocks: &Receiver<LineBlock>, to_user: &SyncSender<Vec<RowOutcome>>) {
    let mut record = ByteRecord::new();
    for block in blocks {
        if to_user.send(classify_block(layout, block, &mut record)).is_err() {
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
            let outcomes = match &mut self.classifier {
                Classifier::OnThisThread { layout, blocks } => {
                    classify_block(layout, blocks.next_block()?, &mut ByteRecord::new())
                }
                Classifier::ReadAhead(read_ahead) => read_ahead.next_outcomes()?,
            };
            self.ready = outcomes.into_iter();
        }
    }
}

/// The outcomes of a block's lines.
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
            // Each line is one record. If one were not, the outcomes so far would still be valid.
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
        // The last line has no line end and is no row: it was cut, and its fields say nothing.
        RowOutcome::Rejected(rejected) if block.is_open_ended && is_last_line => {
            RowOutcome::Rejected(RejectedRow { reason: RejectionReason::EndsMidway, ..rejected })
        }
        outcome => outcome,
    }
}

/// The outcome of a line that was replaced by a placeholder.
fn reject_fault(line: u64, fault: Option<LineFault>) -> RowOutcome {
    let unknown = LineFault { reason: RejectionReason::NotUtf8, bytes: 0, excerpt: Vec::new() };
    let LineFault { reason, bytes, excerpt } = fault.unwrap_or(unknown);
    let (value, allowed) = match reason {
        RejectionReason::TooLong => {
            (format!("{bytes} bytes long, {}", quote(&excerpt)), format!("{MAX_LINE_BYTES} bytes at most"))
        }
        RejectionReason::Blank => ("blank".to_owned(), "a row".to_owned()),
        RejectionReason::Quotes => (quote(&excerpt), "quotes in pairs".to_owned()),
        _ => (quote(&excerpt), "text without NUL".to_owned()),
    };
    RowOutcome::Rejected(RejectedRow { line, column: None, value, allowed, reason })
}

/// The file can't be read any further. The last line is lost, even if a part of it was read.
fn reject_unreadable(line: u64, error: &str) -> RowOutcome {
    let (value, allowed) = (format!("unreadable: {error}"), "a complete file".to_owned());
    let reason = RejectionReason::EndsMidway;
    RowOutcome::Rejected(RejectedRow { line, column: None, value, allowed, reason })
}
