//! Checks that involve several settings keys, and so can't be made key by key.

use crate::ValidationError;
use crate::settings_text::{ClassText, DomainText, LimitsText, RulesText, SettingsText};
use std::collections::BTreeSet;

/// A latency objective must be longer than this many turns. A response must be on its way two turns before the
/// latency objective and four before the deadline: with less time each query would fail as it is accepted.
const MIN_OBJECTIVE_TURNS: f64 = 4.0;

/// Adds an error for each value that is allowed by itself, but not with the others.
pub(crate) fn check_consistency(text: &SettingsText, errors: &mut Vec<ValidationError>) {
    check_class_lists(text, errors);
    check_names(text, errors);
    check_zone(text, errors);
    for (index, service) in text.services.iter().enumerate() {
        check_class_times(index, service, text.period_ms, errors);
        check_class_coverage(index, &text.domain, errors);
    }
    check_layout(&text.domain, errors);
    check_rules(&text.rules, errors);
    check_limits(&text.limits, errors);
}

/// Lists with one item for each request class.
fn check_class_lists(text: &SettingsText, errors: &mut Vec<ValidationError>) {
    let domain = &text.domain;
    let lists = [
        ("Domain.CompleteFrom", domain.complete_from.len(), true),
        ("Domain.MinShare", domain.min_share.len(), true),
        ("Domain.FetchParts", domain.fetch_parts.len(), false),
    ];
    let classes = text.services.len();
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

fn check_names(text: &SettingsText, errors: &mut Vec<ValidationError>) {
    check_unique(text.class_names(), |index| format!("Services[{index}].Name"), errors);
    check_unique(text.tenant_names(), |index| format!("Tenants[{index}].Name"), errors);
    check_unique(text.areas.iter().map(String::as_str), |index| format!("Areas[{index}]"), errors);
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

fn check_zone(text: &SettingsText, errors: &mut Vec<ValidationError>) {
    if !text.areas.is_empty() && usize::from(text.zone) >= text.areas.len() {
        let allowed = format!("a place in `Areas`, less than {},", text.areas.len());
        errors.push(ValidationError::invalid("Zone", text.zone.to_string(), allowed));
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
        // A response without any shard would be complete.
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
    // Without its window a stated budget would be ignored, and the broker's default used instead.
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
