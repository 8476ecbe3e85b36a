//! Reading of hand-written rows in the published layouts: each invalid row is rejected with the right reason, and
//! every line has exactly one outcome.

use cluster_trace::{
    HashedId, LAYOUTS, MAX_LINE_BYTES, MachineEvent, PolicyViolation, ReadSummary, RejectionPolicy, Row,
    RowDetail, RowOutcome, RowSorter, SortWindow, TraceReader, find_layout,
};
use flate2::Compression;
use flate2::write::GzEncoder;
use proptest::prelude::*;
use rstest::rstest;
use std::io::Write;

const TASK: &str = "google-2011-task-events";
const MACHINE: &str = "google-2011-machine-events";
const BATCH: &str = "alibaba-2018-batch-task";
const INSTANCE: &str = "alibaba-2018-batch-instance";
const VM: &str = "azure-2017-vmtable";

/// Returns a valid row of the layout.
fn valid_row(name: &str) -> &'static str {
    match name {
        TASK => "600000000,,3418309,0,4155527081,0,fadkjh=,3,9,0.125,0.07446,0.0004244,0",
        MACHINE => "0,5,0,HofLGzk1Or/8Ildj2+Lqv0UGGvY82NLoni8+J/Yy0RU=,0.5,0.2493",
        BATCH => "task_Nzg3ODAwNDgzMTAwNTc2NTQ2,2,j_3,12,Terminated,157213,157295,100.00,0.29",
        INSTANCE => "ins_1,M1,j_3,1,Terminated,157213,157295,m_23,1,1,43,115,0.05,0.05",
        VM => "vm+1,sub/1,dep=1,0,2591700,99.3,3.42,10.19,Interactive,2,4",
        other => panic!("no valid row for layout {other}"),
    }
}

fn read(name: &str, text: &[u8]) -> Vec<RowOutcome> {
    TraceReader::new(find_layout(name).unwrap(), text).unwrap().collect()
}

fn reasons(outcomes: &[RowOutcome]) -> Vec<&'static str> {
    let reason = |outcome: &RowOutcome| match outcome {
        RowOutcome::Accepted(_) => "accepted",
        RowOutcome::Rejected(rejected) => rejected.reason.code(),
    };
    outcomes.iter().map(reason).collect()
}

#[rstest]
#[case(TASK, 600_000_000, "3418309", "0")]
#[case(BATCH, 157_213_000_000, "j_3", "task_Nzg3ODAwNDgzMTAwNTc2NTQ2")]
#[case(INSTANCE, 157_213_000_000, "j_3", "ins_1")]
#[case(VM, 0, "dep=1", "vm+1")]
fn accepts_work(#[case] name: &str, #[case] at: u64, #[case] job: &str, #[case] task: &str) {
    let outcomes = read(name, valid_row(name).as_bytes());
    let [RowOutcome::Accepted(row)] = &outcomes[..] else { panic!("{outcomes:?}") };
    let RowDetail::Work { job: j, task: t, .. } = &row.detail else { panic!("{row:?}") };
    assert_eq!((row.at, *j, *t), (at, HashedId::from_name(job), HashedId::from_name(task)));
}

/// A row with one invalid field is rejected with its line, column, allowed values and reason.
#[rstest]
#[case(TASK, 0, "-5", "negative", "timestamp")]
#[case(TASK, 0, "", "missing-value", "timestamp")]
#[case(TASK, 0, "6e8", "not-a-number", "timestamp")]
#[case(TASK, 0, "18446744073709551615", "out-of-range", "timestamp")]
#[case(TASK, 0, "99999999999999999999999", "out-of-range", "timestamp")]
#[case(TASK, 5, "9", "unknown-event", "event type")]
#[case(TASK, 7, "4", "out-of-range", "scheduling class")]
#[case(TASK, 9, "NaN", "not-a-number", "CPU request")]
#[case(TASK, 9, "-0.5", "negative", "CPU request")]
#[case(TASK, 9, "inf", "out-of-range", "CPU request")]
#[case(MACHINE, 2, "7", "unknown-event", "event type")]
#[case(BATCH, 4, "Exploded", "unknown-event", "status")]
#[case(BATCH, 6, "157212", "ends-before-start", "end_time")]
#[case(BATCH, 1, "2.5", "not-a-number", "instance_num")]
#[case(VM, 4, "x", "not-a-number", "vmdeleted")]
#[case(VM, 8, "Sleepy", "unknown-event", "vmcategory")]
fn reports_invalid_fields(
    #[case] name: &str,
    #[case] index: usize,
    #[case] value: &str,
    #[case] code: &str,
    #[case] column: &str,
) {
    let mut fields: Vec<&str> = valid_row(name).split(',').collect();
    fields[index] = value;
    let text = format!("{}\n{}\n", valid_row(name), fields.join(","));
    let outcomes = read(name, text.as_bytes());
    let [RowOutcome::Accepted(_), RowOutcome::Rejected(rejected)] = &outcomes[..] else {
        panic!("{outcomes:?}")
    };
    assert_eq!((rejected.line, rejected.reason.code(), rejected.column), (2, code, Some(column)));
    assert!(!rejected.allowed.is_empty() && rejected.to_string().contains(column), "{rejected}");
}

/// A line that cannot be a row has one outcome, and the valid line after it is accepted.
#[rstest]
#[case(b"1,2,3".to_vec(), "columns-missing")]
#[case([valid_row(TASK).as_bytes(), b",1"].concat(), "columns-extra")]
#[case(b"".to_vec(), "blank")]
#[case(b"   \t".to_vec(), "blank")]
#[case(valid_row(TASK).replace("fadkjh=", "\"fadkjh").into_bytes(), "quotes")]
#[case(valid_row(TASK).replace("fadkjh=", "fad\0kjh").into_bytes(), "not-utf8")]
#[case([b"600000000,,3418309,0,4155527081,0,", &[0xff, 0xfe][..], b",3,9,0.125,0.07446,0.0004244,0"].concat(), "not-utf8")]
#[case(vec![b'7'; 5 << 20], "too-long")]
fn continues_after_an_invalid_line(#[case] line: Vec<u8>, #[case] code: &str) {
    let text =
        [valid_row(TASK).as_bytes(), b"\n", &line, b"\n", valid_row(TASK).as_bytes(), b"\r\n"].concat();
    assert_eq!(reasons(&read(TASK, &text)), ["accepted", code, "accepted"]);
}

/// A quoted field may contain commas and doubled quotes.
#[rstest]
fn reads_quoted_fields() {
    let text = valid_row(TASK).replace("fadkjh=", "\"fad,\"\"kjh\"");
    let outcomes = read(TASK, text.as_bytes());
    let [RowOutcome::Accepted(Row { detail: RowDetail::Work { tenant, .. }, .. })] = &outcomes[..] else {
        panic!("{outcomes:?}")
    };
    assert_eq!(*tenant, HashedId::from_name("fad,\"kjh"));
}

fn gzip(text: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text).unwrap();
    encoder.finish().unwrap()
}

#[rstest]
fn reads_gzip_and_reports_a_truncated_file() {
    let text: String =
        (0..5000).map(|no| valid_row(TASK).replace("3418309", &no.to_string()) + "\n").collect();
    let whole = gzip(text.as_bytes());
    assert_eq!(read(TASK, &whole).len(), 5000);
    let outcomes = read(TASK, &whole[..whole.len() / 2]);
    let codes = reasons(&outcomes);
    assert_eq!(codes.last(), Some(&"ends-midway"));
    assert!(codes[..codes.len() - 1].iter().all(|code| *code == "accepted"));
    // An uncompressed file that is truncated in its last line.
    let truncated = format!("{}\n{}", valid_row(TASK), &valid_row(TASK)[..30]);
    assert_eq!(reasons(&read(TASK, truncated.as_bytes())), ["accepted", "ends-midway"]);
    assert_eq!(
        reasons(&read(TASK, valid_row(TASK).as_bytes())),
        ["accepted"],
        "the last line may lack a line end"
    );
}

// Row sorter

const SECOND: u64 = 1_000_000;

/// Sorts rows with the given timestamps. Returns the timestamps of the released rows in seconds, the line and reason
/// of each rejected row, and the number of clock steps.
fn sort_seconds(seconds: &[u64]) -> (Vec<u64>, Vec<(u64, &'static str)>, usize) {
    let window =
        SortWindow { max_lateness: 5 * SECOND, max_jump: 3600 * SECOND, max_rows: 64, min_step_rows: 4 };
    let mut sorter = RowSorter::new(window);
    let mut out = Vec::new();
    for (index, second) in seconds.iter().enumerate() {
        let row = Row {
            line: index as u64 + 1,
            at: second * SECOND,
            machine: None,
            cpu: None,
            memory: None,
            detail: RowDetail::Machine { event: MachineEvent::Added },
        };
        sorter.add(row, &mut out);
    }
    sorter.finish(&mut out);
    assert_eq!(out.len(), seconds.len(), "each row must have one outcome");
    let (mut released, mut rejections) = (Vec::new(), Vec::new());
    for outcome in out {
        match outcome {
            RowOutcome::Accepted(row) => released.push(row.at / SECOND),
            RowOutcome::Rejected(rejected) => rejections.push((rejected.line, rejected.reason.code())),
        }
    }
    assert!(released.is_sorted(), "{released:?}");
    (released, rejections, sorter.steps().len())
}

#[rstest]
#[case::late_within_the_window(&[10, 12, 8, 14, 30], &[8, 10, 12, 14, 30], &[])]
#[case::too_late(&[10, 30, 12, 31, 32], &[10, 30, 31, 32], &[(3, "too-late")])]
#[case::one_far_ahead(&[10, 9999, 11, 12], &[10, 11, 12], &[(2, "stray")])]
#[case::one_of_each(&[100, 20, 9999, 101], &[100, 101], &[(2, "too-late"), (3, "stray")])]
#[case::held_at_the_end(&[100, 20], &[100], &[(2, "too-late")])]
#[case::a_gap(&[10, 9000, 9001, 9002, 9003, 9004], &[10, 9000, 9001, 9002, 9003, 9004], &[])]
fn sorts(#[case] seconds: &[u64], #[case] released: &[u64], #[case] rejections: &[(u64, &str)]) {
    let (out, rejected, steps) = sort_seconds(seconds);
    assert_eq!((&out[..], &rejected[..], steps), (released, rejections, 0));
}

/// After the clock is set back by a minute, time continues from the newest row with the same intervals, and no row
/// is rejected.
#[rstest]
fn continues_time_after_a_backward_clock_step() {
    let (out, rejected, steps) = sort_seconds(&[100, 101, 102, 40, 41, 42, 43, 44, 45]);
    assert_eq!(
        (&out[..], &rejected[..], steps),
        (&[100, 101, 102, 102, 103, 104, 105, 106, 107][..], &[][..], 1)
    );
}

/// Thousands of rows with the same timestamp exceed the window's row limit, and all of them are released.
#[rstest]
fn sorts_many_rows_with_equal_timestamps() {
    let (out, rejected, _) = sort_seconds(&vec![7; 5000]);
    assert_eq!((out.len(), rejected.len()), (5000, 0));
}

// Read summary

fn summarize(
    policy: RejectionPolicy,
    lists_machines: bool,
    name: &str,
    text: &str,
) -> (ReadSummary, Option<PolicyViolation>) {
    let mut summary = ReadSummary::new(policy, lists_machines);
    for outcome in read(name, text.as_bytes()) {
        if let Err(violation) = summary.add(outcome) {
            return (summary, Some(violation));
        }
    }
    (summary, None)
}

#[rstest]
fn rejects_duplicates_and_machines_never_added() {
    let text = "0,5,0,p,0.5,0.2\n0,5,0,p,0.5,0.2\n9,5,1,p,0.5,0.2\n10,6,1,p,0.5,0.2\n11,5,0,p,0.5,0.2\n";
    let (summary, violation) = summarize(RejectionPolicy::SkipAndCount, true, MACHINE, text);
    let counts: Vec<_> = summary.rejected.iter().map(|(reason, rows)| (reason.code(), rows.count)).collect();
    assert_eq!(
        (counts, summary.accepted, violation),
        (vec![("duplicate", 1), ("unknown-machine", 1)], 3, None)
    );
    // If the trace does not list its machines, no machine is treated as unknown.
    assert_eq!(summarize(RejectionPolicy::SkipAndCount, false, MACHINE, "10,6,1,p,0.5,0.2\n").0.accepted, 1);
}

#[rstest]
fn applies_the_rejection_policy() {
    let valid_lines: String =
        (0..2000).map(|no| valid_row(TASK).replace("3418309", &no.to_string()) + "\n").collect();
    let (_, violation) =
        summarize(RejectionPolicy::StopAtFirst, false, TASK, &format!("{valid_lines}\n{valid_lines}"));
    assert!(matches!(violation, Some(PolicyViolation::FirstRejected(rejected)) if rejected.line == 2001));
    let invalid_lines = "x\n".repeat(150);
    let (summary, violation) = summarize(
        RejectionPolicy::StopAboveShare(0.1),
        false,
        TASK,
        &format!("{invalid_lines}{valid_lines}"),
    );
    assert_eq!(
        (violation, summary.lines),
        (Some(PolicyViolation::ShareExceeded { rejected: 150, lines: 1000 }), 1000)
    );
    let (summary, violation) = summarize(
        RejectionPolicy::StopAboveShare(0.2),
        false,
        TASK,
        &format!("{invalid_lines}{valid_lines}"),
    );
    assert_eq!((violation, summary.accepted, summary.rejected_count()), (None, 2000, 150));
}

/// Returns a fixed seed so that every run tests the same cases, unless `PROPTEST_RNG_SEED` sets another. A failure
/// prints its input.
fn seed() -> proptest::test_runner::RngSeed {
    let from_env = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
    proptest::test_runner::RngSeed::Fixed(from_env.unwrap_or(1))
}

/// Generates a line that is valid, truncated, has inserted bytes, or is random. It contains no line end.
fn line() -> impl Strategy<Value = Vec<u8>> {
    let names = prop_oneof![Just(TASK), Just(MACHINE), Just(BATCH), Just(VM)];
    prop_oneof![
        4 => names.clone().prop_map(|name| valid_row(name).as_bytes().to_vec()),
        2 => (names.clone(), any::<prop::sample::Index>()).prop_map(|(name, at)| {
            let text = valid_row(name).as_bytes();
            text[..at.index(text.len())].to_vec()
        }),
        3 => (names, any::<prop::sample::Index>(), proptest::collection::vec(any::<u8>(), 0..6)).prop_map(|(name, at, more)| {
            let mut text = valid_row(name).as_bytes().to_vec();
            let at = at.index(text.len());
            text.splice(at..at, more);
            text
        }),
        2 => proptest::collection::vec(any::<u8>(), 0..80),
        1 => (0..200_000_usize).prop_map(|length| vec![b'9'; length]),
    ]
    .prop_map(|mut line| {
        line.retain(|byte| *byte != b'\n' && *byte != b'\r');
        line
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: seed(), ..ProptestConfig::default() })]

    /// For arbitrary file contents, reading does not panic, and each line has one outcome that the sorter and the
    /// summary preserve.
    #[test]
    fn accounts_for_every_line(lines in proptest::collection::vec(line(), 0..20), layout_index in 0..LAYOUTS.len()) {
        let text: Vec<u8> = lines.iter().flat_map(|line| [&line[..], b"\n"].concat()).collect();
        let mut sorter = RowSorter::new(SortWindow::default());
        let mut summary = ReadSummary::new(RejectionPolicy::SkipAndCount, true);
        let (mut out, mut numbers) = (Vec::new(), Vec::new());
        for outcome in TraceReader::new(&LAYOUTS[layout_index], &text[..]).unwrap() {
            match outcome {
                RowOutcome::Accepted(row) => {
                    numbers.push(row.line);
                    sorter.add(row, &mut out);
                }
                RowOutcome::Rejected(rejected) => {
                    numbers.push(rejected.line);
                    out.push(RowOutcome::Rejected(rejected));
                }
            }
        }
        sorter.finish(&mut out);
        prop_assert_eq!(numbers, (1..=lines.len() as u64).collect::<Vec<_>>());
        out.into_iter().for_each(|outcome| _ = summary.add(outcome));
        prop_assert_eq!(summary.lines, lines.len() as u64);
        prop_assert_eq!(summary.accepted + summary.rejected_count(), summary.lines);
    }
}

/// A file of many blocks that is read ahead on background threads has the same outcomes as on a single thread, also
/// with a slow consumer. A consumer that stops early must not leave a thread waiting for ever.
#[rstest]
#[case(false)]
#[case(true)]
fn read_ahead_gives_the_same_outcomes(#[case] is_gzip: bool) {
    let mut text = Vec::new();
    for no in 0..20_000_u64 {
        let row = match no % 97 {
            3 => "\n".to_owned(),
            5 => format!("{no},\"open,3\n"),
            7 => format!("{no},5,9,x,0.5,0.25\n"),
            11 => format!("{},{}\n", "7".repeat(MAX_LINE_BYTES), no),
            _ => format!("{no},{},0,x,0.5,0.25\n", no % 50),
        };
        text.extend(row.bytes());
    }
    text.extend(b"20000,5,0");
    if is_gzip {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&text).unwrap();
        text = encoder.finish().unwrap();
        text.truncate(text.len() - 9);
    }
    let file = std::env::temp_dir().join(format!("cluster-trace-{}-{is_gzip}.csv", std::process::id()));
    std::fs::write(&file, &text).unwrap();
    let open = || TraceReader::open(find_layout(MACHINE).unwrap(), &file).unwrap();
    let read_ahead: Vec<RowOutcome> = open().collect();
    assert!(open().take(5_000).count() == 5_000, "a consumer that stops early must get its rows");
    let slow_consumer = open().enumerate().map(|(no, outcome)| {
        if no % 4_000 == 0 {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        outcome
    });
    assert!(slow_consumer.eq(read(MACHINE, &text)), "a slow consumer must get the same outcomes");
    std::fs::remove_file(&file).unwrap();
    assert_eq!(reasons(&read_ahead), reasons(&read(MACHINE, &text)));
    assert_eq!(read_ahead, read(MACHINE, &text));
    assert_eq!(reasons(&read_ahead).last(), Some(&"ends-midway"));
    assert!(read_ahead.len() > 19_000);
}
