//! The host on a loopback socket, by its frames.

use node_emulator::net::Served;
use node_emulator::{Build, State};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn served(cores: usize, queue: usize) -> Served {
    // A second for each part of shard 1, none to speak of for others.
    Served::start(
        Build { cores, queue, ..Build::default() },
        |shard, _| if shard == 1 { 1_000_000 } else { 100 },
    )
    .unwrap()
}

struct Line(TcpStream);

impl Line {
    fn to(host: &Served) -> Line {
        let stream = TcpStream::connect(host.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Line(stream)
    }

    fn write(&mut self, frame: &str) {
        let frame = frame.as_bytes();
        self.0.write_all(&[&(frame.len() as u32).to_le_bytes()[..], frame].concat()).unwrap();
    }

    /// The next frame; none: the host closed the connection.
    fn read(&mut self) -> Option<String> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut frame).ok()?;
        String::from_utf8(frame).ok()
    }
}

#[rstest]
fn answers_calls_and_probes() {
    let host = served(4, 8);
    let mut line = Line::to(&host);
    line.write("1q.3 3 d=240 2\nxyq.4 4 d=240 0\n");
    let mut answers = [line.read().unwrap(), line.read().unwrap()];
    answers.sort();
    assert!(answers[0].starts_with("5q.3 S 1 queue=") && answers[0].ends_with("\nv"), "{answers:?}");
    assert!(answers[1].starts_with("5q.4 S 1 queue="));
    line.write("3");
    assert_eq!(line.read().unwrap(), "3S");
    line.write("4");
    assert_eq!(line.read().unwrap(), "4queue=0,qps=2,inflight=0");
    let seen: Vec<_> = host.seen().into_iter().map(|seen| (seen.id, seen.shard, seen.state)).collect();
    assert_eq!(seen, [("q.3".to_owned(), 3, State::Ready), ("q.4".to_owned(), 4, State::Ready)]);
}

/// A full queue and a drain turn away; what is given up makes room and is not answered.
#[rstest]
fn turns_away_and_gives_up() {
    let host = served(1, 1);
    let mut line = Line::to(&host);
    line.write("1a.1 1 d=9 0\nb.1 1 d=9 0\nc.1 1 d=9 0\n");
    assert!(line.read().unwrap().starts_with("5c.1 B "));
    line.write("2b.1");
    host.drain();
    line.write("1d.1 1 d=9 0\n");
    let mut answers = [line.read().unwrap(), line.read().unwrap()];
    answers.sort();
    assert!(answers[0].starts_with("5a.1 S "), "what it had is finished: {answers:?}");
    assert!(answers[1].starts_with("5d.1 B "), "{answers:?}");
    assert_eq!(host.seen().last().unwrap().state, State::Draining);
}

/// Dead, its connections end, and new ones find nobody; back, it serves under its address.
#[rstest]
fn dies_and_comes_back() {
    let host = served(1, 1);
    let mut line = Line::to(&host);
    line.write("1a.1 1 d=9 0\n");
    host.die();
    assert_eq!(line.read(), None);
    let mut line = Line::to(&host);
    assert_eq!(line.read(), None);
    host.come_back();
    let mut line = Line::to(&host);
    line.write("1b.2 2 d=9 0\n");
    assert!(line.read().unwrap().starts_with("5b.2 S "));
}

#[rstest]
#[case("9what")]
#[case("1a.1 one d=9 0\n")]
#[case("1a.1 1 d=9 50\nshort")]
fn closes_on_what_it_cannot_use(#[case] frame: &str) {
    let host = served(1, 1);
    let mut line = Line::to(&host);
    line.write(frame);
    while line.read().is_some() {}
    let mut other = Line::to(&host);
    other.write("3");
    assert_eq!(other.read().unwrap(), "3S");
}
