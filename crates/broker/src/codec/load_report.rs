//! What a node reports of its load.

use routing::LoadMetric;

/// The most values of a load report that are read.
const MAX_VALUES: usize = 16;

/// Reads a load report, `name=value` with commas between. What can't be read, or is no number, is skipped.
pub fn read_load_report(report: &[u8]) -> Vec<(LoadMetric, f64)> {
    let text = std::str::from_utf8(report).unwrap_or_default();
    let fields = text.split(',').take(MAX_VALUES).filter_map(|field| field.split_once('='));
    fields.filter_map(|(name, value)| Some((settings::load_metric(name), value.parse().ok()?))).collect()
}
