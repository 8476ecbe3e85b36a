//! Tests of the values that a configuration version does not change.

use super::keep_transport_overrides;
use routing::{BrokerConfig, TimeSpan};
use rstest::rstest;

/// A version's document has the times of its settings, which do not account for the broker's connections. Applying it
/// must keep the values that were adapted at startup, or endpoint lists would be requested too late.
#[rstest]
fn applied_version_keeps_transport_overrides() {
    let mut start =
        BrokerConfig { send_lag: TimeSpan(20_100), watch_on_request: true, ..BrokerConfig::default() };
    start.rules.endpoint_list_max_age = TimeSpan(60_000);
    let mut version = BrokerConfig::default();
    version.rules.endpoint_list_max_age = TimeSpan(500_000);
    keep_transport_overrides(&mut version, &start);
    let kept = (version.send_lag, version.watch_on_request, version.rules.endpoint_list_max_age);
    assert_eq!(kept, (TimeSpan(20_100), true, TimeSpan(60_000)));
}
