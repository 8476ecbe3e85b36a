//! The table of all settings keys: what each may hold, whether it must be there, and when a new value
//! applies. The checks, the comparison of two documents and the operators' page all read this one table.

use crate::ValueType::{self, Boolean, OneOf, Share, Text, Unchecked};
use Applies::{AfterRestart, Immediately, Never, NewQueries, PerBroker};

/// When a value that differs from the one before takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Applies {
    /// At once, for everything; where a rule counts over a window, the tighter of the old and the new value
    /// applies until the longest of retry window, warm-up period and overload window has passed.
    Immediately,
    /// For queries accepted from then on; an open query goes by the configuration that it was accepted under.
    NewQueries,
    /// Not while the broker runs: a version that changes it is rejected.
    AfterRestart,
    /// Each broker's own, from its file; a version leaves it out, or has the same value.
    PerBroker,
    /// Never: the broker does not read it.
    Never,
}

/// One row of the table: a key, or all keys below it where its value is [`ValueType::Unchecked`].
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The path of the key, such as `Domain.Cells`; a key in a list has `[]` behind the
    /// list's name, such as `Tenants[].Name`.
    pub key: &'static str,
    /// What it may hold.
    pub value_type: ValueType,
    /// Whether it must be there.
    pub is_required: bool,
    /// When a new value takes effect.
    pub applies: Applies,
}

impl Field {
    /// The row of a key.
    pub fn find(key: &str) -> Option<&'static Field> {
        FIELDS.iter().find(|field| field.key == key)
    }
}

/// The longest time that a key may hold, in milliseconds.
const DAY_MS: f64 = 86_400_000.0;
/// The longest deadline, in milliseconds: the longest wait that a client may state.
const MAX_DEADLINE_MS: f64 = 600_000.0;
const EFFECTS: &[&str] = &["idempotent", "deduplicated", "at_most_once"];
const REGISTRY_MODES: &[&str] = &["automatic", "subscribe"];
const STATS_VIA: &[&str] = &["piggyback", "pull", "silent"];

const fn ms(least: f64, most: f64) -> ValueType {
    ValueType::Milliseconds { least, most }
}

const fn number(least: f64, most: f64) -> ValueType {
    ValueType::Number { least, most }
}

const fn whole(least: u64, most: u64) -> ValueType {
    ValueType::Whole { least, most }
}

/// Every settings key.
pub const FIELDS: &[Field] = &[
    Field { key: "Instances", value_type: whole(1, 65_535), is_required: true, applies: Immediately },
    Field { key: "Me", value_type: whole(0, 65_535), is_required: false, applies: PerBroker },
    Field { key: "Zone", value_type: whole(0, 65_535), is_required: false, applies: PerBroker },
    Field { key: "Layer", value_type: whole(0, 65_535), is_required: false, applies: PerBroker },
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
    Field { key: "Domain.Cells", value_type: whole(1, 65_536), is_required: true, applies: NewQueries },
    Field { key: "Domain.Reach", value_type: whole(1, 65_536), is_required: true, applies: NewQueries },
    Field { key: "Domain.Ranges", value_type: whole(1, 1_000_000), is_required: true, applies: NewQueries },
    Field { key: "Domain.PerCall", value_type: whole(1, 65_536), is_required: false, applies: AfterRestart },
    Field { key: "Domain.CompleteFrom[]", value_type: Share, is_required: true, applies: NewQueries },
    Field { key: "Domain.MinShare[]", value_type: Share, is_required: true, applies: NewQueries },
    Field {
        key: "Domain.FetchParts[]",
        value_type: whole(0, 1_000_000),
        is_required: false,
        applies: NewQueries,
    },
    Field { key: "Domain.ClassPartial[]", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Domain.PerCallWorkMs", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Domain.WarmKeys", value_type: Unchecked, is_required: false, applies: Never },
    Field { key: "Limits.MaxAttempts", value_type: whole(1, 65_535), is_required: true, applies: NewQueries },
    Field { key: "Limits.MaxOpen", value_type: whole(2, 1_000_000), is_required: true, applies: Immediately },
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
        value_type: whole(1, 65_536),
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
