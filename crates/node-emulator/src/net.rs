//! The model on a loopback socket: frames as the platform's protocol has them. Real time comes in here, and
//! nowhere below. It notes what came, so that the rules can be held against what a host got.

use crate::{Build, Host, JobNo, Load, State, Taken};
use routing::Tenths;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A shard request that came, as its host saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub id: String,
    pub shard: u32,
    /// Since the host was begun.
    pub at: Tenths,
    /// How it stood at that moment.
    pub state: State,
}

/// Microseconds of work of a shard request, by its shard and its text.
pub type Work = fn(u32, &[u8]) -> u64;

type Line = Arc<Mutex<TcpStream>>;

struct Inner {
    host: Host,
    jobs: BTreeMap<JobNo, (u64, String, Line)>,
    by_id: BTreeMap<(u64, String), JobNo>,
    lines: BTreeMap<u64, TcpStream>,
    last: u64,
    seen: Vec<Seen>,
    over: bool,
}

struct Shared {
    inner: Mutex<Inner>,
    bell: Condvar,
    began: Instant,
    work: Work,
}

/// A host that serves on loopback, until this is dropped.
pub struct Served {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// A frame may be so long; a longer one closes the connection.
const FRAME: usize = 1 << 20;
/// What is seen is kept as far back as this.
const KEPT: usize = 1_000_000;

impl Served {
    pub fn start(build: Build, work: Work) -> io::Result<Served> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let inner = Inner {
            host: Host::new(build, None),
            jobs: BTreeMap::new(),
            by_id: BTreeMap::new(),
            lines: BTreeMap::new(),
            last: 0,
            seen: Vec::new(),
            over: false,
        };
        let (inner, bell, began) = (Mutex::new(inner), Condvar::new(), Instant::now());
        let shared = Arc::new(Shared { inner, bell, began, work });
        let (accepting, ending) = (shared.clone(), shared.clone());
        std::thread::spawn(move || accept(&accepting, &listener));
        std::thread::spawn(move || end_jobs(&ending));
        Ok(Served { address, shared })
    }

    /// The process is gone: connections are reset, and what comes finds nobody.
    pub fn die(&self) {
        self.shared.lock().fall();
    }

    /// It is back under its address, cold.
    pub fn come_back(&self) {
        let now = self.shared.now();
        self.shared.lock().host.start(now);
    }

    pub fn drain(&self) {
        self.shared.lock().host.drain();
    }

    pub fn slow(&self, share: f64) {
        self.shared.lock().host.slow(share);
    }

    pub fn load(&self) -> Load {
        let now = self.shared.now();
        self.shared.lock().host.load(now)
    }

    /// Parts that came, in their order.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.lock().seen.clone()
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.over = true;
        inner.fall();
        drop(inner);
        self.shared.bell.notify_all();
        // Wakes the listener, which then sees that it is over.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Tenths {
        Tenths((self.began.elapsed().as_micros() / 100) as i64)
    }
}

impl Inner {
    fn fall(&mut self) {
        self.host.die();
        self.jobs.clear();
        self.by_id.clear();
        // A connection that is gone already is closed enough.
        std::mem::take(&mut self.lines).into_iter().for_each(|(_, line)| _ = line.shutdown(Shutdown::Both));
    }
}

/// Without a process a connection is dropped as it comes: on loopback that is as near to a refusal as it gets
/// while the address is kept.
fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut inner = shared.lock();
        if inner.over {
            return;
        }
        let Ok(stream) = stream else { continue };
        if inner.host.state() == State::Dead {
            continue;
        }
        inner.last += 1;
        let no = inner.last;
        if let Ok(copy) = stream.try_clone() {
            inner.lines.insert(no, copy);
        }
        drop(inner);
        let shared = shared.clone();
        std::thread::spawn(move || {
            let _ = serve(&shared, no, stream);
            shared.lock().lines.remove(&no);
        });
    }
}

/// Ends jobs as they come due.
fn end_jobs(shared: &Shared) {
    let mut inner = shared.lock();
    while !inner.over {
        let now = shared.now();
        while let Some(job) = inner.host.end(now) {
            let load = inner.host.load(now);
            if let Some((line_no, id, line)) = inner.jobs.remove(&job) {
                inner.by_id.remove(&(line_no, id.clone()));
                answer(&line, &id, 'S', &report(load), b"v");
            }
        }
        let wait = inner.host.next_end().map_or(Duration::from_millis(100), |end| {
            Duration::from_micros(u64::try_from((end - shared.now()).0).unwrap_or(0) * 100 + 50)
        });
        let waited = shared.bell.wait_timeout(inner, wait.min(Duration::from_millis(100)));
        inner = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
}

fn report(load: Load) -> String {
    format!("queue={},qps={},inflight={}", load.queue, load.qps, load.inflight)
}

fn write(line: &Line, frame: &[u8]) {
    let mut line = line.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let length = (frame.len() as u32).to_le_bytes();
    // One whose broker has gone is nobody's.
    let _ = line.write_all(&[&length[..], frame].concat());
}

fn answer(line: &Line, id: &str, end: char, report: &str, value: &[u8]) {
    write(line, &[format!("5{id} {end} 1 {report}\n").as_bytes(), value].concat());
}

fn serve(shared: &Shared, no: u64, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let line: Line = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = [0; 4];
        reader.read_exact(&mut length)?;
        let length = u32::from_le_bytes(length) as usize;
        if !(1..=FRAME).contains(&length) {
            write(&line, b"Xa frame of a wrong length");
            return Ok(());
        }
        let mut frame = vec![0; length];
        reader.read_exact(&mut frame)?;
        match frame[0] {
            b'1' => take_call(shared, no, &line, &frame[1..])?,
            b'2' => give_up(shared, no, &String::from_utf8_lossy(&frame[1..])),
            b'3' => write(&line, b"3S"),
            b'4' => {
                let now = shared.now();
                let load = shared.lock().host.load(now);
                write(&line, format!("4{}", report(load)).as_bytes());
            }
            _ => {
                write(&line, b"Xan unknown letter");
                return Ok(());
            }
        }
    }
}

/// A call's shard requests, each a line `ID SHARD LIST LENGTH` and so many bytes.
fn take_call(shared: &Shared, no: u64, line: &Line, mut rest: &[u8]) -> io::Result<()> {
    let unusable = || io::Error::from(io::ErrorKind::InvalidData);
    while !rest.is_empty() {
        let mut head = String::new();
        rest.read_line(&mut head)?;
        let mut fields = head.trim_end().split(' ');
        let (id, shard) = fields.next().zip(fields.next()).ok_or_else(unusable)?;
        let shard: u32 = shard.parse().map_err(|_| unusable())?;
        let length: usize = fields.nth(1).and_then(|text| text.parse().ok()).ok_or_else(unusable)?;
        let (text, behind) = rest.split_at_checked(length).ok_or_else(unusable)?;
        rest = behind;
        take_part(shared, no, line, id, shard, text);
    }
    shared.bell.notify_all();
    Ok(())
}

fn take_part(shared: &Shared, no: u64, line: &Line, id: &str, shard: u32, text: &[u8]) {
    let now = shared.now();
    let mut inner = shared.lock();
    // Guards against what was still to be read on a connection of a process that died: the next one never had
    // it.
    if !inner.lines.contains_key(&no) {
        return;
    }
    let state = inner.host.state();
    if inner.seen.len() < KEPT {
        inner.seen.push(Seen { id: id.to_owned(), shard, at: now, state });
    }
    inner.last += 1;
    let job = JobNo(inner.last);
    match inner.host.take(now, job, (shared.work)(shard, text)) {
        Taken::Begun | Taken::Queued => {
            inner.jobs.insert(job, (no, id.to_owned(), line.clone()));
            inner.by_id.insert((no, id.to_owned()), job);
        }
        Taken::Refused => {
            let load = inner.host.load(now);
            answer(line, id, 'B', &report(load), b"");
        }
        Taken::Unreachable | Taken::FellOver => inner.fall(),
    }
}

fn give_up(shared: &Shared, no: u64, id: &str) {
    let now = shared.now();
    let mut inner = shared.lock();
    if let Some(job) = inner.by_id.remove(&(no, id.to_owned())) {
        inner.jobs.remove(&job);
        inner.host.give_up(now, job);
    }
    drop(inner);
    shared.bell.notify_all();
}
