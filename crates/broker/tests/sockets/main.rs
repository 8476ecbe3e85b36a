//! The broker on loopback sockets, among stand-ins.

mod crossings;
mod stand_ins;

use broker::StartupConfig;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;

const BOTH: &[(u32, f64)] = &[(3, 0.5), (9, 0.5)];
const ONE: &[(u32, f64)] = &[(3, 1.0)];

#[rstest]
fn answers_with_what_the_nodes_gave() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = stage.client().await;
        let body = r#"{"slices":[{"slice":3,"mass":0.7,"micros":9000,"term":"00ff"},{"slice":9,"mass":0.3}],
            "filter":"a\n\"ü\" \u00e9","more":[1]}"#;
        client.write(&request("9b1f", "lookup", 9000, body)).await;
        let (_, line, shard_requests) = stage.call().await;
        let told: Vec<(&str, u32, &str)> =
            shard_requests.iter().map(|p| (&p.id[..], p.shard, &p.text[..])).collect();
        assert_eq!(told, [("9b1f.3", 3, "a\n\"ü\" é"), ("9b1f.9", 9, "a\n\"ü\" é")]);
        let wait: u64 = shard_requests[0].list.strip_prefix("d=").unwrap().parse().unwrap();
        assert!((1..9000).contains(&wait), "{wait}");
        stage.nodes[0].end(line, "9b1f.9", 'S', "plain").await;
        stage.nodes[0].end(line, "9b1f.3", 'S', "\"quoted\"\\ü\n").await;
        let reply = client.reply().await.unwrap();
        assert_eq!(reply.status, 200);
        let items = json!([{"slice": 3, "body": "\"quoted\"\\ü\n"}, {"slice": 9, "body": "plain"}]);
        let told: Value = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(told, json!({"entire": true, "items": items}));
        // The connection serves on.
        client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

/// Attempts of one turn to one node share calls, across queries; turns are the period apart.
#[rstest]
fn pushes_of_one_turn_share_calls() {
    play(async {
        let slow_turns = |c: &mut Value| c["settings"]["PeriodMs"] = json!(1500.0);
        let mut stage = Stage::with(1, slow_turns, |_| ()).await;
        pause(100).await;
        let _first = stage.ask("a", "lookup", BOTH).await;
        let _second = stage.ask("b", "lookup", &[(0, 0.3), (1, 0.3), (2, 0.4)]).await;
        let (mut ids, mut sizes) = (Vec::new(), Vec::new());
        while ids.len() < 5 {
            let (_, _, shard_requests) = stage.call().await;
            sizes.push(shard_requests.len());
            ids.extend(shard_requests.into_iter().map(|shard_request| shard_request.id));
        }
        ids.sort();
        assert_eq!((ids.join(" "), sizes), ("a.3 a.9 b.0 b.1 b.2".to_owned(), vec![4, 1]));
    });
}

/// A client that closes its connection has gone: the module hears it, and the nodes do.
#[rstest]
fn tells_the_nodes_when_the_client_has_left() {
    play(async {
        let mut stage = Stage::new(1).await;
        let client = stage.ask("a", "lookup", ONE).await;
        let (node, line, _) = stage.call().await;
        let left = Instant::now();
        drop(client);
        assert_eq!(stage.next().await, (node, line, Heard::GiveUp("a.3".to_owned())));
        assert!(left.elapsed() < Duration::from_secs(5), "that was its time-out");
        assert_eq!(stage.broker.engine.open_queries(), 0);
        // A value that comes all the same is nobody's; the connection serves on.
        stage.nodes[node].end(line, "a.3", 'S', "late").await;
        let mut other = stage.ask("b", "lookup", ONE).await;
        assert_eq!(stage.call().await.1, line);
        stage.nodes[node].end(line, "b.3", 'S', "in time").await;
        assert!(other.reply().await.unwrap().body.contains("in time"));
    });
}

#[rstest]
#[case("POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404)]
#[case("GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 405)]
#[case("POST /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405)]
#[case("no request at all\r\n\r\n", 400)]
#[case(&request("a b", "lookup", 900, &body(ONE)), 400)]
#[case(&request("", "lookup", 900, &body(ONE)), 400)]
#[case(&request("a", "unheard-of", 900, &body(ONE)), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: soon"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("X-Time-Left-Ms: ", "X-Time-Left-Ms: +"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("X-Time", "X-Time-Left-Ms: 5\r\nX-Time"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Host", "X-Correlation-Id: b\r\nHost"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Host", "Upgrade: websocket\r\nHost"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Host", "Transfer-Encoding: chunked\r\nHost"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Host", "Content-Length: 0\r\nHost"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Length: ", "Length: +"), 400)]
#[case(&request("a", "lookup", 900, &body(ONE)).replace("Length: ", "Length: -"), 400)]
#[case(&request("a", "lookup", 900, "{\"slices\":"), 400)]
#[case(&request("a", "lookup", 900, &body(&[])), 400)]
#[case(&request("a", "lookup", 900, &body(&[(3, 0.5), (3, 0.5)])), 400)]
#[case(&request("a", "lookup", 900, &body(&[(16, 1.0)])), 400)]
#[case(&request("a", "lookup", 900, &body(&[(3, 0.4), (4, 0.4)])), 400)]
#[case(&request("a", "lookup", 900, &body(&[(3, 1.5), (4, -0.5)])), 400)]
#[case(&request("a", "lookup", 900, &body(&[(3, 1.005)])), 400)]
#[case(&request("a", "lookup", 900, &" ".repeat(64 * 1024 + 1)), 413)]
#[case("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n", 413)]
#[case(&format!("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n{}", " ".repeat(200_000)), 413)]
#[case(&format!("GET /_health HTTP/1.1\r\nHost: x\r\nX: {}", "x".repeat(100_000)), 431)]
fn says_what_is_wrong_with_a_request(#[case] text: &str, #[case] status: u16) {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = stage.client().await;
        client.write(text).await;
        assert_eq!(client.reply().await.unwrap().status, status);
        assert!(stage.is_silent());
        let mut other = stage.ask("a", "lookup", ONE).await;
        let (node, line, _) = stage.call().await;
        stage.nodes[node].end(line, "a.3", 'S', "v").await;
        assert_eq!(other.reply().await.unwrap().status, 200);
    });
}

/// What an end tells: broken after the frame it may have run; turned away, or refused, it never did.
#[rstest]
#[case("report", "dropped", true, 200)]
#[case("report", "error", true, 200)]
#[case("report", "bad frame", true, 200)]
#[case("report", "turned away", true, 200)]
#[case("once", "dropped", false, 502)]
#[case("once", "error", false, 502)]
#[case("once", "bad frame", false, 502)]
#[case("once", "turned away", true, 200)]
fn pushes_again_as_the_end_allows(
    #[case] class: &str,
    #[case] end: &str,
    #[case] again: bool,
    #[case] status: u16,
) {
    play(async {
        let mut stage = Stage::new(2).await;
        let mut client = stage.ask("a", class, ONE).await;
        let (first, line, _) = stage.call().await;
        match end {
            "dropped" => stage.nodes[first].close(line),
            "error" => stage.nodes[first].end(line, "a.3", 'E', "").await,
            "turned away" => stage.nodes[first].end(line, "a.3", 'B', "").await,
            _ => stage.nodes[first].write(line, &u32::MAX.to_le_bytes()).await,
        }
        if again {
            let (second, line, shard_requests) = loop {
                match stage.next().await {
                    (node, line, Heard::Call(shard_requests)) => break (node, line, shard_requests),
                    (_, _, Heard::Closed) => {}
                    other => panic!("{other:?}"),
                }
            };
            assert_ne!(first, second);
            stage.nodes[second].end(line, &shard_requests[0].id, 'S', "v").await;
        }
        assert_eq!(client.reply().await.unwrap().status, status);
    });
}

/// What can't be told apart any more is given up with all that is out beside it, and had elsewhere: nothing
/// that may be cut or swollen is passed on, and nothing waits for its time-out.
#[rstest]
#[case::not_a_length(framed(b"", 0))]
#[case::a_length_that_promises_more(framed(b"5a.3 S 7 -\nbad", 40))]
#[case::an_id_that_none_waits_for(framed(b"5b.3 S 7 -\nbad", 0))]
#[case::no_end(framed(b"5a.3 S 7 -", 0))]
#[case::swollen([framed(b"5a.3 S 7 -\nbad", 1), framed(b"5a.9 S 7 -\nbad", 0)].concat())]
#[case::cut(framed(b"5a.3 S 7 -\nbad", -1))]
#[case::noise_behind_while_more_is_out([framed(b"5a.3 S 7 -\nbad", 0), vec![0xff; 5]].concat())]
fn has_elsewhere_what_came_spoilt(#[case] bytes: Vec<u8>) {
    play(async {
        let soon = |order: &mut StartupConfig| order.limits.half_frame = Duration::from_millis(50);
        let mut stage = Stage::with(2, |_| (), soon).await;
        let mut client = stage.ask("a", "lookup", BOTH).await;
        let (first, line, shard_requests) = stage.call().await;
        assert_eq!(shard_requests.len(), 2);
        let began = Instant::now();
        stage.nodes[first].write(line, &bytes).await;
        let mut told = 0;
        while told < 2 {
            let (node, line, Heard::Call(shard_requests)) = stage.next().await else { continue };
            assert_ne!(node, first);
            for shard_request in shard_requests {
                told += 1;
                stage.nodes[node].end(line, &shard_request.id, 'S', "good").await;
            }
        }
        let reply = client.reply().await.unwrap();
        assert!(began.elapsed() < Duration::from_secs(2), "that was patience");
        assert!(reply.status == 200 && !reply.body.contains("bad"), "{reply:?}");
    });
}

/// A connection on which nothing came for long enough after a call gets no more: the next call goes on
/// another, and what comes on the first all the same still counts.
#[rstest]
fn puts_nothing_more_on_a_connection_that_fell_silent() {
    play(async {
        let soon = |order: &mut StartupConfig| order.limits.unheard = Duration::from_millis(100);
        let mut stage = Stage::with(1, |_| (), soon).await;
        let mut first = stage.ask("a", "lookup", ONE).await;
        let (_, silent, _) = stage.call().await;
        pause(200).await;
        let mut second = stage.ask("b", "lookup", ONE).await;
        let (_, line, _) = stage.call().await;
        assert_ne!(line, silent);
        stage.nodes[0].end(line, "b.3", 'S', "v").await;
        assert_eq!(second.reply().await.unwrap().status, 200);
        stage.nodes[0].end(silent, "a.3", 'S', "v").await;
        assert_eq!(first.reply().await.unwrap().status, 200);
    });
}

/// A good answer stays good, whatever report it brings and whatever comes behind it when none else is due.
#[rstest]
#[case("%%% 7", vec![])]
#[case("-", framed(b"5a.3 S 7 -\nv", 0))]
#[case("-", vec![0xff; 5])]
fn keeps_a_good_answer(#[case] report: &str, #[case] behind: Vec<u8>) {
    play(async {
        let mut stage = Stage::new(2).await;
        let mut client = stage.ask("a", "once", ONE).await;
        let (node, line, _) = stage.call().await;
        let good = framed(format!("5a.3 S 7 {report}\nv").as_bytes(), 0);
        stage.nodes[node].write(line, &[&good[..], &behind].concat()).await;
        let reply = client.reply().await.unwrap();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "{reply:?}");
        if !behind.is_empty() {
            assert_eq!(stage.next().await, (node, line, Heard::Closed));
        }
    });
}

/// A refused connection proves that nothing ran: even what may run at most once goes elsewhere.
#[rstest]
fn goes_elsewhere_when_a_node_refuses() {
    play(async {
        let refuses = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut stage =
            Stage::with(2, |c| c["known"]["members"][0]["host_port"] = json!(refuses.to_string()), |_| ())
                .await;
        for id in ["a", "b", "c", "d"] {
            let mut client = stage.ask(id, "once", ONE).await;
            let (node, line, shard_requests) = stage.call().await;
            assert_eq!(node, 1);
            stage.nodes[1].end(line, &shard_requests[0].id, 'S', "v").await;
            assert_eq!(client.reply().await.unwrap().status, 200);
        }
    });
}

/// Time runs from when the request began to come, and a shard request that times out is given up at its node.
#[rstest]
fn declines_in_the_clients_time_and_gives_parts_up() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = stage.client().await;
        let began = Instant::now();
        let text = request("a", "lookup", 700, &body(ONE));
        let (head, rest) = text.split_at(text.len() - 1);
        client.write(head).await;
        pause(300).await;
        client.write(rest).await;
        let (node, line, shard_requests) = stage.call().await;
        assert!(shard_requests[0].list[2..].parse::<u64>().unwrap() <= 400, "{}", shard_requests[0].list);
        let reply = client.reply().await.unwrap();
        assert!(began.elapsed() < Duration::from_millis(750), "{:?}", began.elapsed());
        assert_eq!(reply.status, 503);
        assert!(reply.head.contains("retry-after: 1.5000"), "{}", reply.head);
        assert_eq!(stage.next().await, (node, line, Heard::GiveUp("a.3".to_owned())));
    });
}

#[rstest]
fn follows_the_roll() {
    play(async {
        let mut stage = Stage::new(2).await;
        let list = |stage: &Stage, revision: u64, complete: bool, members: &[(usize, &str)]| {
            let members: Vec<Value> =
                members.iter().map(|(at, phase)| member(&stage.nodes, *at, phase)).collect();
            json!({"revision": revision, "complete": complete, "members": members})
        };
        assert_eq!(stage.discovery.called().await, "/catalog/members");
        stage.discovery.reply(list(&stage, 41, true, &[(0, "ready"), (1, "ready")]));
        assert_eq!(stage.discovery.called().await, "/catalog/members?after=41&wait_ms=4000");
        let answered = Instant::now();
        stage.discovery.reply(list(&stage, 43, false, &[(0, "draining")]));
        assert_eq!(stage.discovery.called().await, "/catalog/members?after=43&wait_ms=4000");
        assert!(answered.elapsed() < Duration::from_millis(200));
        // What can't be read leaves the old roll as it is, and all is asked for again.
        stage.discovery.reply("{\"revision\":44,\"complete\":true,\"members\":[{\"id\":7}]}");
        assert_eq!(stage.discovery.called().await, "/catalog/members");
        for id in ["a", "b", "c", "d"] {
            let mut client = stage.ask(id, "lookup", ONE).await;
            let (node, line, shard_requests) = stage.call().await;
            assert_eq!(node, 1, "the other drains");
            stage.nodes[1].end(line, &shard_requests[0].id, 'S', "v").await;
            assert_eq!(client.reply().await.unwrap().status, 200);
        }
    });
}

/// SIGHUP ends no broker: where the file names another discovery, that is asked at once, whatever the start
/// was told, and its list is taken though its revision is lower. A file that can't be used changes nothing.
#[rstest]
fn follows_discovery_where_a_new_config_says() {
    play(async {
        let mut old = Stage::new(2).await; // its stand-ins serve the program
        let mut new = Discovery::start().await;
        let file = std::env::temp_dir().join(format!("shard-broker-{}.json", std::process::id()));
        let write = |text: String| std::fs::write(&file, text).unwrap();
        let told = config(&old.nodes, &old.discovery.address().to_string());
        write(told.to_string());
        old.discovery.called().await;
        let program = Program::start(&file, &old.discovery.address().to_string());
        assert_eq!(old.discovery.called().await, "/catalog/members");
        for _ in 0..2 {
            old.discovery.reply(json!({"revision": 41, "complete": true, "members": []}));
            assert_eq!(old.discovery.called().await, "/catalog/members?after=41&wait_ms=4000");
        }
        for unusable in ["{\"name\":", "{}", &told.to_string().replace("\"discovery\":", "\"else\":")] {
            write(unusable.to_owned());
            program.signal("HUP");
            program.says("the new config is not used");
        }
        write(config(&old.nodes, &new.address().to_string()).to_string());
        program.signal("HUP");
        assert_eq!(new.called().await, "/catalog/members");
        new.reply(json!({"revision": 3, "complete": true, "members": [member(&old.nodes, 1, "ready")]}));
        assert_eq!(new.called().await, "/catalog/members?after=3&wait_ms=4000");
        let mut client = Client::to(program.listens).await;
        client.write(&request("a", "lookup", 9000, &body(ONE))).await;
        let (node, line, _) = old.call().await;
        assert_eq!(node, 1);
        old.nodes[node].end(line, "a.3", 'S', "v").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
        program.signal("TERM");
        program.says("left");
        std::fs::remove_file(&file).unwrap();
    });
}

/// An agent that fell silent is called on and on, however often that failed, so that what it has is heard of as soon
/// as it speaks: by waits that double the broker would miss a drain for seconds.
#[rstest]
fn calls_a_silent_agent_until_it_answers() {
    play(async {
        let waits = |order: &mut StartupConfig| order.limits.list_within = Duration::from_millis(300);
        let mut stage = Stage::with(1, pushed, waits).await;
        // Doubling from two and a half seconds, twenty calls take minutes.
        let twenty = async {
            for _ in 0..20 {
                assert_eq!(stage.discovery.called().await, "/catalog/members");
            }
        };
        tokio::time::timeout(Duration::from_secs(30), twenty).await.expect("twenty calls");
        let list = json!({"revision": 2, "complete": true, "members": [member(&stage.nodes, 0, "ready")]});
        // Most of those calls were given up, and take an answer all the same.
        (0..60).for_each(|_| stage.discovery.reply(&list));
        while stage.discovery.called().await != "/catalog/members?after=2&wait_ms=4000" {}
    });
}

/// Calls to a silent agent are given up in time: those that wait stay within the few descriptors set aside for it.
#[rstest]
fn few_calls_wait_at_a_silent_agent() {
    play(async {
        let agent = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let place = agent.local_addr().unwrap();
        let _stage = Stage::with(1, pushed, move |order| order.discovery = place).await;
        let (open, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        // By the watch alone, five seconds, fifty would wait.
        for _ in 0..40 {
            let (mut stream, _) = agent.accept().await.unwrap();
            open.set(open.get() + 1);
            most.set(most.get().max(open.get()));
            let open = open.clone();
            tokio::task::spawn_local(async move {
                // Reads to the end, and says nothing.
                _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                open.set(open.get() - 1);
            });
        }
        assert!(most.get() <= 20, "{}", most.get());
    });
}

/// A silent discovery is asked anew; one that only keeps a watch waiting, as it was told to, is waited for.
#[rstest]
fn tells_a_long_watch_from_silence() {
    play(async {
        let waits = |order: &mut StartupConfig| {
            order.limits.watch = Duration::from_secs(8);
            order.limits.watch_slack = Duration::from_millis(300);
            order.limits.list_within = Duration::from_millis(300);
        };
        let mut stage = Stage::with(1, pushed, waits).await;
        assert_eq!(stage.discovery.called().await, "/catalog/members");
        assert_eq!(stage.discovery.called().await, "/catalog/members", "the first was never answered");
        let members = [member(&stage.nodes, 0, "ready")];
        let list = json!({"revision": 2, "complete": true, "members": members});
        // One for the call that was given up, one for the next.
        stage.discovery.reply(&list);
        stage.discovery.reply(&list);
        let watch = "/catalog/members?after=2&wait_ms=8000";
        assert_eq!(stage.discovery.called().await, watch);
        pause(5500).await; // longer than the HTTP client waits by default
        stage.discovery.reply(json!({"revision": 2, "complete": false, "members": []}));
        assert_eq!(stage.discovery.called().await, watch);
    });
}

#[rstest]
fn is_ready_once_it_knows_a_node() {
    play(async {
        let mut stage = Stage::with(1, |c| c["known"]["members"] = json!([]), |_| ()).await;
        let mut client = stage.client().await;
        let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
        client.write(health).await;
        assert_eq!(client.reply().await.unwrap().status, 503);
        stage.discovery.called().await;
        let members = [member(&stage.nodes, 0, "ready")];
        stage.discovery.reply(json!({"revision": 2, "complete": true, "members": members}));
        stage.discovery.called().await;
        client.write(health).await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

/// After the word to leave, new connections are served for a moment, and all that was taken is answered.
#[rstest]
fn answers_all_before_it_leaves() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut idle = stage.client().await;
        let mut before = stage.ask("a", "lookup", ONE).await;
        let (_, line, _) = stage.call().await;
        let listens = stage.broker.listens;
        let Stage { broker, nodes, mut heard, .. } = stage;
        let left = actix_rt::spawn(broker.leave());
        pause(50).await;
        let mut during = Client::to(listens).await;
        during.write(&request("b", "lookup", 10_000, &body(ONE))).await;
        assert!(matches!(soon(heard.recv()).await, Some((0, _, Heard::Call(_)))));
        assert!(idle.reply().await.is_none(), "idle connections are closed");
        assert!(!left.is_finished());
        nodes[0].end(line, "a.3", 'S', "one").await;
        nodes[0].end(line, "b.3", 'S', "two").await;
        for (client, value) in [(&mut before, "one"), (&mut during, "two")] {
            let reply = client.reply().await.unwrap();
            assert!(reply.body.contains(value) && reply.head.contains("connection: close"), "{reply:?}");
        }
        soon(left).await.unwrap();
        assert!(tokio::net::TcpStream::connect(listens).await.is_err());
    });
}

/// Queries and shard requests up to `MaxOpen`, connections up to the descriptors: beyond, it rejects.
#[rstest]
fn declines_beyond_its_bounds() {
    play(async {
        let few = |c: &mut Value| {
            c["limits"]["sockets"] = json!(64);
            c["settings"]["Limits"]["MaxOpen"] = json!(5);
        };
        let mut stage = Stage::with(1, few, |_| ()).await;
        let _first = stage.ask("a", "lookup", &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]).await;
        stage.call().await;
        assert_eq!(stage.ask("c", "lookup", ONE).await.reply().await.unwrap().status, 503);
        // 19 connections, and two beyond that; those that are idle make room.
        let mut held = Vec::new();
        for at in 0..30 {
            let mut client = stage.client().await;
            client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
            assert_eq!(client.reply().await.unwrap().status, 200, "client {at}");
            held.push(client);
        }
        assert!(held[0].reply().await.is_none());
        let mut stuck = Vec::new();
        for _ in 0..18 {
            let mut client = stage.client().await;
            client.write("POST /api HT").await;
            stuck.push(client);
        }
        soon(async {
            let mut closes = false;
            while !closes {
                let reply = stage.ask("d", "lookup", ONE).await.reply().await.unwrap();
                assert_eq!(reply.status, 503);
                closes = reply.head.contains("connection: close");
            }
        })
        .await;
        assert!(stage.is_silent());
    });
}

/// With every place taken a new connection waits, and is served as soon as one of the others is idle.
#[rstest]
fn idle_connections_make_room_at_the_bound() {
    play(async {
        let few = |c: &mut Value| c["limits"]["sockets"] = json!(64);
        let stage = Stage::with(1, few, |order| order.limits.slow_client = Duration::from_secs(90)).await;
        let mut held = Vec::new();
        for _ in 0..21 {
            let mut client = stage.client().await;
            client.write("GET /_health HT").await;
            pause(20).await;
            held.push(client);
        }
        let mut waits = stage.client().await;
        waits.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert!(tokio::time::timeout(Duration::from_millis(200), waits.reply()).await.is_err());
        held[0].write("TP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(held[0].reply().await.unwrap().status, 200);
        assert_eq!(waits.reply().await.unwrap().status, 200);
    });
}

/// Parts that have their values are not open any more, and make room for others.
#[rstest]
fn values_that_came_make_room() {
    play(async {
        let mut stage = Stage::with(1, |c| c["settings"]["Limits"]["MaxOpen"] = json!(5), |_| ()).await;
        let mut first = stage.ask("a", "lookup", &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]).await;
        let (_, line, _) = stage.call().await;
        assert_eq!(stage.ask("b", "lookup", ONE).await.reply().await.unwrap().status, 503);
        for id in ["a.0", "a.1"] {
            stage.nodes[0].end(line, id, 'S', "v").await;
        }
        // The values are on their way: until they are in, it is rejected still.
        let mut third = soon(async {
            loop {
                let mut client = stage.ask("c", "lookup", ONE).await;
                let declined = tokio::time::timeout(Duration::from_millis(200), client.reply()).await;
                if declined.is_err() {
                    break client;
                }
            }
        })
        .await;
        for id in ["a.2", "a.3"] {
            stage.nodes[0].end(line, id, 'S', "v").await;
        }
        let (_, line, shard_requests) = stage.call().await;
        stage.nodes[0].end(line, &shard_requests[0].id, 'S', "v").await;
        assert_eq!(third.reply().await.unwrap().status, 200);
        assert_eq!(first.reply().await.unwrap().status, 200);
    });
}

/// A client that says nothing, or is slow with its head or its body, is let go in time; one that is idle
/// after an answer is not.
#[rstest]
fn lets_slow_clients_go() {
    play(async {
        let quick = |order: &mut StartupConfig| {
            order.limits.slow_client = Duration::from_millis(200);
            order.limits.sweep = Duration::from_millis(50);
        };
        let stage = Stage::with(1, |_| (), quick).await;
        let (mut idle, mut silent, mut head, mut body) =
            (stage.client().await, stage.client().await, stage.client().await, stage.client().await);
        let health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
        idle.write(health).await;
        assert_eq!(idle.reply().await.unwrap().status, 200);
        head.write("POST /api HTTP/1.1\r\n").await;
        body.write("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{").await;
        assert!(silent.reply().await.is_none());
        assert_eq!(head.reply().await.unwrap().status, 408);
        assert_eq!(body.reply().await.unwrap().status, 408);
        pause(500).await;
        idle.write(health).await;
        assert_eq!(idle.reply().await.unwrap().status, 200);
    });
}

/// Who asks once and keeps the connection leaves room for others: the one that was idle longest is closed.
#[rstest]
fn keeps_few_idle_connections() {
    play(async {
        let stage = Stage::with(1, |_| (), |order| order.limits.kept_lines = 2).await;
        let mut kept = Vec::new();
        for _ in 0..4 {
            let mut client = stage.client().await;
            client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
            assert_eq!(client.reply().await.unwrap().status, 200);
            kept.push(client);
        }
        assert!(kept[0].reply().await.is_none());
        kept[1].write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(kept[1].reply().await.unwrap().status, 200);
    });
}

/// Connections by hundreds that say nothing keep nobody out: at the bound they make room at once.
#[rstest]
fn silent_connections_make_room() {
    play(async {
        let few = |c: &mut Value| c["limits"]["sockets"] = json!(64);
        let patient = |order: &mut StartupConfig| {
            (order.limits.slow_client, order.limits.sweep) =
                (Duration::from_secs(90), Duration::from_secs(90));
        };
        let stage = Stage::with(1, few, patient).await;
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(stage.client().await);
        }
        let mut usual = stage.client().await;
        usual.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(usual.reply().await.unwrap().status, 200);
    });
}

/// Of what comes on one connection one request is in work; the rest stays unread until that is answered, and
/// does it no harm.
#[rstest]
fn takes_one_request_of_a_connection_at_a_time() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        let (_, line, _) = stage.call().await;
        client.write("no request at all\r\n\r\n").await;
        pause(200).await;
        assert!(stage.is_silent());
        stage.nodes[0].end(line, "a.3", 'S', "one").await;
        assert!(client.reply().await.unwrap().body.contains("one"));
        assert_eq!(client.reply().await.unwrap().status, 400);
    });
}

/// The id of an open query is refused to others, and the open one goes on untouched.
#[rstest]
fn refuses_an_id_that_is_open() {
    play(async {
        let mut stage = Stage::new(1).await;
        let mut first = stage.ask("a", "lookup", ONE).await;
        let (_, line, _) = stage.call().await;
        assert_eq!(stage.ask("a", "lookup", BOTH).await.reply().await.unwrap().status, 400);
        assert!(stage.is_silent());
        stage.nodes[0].end(line, "a.3", 'S', "v").await;
        assert_eq!(first.reply().await.unwrap().status, 200);
    });
}

/// Who comes with the same wrong request again and again is closed after a while.
#[rstest]
fn closes_on_what_is_always_wrong() {
    play(async {
        let stage = Stage::with(1, |_| (), |order| order.limits.wrong = 3).await;
        let mut client = stage.client().await;
        for _ in 0..3 {
            client.write(&request("a", "unheard-of", 900, &body(ONE))).await;
            assert_eq!(client.reply().await.unwrap().status, 400);
        }
        assert!(client.reply().await.is_none());
    });
}

/// An idle connection goes before the node reaps it, so no shard request is written to one that is gone.
#[rstest]
fn closes_idle_connections_to_nodes() {
    play(async {
        let short = |c: &mut Value| c["settings"]["Limits"]["ConnIdleMs"] = json!(400.0);
        let mut stage = Stage::with(1, short, |_| ()).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        let (_, line, _) = stage.call().await;
        pause(500).await; // out, and so not idle
        stage.nodes[0].end(line, "a.3", 'S', "v").await;
        let ended = Instant::now();
        assert_eq!(client.reply().await.unwrap().status, 200);
        assert_eq!(stage.next().await, (0, line, Heard::Closed));
        assert!(ended.elapsed() > Duration::from_millis(200));
    });
}

/// More shard requests than a connection carries go on another; where descriptors end, they wait on one that is open.
#[rstest]
#[case(1024, 3)]
#[case(66, 3)]
fn parts_beyond_a_connections_number_go_on_another(#[case] sockets: usize, #[case] lines: usize) {
    play(async {
        let narrow = |c: &mut Value| {
            c["limits"]["sockets"] = json!(sockets);
            c["settings"]["Limits"]["StreamsPerConn"] = json!(2);
        };
        let mut stage = Stage::with(1, narrow, |_| ()).await;
        let slices: Vec<(u32, f64)> = (0..6).map(|shard| (shard, 1.0 / 6.0)).collect();
        let mut client = stage.ask("a", "report", &slices).await;
        let (mut used, mut told) = (std::collections::BTreeSet::new(), 0);
        while told < 6 {
            let (_, line, shard_requests) = stage.call().await;
            assert!(shard_requests.len() <= 2);
            used.insert(line);
            told += shard_requests.len();
            for shard_request in shard_requests {
                stage.nodes[0].end(line, &shard_request.id, 'S', "v").await;
            }
        }
        assert!(used.len() <= lines, "{used:?}");
        let reply = client.reply().await.unwrap();
        assert!(reply.status == 200 && reply.body.contains("\"entire\":true"), "{reply:?}");
    });
}

/// What lies unsent when its query ends is never sent, though its connection comes up at last.
#[rstest]
fn sends_nothing_late() {
    play(async {
        let full = TcpSocket::new_v4().unwrap();
        full.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let full = full.listen(0).unwrap();
        let address = full.local_addr().unwrap();
        let short = Duration::from_millis(100);
        let fill = || std::net::TcpStream::connect_timeout(&address, short);
        let fillers: Vec<_> = std::iter::from_fn(|| fill().ok()).collect();
        let unheard = |c: &mut Value| {
            c["known"]["members"][0]["host_port"] = json!(address.to_string());
            c["settings"]["Limits"]["ConnectTimeoutMs"] = json!(20_000.0);
            c["settings"]["Limits"]["ConnIdleMs"] = json!(100.0);
        };
        let stage = Stage::with(1, unheard, |_| ()).await;
        let mut client = stage.client().await;
        client.write(&request("a", "once", 300, &body(ONE))).await;
        // Nothing was written, so asking again is harmless.
        assert_eq!(client.reply().await.unwrap().status, 503);
        for _ in fillers {
            soon(full.accept()).await.unwrap();
        }
        let (mut line, _) = soon(full.accept()).await.unwrap();
        let mut came = Vec::new();
        soon(line.read_to_end(&mut came)).await.unwrap();
        assert_eq!(came, b"");
    });
}

/// What this protocol has no place for is rejected, and nothing of it is sent: a second step, without which
/// an answer would be none, and the mark by which repeats of a numbered query are known.
#[rstest]
#[case("lookup", "", 503)]
#[case("once", "Idempotency-Key: 710d\r\n", 503)]
#[case("once", "", 200)]
#[case("report", "Idempotency-Key: 710d\r\n", 200)]
fn declines_what_the_protocol_does_not_carry(#[case] class: &str, #[case] header: &str, #[case] status: u16) {
    play(async {
        let other = |c: &mut Value| {
            c["settings"]["Domain"]["FetchParts"] = json!([0, 2, 0]);
            c["settings"]["Services"][2]["Effect"] = json!("deduplicated");
        };
        let mut stage = Stage::with(1, other, |_| ()).await;
        let mut client = stage.client().await;
        let text = request("a", class, 9000, &body(ONE)).replace("Host:", &format!("{header}Host:"));
        client.write(&text).await;
        if status == 200 {
            let (node, line, _) = stage.call().await;
            stage.nodes[node].end(line, "a.3", 'S', "v").await;
        }
        assert_eq!(client.reply().await.unwrap().status, status);
        assert!(stage.is_silent());
    });
}

#[rstest]
#[case("/seed", json!("no number"), "`seed`")]
#[case("/listen", json!("everywhere"), "`listen` is `everywhere`")]
#[case("/discovery", Value::Null, "`discovery` is missing")]
#[case("/limits/sockets", json!(40), "40 sockets are too few")]
#[case("/limits/memory_mb", json!(1), "1 MB of memory")]
#[case("/settings/Domain", json!({}), "missing field `Cells`")]
#[case("/settings/Services/0/Effect", json!("none"), "`Effect` is `none`")]
#[case("/known/members/0/phase", json!("lost"), "unknown variant `lost`")]
fn tells_what_a_config_lacks(#[case] place: &str, #[case] value: Value, #[case] why: &str) {
    play(async {
        let stage = Stage::new(1).await;
        let mut text = config(&stage.nodes, "127.0.0.1:1");
        *text.pointer_mut(place).unwrap() = value;
        let told = StartupConfig::read(text.to_string().as_bytes(), |_| None).unwrap_err();
        assert!(told.contains(why), "{told}");
    });
}

#[rstest]
fn the_environment_comes_first() {
    let env = |name: &str| (name == "EDGE_LISTEN").then(|| "127.0.0.7:99".to_owned());
    let order = StartupConfig::read(config(&[], "127.0.0.1:1").to_string().as_bytes(), env).unwrap();
    assert_eq!((order.listen.to_string(), &order.name[..]), ("127.0.0.7:99".to_owned(), "n1"));
}

/// Behind the admission controller, as the operator's file switches it on, what the nodes give is answered as before.
#[rstest]
fn answers_behind_the_door() {
    play(async {
        let fitting = broker::OperatorConfig {
            admission: Some(admission_control::AdmissionConfig::default()),
            ..Default::default()
        };
        let mut stage = Stage::fitted(1, |_| (), |_| (), fitting).await;
        for id in ["a", "b"] {
            let mut client = stage.ask(id, "lookup", BOTH).await;
            let (_, line, shard_requests) = stage.call().await;
            for shard_request in &shard_requests {
                stage.nodes[0].end(line, &shard_request.id, 'S', "v").await;
            }
            let reply = client.reply().await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    });
}

/// Load told by probe only, and waited for by a fiftieth of this latency objective.
fn load_by_probe(config: &mut Value, goal_ms: f64) {
    config["settings"]["Stats"] = json!({"Via": "pull", "Fields": ["qps", "queue", "util"]});
    config["settings"]["Limits"]["Probes"] = json!(true);
    for class in config["settings"]["Services"].as_array_mut().unwrap() {
        (class["OnTimeMs"], class["DeadlineMs"]) = (json!(goal_ms), json!(500_000.0));
    }
}

/// Both holders are asked first; the shard request goes where least waits. What can't be read is no report.
#[rstest]
#[case("qps=1.5,queue=7,util=0.5", "queue=2", 1)]
#[case("queue=0", "qps=9,queue=4", 0)]
#[case("E", "queue=4", 1)]
#[case("queue=3", "E", 0)]
#[case("queue=1", "queue=many", 1)]
#[case("queue=-5", "queue=NaN,queue", 0)]
fn sends_a_part_where_least_waits(#[case] first: &str, #[case] second: &str, #[case] to: usize) {
    play(async {
        let mut stage = Stage::with(2, |c| load_by_probe(c, 500_000.0), |_| ()).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        for _ in 0..2 {
            let (node, line, heard) = stage.next().await;
            assert_eq!(heard, Heard::Probe, "nothing goes out before the holders were asked");
            stage.nodes[node].tell(line, [first, second][node]).await;
        }
        let (node, line, _) = stage.call().await;
        // Two that tell the same, or nothing that can be read, are even: either may have it.
        assert!(node == to || first.starts_with("queue=-5"), "{node}");
        stage.nodes[node].end(line, "a.3", 'S', "v").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

/// A holder that takes the probe and says nothing, or whose connection ends, holds nothing up for long.
#[rstest]
#[case(false)]
#[case(true)]
fn a_probe_that_nobody_answers_holds_nothing_up(#[case] closes: bool) {
    play(async {
        let mut stage = Stage::with(2, |c| load_by_probe(c, 80_000.0), |_| ()).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        let asked = Instant::now();
        for _ in 0..2 {
            let (node, line, heard) = stage.next().await;
            assert_eq!(heard, Heard::Probe);
            match node {
                0 if closes => stage.nodes[0].close(line),
                0 => {}
                _ => stage.nodes[1].tell(line, "queue=20").await,
            }
        }
        let (node, line, shard_requests) = loop {
            if let (node, line, Heard::Call(shard_requests)) = stage.next().await {
                break (node, line, shard_requests);
            }
        };
        assert_eq!(
            (node, shard_requests.len()),
            (1, 1),
            "the one that told of its load, though much waits there"
        );
        assert!(asked.elapsed() < Duration::from_secs(20), "a fiftieth of the goal time is waited for");
        stage.nodes[1].end(line, "a.3", 'S', "v").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

/// Where reports come with answers, or probes are not allowed, nobody is probed: what was so before stays so.
#[rstest]
#[case("piggyback", true)]
#[case("pull", false)]
fn nobody_is_probed_where_that_tells_nothing(#[case] via: &str, #[case] allowed: bool) {
    play(async {
        let settings = |config: &mut Value| {
            config["settings"]["Stats"] = json!({"Via": via, "Fields": ["queue"]});
            config["settings"]["Limits"]["Probes"] = json!(allowed);
        };
        let mut stage = Stage::with(2, settings, |_| ()).await;
        let mut client = stage.ask("a", "lookup", ONE).await;
        let (node, line, _) = stage.call().await;
        stage.nodes[node].end(line, "a.3", 'S', "v").await;
        assert_eq!(client.reply().await.unwrap().status, 200);
    });
}

/// A file of the old shape, put into the new one, is served from: holders are asked first, by the new layout.
#[rstest]
fn serves_from_a_reshaped_file() {
    play(async {
        let text = "[fleet]\nbrokers = 2\nzones = east, west\n[layout]\ncells = 2\nreach = 1\nshards = 16\n
            [load]\ntold = pull\nprobes = true\nfields = queue\n";
        let shape = settings_migration::DeploymentLayout::read(text).unwrap();
        let reshaped = |config: &mut Value| {
            let made =
                settings_migration::migrate(config.to_string().as_bytes(), &shape, Some("west")).unwrap();
            *config = serde_json::from_str(&made.text).unwrap();
            // The old fleet's nodes stayed behind; discovery tells the new ones.
            assert!(config.get("known").is_none());
            load_by_probe(config, 500_000.0);
        };
        let mut stage = Stage::with(2, reshaped, |_| ()).await;
        let members: Vec<Value> = (0..2).map(|at| member(&stage.nodes, at, "ready")).collect();
        stage.discovery.called().await;
        stage.discovery.reply(json!({"revision": 7, "complete": true, "members": members}));
        while !stage.broker.engine.can_serve() {
            pause(5).await;
        }
        // Shard 3 begins at cell 3 mod 2, and reaches no further.
        let mut client = stage.ask("a", "lookup", ONE).await;
        let (node, line, heard) = stage.next().await;
        assert_eq!((node, heard), (1, Heard::Probe));
        stage.nodes[1].tell(line, "queue=0").await;
        let (node, line, _) = stage.call().await;
        stage.nodes[node].end(line, "a.3", 'S', "v").await;
        assert_eq!((node, client.reply().await.unwrap().status), (1, 200));
    });
}
