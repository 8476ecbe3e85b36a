//! A broker's connection to an emulated node: decodes frames and writes responses.

use crate::frame::{
    BATCH, BatchEntry, CANCEL, LOAD_PROBE, LOAD_REPORT, MAX_FRAME_BYTES, OVERLOADED, PING, PONG, RESPONSE,
    UNKNOWN_KIND, WRONG_LENGTH, split_first_entry,
};
use crate::job::{JobId, SubmitOutcome};
use crate::load_report::LoadReport;
use crate::node_server::{ConnectionId, MAX_RECORDED, PendingRequest, ReceivedShardRequest, Shared};
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// The write half of a connection, shared by all threads that write responses.
pub(super) type Writer = Arc<Mutex<TcpStream>>;

/// The score in every response, which brokers ignore.
const SCORE: u32 = 1;

/// Serves a connection until the broker closes it or sends an invalid frame.
pub(super) fn serve(shared: &Shared, connection: ConnectionId, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer: Writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    loop {
        let Some(frame) = read_frame(&mut reader)? else {
            write_frame(&writer, WRONG_LENGTH);
            return Ok(());
        };
        match frame[0] {
            BATCH => accept_batch(shared, connection, &writer, &frame[1..])?,
            CANCEL => cancel(shared, connection, &String::from_utf8_lossy(&frame[1..])),
            PING => write_frame(&writer, PONG),
            LOAD_PROBE => {
                let now = shared.now();
                let load = shared.lock().node.load(now);
                write_frame(&writer, format!("{LOAD_REPORT}{load}").as_bytes());
            }
            _ => {
                write_frame(&writer, UNKNOWN_KIND);
                return Ok(());
            }
        }
    }
}

/// Reads the next frame, which has at least one byte. Returns `None` if its length is 0 or exceeds the maximum.
fn read_frame(reader: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if !(1..=MAX_FRAME_BYTES).contains(&length) {
        return Ok(None);
    }
    let mut frame = vec![0; length];
    reader.read_exact(&mut frame)?;
    Ok(Some(frame))
}

fn write_frame(writer: &Writer, frame: &[u8]) {
    let mut writer = writer.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let length = (frame.len() as u32).to_le_bytes();
    // Fails if the broker has closed the connection, and then no response is needed.
    let _ = writer.write_all(&[&length[..], frame].concat());
}

pub(super) fn write_response(writer: &Writer, id: &str, outcome: char, load: LoadReport, value: &[u8]) {
    let header = format!("{RESPONSE}{id} {outcome} {SCORE} {load}\n");
    write_frame(writer, &[header.as_bytes(), value].concat());
}

fn accept_batch(
    shared: &Shared,
    connection: ConnectionId,
    writer: &Writer,
    mut rest: &[u8],
) -> io::Result<()> {
    while !rest.is_empty() {
        let (entry, after) = split_first_entry(rest).ok_or(io::ErrorKind::InvalidData)?;
        rest = after;
        accept_shard_request(shared, connection, writer, &entry);
    }
    shared.jobs_changed.notify_all();
    Ok(())
}

fn accept_shard_request(shared: &Shared, connection: ConnectionId, writer: &Writer, entry: &BatchEntry) {
    let BatchEntry { id, shard, text, .. } = *entry;
    let now = shared.now();
    let mut state = shared.lock();
    // A crash may leave unread frames on closed connections. A restarted node must not execute them.
    if !state.connections.contains_key(&connection) {
        return;
    }
    if state.received.len() < MAX_RECORDED {
        let node_state = state.node.state();
        state.received.push(ReceivedShardRequest { id: id.to_owned(), shard, at: now, state: node_state });
    }
    let job = JobId(state.next_id());
    match state.node.submit(now, job, (shared.work)(shard, text)) {
        SubmitOutcome::Started | SubmitOutcome::Queued => {
            let request = PendingRequest { connection, id: id.to_owned(), writer: writer.clone() };
            state.pending.insert(job, request);
            state.jobs.insert((connection, id.to_owned()), job);
        }
        SubmitOutcome::Refused => write_response(writer, id, OVERLOADED, state.node.load(now), b""),
        SubmitOutcome::Unreachable | SubmitOutcome::Collapsed => state.crash(),
    }
}

fn cancel(shared: &Shared, connection: ConnectionId, id: &str) {
    let now = shared.now();
    let mut state = shared.lock();
    if let Some(job) = state.jobs.remove(&(connection, id.to_owned())) {
        state.pending.remove(&job);
        state.node.cancel(now, job);
    }
    drop(state);
    shared.jobs_changed.notify_all();
}
