//! The verdict on one line, from its fields alone.

use crate::Reason;
use crate::layout::{Form, Layout, Role, Unit};
use csv::ByteRecord;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A name or an opaque id of the trace, by its XXH3: rows of one job have one, in every run. None of an empty
/// field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl Id {
    pub fn of(text: &str) -> Option<Id> {
        (!text.is_empty()).then(|| Id(xxh3_64(text.as_bytes())))
    }
}

/// What became of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEvent {
    Submitted,
    Scheduled,
    /// Ended by somebody else: evicted, killed, cancelled, interrupted.
    Stopped,
    Failed,
    Finished,
    /// Its end is not in the trace.
    Lost,
    Updated,
    /// A row that tells of the whole span.
    Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    Added,
    Removed,
    Updated,
}

/// What a row tells of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Work {
        job: Option<Id>,
        task: Option<Id>,
        event: WorkEvent,
        /// Microseconds, where the row tells of a whole span.
        end: Option<u64>,
        instances: u64,
        tenant: Option<Id>,
        class: Option<Id>,
        priority: u64,
    },
    Machine {
        event: MachineEvent,
    },
}

/// A row that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    pub line: u64,
    /// Microseconds on the trace's clock.
    pub at: u64,
    pub machine: Option<Id>,
    /// As the trace has it: a share of the largest machine, cores, or per cent. None where it is silent.
    pub cpu: Option<f64>,
    pub memory: Option<f64>,
    pub what: What,
}

/// A line that is not used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    pub line: u64,
    /// The column's published name; none where the whole line is at fault.
    pub column: Option<&'static str>,
    pub holds: String,
    pub allowed: String,
    pub reason: Reason,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if let Some(column) = self.column {
            write!(f, "`{column}` ")?;
        }
        write!(f, "is {}: {} is allowed ({})", self.holds, self.allowed, self.reason.code())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Taken(Row),
    Rejected(Rejected),
}

/// The longest text that a verdict quotes.
const QUOTED: usize = 60;
/// The longest id.
const LONGEST_ID: usize = 256;
/// Times that stand for before and after the trace are moments too; none may be so late that it overflows.
const LATEST: u64 = i64::MAX as u64;

pub(crate) fn quote(bytes: &[u8]) -> String {
    let text: String = String::from_utf8_lossy(bytes).chars().take(QUOTED).collect();
    format!("{text:?}")
}

/// The verdict on a line's fields.
pub fn judge(layout: &Layout, line: u64, record: &ByteRecord) -> Verdict {
    match read(layout, line, record) {
        Ok(row) => Verdict::Taken(row),
        Err(rejected) => Verdict::Rejected(*rejected),
    }
}

/// Fields by their role, checked one by one.
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

fn read(layout: &Layout, line: u64, record: &ByteRecord) -> Result<Row, Box<Rejected>> {
    let columns = layout.columns;
    if record.len() != columns.len() {
        let fewer = record.len() < columns.len();
        return Err(Box::new(Rejected {
            line,
            column: None,
            holds: format!("{} columns", record.len()),
            allowed: format!("{}", columns.len()),
            reason: if fewer { Reason::ColumnsMissing } else { Reason::ColumnsExtra },
        }));
    }
    let mut fields = Fields::default();
    // One look at the whole row; only where that fails is each field looked at, to find the one at fault.
    let whole = std::str::from_utf8(record.as_slice()).ok();
    for (no, (column, bytes)) in columns.iter().zip(record).enumerate() {
        if column.1 == Form::Ignored {
            continue;
        }
        let wrong = |reason: Reason, allowed: String| {
            Box::new(Rejected { line, column: Some(column.0), holds: quote(bytes), allowed, reason })
        };
        let slice = whole.zip(record.range(no)).and_then(|(whole, range)| whole.get(range));
        let text = match slice.or_else(|| std::str::from_utf8(bytes).ok()) {
            Some(text) => text.trim_ascii(),
            None => return Err(wrong(Reason::NotUtf8, "UTF-8".to_owned())),
        };
        if text.is_empty() {
            if column.2 {
                return Err(wrong(Reason::MissingValue, allowed(column.1)));
            }
            continue;
        }
        let value = parse(column.1, layout.unit, text).map_err(|reason| wrong(reason, allowed(column.1)))?;
        match (column.3, value) {
            (Role::At, Value::Whole(at)) => fields.at = at,
            (Role::End, Value::Whole(end)) => fields.end = Some(end),
            (Role::Priority, Value::Whole(priority)) => fields.priority = priority,
            (Role::Instances, Value::Whole(instances)) => fields.instances = Some(instances),
            (Role::Cpu, Value::Number(cpu)) => fields.cpu = Some(cpu),
            (Role::Memory, Value::Number(memory)) => fields.memory = Some(memory),
            (Role::Job, _) => fields.job = text,
            (Role::Task, _) => fields.task = text,
            (Role::Machine, _) => fields.machine = text,
            (Role::Event, _) => fields.event = text,
            (Role::Tenant, _) => fields.tenant = text,
            (Role::Class, _) => fields.class = text,
            _ => {}
        }
    }
    if let Some(end) = fields.end.filter(|end| *end < fields.at) {
        let name = columns.iter().find(|column| column.3 == Role::End).map(|column| column.0);
        return Err(Box::new(Rejected {
            line,
            column: name,
            holds: format!("{end} us"),
            allowed: format!("its start, {} us, or later", fields.at),
            reason: Reason::EndsBeforeStart,
        }));
    }
    Ok(make(layout, line, fields))
}

enum Value {
    Whole(u64),
    Number(f64),
    Text,
}

fn parse(form: Form, unit: Unit, text: &str) -> Result<Value, Reason> {
    match form {
        Form::Time => {
            let told = whole(text, u64::MAX)?;
            let micros = match unit {
                Unit::Micros => Some(told),
                Unit::Seconds => told.checked_mul(1_000_000),
            };
            micros.filter(|at| *at <= LATEST).map(Value::Whole).ok_or(Reason::OutOfRange)
        }
        Form::Count(most) => whole(text, most).map(Value::Whole),
        Form::Number(most) => {
            let number: f64 = text.parse().map_err(|_| Reason::NotANumber)?;
            match number {
                n if n.is_nan() => Err(Reason::NotANumber),
                n if n < 0.0 => Err(Reason::Negative),
                n if n > most => Err(Reason::OutOfRange),
                n => Ok(Value::Number(n)),
            }
        }
        Form::Id if text.len() > LONGEST_ID => Err(Reason::OutOfRange),
        Form::Code(words) if !words.contains(&text) => Err(Reason::UnknownEvent),
        Form::Id | Form::Code(_) | Form::Ignored => Ok(Value::Text),
    }
}

/// A whole number; one with a fraction of nothing (`86400.0`) is one too, as some copies of traces write
/// them.
fn whole(text: &str, most: u64) -> Result<u64, Reason> {
    let digits = text.strip_suffix(".0").unwrap_or(text);
    // Signs are read by the library, and are not digits.
    if let Some(number) = digits.parse::<u64>().ok().filter(|_| !digits.starts_with('+')) {
        return if number <= most { Ok(number) } else { Err(Reason::OutOfRange) };
    }
    if digits
        .strip_prefix('-')
        .is_some_and(|rest| !rest.is_empty() && rest.bytes().all(|b| b.is_ascii_digit()))
    {
        return Err(Reason::Negative);
    }
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Reason::NotANumber);
    }
    Err(Reason::OutOfRange)
}

fn allowed(form: Form) -> String {
    match form {
        Form::Time => "a moment, a whole number from 0".to_owned(),
        Form::Count(u64::MAX) => "a whole number from 0".to_owned(),
        Form::Count(most) => format!("a whole number from 0 to {most}"),
        Form::Number(most) => format!("a number from 0 to {most}"),
        Form::Id => format!("a name of 1 to {LONGEST_ID} bytes"),
        Form::Code(words) => format!("one of {}", words.join(", ")),
        Form::Ignored => "anything".to_owned(),
    }
}

/// The codes of each layout, in the words of this package.
#[rustfmt::skip]
const WORK: &[(&str, WorkEvent)] = &[
    ("0", WorkEvent::Submitted), ("1", WorkEvent::Scheduled), ("2", WorkEvent::Stopped),
    ("3", WorkEvent::Failed),    ("4", WorkEvent::Finished),  ("5", WorkEvent::Stopped),
    ("6", WorkEvent::Lost),      ("7", WorkEvent::Updated),   ("8", WorkEvent::Updated),
    ("Terminated", WorkEvent::Finished), ("Failed", WorkEvent::Failed), ("Running", WorkEvent::Scheduled),
    ("Waiting", WorkEvent::Submitted), ("Cancelled", WorkEvent::Stopped), ("Interrupted", WorkEvent::Stopped),
];

#[rustfmt::skip]
const MACHINE: &[(&str, MachineEvent)] = &[
    ("0", MachineEvent::Added), ("1", MachineEvent::Removed), ("2", MachineEvent::Updated),
    ("USING", MachineEvent::Added), ("IMPORT", MachineEvent::Added), ("REMOVE", MachineEvent::Removed),
];

fn make(layout: &Layout, line: u64, fields: Fields) -> Row {
    let has = |role: Role| layout.columns.iter().any(|column| column.3 == role);
    let what = if has(Role::Job) {
        let event = WORK.iter().find(|(code, _)| *code == fields.event).map(|(_, event)| *event);
        What::Work {
            job: Id::of(fields.job),
            task: Id::of(fields.task),
            event: event.unwrap_or(WorkEvent::Span),
            end: fields.end,
            instances: fields.instances.unwrap_or(1),
            tenant: Id::of(fields.tenant),
            class: Id::of(fields.class),
            priority: fields.priority,
        }
    } else {
        let event = MACHINE.iter().find(|(code, _)| *code == fields.event).map(|(_, event)| *event);
        What::Machine { event: event.unwrap_or(MachineEvent::Updated) }
    };
    let Fields { at, machine, cpu, memory, .. } = fields;
    Row { line, at, machine: Id::of(machine), cpu, memory, what }
}
