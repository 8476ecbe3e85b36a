//! Every key of the settings: what it may hold, whether it must be there, and when a new value applies. The
//! checks, the comparison of two versions and the operators' page all read this one table.

use Applies::{Aside, Live, New, Own, Restart};
use Form::{Any, Flag, Ms, OneOf, Share, Text, Whole};
use serde_json::Value;

/// What a key may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// A time in milliseconds between these.
    Ms(f64, f64),
    /// A number between these.
    Number(f64, f64),
    /// From 0 to 1.
    Share,
    /// A whole number between these.
    Whole(u64, u64),
    Flag,
    /// Text of one to 256 bytes.
    Text,
    OneOf(&'static [&'static str]),
    /// Whatever the platform writes there; it is not read.
    Any,
}

/// When a value that differs from the one before takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Applies {
    /// At once, for everything; where a rule looks back over a window, the tighter of both until that is
    /// over.
    Live,
    /// For queries taken from then on; one that is open keeps what it was taken under.
    New,
    /// Not while the broker runs: a version that changes it is turned down.
    Restart,
    /// Each broker's own, from its file; a version leaves it out, or says the same.
    Own,
    /// Never: the broker does not read it.
    Aside,
}

/// One key, or all keys below it where it is `Any`.
pub struct Field(pub &'static str, pub Form, pub bool, pub Applies);

/// The longest time that may be told.
const DAY: f64 = 86_400_000.0;
/// The longest deadline: the longest that a client may say it waits.
const LONGEST: f64 = 600_000.0;

/// Keys that stand in a list have `[]` behind the list's name.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    //    key                             form                          needed  applies
    Field("Instances",                    Whole(1, 65_535),             true,   Live),
    Field("Me",                           Whole(0, 65_535),             false,  Own),
    Field("Zone",                         Whole(0, 65_535),             false,  Own),
    Field("Layer",                        Whole(0, 65_535),             false,  Own),
    Field("Areas[]",                      Text,                         false,  Live),
    Field("PeriodMs",                     Ms(0.1, 10_000.0),            true,   Restart),
    Field("Services[].Name",              Text,                         true,   New),
    Field("Services[].OnTimeMs",          Ms(1.0, LONGEST),             true,   New),
    Field("Services[].AimStretch",        Form::Number(0.0, 1000.0),    false,  New),
    Field("Services[].DeadlineMs",        Ms(1.0, LONGEST),             true,   New),
    Field("Services[].Worth",             Form::Number(0.0, 1e9),       true,   New),
    Field("Services[].LateShare",         Share,                        false,  New),
    Field("Services[].Effect",            OneOf(&["idempotent", "deduplicated", "at_most_once"]), true, New),
    Field("Services[].DedupWindowMs",     Ms(0.0, DAY),                 false,  New),
    Field("Services[].Group",             Text,                         false,  Aside),
    Field("Services[].Streaming",         Flag,                         false,  Aside),
    Field("Tenants[].Name",               Text,                         true,   New),
    Field("Tenants[].QuotaRps",           Form::Number(0.0, 1e9),       true,   New),
    Field("Tenants[].Share",              Any,                          false,  Aside),
    Field("OverShareWorth",               Share,                        false,  New),
    Field("Domain.Cells",                 Whole(1, 65_536),             true,   New),
    Field("Domain.Reach",                 Whole(1, 65_536),             true,   New),
    Field("Domain.Ranges",                Whole(1, 1_000_000),          true,   New),
    Field("Domain.PerCall",               Whole(1, 65_536),             false,  Restart),
    Field("Domain.CompleteFrom[]",        Share,                        true,   New),
    Field("Domain.MinShare[]",            Share,                        true,   New),
    Field("Domain.FetchParts[]",          Whole(0, 1_000_000),          false,  New),
    Field("Domain.ClassPartial[]",        Any,                          false,  Aside),
    Field("Domain.PerCallWorkMs",         Any,                          false,  Aside),
    Field("Domain.WarmKeys",              Any,                          false,  Aside),
    Field("Limits.MaxAttempts",           Whole(1, 65_535),             true,   New),
    Field("Limits.MaxOpen",               Whole(2, 1_000_000),          true,   Live),
    Field("Limits.SecondCopies",          Flag,                         false,  New),
    Field("Limits.MayCancel",             Flag,                         false,  New),
    Field("Limits.RetryAfter",            Flag,                         false,  Live),
    Field("Limits.MaxRetryAfterMs",       Ms(0.0, DAY),                 false,  Live),
    Field("Limits.ConnIdleMs",            Ms(1.0, DAY),                 false,  Restart),
    Field("Limits.ConnectTimeoutMs",      Ms(1.0, LONGEST),             false,  Restart),
    Field("Limits.StreamsPerConn",        Whole(1, 65_536),             false,  Restart),
    Field("Limits.CpuUsPerRequest",       Any,                          false,  Aside),
    Field("Limits.CpuUsPerS",             Any,                          false,  Aside),
    Field("Limits.Peers",                 Any,                          false,  Aside),
    Field("Limits.Probes",                Flag,                         false,  New),
    Field("Rules.ColdFrom",               Share,                        false,  Live),
    Field("Rules.WarmUpMs",               Ms(0.0, DAY),                 false,  Live),
    Field("Rules.OverloadFactor",         Form::Number(0.0, 1000.0),    false,  Live),
    Field("Rules.OverloadForMs",          Ms(0.0, DAY),                 false,  Live),
    Field("Rules.AskWithinMs",            Ms(0.0, DAY),                 false,  Restart),
    Field("Rules.ExtraFloor",             Form::Number(0.0, 1e9),       false,  Live),
    Field("Rules.ResendRatio",            Form::Number(0.0, 1000.0),    false,  Live),
    Field("Rules.BudgetWindowMs",         Ms(1.0, DAY),                 false,  Live),
    Field("Rules.GraceToAnswerMs",        Any,                          false,  Aside),
    Field("Rules.StopSendingWithinMs",    Ms(0.0, DAY),                 false,  Restart),
    Field("RegistryMode",                 OneOf(&["automatic", "subscribe"]), true, Restart),
    Field("Prices.LateFail",              Form::Number(0.0, 1e9),       false,  New),
    Field("Prices",                       Any,                          false,  Aside),
    Field("Callers",                      Any,                          false,  Aside),
    Field("DomainType",                   Any,                          false,  Aside),
    Field("HostTypes",                    Any,                          false,  Aside),
    Field("ScoringMix",                   Any,                          false,  Aside),
    Field("Stages",                       Any,                          false,  Aside),
    Field("Stats.Via",                    OneOf(&["piggyback", "pull", "silent"]), false, New),
    Field("Stats.Fields[]",               Text,                         false,  New),
    Field("WeightKind",                   Any,                          false,  Aside),
    Field("WorthBy",                      Any,                          false,  Aside),
];

impl Form {
    /// Whether a value is allowed.
    pub fn holds(self, value: &Value) -> bool {
        let between = |least: f64, most: f64| value.as_f64().is_some_and(|n| (least..=most).contains(&n));
        match self {
            Form::Ms(least, most) | Form::Number(least, most) => between(least, most),
            Form::Share => between(0.0, 1.0),
            Form::Whole(least, most) => value.as_u64().is_some_and(|n| (least..=most).contains(&n)),
            Form::Flag => value.is_boolean(),
            Form::Text => value.as_str().is_some_and(|text| (1..=256).contains(&text.len())),
            Form::OneOf(words) => value.as_str().is_some_and(|text| words.contains(&text)),
            Form::Any => true,
        }
    }

    /// What is allowed, in words.
    pub fn allowed(self) -> String {
        match self {
            Form::Ms(least, most) => format!("{least} to {most} milliseconds"),
            Form::Number(least, most) => format!("a number from {least} to {most}"),
            Form::Share => "a share from 0 to 1".to_owned(),
            Form::Whole(least, most) => format!("a whole number from {least} to {most}"),
            Form::Flag => "true or false".to_owned(),
            Form::Text => "text of 1 to 256 bytes".to_owned(),
            Form::OneOf(words) => words.iter().map(|w| format!("`{w}`")).collect::<Vec<_>>().join(" or "),
            Form::Any => "anything".to_owned(),
        }
    }
}
