//! Decoding and encoding of valid and invalid frames.

use crate::broker_host::BrokerHost;
use crate::serve::{ServeError, serve};
use crate::wire::{BatchEvent, DecodeError, HEADER_BYTES, Reply, decode_body, decode_header};
use routing::*;
use rstest::rstest;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

const SHARD_REQUEST: &str = "12 0300 c4913a5d5daf0900 0000 00000000 640ad2557c3bf091 0000000000006e40
    0000000000002840 00005643 00000000 0000003e 01";
const LIST: &str = "1a 0000 02000000 0a124a07 931f 0000 0000 0000 01 0000803f 0000000000000000
    0a9011f2 bc1f 0100 0000 0000 01 0000c03f 0000000000d4b740";
const ATTEMPT_ENDED: &str = "14 0300 c4913a5d5daf0900 0000 0a124a07 931f 0100 0000000000803240 01 03
    0000404000000c430000e040";
const SETTINGS: &str = r#"{"Instances": 1, "PeriodMs": 5.0, "RegistryMode": "automatic", "Surprise": [1],
    "Services": [{"OnTimeMs": 2000.0, "DeadlineMs": 5000.0, "Worth": 3.0, "Effect": "deduplicated"}],
    "Domain": {"Cells": 1, "Reach": 1, "Ranges": 1, "CompleteFrom": [1.0], "MinShare": [0.4]},
    "Limits": {"MaxAttempts": 3, "MaxOpen": 111}, "Rules": {}}"#;

fn body(records: &[&str]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_le_bytes().to_vec();
    records.iter().for_each(|record| body.extend(bytes(record)));
    body
}

fn frame(records: &[&str]) -> Vec<u8> {
    let body = body(records);
    [&bytes("00000000206ec040")[..], &(body.len() as u32).to_le_bytes(), &body].concat()
}

fn start(text: &str) -> String {
    let hex: String = text.bytes().map(|byte| format!("{byte:02x}")).collect();
    let length: String = (text.len() as u32).to_le_bytes().iter().map(|b| format!("{b:02x}")).collect();
    format!("10 0300 0700000000000000 {length} {hex}")
}

#[rstest]
fn decodes_valid_records() {
    let header: [u8; HEADER_BYTES] = bytes("00000000206ec040 50000000").try_into().unwrap();
    assert_eq!(decode_header(&header), (Timestamp(84_122), 80));
    let batch =
        decode_body(Timestamp(1), &body(&[SHARD_REQUEST, LIST, ATTEMPT_ENDED, "16 0300 4d00000000000000"]))
            .unwrap();
    let [
        BatchEvent::Input { broker: 3, input: Input::ShardRequest(shard_request) },
        BatchEvent::ListContents { number: 0, endpoints },
        BatchEvent::Input { input: Input::AttemptEnded(result), .. },
        BatchEvent::Input { input: Input::Woken, .. },
    ] = &batch.events[..]
    else {
        panic!("unexpected events: {:?}", batch.events)
    };
    assert_eq!(
        (shard_request.id, shard_request.shard, shard_request.weight),
        (ShardRequestId(0x9_af5d_5d3a_91c4), ShardId(0), 0.125)
    );
    assert_eq!((endpoints[0].started_at, endpoints[1].started_at), (None, Some(WallClockTime(61_000))));
    assert_eq!((endpoints[1].node, endpoints[1].zone), (NodeId(0x1fbc_f211_900a), ZoneId(1)));
    assert_eq!(
        (result.outcome, result.duration, result.node),
        (AttemptOutcome::Succeeded, TimeSpan(185), endpoints[0].node)
    );
}

fn send() -> Effect {
    Effect::Send {
        shard_request: ShardRequestId(0x9_af5d_5d3a_91c4),
        node: NodeId(0x1f93_074a_120a),
        timeout: TimeSpan(800),
    }
}

#[rstest]
#[case(send(), "50 0300 c4913a5d5daf0900 0a124a07 931f 0000000000005440")]
#[case(Effect::Log(LogEvent::QueryQuarantined { lost_nodes: 2 }), "58 0300 2600 71756172616e74696e65643a2032206e6f646573206c6f737420776974682061207175657279")]
#[case(Effect::Wake { after: TimeSpan(5000) }, "54 0300 0000000000000000 0000000000407f40")]
#[case(Effect::Respond { query: QueryId(1), complete: true }, "5c 0300 0100000000000000 01")]
#[case(Effect::WatchEndpoints, "5a 0300 01")]
fn encodes(#[case] effect: Effect, #[case] record: &str) {
    let mut reply = Reply::default();
    reply.add_effect(3, &effect);
    let record = bytes(record);
    let length = (record.len() as u32 + 4).to_le_bytes();
    assert_eq!(reply.frame(), [&length[..], &bytes("01000000"), &record].concat());
}

#[rstest]
#[case("00", "truncated field", HEADER_BYTES)]
#[case("01000000 63", "unknown event code 99", 16)]
#[case("01000000 12 0300 c4", "truncated field", 19)]
#[case("01000000 10 0300 0700000000000000 ffffffff 7b", "length of 4294967295 bytes exceeds", 31)]
#[case("01000000 1a 0000 ffffffff", "truncated field", 23)]
#[case("ffffffff", "truncated field", 16)]
#[case("00000000 16", "1 trailing bytes", 16)]
fn reports_kind_and_position_of_errors(
    #[case] body: &str,
    #[case] expected: &str,
    #[case] expected_at: usize,
) {
    let Err(DecodeError { kind, at }) = decode_body(Timestamp(0), &bytes(body)) else {
        panic!("an invalid body was decoded")
    };
    let text = kind.to_string();
    assert!(text.starts_with(expected), "{text}");
    assert_eq!(at, expected_at);
}

#[rstest]
fn serves_until_the_input_ends() {
    let mut output = Vec::new();
    let woken = "16 0300 4d00000000000000";
    let input =
        [frame(&[]), frame(&[&start(SETTINGS), woken]), frame(&["19 0300", &start(SETTINGS)])].concat();
    assert!(matches!(serve(&input[..], &mut output), Ok(())));
    assert_eq!(output[..8], bytes("04000000 00000000"));
    let mut error_of = |input: &[u8]| -> ServeError { serve(input, &mut output).unwrap_err() };
    assert_eq!(error_of(&frame(&[])[..9]).to_string(), "input truncated after 9 bytes of a frame header");
    assert_eq!(error_of(&frame(&[])[..14]).to_string(), "input truncated after 14 bytes of a frame");
    let unknown_broker = error_of(&frame(&[woken])).to_string();
    assert_eq!(unknown_broker, "event for broker 3, which is not running");
}

#[rstest]
#[case("no text", "settings: expected")]
#[case(&SETTINGS.replace("Ranges", "Rages"), "missing field `Ranges`")]
#[case(&SETTINGS.replace("deduplicated", "doubtful"), "`Effect` is `doubtful`")]
#[case(&SETTINGS.replace("\"MinShare\": [0.4]", "\"MinShare\": []"), "`MinShare` is too short")]
fn reports_the_invalid_setting(#[case] text: &str, #[case] expected: &str) {
    assert!(settings::read(text.as_bytes()).unwrap_err().to_string().contains(expected));
    let batch = decode_body(Timestamp(0), &body(&[&start(text)])).unwrap();
    let reply = BrokerHost::default().handle(batch).unwrap().frame();
    assert_eq!(reply[8..11], bytes("59 0300"), "a broker with invalid settings must be reported as failed");
}
