//! The published layouts, each a table of its columns. The names of columns are the publisher's; a column's
//! role says what a replay makes of it.

use ColumnFormat::{Code, Count, Id, Ignored, Number, Time};
use ColumnRole::{
    At, Class, Cpu, End, Event, Instances, Job, Machine, Memory, Priority, Task, Tenant, Unused,
};

/// What a column holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColumnFormat {
    /// A time, in the layout's unit.
    Time,
    /// A whole number from 0 to this.
    Count(u64),
    /// A finite number from 0 to this.
    Number(f64),
    /// A name or an opaque id, of 1 to 256 bytes.
    Id,
    /// One of these codes.
    Code(&'static [&'static str]),
    /// The column is not read.
    Ignored,
}

/// What a replay makes of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnRole {
    /// When it happened, or began.
    At,
    /// When it ended.
    End,
    /// The job.
    Job,
    /// The task within the job.
    Task,
    /// Number of instances of a task.
    Instances,
    /// The machine.
    Machine,
    /// What happened, as a code of the layout.
    Event,
    /// Whose work it is.
    Tenant,
    /// The class of the work.
    Class,
    /// The priority of the work.
    Priority,
    /// CPU that the work asks for or the machine has.
    Cpu,
    /// Memory that the work asks for or the machine has.
    Memory,
    /// Nothing; its format is checked all the same.
    Unused,
}

/// One column of a layout.
pub struct Column {
    /// Its published name.
    pub name: &'static str,
    /// What it holds.
    pub format: ColumnFormat,
    /// Whether an empty field is an error.
    pub is_required: bool,
    /// What a replay makes of it.
    pub role: ColumnRole,
}

/// A column that must have a value.
const fn required(name: &'static str, format: ColumnFormat, role: ColumnRole) -> Column {
    Column { name, format, is_required: true, role }
}

/// A column that may be empty.
const fn optional(name: &'static str, format: ColumnFormat, role: ColumnRole) -> Column {
    Column { name, format, is_required: false, role }
}

/// A column that is not read.
const fn ignored(name: &'static str) -> Column {
    Column { name, format: Ignored, is_required: false, role: Unused }
}

/// The unit of a layout's times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeUnit {
    /// Microseconds.
    Microseconds,
    /// Seconds.
    Seconds,
}

/// Whether rows come in the order of their times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowOrder {
    /// As published they do; a copy may have them slightly out of order.
    ByTime,
    /// They are grouped by something else: no window can sort them.
    Unsorted,
}

/// One kind of file of one published trace.
pub struct Layout {
    /// The name by which it is chosen.
    pub name: &'static str,
    /// The unit of its times.
    pub time_unit: TimeUnit,
    /// Whether rows come in the order of their times.
    pub row_order: RowOrder,
    /// Its columns, in their order.
    pub columns: &'static [Column],
}

impl Layout {
    /// Whether its rows are about work; else they are about machines.
    pub fn describes_work(&self) -> bool {
        self.columns.iter().any(|column| column.role == Job)
    }
}

/// The states of a batch task or instance in Alibaba's trace of 2018.
const BATCH_STATUSES: &[&str] = &["Terminated", "Failed", "Running", "Waiting", "Cancelled", "Interrupted"];

/// The layouts that are known.
#[rustfmt::skip]
pub const LAYOUTS: &[Layout] = &[
    Layout { name: "google-2011-task-events", time_unit: TimeUnit::Microseconds, row_order: RowOrder::ByTime,
    columns: &[
        required("timestamp", Time, At),
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
        required("timestamp", Time, At),
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
        required("start_time", Time, At),
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
        required("start_time", Time, At),
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
        required("time_stamp", Time, At),
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
        required("vmcreated", Time, At),
        required("vmdeleted", Time, End),
        ignored("maxcpu"),
        optional("avgcpu", Number(100.0), Cpu),
        ignored("p95maxcpu"),
        required("vmcategory", Code(&["Delay-insensitive", "Interactive", "Unknown"]), Class),
        ignored("vmcorecountbucket"),
        ignored("vmmemorybucket"),
    ] },
];

/// The layout of this name.
pub fn find_layout(name: &str) -> Option<&'static Layout> {
    LAYOUTS.iter().find(|layout| layout.name == name)
}
