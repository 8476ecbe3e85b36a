//! Validation of a single line by its fields alone, without regard to other lines.

use crate::layout::{Column, ColumnFormat, ColumnRole, Layout, TimeUnit};
use crate::rejection_reason::RejectionReason;
use crate::row::{HashedId, MachineEvent, RejectedRow, Row, RowDetail, RowOutcome, WorkEvent, quote};
use csv::ByteRecord;

/// The maximum length of an identifier, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The latest valid timestamp, in microseconds. Traces use very large values to mark times before and after the
/// recorded period; larger values would overflow.
const LATEST_US: u64 = i64::MAX as u64;

/// Converts the fields of line number `line` to a row, or rejects the line if a field is invalid.
pub fn classify_row(layout: &Layout, line: u64, record: &ByteRecord) -> RowOutcome {
    match read_row(layout, line, record) {
        Ok(row) => RowOutcome::Accepted(row),
        Err(rejected) => RowOutcome::Rejected(*rejected),
    }
}

/// The values of a line, by column role. Text fields are empty if the line does not contain a value.
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
            (ColumnRole::Timestamp, Value::Integer(at)) => self.at = at,
            (ColumnRole::End, Value::Integer(end)) => self.end = Some(end),
            (ColumnRole::Priority, Value::Integer(priority)) => self.priority = priority,
            (ColumnRole::Instances, Value::Integer(instances)) => self.instances = Some(instances),
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
    // A single UTF-8 check of the whole row is fast. Fields are checked one by one only if it fails, to find the
    // invalid field.
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
    Ok(convert_fields(layout, line, fields))
}

fn check_column_count(layout: &Layout, line: u64, record: &ByteRecord) -> Result<(), Box<RejectedRow>> {
    let expected = layout.columns.len();
    let reason = match record.len() {
        count if count < expected => RejectionReason::TooFewColumns,
        count if count > expected => RejectionReason::TooManyColumns,
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
        allowed: format!("the start time, {} us, or later", fields.at),
        reason: RejectionReason::EndsBeforeStart,
    }))
}

enum Value {
    Integer(u64),
    Number(f64),
    Text,
}

/// Parses a field. Returns `None` if the field is empty and its column is optional.
fn parse_field(column: &Column, unit: TimeUnit, text: &str) -> Result<Option<Value>, RejectionReason> {
    match text.is_empty() {
        true if column.is_required => Err(RejectionReason::MissingValue),
        true => Ok(None),
        false => parse_value(column.format, unit, text).map(Some),
    }
}

fn parse_value(format: ColumnFormat, unit: TimeUnit, text: &str) -> Result<Value, RejectionReason> {
    match format {
        ColumnFormat::Time => parse_time(unit, text).map(Value::Integer),
        ColumnFormat::Count(maximum) => parse_integer(text, maximum).map(Value::Integer),
        ColumnFormat::Number(maximum) => parse_number(text, maximum).map(Value::Number),
        ColumnFormat::Id if text.len() > MAX_ID_BYTES => Err(RejectionReason::OutOfRange),
        ColumnFormat::Code(codes) if !codes.contains(&text) => Err(RejectionReason::UnknownEvent),
        ColumnFormat::Id | ColumnFormat::Code(_) | ColumnFormat::Ignored => Ok(Value::Text),
    }
}

/// Parses a timestamp and converts it to microseconds.
fn parse_time(unit: TimeUnit, text: &str) -> Result<u64, RejectionReason> {
    let time = parse_integer(text, u64::MAX)?;
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

/// Parses an integer. The form `86400.0` is accepted because some copies of traces write integers this way.
fn parse_integer(text: &str, maximum: u64) -> Result<u64, RejectionReason> {
    let digits = text.strip_suffix(".0").unwrap_or(text);
    // `u64::from_str` accepts a leading `+`, which is invalid here.
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
        ColumnFormat::Time => "a timestamp, an integer of at least 0".to_owned(),
        ColumnFormat::Count(u64::MAX) => "an integer of at least 0".to_owned(),
        ColumnFormat::Count(maximum) => format!("an integer from 0 to {maximum}"),
        ColumnFormat::Number(maximum) => format!("a number from 0 to {maximum}"),
        ColumnFormat::Id => format!("a name of 1 to {MAX_ID_BYTES} bytes"),
        ColumnFormat::Code(codes) => format!("one of {}", codes.join(", ")),
        ColumnFormat::Ignored => "anything".to_owned(),
    }
}

/// The event that a code stands for. One table serves all layouts because no two layouts give a code different
/// meanings.
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

fn convert_fields(layout: &Layout, line: u64, fields: Fields) -> Row {
    let detail = if layout.describes_work() {
        RowDetail::Work {
            job: HashedId::from_name(fields.job),
            task: HashedId::from_name(fields.task),
            event: find_event(WORK_EVENT_CODES, fields.event).unwrap_or(WorkEvent::Span),
            end: fields.end,
            instances: fields.instances.unwrap_or(1),
            tenant: HashedId::from_name(fields.tenant),
            class: HashedId::from_name(fields.class),
            priority: fields.priority,
        }
    } else {
        let event = find_event(MACHINE_EVENT_CODES, fields.event).unwrap_or(MachineEvent::Updated);
        RowDetail::Machine { event }
    };
    let Fields { at, machine, cpu, memory, .. } = fields;
    Row { line, at, machine: HashedId::from_name(machine), cpu, memory, detail }
}
