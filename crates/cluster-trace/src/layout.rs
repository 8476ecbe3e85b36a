//! The published layouts, each a table of its columns. What a column is called is the publisher's; its role
//! is what a rehearsal makes of it.

use Form::{Code, Count, Id, Ignored, Number, Time};
use Role::*;

/// What a column holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// A moment, in the layout's unit.
    Time,
    /// A whole number from 0 to this.
    Count(u64),
    /// A finite number from 0 to this.
    Number(f64),
    /// A name or an opaque id, of 1 to 256 bytes.
    Id,
    /// One of these words.
    Code(&'static [&'static str]),
    /// Not read.
    Ignored,
}

/// What a rehearsal makes of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// When it happened, or began.
    At,
    /// When it ended.
    End,
    Job,
    Task,
    /// Instances of a task.
    Instances,
    Machine,
    /// What happened, a code of the layout.
    Event,
    Tenant,
    Class,
    Priority,
    Cpu,
    Memory,
    Nothing,
}

/// One column: its published name, what it holds, whether it must hold something, its role.
pub struct Column(pub &'static str, pub Form, pub bool, pub Role);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Micros,
    Seconds,
}

/// Whether rows come in the order of their times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sorted {
    /// As published, save for what a copy has done to them.
    ByTime,
    /// Grouped by something else: no window can order them.
    No,
}

/// One kind of file of one published trace.
pub struct Layout {
    pub name: &'static str,
    pub unit: Unit,
    pub sorted: Sorted,
    pub columns: &'static [Column],
}

/// The layouts that are known.
#[rustfmt::skip]
pub const LAYOUTS: &[Layout] = &[
    Layout { name: "google-2011-task-events", unit: Unit::Micros, sorted: Sorted::ByTime, columns: &[
        Column("timestamp",                       Time,                  true,  At),
        Column("missing info",                    Ignored,               false, Nothing),
        Column("job ID",                          Count(u64::MAX),       true,  Job),
        Column("task index",                      Count(u32::MAX as u64), true, Task),
        Column("machine ID",                      Count(u64::MAX),       false, Machine),
        Column("event type",                      Code(&["0", "1", "2", "3", "4", "5", "6", "7", "8"]), true, Event),
        Column("user",                            Id,                    false, Tenant),
        Column("scheduling class",                Count(3),              false, Class),
        Column("priority",                        Count(11),             true,  Priority),
        Column("CPU request",                     Number(1e6),           false, Cpu),
        Column("memory request",                  Number(1e6),           false, Memory),
        Column("disk space request",              Ignored,               false, Nothing),
        Column("different machines restriction",  Ignored,               false, Nothing),
    ] },
    Layout { name: "google-2011-machine-events", unit: Unit::Micros, sorted: Sorted::ByTime, columns: &[
        Column("timestamp",   Time,                   true,  At),
        Column("machine ID",  Count(u64::MAX),        true,  Machine),
        Column("event type",  Code(&["0", "1", "2"]), true,  Event),
        Column("platform ID", Ignored,                false, Nothing),
        Column("CPUs",        Number(1e6),            false, Cpu),
        Column("memory",      Number(1e6),            false, Memory),
    ] },
    Layout { name: "alibaba-2018-batch-task", unit: Unit::Seconds, sorted: Sorted::No, columns: &[
        Column("task_name",    Id,                                      true,  Task),
        Column("instance_num", Count(10_000_000),                       false, Instances),
        Column("job_name",     Id,                                      true,  Job),
        Column("task_type",    Id,                                      false, Class),
        Column("status",       Code(&["Terminated", "Failed", "Running", "Waiting", "Cancelled", "Interrupted"]), true, Event),
        Column("start_time",   Time,                                    true,  At),
        Column("end_time",     Time,                                    false, End),
        Column("plan_cpu",     Number(1e6),                             false, Cpu),
        Column("plan_mem",     Number(1e6),                             false, Memory),
    ] },
    Layout { name: "alibaba-2018-batch-instance", unit: Unit::Seconds, sorted: Sorted::No, columns: &[
        Column("instance_name", Id,                                     true,  Task),
        Column("task_name",     Id,                                     true,  Nothing),
        Column("job_name",      Id,                                     true,  Job),
        Column("task_type",     Id,                                     false, Class),
        Column("status",        Code(&["Terminated", "Failed", "Running", "Waiting", "Cancelled", "Interrupted"]), true, Event),
        Column("start_time",    Time,                                   true,  At),
        Column("end_time",      Time,                                   false, End),
        Column("machine_id",    Id,                                     false, Machine),
        Column("seq_no",        Count(u32::MAX as u64),                 false, Nothing),
        Column("total_seq_no",  Count(u32::MAX as u64),                 false, Nothing),
        Column("cpu_avg",       Number(1e6),                            false, Cpu),
        Column("cpu_max",       Ignored,                                false, Nothing),
        Column("mem_avg",       Number(1e6),                            false, Memory),
        Column("mem_max",       Ignored,                                false, Nothing),
    ] },
    Layout { name: "alibaba-2018-machine-meta", unit: Unit::Seconds, sorted: Sorted::No, columns: &[
        Column("machine_id",       Id,          true,  Machine),
        Column("time_stamp",       Time,        true,  At),
        Column("failure_domain_1", Ignored,     false, Nothing),
        Column("failure_domain_2", Ignored,     false, Nothing),
        Column("cpu_num",          Number(1e6), false, Cpu),
        Column("mem_size",         Number(1e6), false, Memory),
        Column("status",           Code(&["USING", "IMPORT", "REMOVE"]), true, Event),
    ] },
    Layout { name: "azure-2017-vmtable", unit: Unit::Seconds, sorted: Sorted::No, columns: &[
        Column("vmid",               Id,          true,  Task),
        Column("subscriptionid",     Id,          true,  Tenant),
        Column("deploymentid",       Id,          true,  Job),
        Column("vmcreated",          Time,        true,  At),
        Column("vmdeleted",          Time,        true,  End),
        Column("maxcpu",             Ignored,     false, Nothing),
        Column("avgcpu",             Number(100.0), false, Cpu),
        Column("p95maxcpu",          Ignored,     false, Nothing),
        Column("vmcategory",         Code(&["Delay-insensitive", "Interactive", "Unknown"]), true, Class),
        Column("vmcorecountbucket",  Ignored,     false, Nothing),
        Column("vmmemorybucket",     Ignored,     false, Nothing),
    ] },
];

/// The layout of this name.
pub fn layout(name: &str) -> Option<&'static Layout> {
    LAYOUTS.iter().find(|layout| layout.name == name)
}
