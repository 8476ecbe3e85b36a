//! A broker behind its admission controller, driven as the broker alone is.

use crate::controller::AdmissionController;
use routing::{Broker, Effect, Input, Timestamp};

/// A broker behind its admission controller.
pub struct AdmittedBroker {
    /// Decides which queries reach the broker.
    pub admission: AdmissionController,
    /// Routes the queries that are admitted.
    pub broker: Broker,
}

impl AdmittedBroker {
    /// Puts the controller in front of the broker.
    pub fn new(admission: AdmissionController, broker: Broker) -> AdmittedBroker {
        AdmittedBroker { admission, broker }
    }

    /// As [`Broker::turn`]: the controller's rejections come first, then what the broker did with the rest.
    pub fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        let filtered = self.admission.filter_inputs(now, inputs);
        let broker_effects = self.broker.turn(now, &filtered.inputs);
        self.admission.record_effects(&broker_effects);
        let mut effects = filtered.effects;
        effects.extend(broker_effects);
        effects
    }
}
