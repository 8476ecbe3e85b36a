//! Classifies one line by its fields alone: a row that can be used, or a rejection.

use crate::layout::{Column, ColumnFormat, ColumnRole, Layout, TimeUnit};
use crate::rejection_reason::RejectionReason;
use crate::row::{MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, TraceId, WorkEvent, quote};
use csv::ByteRecord;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The latest time, in microseconds. Traces use huge values for times before and after them; later ones would
/// overflow.
const LATEST_US: u64 = i64::MAX as u64;

/// The outcome for a line of this number with these fields.
pub fn classify_row(layout: &Layout, line: u64, record: &ByteRecord) -> RowOutcome {
    match read_row(layout, line, record) {
        Ok(row) => RowOutcome::Accepted(row),
        Err(rejected) => RowOutcome::Rejected(*rejected),
    }
}

/// The values of a line by their columns' roles.
#[derive(Default)]
struct Fields<'a> {
    at: u64,
    end: Option<u64>,
    job: &'a str,
    task: &'a str,
    machine: &'a str,
    event: &'a str,
    tenant: &'a str,
    class: &'a str,
    priority: u64,
    instances: Option<u64>,
    cpu: Option<f64>,
    memory: Option<f64>,
}

impl<'a> Fields<'a> {
    fn set(&mut self, role: ColumnRole, text: &'a str, value: Value) {
        match (role, value) {
            (ColumnRole::At, Value::Whole(at)) => self.at = at,
            (ColumnRole::End, Value::Whole(end)) => self.end = Some(end),
            (ColumnRole::Priority, Value::Whole(priority)) => self.priority = priority,
            (ColumnRole::Instances, Value::Whole(instances)) => self.instances = Some(instances),
            (ColumnRole::Cpu, Value::Number(cpu)) => self.cpu = Some(cpu),
            (ColumnRole::Memory, Value::Number(memory)) => self.memory = Some(memory),
            (ColumnRole::Job, _) => self.job = text,
            (ColumnRole::Task, _) => self.task = text,
            (ColumnRole::Machine, _) => self.machine = text,
            (ColumnRole::Event, _) => self.event = text,
            (ColumnRole::Tenant, _) => self.tenant = text,
            (ColumnRole::Class, _) => self.class = text,
            _ => {}
        }
    }
}

fn read_row(layout: &Layout, line: u64, record: &ByteRecord) -> Result<Row, Box<RejectedRow>> {
    check_column_count(layout, line, record)?;
    let mut fields = Fields::default();
    // UTF-8 is checked once for the whole row, which is fast; only if that fails is each field checked, to
    // find the invalid one.
    let valid_row = std::str::from_utf8(record.as_slice()).ok();
    for (index, (column, bytes)) in layout.columns.iter().zip(record).enumerate() {
        if column.format == ColumnFormat::Ignored {
            continue;
        }
        let reject = |reason: RejectionReason, allowed: String| {
            let (column, value) = (Some(column.name), quote(bytes));
            Box::new(RejectedRow { line, column, value, allowed, reason })
        };
        let field = valid_row.zip(record.range(index)).and_then(|(row, range)| row.get(range));
        let Some(text) = field.or_else(|| std::str::from_utf8(bytes).ok()) else {
            return Err(reject(RejectionReason::NotUtf8, "UTF-8".to_owned()));
        };
        let text = text.trim_ascii();
        match parse_field(column, layout.time_unit, text) {
            Ok(Some(value)) => fields.set(column.role, text, value),
            Ok(None) => {}
            Err(reason) => return Err(reject(reason, allowed_values(column.format))),
        }
    }
    check_end(layout, line, &fields)?;
    Ok(build_row(layout, line, fields))
}

fn check_column_count(layout: &Layout, line: u64, record: &ByteRecord) -> Result<(), Box<RejectedRow>> {
    let expected = layout.columns.len();
    let reason = match record.len() {
        count if count < expected => RejectionReason::ColumnsMissing,
        count if count > expected => RejectionReason::ColumnsExtra,
        _ => return Ok(()),
    };
    let value = format!("{} columns", record.len());
    Err(Box::new(RejectedRow { line, column: None, value, allowed: expected.to_string(), reason }))
}

fn check_end(layout: &Layout, line: u64, fields: &Fields) -> Result<(), Box<RejectedRow>> {
    let Some(end) = fields.end.filter(|end| *end < fields.at) else { return Ok(()) };
    let column = layout.columns.iter().find(|column| column.role == ColumnRole::End);
    Err(Box::new(RejectedRow {
        line,
        column: column.map(|column| column.name),
        value: format!("{end} us"),
        allowed: format!("its start, {} us, or later", fields.at),
        reason: RejectionReason::EndsBeforeStart,
    }))
}

enum Value {
    Whole(u64),
    Number(f64),
    Text,
}

/// The value of a field; none of an empty one that may be empty.
fn parse_field(column: &Column, unit: TimeUnit, text: &str) -> Result<Option<Value>, RejectionReason> {
    match text.is_empty() {
        true if column.is_required => Err(RejectionReason::MissingValue),
        true => Ok(None),
        false => parse_value(column.format, unit, text).map(Some),
    }
}

fn parse_value(format: ColumnFormat, unit: TimeUnit, text: &str) -> Result<Value, RejectionReason> {
    match format {
        ColumnFormat::Time => parse_time(unit, text).map(Value::Whole),
        ColumnFormat::Count(maximum) => parse_whole(text, maximum).map(Value::Whole),
        ColumnFormat::Number(maximum) => parse_number(text, maximum).map(Value::Number),
        ColumnFormat::Id if text.len() > MAX_ID_BYTES => Err(RejectionReason::OutOfRange),
        ColumnFormat::Code(codes) if !codes.contains(&text) => Err(RejectionReason::UnknownEvent),
        ColumnFormat::Id | ColumnFormat::Code(_) | ColumnFormat::Ignored => Ok(Value::Text),
    }
}

/// A time in microseconds.
fn parse_time(unit: TimeUnit, text: &str) -> Result<u64, RejectionReason> {
    let time = parse_whole(text, u64::MAX)?;
    let micros = match unit {
        TimeUnit::Microseconds => Some(time),
        TimeUnit::Seconds => time.checked_mul(1_000_000),
    };
    micros.filter(|at| *at <= LATEST_US).ok_or(RejectionReason::OutOfRange)
}

fn parse_number(text: &str, maximum: f64) -> Result<f64, RejectionReason> {
    let number: f64 = text.parse().map_err(|_| RejectionReason::NotANumber)?;
    match number {
        n if n.is_nan() => Err(RejectionReason::NotANumber),
        n if n < 0.0 => Err(RejectionReason::Negative),
        n if n > maximum => Err(RejectionReason::OutOfRange),
        n => Ok(n),
    }
}

/// A whole number. `86400.0` is one too: some copies of traces write numbers in this form.
fn parse_whole(text: &str, maximum: u64) -> Result<u64, RejectionReason> {
    let digits = text.strip_suffix(".0").unwrap_or(text);
    // The library accepts a leading `+`, which is not a digit.
    if let Some(number) = digits.parse::<u64>().ok().filter(|_| !digits.starts_with('+')) {
        return if number <= maximum { Ok(number) } else { Err(RejectionReason::OutOfRange) };
    }
    let has_only_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if digits.strip_prefix('-').is_some_and(has_only_digits) {
        return Err(RejectionReason::Negative);
    }
    Err(if has_only_digits(digits) { RejectionReason::OutOfRange } else { RejectionReason::NotANumber })
}

fn allowed_values(format: ColumnFormat) -> String {
    match format {
        ColumnFormat::Time => "a time, a whole number from 0".to_owned(),
        ColumnFormat::Count(u64::MAX) => "a whole number from 0".to_owned(),
        ColumnFormat::Count(maximum) => format!("a whole number from 0 to {maximum}"),
        ColumnFormat::Number(maximum) => format!("a number from 0 to {maximum}"),
        ColumnFormat::Id => format!("a name of 1 to {MAX_ID_BYTES} bytes"),
        ColumnFormat::Code(codes) => format!("one of {}", codes.join(", ")),
        ColumnFormat::Ignored => "anything".to_owned(),
    }
}

/// What a layout's code for an event means. No code has two meanings in the known layouts.
struct EventCode<T> {
    code: &'static str,
    event: T,
}

#[rustfmt::skip]
const WORK_EVENT_CODES: &[EventCode<WorkEvent>] = &[
    EventCode { code: "0", event: WorkEvent::Submitted },
    EventCode { code: "1", event: WorkEvent::Scheduled },
    EventCode { code: "2", event: WorkEvent::Stopped },
    EventCode { code: "3", event: WorkEvent::Failed },
    EventCode { code: "4", event: WorkEvent::Finished },
    EventCode { code: "5", event: WorkEvent::Stopped },
    EventCode { code: "6", event: WorkEvent::Lost },
    EventCode { code: "7", event: WorkEvent::Updated },
    EventCode { code: "8", event: WorkEvent::Updated },
    EventCode { code: "Terminated", event: WorkEvent::Finished },
    EventCode { code: "Failed", event: WorkEvent::Failed },
    EventCode { code: "Running", event: WorkEvent::Scheduled },
    EventCode { code: "Waiting", event: WorkEvent::Submitted },
    EventCode { code: "Cancelled", event: WorkEvent::Stopped },
    EventCode { code: "Interrupted", event: WorkEvent::Stopped },
];

const MACHINE_EVENT_CODES: &[EventCode<MachineEvent>] = &[
    EventCode { code: "0", event: MachineEvent::Added },
    EventCode { code: "1", event: MachineEvent::Removed },
    EventCode { code: "2", event: MachineEvent::Updated },
    EventCode { code: "USING", event: MachineEvent::Added },
    EventCode { code: "IMPORT", event: MachineEvent::Added },
    EventCode { code: "REMOVE", event: MachineEvent::Removed },
];

fn find_event<T: Copy>(codes: &[EventCode<T>], code: &str) -> Option<T> {
    codes.iter().find(|row| row.code == code).map(|row| row.event)
}

fn build_row(layout: &Layout, line: u64, fields: Fields) -> Row {
    let detail = if layout.describes_work() {
        RowDetail::Work {
            job: TraceId::of(fields.job),
            task: TraceId::of(fields.task),
            event: find_event(WORK_EVENT_CODES, fields.event).unwrap_or(WorkEvent::Span),
            end: fields.end,
            instances: fields.instances.unwrap_or(1),
            tenant: TraceId::of(fields.tenant),
            class: TraceId::of(fields.class),
            priority: fields.priority,
        }
    } else {
        let event = find_event(MACHINE_EVENT_CODES, fields.event).unwrap_or(MachineEvent::Updated);
        RowDetail::Machine { event }
    };
    let Fields { at, machine, cpu, memory, .. } = fields;
    Row { line, at, machine: TraceId::of(machine), cpu, memory, detail }
}
