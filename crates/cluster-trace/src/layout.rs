//! Column layouts of the supported public traces.
//!
//! Column names are those of the publisher. The role of a column determines how a replay uses its values.

use ColumnFormat::{Code, Count, Id, Ignored, Number, Time};
use ColumnRole::{
    Class, Cpu, End, Event, Instances, Job, Machine, Memory, Priority, Task, Tenant, Timestamp, Unused,
};

/// The format of a column's values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColumnFormat {
    /// A timestamp in the layout's [`TimeUnit`].
    Time,
    /// An integer from 0 to the given maximum, inclusive.
    Count(u64),
    /// A finite decimal number from 0 to the given maximum, inclusive.
    Number(f64),
    /// A name or an opaque identifier of 1 to 256 bytes.
    Id,
    /// One of the given codes, matched exactly.
    Code(&'static [&'static str]),
    /// Any value; the column is skipped without validation.
    Ignored,
}

/// The use of a column's values in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnRole {
    /// Time of the event, or start time of the work.
    Timestamp,
    /// End time of the work.
    End,
    /// Identifier of the job.
    Job,
    /// Identifier of the task within its job.
    Task,
    /// Number of instances of the task.
    Instances,
    /// Identifier of the machine.
    Machine,
    /// Event or status code of the work or the machine.
    Event,
    /// Owner of the work, mapped to a tenant.
    Tenant,
    /// Class of the work, mapped to a class of queries.
    Class,
    /// Priority of the work.
    Priority,
    /// CPU requested or used by the work, or CPU capacity of the machine.
    Cpu,
    /// Memory requested or used by the work, or memory capacity of the machine.
    Memory,
    /// Not used by a replay. The format of the value is still validated.
    Unused,
}

/// A column of a [`Layout`].
pub struct Column {
    /// Name given by the publisher of the trace.
    pub name: &'static str,
    /// Format that values are validated against.
    pub format: ColumnFormat,
    /// Whether a row with an empty field in this column is rejected.
    pub is_required: bool,
    /// Use of the values in a replay.
    pub role: ColumnRole,
}

const fn required(name: &'static str, format: ColumnFormat, role: ColumnRole) -> Column {
    Column { name, format, is_required: true, role }
}

const fn optional(name: &'static str, format: ColumnFormat, role: ColumnRole) -> Column {
    Column { name, format, is_required: false, role }
}

const fn ignored(name: &'static str) -> Column {
    Column { name, format: Ignored, is_required: false, role: Unused }
}

/// The unit of the timestamps in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeUnit {
    /// Timestamps count microseconds.
    Microseconds,
    /// Timestamps count seconds.
    Seconds,
}

/// The order of the rows in a trace file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowOrder {
    /// Rows are published in timestamp order. Copies of the file may be slightly out of order, within the reach
    /// of a [`SortWindow`](crate::SortWindow).
    ByTime,
    /// Rows are grouped by another key, so they cannot be sorted within a bounded window.
    Unsorted,
}

/// The layout of one kind of file in a published trace.
pub struct Layout {
    /// Name by which users select the layout, unique among [`LAYOUTS`].
    pub name: &'static str,
    /// Unit of the columns with format [`ColumnFormat::Time`].
    pub time_unit: TimeUnit,
    /// Order in which the publisher writes the rows.
    pub row_order: RowOrder,
    /// Columns in file order. A row must have exactly this number of fields.
    pub columns: &'static [Column],
}

impl Layout {
    /// Returns whether the rows describe work; otherwise they describe machines.
    pub fn describes_work(&self) -> bool {
        self.columns.iter().any(|column| column.role == Job)
    }
}

/// Statuses of batch tasks and instances in the Alibaba trace of 2018.
const BATCH_STATUSES: &[&str] = &["Terminated", "Failed", "Running", "Waiting", "Cancelled", "Interrupted"];

/// All supported layouts.
#[rustfmt::skip]
pub const LAYOUTS: &[Layout] = &[
    Layout { name: "google-2011-task-events", time_unit: TimeUnit::Microseconds, row_order: RowOrder::ByTime,
    columns: &[
        required("timestamp", Time, Timestamp),
        ignored("missing info"),
        required("job ID", Count(u64::MAX), Job),
        required("task index", Count(u32::MAX as u64), Task),
        optional("machine ID", Count(u64::MAX), Machine),
        required("event type", Code(&["0", "1", "2", "3", "4", "5", "6", "7", "8"]), Event),
        optional("user", Id, Tenant),
        optional("scheduling class", Count(3), Class),
        required("priority", Count(11), Priority),
        optional("CPU request", Number(1e6), Cpu),
        optional("memory request", Number(1e6), Memory),
        ignored("disk space request"),
        ignored("different machines restriction"),
    ] },
    Layout { name: "google-2011-machine-events", time_unit: TimeUnit::Microseconds, row_order: RowOrder::ByTime,
    columns: &[
        required("timestamp", Time, Timestamp),
        required("machine ID", Count(u64::MAX), Machine),
        required("event type", Code(&["0", "1", "2"]), Event),
        ignored("platform ID"),
        optional("CPUs", Number(1e6), Cpu),
        optional("memory", Number(1e6), Memory),
    ] },
    Layout { name: "alibaba-2018-batch-task", time_unit: TimeUnit::Seconds, row_order: RowOrder::Unsorted,
    columns: &[
        required("task_name", Id, Task),
        optional("instance_num", Count(10_000_000), Instances),
        required("job_name", Id, Job),
        optional("task_type", Id, Class),
        required("status", Code(BATCH_STATUSES), Event),
        required("start_time", Time, Timestamp),
        optional("end_time", Time, End),
        optional("plan_cpu", Number(1e6), Cpu),
        optional("plan_mem", Number(1e6), Memory),
    ] },
    Layout { name: "alibaba-2018-batch-instance", time_unit: TimeUnit::Seconds, row_order: RowOrder::Unsorted,
    columns: &[
        required("instance_name", Id, Task),
        required("task_name", Id, Unused),
        required("job_name", Id, Job),
        optional("task_type", Id, Class),
        required("status", Code(BATCH_STATUSES), Event),
        required("start_time", Time, Timestamp),
        optional("end_time", Time, End),
        optional("machine_id", Id, Machine),
        optional("seq_no", Count(u32::MAX as u64), Unused),
        optional("total_seq_no", Count(u32::MAX as u64), Unused),
        optional("cpu_avg", Number(1e6), Cpu),
        ignored("cpu_max"),
        optional("mem_avg", Number(1e6), Memory),
        ignored("mem_max"),
    ] },
    Layout { name: "alibaba-2018-machine-meta", time_unit: TimeUnit::Seconds, row_order: RowOrder::Unsorted,
    columns: &[
        required("machine_id", Id, Machine),
        required("time_stamp", Time, Timestamp),
        ignored("failure_domain_1"),
        ignored("failure_domain_2"),
        optional("cpu_num", Number(1e6), Cpu),
        optional("mem_size", Number(1e6), Memory),
        required("status", Code(&["USING", "IMPORT", "REMOVE"]), Event),
    ] },
    Layout { name: "azure-2017-vmtable", time_unit: TimeUnit::Seconds, row_order: RowOrder::Unsorted,
    columns: &[
        required("vmid", Id, Task),
        required("subscriptionid", Id, Tenant),
        required("deploymentid", Id, Job),
        required("vmcreated", Time, Timestamp),
        required("vmdeleted", Time, End),
        ignored("maxcpu"),
        optional("avgcpu", Number(100.0), Cpu),
        ignored("p95maxcpu"),
        required("vmcategory", Code(&["Delay-insensitive", "Interactive", "Unknown"]), Class),
        ignored("vmcorecountbucket"),
        ignored("vmmemorybucket"),
    ] },
];

/// Returns the layout named `name`, or `None` if no supported layout has that name.
pub fn find_layout(name: &str) -> Option<&'static Layout> {
    LAYOUTS.iter().find(|layout| layout.name == name)
}
