//! Tests of the inputs that the controller passes to the rules, where no single decision depends on them.

use super::AdmissionController;
use crate::config::AdmissionConfig;
use routing::{BrokerConfig, TenantId, Timestamp};
use rstest::rstest;

/// The demand of a tenant below its share may grow as fast as the rate until the next step, so its share exceeds its
/// demand by one increase.
#[rstest]
fn a_share_has_the_headroom_of_one_increase() {
    let config = AdmissionConfig { increase_ratio: 1.0, ..AdmissionConfig::default() };
    let (window, burst) = (config.window, config.burst);
    let mut controller = AdmissionController::new(config, &BrokerConfig::default()).unwrap();
    controller.set_time(Timestamp(0));
    let now = Timestamp(0) + window;
    controller.set_time(now);
    controller.rate.start(now, 100.0);
    // Over a window of five seconds, these are 10 and 1,000 shard requests per second.
    controller.tenant(TenantId(0)).record_requested(now, window, 50.0);
    controller.tenant(TenantId(1)).record_requested(now, window, 5000.0);
    controller.share_rate();
    let light_tenant = controller.tenant(TenantId(0));
    light_tenant.fill_bucket(now, burst);
    light_tenant.take_tokens(1.0);
    assert!(light_tenant.bucket_covers(19.0, burst), "a burst of one second at 20 per second");
    assert!(!light_tenant.bucket_covers(19.5, burst));
}
