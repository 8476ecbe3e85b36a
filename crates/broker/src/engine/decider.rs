//! Takes the decisions: routing alone, or routing behind admission control.

use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
use routing::{Broker, BrokerConfig, Effect, Input, Timestamp};

/// Takes the decisions of one broker.
// There is one in a process, so the difference in size costs nothing.
#[allow(clippy::large_enum_variant)]
pub(super) enum Decider {
    /// Routing decisions only.
    Routing(Broker),
    /// Admission decisions in front of the routing decisions.
    Admitted(Box<AdmittedBroker>),
}

impl Decider {
    /// `admission`: the configuration of admission control, where it is switched on. The operator's file was checked
    /// before; a configuration that does not fit `broker_config` leaves admission control off.
    pub(super) fn new(
        broker_config: BrokerConfig,
        seed: u64,
        now: Timestamp,
        admission: Option<AdmissionConfig>,
    ) -> Decider {
        let controller =
            admission.and_then(|admission| AdmissionController::new(admission, &broker_config).ok());
        let broker = Broker::start(broker_config, seed, now);
        match controller {
            Some(controller) => Decider::Admitted(Box::new(AdmittedBroker::new(controller, broker))),
            None => Decider::Routing(broker),
        }
    }

    /// Takes in the inputs, in order, and returns what is to be done now.
    pub(super) fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        match self {
            Decider::Routing(broker) => broker.turn(now, inputs),
            Decider::Admitted(broker) => broker.turn(now, inputs),
        }
    }
}
