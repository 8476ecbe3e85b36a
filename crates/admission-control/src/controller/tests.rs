//! What the controller passes to the rules, where no decision shows it by itself.

use super::AdmissionController;
use crate::config::AdmissionConfig;
use routing::{BrokerConfig, TenantId, Timestamp};
use rstest::rstest;

/// A quiet tenant's demand may grow as fast as the rate itself until the next step: its share is its demand and the
/// increase more.
#[rstest]
fn a_share_has_the_headroom_of_one_increase() {
    let config = AdmissionConfig { increase_ratio: 1.0, ..AdmissionConfig::default() };
    let (window, burst) = (config.window, config.burst);
    let mut controller = AdmissionController::new(config, &BrokerConfig::default()).unwrap();
    controller.set_time(Timestamp(0));
    let now = Timestamp(0) + window;
    controller.set_time(now);
    controller.rate.start(now, 100.0);
    // Over a window of five seconds: 10 and 1,000 a second.
    controller.tenant(TenantId(0)).record_requested(now, window, 50.0);
    controller.tenant(TenantId(1)).record_requested(now, window, 5000.0);
    controller.share_rate();
    let quiet = controller.tenant(TenantId(0));
    quiet.fill_bucket(now, burst);
    quiet.take_tokens(1.0);
    assert!(quiet.bucket_covers(19.0, burst), "a burst of a second of 20 a second");
    assert!(!quiet.bucket_covers(19.5, burst));
}
