//! A file into verdicts, one for each line, in bounded memory. A file that is opened by its path is judged
//! ahead on threads of its own: one cuts blocks of lines, a few judge them in turn, and the verdicts come in
//! the order of lines.

use crate::Reason;
use crate::judge::{Rejected, Verdict, judge, quote};
use crate::layout::Layout;
use crate::lines::{Block, Fault, LONGEST_LINE, Lines, is_mark};
use csv::{ByteRecord, ReaderBuilder};
use flate2::read::MultiGzDecoder;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use thiserror::Error;

/// Why a file can't be begun.
#[derive(Debug, Error)]
#[error("{path}: {why}")]
pub struct Unreadable {
    pub path: String,
    pub why: io::Error,
}

type Source<'a> = BufReader<Box<dyn Read + Send + 'a>>;

/// Verdicts on the lines of one file.
pub struct Reader<'a> {
    from: From<'a>,
    ready: std::vec::IntoIter<Verdict>,
}

enum From<'a> {
    Here(&'static Layout, Lines<Source<'a>>),
    /// What each judging thread has ready, and whose turn it is: blocks were dealt out in the same order.
    Ahead(Vec<Receiver<Vec<Verdict>>>, usize),
}

const BUFFER: usize = 256 * 1024;
/// How a gzip file begins.
const GZIP: &[u8] = &[0x1f, 0x8b];
/// Threads that judge, at the most, beside the one that cuts and the one that takes: more would wait for
/// either.
const JUDGES: usize = 4;
/// Blocks that wait before and behind each of them: with these, memory is bounded however slow the taker is.
const WAITING: usize = 2;

fn unpacked<'a>(from: impl Read + Send + 'a) -> io::Result<Lines<Source<'a>>> {
    let mut from = BufReader::with_capacity(BUFFER, from);
    let packed = from.fill_buf()?.starts_with(GZIP);
    let from: Box<dyn Read + Send + 'a> =
        if packed { Box::new(MultiGzDecoder::new(from)) } else { Box::new(from) };
    Ok(Lines::new(BufReader::with_capacity(BUFFER, from)))
}

impl<'a> Reader<'a> {
    /// Of anything that can be read, on this thread; gzip is told by its first bytes.
    pub fn new(layout: &'static Layout, from: impl Read + Send + 'a) -> io::Result<Reader<'a>> {
        Ok(Reader { from: From::Here(layout, unpacked(from)?), ready: Vec::new().into_iter() })
    }

    pub fn open(layout: &'static Layout, path: &Path) -> Result<Reader<'static>, Unreadable> {
        let unreadable = |why| Unreadable { path: path.display().to_string(), why };
        let lines = File::open(path).and_then(unpacked).map_err(unreadable)?;
        let judges = thread::available_parallelism().map_or(1, |cores| cores.get().saturating_sub(2));
        ahead(layout, lines, judges.clamp(1, JUDGES)).map_err(unreadable)
    }
}

/// Deals blocks out to so many judges in turn. Each thread ends when the one behind it has gone.
fn ahead(
    layout: &'static Layout,
    mut lines: Lines<Source<'static>>,
    judges: usize,
) -> io::Result<Reader<'static>> {
    let (mut to, mut from): (Vec<SyncSender<Block>>, Vec<_>) = (Vec::new(), Vec::new());
    for _ in 0..judges {
        let (deal, dealt) = sync_channel::<Block>(WAITING);
        let (give, given) = sync_channel(WAITING);
        let judge = move || {
            let mut record = ByteRecord::new();
            for block in dealt {
                if give.send(judge_block(layout, block, &mut record)).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("trace-judge".to_owned()).spawn(judge)?;
        to.push(deal);
        from.push(given);
    }
    let cut = move || {
        for to in to.iter().cycle() {
            let Some(block) = lines.next_block() else { return };
            if to.send(block).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("trace-cut".to_owned()).spawn(cut)?;
    Ok(Reader { from: From::Ahead(from, 0), ready: Vec::new().into_iter() })
}

impl Iterator for Reader<'_> {
    type Item = Verdict;

    fn next(&mut self) -> Option<Verdict> {
        loop {
            if let Some(verdict) = self.ready.next() {
                return Some(verdict);
            }
            let more = match &mut self.from {
                From::Here(layout, lines) => judge_block(layout, lines.next_block()?, &mut ByteRecord::new()),
                From::Ahead(judges, turn) => {
                    let more = judges.get(*turn)?.recv().ok()?;
                    *turn = (*turn + 1) % judges.len();
                    more
                }
            };
            self.ready = more.into_iter();
        }
    }
}

/// The verdicts on a block's lines.
fn judge_block(layout: &Layout, mut block: Block, record: &mut ByteRecord) -> Vec<Verdict> {
    let mut csv = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .buffer_capacity(block.bytes.len().max(1))
        .from_reader(&block.bytes[..]);
    let mut verdicts = Vec::with_capacity(block.lines as usize + 1);
    let last = block.first + block.lines - 1;
    let mut line = block.first;
    while line <= last {
        match csv.read_byte_record(record) {
            Ok(true) => {}
            // Each line is one record; were it not so, the lines that are left must still be accounted for.
            Ok(false) => break,
            Err(e) => {
                verdicts.push(broken(line, &e.to_string()));
                line += 1;
                continue;
            }
        }
        verdicts.push(match is_mark(record) {
            true => fault(line, block.faults.pop_front()),
            false => match judge(layout, line, record) {
                // The last line, without an end, that is no row: it was cut, and is not held against what was
                // meant.
                Verdict::Rejected(rejected) if block.open_ended && line == last => {
                    Verdict::Rejected(Rejected { reason: Reason::EndsMidway, ..rejected })
                }
                verdict => verdict,
            },
        });
        line += 1;
    }
    if let Some(why) = &block.broken {
        verdicts.push(broken(last + 1, why));
    }
    verdicts
}

/// The verdict on a line that went on as a mark.
fn fault(line: u64, fault: Option<Fault>) -> Verdict {
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
fn broken(line: u64, why: &str) -> Verdict {
    let (holds, allowed) = (format!("broken off: {why}"), "a whole file".to_owned());
    Verdict::Rejected(Rejected { line, column: None, holds, allowed, reason: Reason::EndsMidway })
}
