//! Checks of relations between several settings keys.

use crate::ValidationError;
use crate::settings_text::{ClassText, DomainText, LimitsText, RulesText, SettingsText};
use std::collections::BTreeSet;

/// Number of turns that a latency objective must exceed.
///
/// A response must be sent two turns before the latency objective and four before the deadline. With less time, each
/// query would fail as soon as it is accepted.
const MIN_OBJECTIVE_TURNS: f64 = 4.0;

/// Adds an error for each value that conflicts with other values. Each value must be allowed by itself.
pub(crate) fn check_consistency(raw: &SettingsText, errors: &mut Vec<ValidationError>) {
    check_class_lists(raw, errors);
    check_names(raw, errors);
    check_zone(raw, errors);
    for (index, service) in raw.services.iter().enumerate() {
        check_class_times(index, service, raw.period_ms, errors);
        check_class_coverage(index, &raw.domain, errors);
    }
    check_layout(&raw.domain, errors);
    check_rules(&raw.rules, errors);
    check_limits(&raw.limits, errors);
}

/// Checks that the lists with one item for each request class have the right length.
fn check_class_lists(raw: &SettingsText, errors: &mut Vec<ValidationError>) {
    let domain = &raw.domain;
    let lists = [
        ("Domain.CompleteFrom", domain.complete_from.len(), true),
        ("Domain.MinShare", domain.min_share.len(), true),
        ("Domain.FetchParts", domain.fetch_parts.len(), false),
    ];
    let classes = raw.services.len();
    for (field, length, is_required) in lists {
        if length != classes && (is_required || length > 0) {
            let allowed = format!("one for each of `Services`, {classes},");
            errors.push(ValidationError::invalid(field, format!("a list of {length}"), allowed));
        }
    }
    if classes == 0 {
        errors.push(ValidationError::invalid("Services", "empty", "one request class at least"));
    }
}

fn check_names(raw: &SettingsText, errors: &mut Vec<ValidationError>) {
    check_unique(raw.class_names(), |index| format!("Services[{index}].Name"), errors);
    check_unique(raw.tenant_names(), |index| format!("Tenants[{index}].Name"), errors);
    check_unique(raw.areas.iter().map(String::as_str), |index| format!("Areas[{index}]"), errors);
}

fn check_unique<'a>(
    names: impl Iterator<Item = &'a str>,
    field: impl Fn(usize) -> String,
    errors: &mut Vec<ValidationError>,
) {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let found = format!("{name:?} once more");
            errors.push(ValidationError::invalid(field(index), found, "each name once"));
        }
    }
}

fn check_zone(raw: &SettingsText, errors: &mut Vec<ValidationError>) {
    if !raw.areas.is_empty() && usize::from(raw.zone) >= raw.areas.len() {
        let allowed = format!("a place in `Areas`, less than {},", raw.areas.len());
        errors.push(ValidationError::invalid("Zone", raw.zone.to_string(), allowed));
    }
}

fn check_class_times(index: usize, service: &ClassText, period_ms: f64, errors: &mut Vec<ValidationError>) {
    let mut report = |key: &str, value_ms: f64, allowed: String| {
        let field = format!("Services[{index}].{key}");
        errors.push(ValidationError::invalid(field, value_ms.to_string(), allowed));
    };
    let shortest_ms = period_ms * MIN_OBJECTIVE_TURNS;
    if service.on_time_ms > service.deadline_ms {
        report("OnTimeMs", service.on_time_ms, format!("at most `DeadlineMs`, {},", service.deadline_ms));
    }
    if service.on_time_ms <= shortest_ms {
        let allowed = format!("more than four times `PeriodMs`, {shortest_ms},");
        report("OnTimeMs", service.on_time_ms, allowed);
    }
    if service.effect == "deduplicated" && service.dedup_window_ms <= 0.0 {
        let allowed = "more than 0 where `Effect` is `deduplicated`".to_owned();
        report("DedupWindowMs", service.dedup_window_ms, allowed);
    }
}

fn check_class_coverage(index: usize, domain: &DomainText, errors: &mut Vec<ValidationError>) {
    let (min_share, complete_from) = (domain.min_share.get(index), domain.complete_from.get(index));
    if let (Some(min_share), Some(complete_from)) = (min_share, complete_from)
        && min_share > complete_from
    {
        let field = format!("Domain.MinShare[{index}]");
        let allowed = format!("at most `CompleteFrom[{index}]`, {complete_from},");
        errors.push(ValidationError::invalid(field, min_share.to_string(), allowed));
    }
    if complete_from == Some(&0.0) {
        // With 0, a response that covers no shard would count as complete.
        let field = format!("Domain.CompleteFrom[{index}]");
        errors.push(ValidationError::invalid(field, "0", "more than 0"));
    }
}

fn check_layout(domain: &DomainText, errors: &mut Vec<ValidationError>) {
    if domain.reach > domain.cells {
        let allowed = format!("at most `Domain.Cells`, {},", domain.cells);
        errors.push(ValidationError::invalid("Domain.Reach", domain.reach.to_string(), allowed));
    }
}

fn check_rules(rules: &RulesText, errors: &mut Vec<ValidationError>) {
    let warms_up = rules.warm_up_ms > 0.0;
    if warms_up && rules.cold_from <= 0.0 {
        let allowed = "more than 0 where `WarmUpMs` is more than 0";
        errors.push(ValidationError::invalid("Rules.ColdFrom", "0", allowed));
    }
    if warms_up && (rules.overload_factor <= 0.0 || rules.overload_for_ms <= 0.0) {
        let allowed = "more than 0, as `OverloadForMs`, where `WarmUpMs` is more than 0";
        let found = rules.overload_factor.to_string();
        errors.push(ValidationError::invalid("Rules.OverloadFactor", found, allowed));
    }
    // A retry budget without a window would be ignored in favor of the broker's default.
    if rules.budget_window_ms.is_none() && (rules.extra_floor.is_some() || rules.resend_ratio.is_some()) {
        let allowed = "a window where `ExtraFloor` or `ResendRatio` stand".to_owned();
        errors.push(ValidationError::MissingKey { field: "Rules.BudgetWindowMs".to_owned(), allowed });
    }
}

fn check_limits(limits: &LimitsText, errors: &mut Vec<ValidationError>) {
    if limits.retry_after && limits.max_retry_after_ms <= 0.0 {
        let allowed = "more than 0 where `RetryAfter` is true";
        errors.push(ValidationError::invalid("Limits.MaxRetryAfterMs", "0", allowed));
    }
}
