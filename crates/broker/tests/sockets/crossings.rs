//! What comes between two lines: a close, a request, an answer or a signal in the same moment as another. Each crossing
//! is forced by an order: what the peers do stands in the system's buffers before the broker is polled again.
//! `docs/acceptance.md` lists them.

use super::stand_ins::*;
use super::{BOTH, ONE};
use broker::StartupConfig;
use broker::engine::{QueryOutcome, QueryRequest, RequestedShard};
use bytes::Bytes;
use routing::{ClassId, ShardId, TenantId, Tenths};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

/// What a client reads up to the end of its connection; an error is a reset.
async fn to_end(mut client: TcpStream) -> String {
    let mut text = String::new();
    soon(client.read_to_string(&mut text)).await.expect("a reset");
    text
}

async fn until(what: impl Fn() -> bool) {
    soon(async {
        while !what() {
            pause(5).await;
        }
    })
    .await;
}

fn list(revision: u64, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": true, "members": members})
}

fn question(id: &'static str, class: u16, text: Bytes) -> QueryRequest {
    QueryRequest {
        id: Bytes::from_static(id.as_bytes()),
        class: ClassId(class),
        tenant: TenantId(0),
        deadline: Instant::now() + Duration::from_secs(60),
        work: Tenths::ZERO,
        shard_requests: vec![RequestedShard { shard: ShardId(3), weight: 1.0 }],
        retained_bytes: text.len(),
        text,
    }
}

// ---- clients that leave

/// A client that left before its query's first attempt: nothing of it is sent when a node comes, whatever state its
/// connection was in, and whatever it had sent behind its request.
#[rstest]
#[case::body_still_coming(false, "")]
#[case::whole(true, "")]
#[case::more_behind_it(true, "GET /_health HTTP/1.1\r\nHo")]
#[case::much_behind_it(true, &"x".repeat(500_000))]
fn sends_nothing_for_a_client_that_left(#[case] whole: bool, #[case] behind: &str) {
    play(async {
        let mut stage = Stage::with(1, |c| c["known"]["members"] = json!([]), |_| ()).await;
        stage.discovery.called().await;
        let text = query_request("gone", "lookup", 100_000, &body(ONE));
        let mut client = TcpStream::connect(stage.broker.listens).await.unwrap();
        let (first, last) = text.split_at(text.len() - 1);
        client.write_all(first.as_bytes()).await.unwrap();
        if whole {
            client.write_all(last.as_bytes()).await.unwrap();
            until(|| stage.broker.engine.open_queries() == 1).await;
            // Once its request is in work, what comes behind it lies unread.
            client.set_nodelay(true).unwrap();
            let _ = client.try_write(behind.as_bytes());
            pause(20).await; // so that it lies there before the close
        }
        let left = Instant::now();
        drop(client);
        until(|| stage.broker.engine.open_queries() == 0).await;
        // Its own time would be over in 100 s, its patience in 8 s.
        assert!(left.elapsed() < Duration::from_secs(4), "{:?}", left.elapsed());
        stage.discovery.reply(list(2, &[member(&stage.nodes, 0, "ready")]));
        until(|| stage.broker.engine.can_serve()).await;
        let _other = stage.ask("stays", "lookup", ONE).await;
        assert_eq!(stage.call().await.2[0].id, "stays.3");
    });
}

/// The same where the shard request waits for a connection that comes up late.
#[rstest]
fn sends_nothing_behind_a_late_connection_for_a_client_that_left() {
    play(async {
        let (full, fillers) = full_listener();
        let address = full.local_addr().unwrap();
        let slow = |c: &mut Value| {
            c["known"]["members"][0]["host_port"] = json!(address.to_string());
            c["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
            c["settings"]["Limits"]["ConnIdleMs"] = json!(100.0);
        };
        let stage = Stage::with(1, slow, |_| ()).await;
        let client = stage.ask("gone", "lookup", ONE).await;
        until(|| stage.broker.engine.in_flight_count() == 1).await;
        drop(client);
        until(|| stage.broker.engine.in_flight_count() == 0).await;
        for _ in fillers {
            soon(full.accept()).await.unwrap();
        }
        let (mut line, _) = soon(full.accept()).await.unwrap();
        let mut came = Vec::new();
        soon(line.read_to_end(&mut came)).await.unwrap();
        assert_eq!(came, b"");
    });
}

/// A listener whose line is full: what connects comes up when one of these has been accepted.
fn full_listener() -> (TcpListener, Vec<std::net::TcpStream>) {
    let full = tokio::net::TcpSocket::new_v4().unwrap();
    full.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = full.listen(0).unwrap();
    let address = full.local_addr().unwrap();
    let fill = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100));
    let fillers = std::iter::from_fn(|| fill().ok()).collect();
    (full, fillers)
}

// ---- closing beside clients

/// A request that came ahead, behind the last one that its connection answers, is not sent on: no answer could follow.
#[rstest]
fn sends_on_nothing_behind_the_last_answer() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = TcpStream::connect(stage.broker.listens).await.unwrap();
        let last =
            query_request("a", "lookup", 100_000, &body(ONE)).replace("Host:", "Connection: close\r\nHost:");
        let text = last + &query_request("b", "lookup", 100_000, &body(BOTH));
        client.write_all(text.as_bytes()).await.unwrap();
        let (node, line, shard_requests) = stage.call().await;
        assert_eq!(shard_requests[0].id, "a.3");
        stage.nodes[node].respond(line, "a.3", 'S', "v").await;
        let told = to_end(client).await;
        assert!(told.starts_with("HTTP/1.1 200"), "{told}");
        assert!(stage.is_silent());
        assert_eq!(stage.broker.engine.open_queries(), 0);
    });
}

/// Bytes behind the request that is answered as the process ends: the connection is not closed over them, which would
/// reset it and might destroy the answer.
#[rstest]
fn leaves_no_reset_behind_a_last_answer() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = TcpStream::connect(stage.broker.listens).await.unwrap();
        client.write_all(query_request("a", "lookup", 100_000, &body(ONE)).as_bytes()).await.unwrap();
        let (_, line, _) = stage.call().await;
        client.write_all(&vec![b'x'; 100_000]).await.unwrap();
        let listens = stage.broker.listens;
        let left = actix_rt::spawn(stage.broker.shut_down());
        // The front closes once the listener is gone.
        soon(async { while TcpStream::connect(listens).await.is_ok() {} }).await;
        stage.nodes[0].respond(line, "a.3", 'S', "the value").await;
        let told = to_end(client).await;
        assert!(told.starts_with("HTTP/1.1 200") && told.contains("the value"), "{told}");
        soon(left).await.unwrap();
    });
}

// ---- connections to nodes

/// A node closes a connection at rest in the moment in which a call is put on it: nothing was written, so the call goes
/// on another, also where it may run at most once and only one attempt is allowed.
#[rstest]
fn a_call_that_meets_the_close_of_a_resting_connection_goes_on_another() {
    play(async {
        let one_push = |c: &mut Value| c["settings"]["Limits"]["MaxAttempts"] = json!(1);
        let mut stage = Stage::with(1, one_push, |_| ()).await;
        for round in 0..5 {
            let mut client = stage.ask("a", "lookup", ONE).await;
            let line = loop {
                if let (_, line, PeerEvent::Batch(_)) = stage.next().await {
                    break line;
                }
            };
            stage.nodes[0].respond(line, "a.3", 'S', "v").await;
            assert_eq!(client.reply().await.unwrap().status, 200, "round {round}");
            until(|| stage.broker.engine.in_flight_count() == 0).await;
            pause(20).await; // turns are 5 ms apart: the next is at once
            // The system knows of the close, the broker does not yet.
            stage.nodes[0].close(line);
            let taken = stage.broker.engine.submit(question("once", 2, Bytes::from_static(b"q"))).unwrap();
            let answered = actix_rt::spawn(taken.outcome());
            let line = loop {
                if let (_, line, PeerEvent::Batch(_)) = stage.next().await {
                    break line;
                }
            };
            stage.nodes[0].respond(line, "once.3", 'S', "v").await;
            let verdict = soon(answered).await.unwrap();
            assert!(
                matches!(verdict, QueryOutcome::Response { complete: true, .. }),
                "round {round}: {verdict:?}"
            );
        }
    });
}

/// A peer that takes nothing lets a frame lie half written. Past the moment by which its attempt had to leave it never gets
/// whole, though the peer reads on later: the connection is cut.
#[rstest]
fn a_frame_half_written_past_its_moment_never_gets_whole() {
    play(async {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(16).unwrap();
        socket.set_nonblocking(true).unwrap();
        let node = TcpListener::from_std(socket.into()).unwrap();
        let address = node.local_addr().unwrap();
        let one = |c: &mut Value| {
            c["known"]["members"][0]["host_port"] = json!(address.to_string());
            c["settings"]["Limits"]["ConnectTimeoutMs"] = json!(300.0);
            c["settings"]["Limits"]["MaxOpen"] = json!(100_000);
            c["settings"]["Limits"]["StreamsPerConn"] = json!(10_000);
        };
        let stage = Stage::with(1, one, |_| ()).await;
        let text = Bytes::from(vec![b'q'; 50_000]);
        let mut verdicts = Vec::new();
        let taken = Instant::now();
        for at in 0..200 {
            let id: &'static str = format!("q{at}").leak();
            let one = stage.broker.engine.submit(question(id, 2, text.clone())).unwrap();
            verdicts.push((id, actix_rt::spawn(one.outcome())));
        }
        let (mut line, _) = soon(node.accept()).await.unwrap();
        // The first is whole and never answered: that it ends tells of the cut. By then nothing was read.
        let (_, verdict) = verdicts.remove(0);
        let verdict = soon(verdict).await.unwrap();
        assert!(matches!(verdict, QueryOutcome::Failed), "{verdict:?}");
        assert!(
            taken.elapsed() < Duration::from_secs(3),
            "its moment was over after 0.3 s: {:?}",
            taken.elapsed()
        );
        let (mut came, mut whole, mut declined) = (Vec::new(), Vec::new(), Vec::new());
        let _ = soon(line.read_to_end(&mut came)).await;
        for (id, verdict) in verdicts {
            match soon(verdict).await.unwrap() {
                QueryOutcome::Rejected { .. } => declined.push(id),
                QueryOutcome::Failed => {}
                other => panic!("{id}: {other:?}"),
            }
        }
        let mut rest = &came[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let Some((frame, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
                break;
            };
            if frame[0] == b'1' {
                let end = frame.iter().position(|byte| *byte == b'.').unwrap();
                whole.push(String::from_utf8(frame[1..end].to_vec()).unwrap());
            }
            rest = after;
        }
        assert!(!rest.is_empty(), "the last frame got whole after its moment");
        assert!(declined.iter().all(|id| !whole.contains(&(*id).to_owned())), "declined, and sent");
    });
}

/// A shard request that may have run is repeated only where its class may, and then only while its window is open when the last byte
/// of the repeat has left, for which a connection may have to come up first (2 s here). The window is the settings' own.
#[rstest]
#[case::safe("idempotent", 0.0, true)]
#[case::known_by_its_id("deduplicated", 5000.0, true)]
#[case::window_shorter_than_the_way("deduplicated", 1500.0, false)]
#[case::at_most_once("at_most_once", 5000.0, false)]
fn repeats_as_the_settings_of_its_class_allow(
    #[case] effect: &str,
    #[case] window_ms: f64,
    #[case] again: bool,
) {
    play(async {
        let settings = |c: &mut Value| {
            c["settings"]["Services"][1]["Effect"] = json!(effect);
            c["settings"]["Services"][1]["DedupWindowMs"] = json!(window_ms);
        };
        let mut stage = Stage::with(2, settings, |_| ()).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        let (first, line, _) = stage.call().await;
        stage.nodes[first].close(line);
        if again {
            let (second, line) = loop {
                if let (node, line, PeerEvent::Batch(_)) = stage.next().await {
                    break (node, line);
                }
            };
            stage.nodes[second].respond(line, "a.3", 'S', "v").await;
        }
        let status = client.reply().await.unwrap().status;
        assert_eq!(status == 200, again, "{status}");
        while let Ok(received) = stage.heard.try_recv() {
            assert!(!matches!(received.event, PeerEvent::Batch(_)), "sent once more");
        }
    });
}

/// A tenant that only another deployment has is served, without a share of its own.
#[rstest]
fn serves_a_caller_that_the_settings_do_not_name() {
    play(async {
        let mut stage = Stage::with(
            1,
            |c| c["settings"]["Tenants"] = json!([{"Name": "ours", "Share": 1.0, "QuotaRps": 100.0}]),
            |_| (),
        )
        .await;
        let mut client = stage.client().await;
        let text =
            query_request("a", "lookup", 9000, &body(ONE)).replace("Host:", "X-Account: theirs\r\nHost:");
        client.write(&text).await;
        let (node, line, _) = stage.call().await;
        stage.nodes[node].respond(line, "a.3", 'S', "v").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

// ---- the list

/// What the agent has counts as told from the first moment of a process: nothing is sent by what was known before, though
/// the agent's first answer never comes and a client asks.
#[rstest]
fn sends_nothing_before_the_agent_is_heard() {
    play(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let place = agent.local_addr().unwrap();
        let mut stage = Stage::with(2, pushed, |order| order.discovery = place).await;
        let mut client = stage.client().await;
        client.write(HEALTH).await;
        assert_eq!(client.reply().await.unwrap().status, 503);
        let _waits = stage.ask("a", "lookup", ONE).await;
        until(|| stage.broker.engine.open_queries() == 1).await;
        // The first call lies on a connection that says nothing; the second is answered.
        let (_silent, _) = soon(agent.accept()).await.unwrap();
        let (mut second, _) = soon(agent.accept()).await.unwrap();
        soon(second.read(&mut [0; 4096])).await.unwrap();
        assert!(stage.is_silent());
        let members = [member(&stage.nodes, 0, "draining"), member(&stage.nodes, 1, "ready")];
        answer_http(&mut second, &list(2, &members).to_string()).await;
        let (node, _, shard_requests) = stage.call().await;
        assert_eq!((node, &shard_requests[0].id[..]), (1, "a.3"));
        client.write(HEALTH).await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

async fn answer_http(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).await.unwrap();
}

/// Several calls wait at a silent agent. One of them fails in the moment in which another is answered: the answer is taken
/// at once, not with the next call, by which the drain's grace may be over.
#[rstest]
#[case::fails_first(true)]
#[case::answered_first(false)]
fn an_answer_beside_a_failing_call_is_taken_at_once(#[case] fails_first: bool) {
    play(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let place = agent.local_addr().unwrap();
        let beat = Duration::from_secs(3);
        let waits = move |order: &mut StartupConfig| {
            (order.discovery, order.limits.agent_retry_interval, order.limits.list_timeout) =
                (place, beat, 3 * beat);
        };
        let stage = Stage::with(1, pushed, waits).await;
        let body = list(2, &[member(&stage.nodes, 0, "ready")]).to_string();
        let (mut first, _) = soon(agent.accept()).await.unwrap();
        soon(first.read(&mut [0; 4096])).await.unwrap();
        let (mut second, _) = soon(agent.accept()).await.unwrap();
        soon(second.read(&mut [0; 4096])).await.unwrap();
        let called = Instant::now();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        // Both are written with no turn of the broker's between, one before the other in the system.
        match fails_first {
            true => {
                drop(first);
                second.try_write(head.as_bytes()).unwrap();
            }
            false => {
                second.try_write(head.as_bytes()).unwrap();
                drop(first);
            }
        }
        until(|| stage.broker.engine.can_serve()).await;
        assert!(called.elapsed() < beat, "only with the next call");
    });
}

/// Answers that break off, that never end or that are too long are none: the old list holds, and all is asked for again.
/// Without a length the end of the connection ends an answer, and a reset does not.
#[rstest]
#[case::no_length_and_a_reset("HTTP/1.1 200 OK\r\n\r\n", "", true, false)]
#[case::no_length_and_an_end("HTTP/1.1 200 OK\r\n\r\n", "", false, true)]
#[case::a_length_and_a_reset("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "", true, false)]
#[case::chunks_that_break_off("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n", "", false, false)]
#[case::too_long("HTTP/1.1 200 OK\r\n\r\n", &" ".repeat(70_000), false, false)]
#[case::indented("HTTP/1.1 200 OK\r\n\r\n", "\r\n    \t", false, true)]
fn a_reset_is_no_end(#[case] head: &str, #[case] before: &str, #[case] reset: bool, #[case] taken: bool) {
    play(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let place = agent.local_addr().unwrap();
        let stage = Stage::with(1, pushed, |order| order.discovery = place).await;
        let (mut first, _) = soon(agent.accept()).await.unwrap();
        let body = list(2, &[member(&stage.nodes, 0, "ready")]).to_string();
        soon(first.read(&mut [0; 4096])).await.unwrap();
        first.write_all(format!("{head}{before}{body}").as_bytes()).await.unwrap();
        if reset {
            SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(first);
        if taken {
            until(|| stage.broker.engine.can_serve()).await;
            return;
        }
        // The next call comes, and nothing was taken of the answer before.
        let (mut second, _) = soon(agent.accept()).await.unwrap();
        soon(second.read(&mut [0; 4096])).await.unwrap();
        assert!(!stage.broker.engine.can_serve());
        answer_http(&mut second, &body).await;
        until(|| stage.broker.engine.can_serve()).await;
    });
}

/// A watch that was reset is opened anew within the time after which what it misses counts as told, also where the list
/// is asked for and the settings would allow a longer silence.
#[rstest]
#[case("subscribe")]
#[case("automatic")]
fn a_watch_that_was_reset_is_opened_anew(#[case] mode: &str) {
    play(async {
        let agent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let place = agent.local_addr().unwrap();
        let settings = |c: &mut Value| c["settings"]["RegistryMode"] = json!(mode);
        let stage = Stage::with(1, settings, |order| order.discovery = place).await;
        let body = list(2, &[member(&stage.nodes, 0, "ready")]).to_string();
        let mut resets = 0;
        let began = Instant::now();
        while resets < 4 {
            let (mut call, _) = soon(agent.accept()).await.unwrap();
            let mut head = [0; 4096];
            while let Ok(count @ 1..) = soon(call.read(&mut head)).await {
                if !head[..count].starts_with(b"GET /catalog/members HTTP") {
                    SockRef::from(&call).set_linger(Some(Duration::ZERO)).unwrap();
                    resets += 1;
                    break;
                }
                answer_http(&mut call, &body).await;
            }
        }
        // Each within half a second of the reset; by the settings' 50 s it would be some seconds each.
        assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    });
}

// ---- the way out

/// A second SIGTERM and a SIGHUP on the way out, discovery down, and a node that hangs: what is open gets its final word
/// before the kill, and the exit is in order.
#[rstest]
fn leaves_before_the_kill_though_a_node_hangs() {
    play(async {
        let mut stage = Stage::new(1).await; // its stand-ins serve the program
        let file = std::env::temp_dir().join(format!("shard-broker-leave-{}.json", std::process::id()));
        let nowhere = "127.0.0.1:9";
        std::fs::write(&file, config(&stage.nodes, nowhere).to_string()).unwrap();
        let mut program = Program::start(&file, nowhere);
        let mut client = Client::to(program.listens).await;
        client.write(&query_request("a", "once", 100_000, &body(ONE))).await;
        stage.call().await;
        for signal in ["TERM", "HUP", "TERM"] {
            program.signal(signal);
        }
        program.says("shutting down open_queries=1");
        let reply = client.reply().await.unwrap();
        assert_eq!(reply.status, 502);
        program.says("answered as failed failed_queries=1");
        program.says("shut down");
        assert_eq!(program.exit(), Some(0));
        std::fs::remove_file(&file).unwrap();
    });
}

/// SIGKILL can't be answered, SIGTERM can: bytes of a request that stand on a kept connection when the word comes are
/// answered, and the connection ends with that.
#[rstest]
fn answers_what_comes_with_the_word_to_leave() {
    play(async {
        let mut stage = Stage::new(1).await;
        let file = std::env::temp_dir().join(format!("shard-broker-word-{}.json", std::process::id()));
        std::fs::write(&file, config(&stage.nodes, "127.0.0.1:9").to_string()).unwrap();
        let mut program = Program::start(&file, "127.0.0.1:9");
        let mut client = std::net::TcpStream::connect(program.listens).unwrap();
        client.write_all(HEALTH.as_bytes()).unwrap();
        assert!(client.read(&mut [0; 1024]).unwrap() > 0);
        program.signal("TERM");
        client.write_all(query_request("a", "once", 100_000, &body(ONE)).as_bytes()).unwrap();
        let (_, line, _) = stage.call().await;
        stage.nodes[0].respond(line, "a.3", 'S', "the value").await;
        client.set_nonblocking(true).unwrap();
        let mut client = TcpStream::from_std(client).unwrap();
        let mut told = vec![0; 1024];
        let count = soon(client.read(&mut told)).await.unwrap();
        let told = String::from_utf8_lossy(&told[..count]).into_owned();
        assert!(told.contains("the value"), "{told}");
        program.says("shut down");
        assert_eq!(program.exit(), Some(0));
        std::fs::remove_file(&file).unwrap();
    });
}
