//! What a new version leaves as the start worked it out.

use super::keep_socket_waits;
use routing::{BrokerConfig, TimeSpan};
use rstest::rstest;

/// A document has the settings' own waits; on sockets lists are asked for sooner, also after a version was
/// applied.
#[rstest]
fn a_version_keeps_the_waits_of_sockets() {
    let mut start =
        BrokerConfig { send_lag: TimeSpan(20_100), watch_on_request: true, ..BrokerConfig::default() };
    start.rules.endpoint_list_max_age = TimeSpan(60_000);
    let mut version = BrokerConfig::default();
    version.rules.endpoint_list_max_age = TimeSpan(500_000);
    keep_socket_waits(&mut version, &start);
    let kept = (version.send_lag, version.watch_on_request, version.rules.endpoint_list_max_age);
    assert_eq!(kept, (TimeSpan(20_100), true, TimeSpan(60_000)));
}
