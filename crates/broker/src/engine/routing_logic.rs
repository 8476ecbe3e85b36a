//! The routing logic of the engine, with or without admission control.

use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
use routing::{Broker, BrokerConfig, Effect, Input, Timestamp};

/// The routing logic of one broker, optionally behind admission control.
// A process has a single value, so the difference in size between the variants does not matter.
#[allow(clippy::large_enum_variant)]
pub(super) enum RoutingLogic {
    /// Routing without admission control.
    Plain(Broker),
    /// Routing behind admission control.
    WithAdmission(Box<AdmittedBroker>),
}

impl RoutingLogic {
    /// Creates the routing logic. `admission` is the configuration of admission control, or `None` if it is disabled.
    ///
    /// Admission control also stays disabled if its configuration is inconsistent with `broker_config`. The
    /// operator's file was validated earlier, so this is not reported here.
    pub(super) fn new(
        broker_config: BrokerConfig,
        seed: u64,
        now: Timestamp,
        admission: Option<AdmissionConfig>,
    ) -> RoutingLogic {
        let controller =
            admission.and_then(|admission| AdmissionController::new(admission, &broker_config).ok());
        let broker = Broker::start(broker_config, seed, now);
        match controller {
            Some(controller) => {
                RoutingLogic::WithAdmission(Box::new(AdmittedBroker::new(controller, broker)))
            }
            None => RoutingLogic::Plain(broker),
        }
    }

    /// Processes the inputs in order and returns the effects to execute.
    pub(super) fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        match self {
            RoutingLogic::Plain(broker) => broker.turn(now, inputs),
            RoutingLogic::WithAdmission(broker) => broker.turn(now, inputs),
        }
    }
}
