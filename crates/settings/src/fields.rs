//! Table of all settings keys: their allowed values, whether they are required, and when a new value takes effect.
//! The checks, the comparison of two documents and the operators' documentation all follow this table.

use crate::ValueType::{self, Boolean, OneOf, Share, Text, Unchecked};
use ApplyMode::{AfterRestart, Immediately, Never, NewQueries, PerBroker};

/// Time at which a changed value takes effect in a running broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ApplyMode {
    /// The new value applies at once, also to open queries. For rules that count over a window, the stricter of the
    /// old and the new value applies until the longest of retry window, warm-up period and overload window has
    /// passed.
    Immediately,
    /// The new value applies to queries that are accepted from then on. Open queries keep the configuration under
    /// which they were accepted.
    NewQueries,
    /// The new value needs a restart. A running broker rejects a version that changes the value.
    AfterRestart,
    /// Each broker has its own value, from its file. A version must leave the key out or have the same value.
    PerBroker,
    /// The broker does not read the key.
    Never,
}

/// Row of the table. It describes a key, and if its type is [`ValueType::Unchecked`] also all keys below it.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Path of the key, such as `Domain.Cells`. The name of a list is followed by `[]`, as in `Tenants[].Name`.
    pub key: &'static str,
    /// Allowed values.
    pub value_type: ValueType,
    /// Whether the object that contains the key is invalid without it.
    pub is_required: bool,
    /// Time at which a new value takes effect.
    pub applies: ApplyMode,
}

impl Field {
    /// Returns the row of a key, or `None` if the table has no such key.
    pub fn find(key: &str) -> Option<&'static Field> {
        FIELDS.iter().find(|field| field.key == key)
    }
}

/// The maximum duration that a key may hold, in milliseconds.
const DAY_MS: f64 = 86_400_000.0;
/// Longest deadline, in milliseconds. It equals the longest time that a client may allow for a query.
const MAX_DEADLINE_MS: f64 = 600_000.0;
const EFFECTS: &[&str] = &["idempotent", "deduplicated", "at_most_once"];
const REGISTRY_MODES: &[&str] = &["automatic", "subscribe"];
const STATS_VIA: &[&str] = &["piggyback", "pull", "silent"];

const fn ms(min: f64, max: f64) -> ValueType {
    ValueType::Milliseconds { min, max }
}

const fn number(min: f64, max: f64) -> ValueType {
    ValueType::Number { min, max }
}

const fn integer(min: u64, max: u64) -> ValueType {
    ValueType::Integer { min, max }
}

/// All settings keys.
pub const FIELDS: &[Field] = &[
    Field { key: "Instances", value_type: integer(1, 65_535), is_required: true, applies: Immediately },
    Field { key: "Me", value_type: integer(0, 65_535), is_required: false, applies: PerBroker },
    Field { key: "Zone", value_type: integer(0, 65_535), is_required: false, applies: PerBroker },
    Field { key: "Layer", value_type: integer(0, 65_535), is_required: false, applies: PerBroker },
    Field { key: "Areas[]", value_type: Text, is_required: false, applies: Immediately },
    Field { key: "PeriodMs", value_type: ms(0.1, 10_000.0), is_required: true, applies: AfterRestart },
    Field { key: "Services[].Name", value_type: Text, is_required: true, applies: NewQueries },
    Field {
        key: "Services[].OnTimeMs",
        value_type: ms(1.0, MAX_DEADLINE_MS),
        is_required: true,
        applies: NewQueries,
    },
    Field {
        key: "Services[].AimStretch",
        value_type: number(0.0, 1000.0),
        is_required: false,
        applies: NewQueries,
    },
    Field {
        key: "Services[].DeadlineMs",
        value_type: ms(1.0, MAX_DEADLINE_MS),
        is_required: true,
        applies: NewQueries,
    },
    Field { key: "Services[].Worth", value_type: number(0.0, 1e9), is_required: true, applies: NewQueries },
    Field { key: "Services[].LateShare", value_type: Share, is_required: false, applies: NewQueries },
    Field { key: "Services[].Effect", value_type: OneOf(EFFECTS), is_required: true, applies: NewQueries },
    Field {
        key: "Services[].DedupWindowMs",
        value_type: ms(0.0, DAY_MS),
        is_required: false,
        applies: NewQueries,
    },
    Field { key: "Services[].Group", value_type: Text, is_required: false, applies: Never },
    Field { key: "Services[].Streaming", value_type: Boolean, is_required: false, applies: Never },
    Field { key: "Tenants[].Name", value_type: Text, is_required: true, applies: NewQueries },
    Field { key: "Tenants[].QuotaRps", value_type: number(0.0, 1e9), is_required: true, applies: NewQueries },
    Field { key: "Tenants[].Share", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "OverShareWorth", value_type: Share, is_required: false, applies: NewQueries },
    Field { key: "Domain.Cells", value_type: integer(1, 65_536), is_required: true, applies: NewQueries },
    Field { key: "Domain.Reach", value_type: integer(1, 65_536), is_required: true, applies: NewQueries },
    Field { key: "Domain.Ranges", value_type: integer(1, 1_000_000), is_required: true, applies: NewQueries },
    Field {
        key: "Domain.PerCall",
        value_type: integer(1, 65_536),
        is_required: false,
        applies: AfterRestart,
    },
    Field { key: "Domain.CompleteFrom[]", value_type: Share, is_required: true, applies: NewQueries },
    Field { key: "Domain.MinShare[]", value_type: Share, is_required: true, applies: NewQueries },
    Field {
        key: "Domain.FetchParts[]",
        value_type: integer(0, 1_000_000),
        is_required: false,
        applies: NewQueries,
    },
    Field { key: "Domain.ClassPartial[]", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Domain.PerCallWorkMs", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Domain.WarmKeys", value_type: Unchecked, is_required: false, applies: Never },
    Field {
        key: "Limits.MaxAttempts",
        value_type: integer(1, 65_535),
        is_required: true,
        applies: NewQueries,
    },
    Field {
        key: "Limits.MaxOpen",
        value_type: integer(2, 1_000_000),
        is_required: true,
        applies: Immediately,
    },
    Field { key: "Limits.SecondCopies", value_type: Boolean, is_required: false, applies: NewQueries },
    Field { key: "Limits.MayCancel", value_type: Boolean, is_required: false, applies: NewQueries },
    Field { key: "Limits.RetryAfter", value_type: Boolean, is_required: false, applies: Immediately },
    Field {
        key: "Limits.MaxRetryAfterMs",
        value_type: ms(0.0, DAY_MS),
        is_required: false,
        applies: Immediately,
    },
    Field {
        key: "Limits.ConnIdleMs",
        value_type: ms(1.0, DAY_MS),
        is_required: false,
        applies: AfterRestart,
    },
    Field {
        key: "Limits.ConnectTimeoutMs",
        value_type: ms(1.0, MAX_DEADLINE_MS),
        is_required: false,
        applies: AfterRestart,
    },
    Field {
        key: "Limits.StreamsPerConn",
        value_type: integer(1, 65_536),
        is_required: false,
        applies: AfterRestart,
    },
    Field { key: "Limits.CpuUsPerRequest", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Limits.CpuUsPerS", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Limits.Peers", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Limits.Probes", value_type: Boolean, is_required: false, applies: NewQueries },
    Field { key: "Rules.ColdFrom", value_type: Share, is_required: false, applies: Immediately },
    Field { key: "Rules.WarmUpMs", value_type: ms(0.0, DAY_MS), is_required: false, applies: Immediately },
    Field {
        key: "Rules.OverloadFactor",
        value_type: number(0.0, 1000.0),
        is_required: false,
        applies: Immediately,
    },
    Field {
        key: "Rules.OverloadForMs",
        value_type: ms(0.0, DAY_MS),
        is_required: false,
        applies: Immediately,
    },
    Field {
        key: "Rules.AskWithinMs",
        value_type: ms(0.0, DAY_MS),
        is_required: false,
        applies: AfterRestart,
    },
    Field { key: "Rules.ExtraFloor", value_type: number(0.0, 1e9), is_required: false, applies: Immediately },
    Field {
        key: "Rules.ResendRatio",
        value_type: number(0.0, 1000.0),
        is_required: false,
        applies: Immediately,
    },
    Field {
        key: "Rules.BudgetWindowMs",
        value_type: ms(1.0, DAY_MS),
        is_required: false,
        applies: Immediately,
    },
    Field { key: "Rules.GraceToAnswerMs", value_type: Unchecked, is_required: false, applies: Never },
    Field {
        key: "Rules.StopSendingWithinMs",
        value_type: ms(0.0, DAY_MS),
        is_required: false,
        applies: AfterRestart,
    },
    Field {
        key: "RegistryMode",
        value_type: OneOf(REGISTRY_MODES),
        is_required: true,
        applies: AfterRestart,
    },
    Field { key: "Prices.LateFail", value_type: number(0.0, 1e9), is_required: false, applies: NewQueries },
    Field { key: "Prices", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Callers", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "DomainType", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "HostTypes", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "ScoringMix", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Stages", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Stats.Via", value_type: OneOf(STATS_VIA), is_required: false, applies: NewQueries },
    Field { key: "Stats.Fields[]", value_type: Text, is_required: false, applies: NewQueries },
    Field { key: "WeightKind", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "WorthBy", value_type: Unchecked, is_required: false, applies: Never },
];
