//! The parser of load reports.

use routing::LoadMetric;

/// The maximum number of fields that are read of a load report.
const MAX_VALUES: usize = 16;

/// Parses a load report, a comma-separated list of `name=value` fields.
///
/// Skips malformed fields, values that are not numbers, and fields after the sixteenth. A report that is not UTF-8
/// has no metrics.
pub fn read_load_report(report: &[u8]) -> Vec<(LoadMetric, f64)> {
    let text = std::str::from_utf8(report).unwrap_or_default();
    let fields = text.split(',').take(MAX_VALUES).filter_map(|field| field.split_once('='));
    fields.filter_map(|(name, value)| Some((settings::load_metric(name), value.parse().ok()?))).collect()
}
