//! A broker behind an admission controller, with the interface of the broker.

use crate::controller::AdmissionController;
use routing::{Broker, Effect, Input, Timestamp};

/// A broker behind an admission controller.
pub struct AdmittedBroker {
    /// The controller, which decides which queries are passed to the broker.
    pub admission: AdmissionController,
    /// The broker, which routes the admitted queries.
    pub broker: Broker,
}

impl AdmittedBroker {
    /// Places the controller in front of the broker.
    pub fn new(admission: AdmissionController, broker: Broker) -> AdmittedBroker {
        AdmittedBroker { admission, broker }
    }

    /// Processes the inputs of a turn as [`Broker::turn`] does. Returns the effects of the controller, such as its
    /// rejections, followed by those of the broker.
    pub fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        let filtered = self.admission.filter_inputs(now, inputs);
        let broker_effects = self.broker.turn(now, &filtered.inputs);
        self.admission.record_effects(&broker_effects);
        let mut effects = filtered.effects;
        effects.extend(broker_effects);
        effects
    }
}
