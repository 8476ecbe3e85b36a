//! The admission controller and the module together, turned as the module alone is.

use crate::controller::AdmissionController;
use routing::{Broker, Effect, Input, Tenths};

/// A broker's module behind its door.
pub struct AdmittedBroker {
    pub admission: AdmissionController,
    pub broker: Broker,
}

impl AdmittedBroker {
    pub fn new(admission: AdmissionController, broker: Broker) -> AdmittedBroker {
        AdmittedBroker { admission, broker }
    }

    /// As `Broker::turn`: the admission controller's rejects come first, then what the module did with the rest.
    pub fn turn(&mut self, now: Tenths, heard: &[Input]) -> Vec<Effect> {
        let (passed, mut effects) = self.admission.pass(now, heard);
        let done = self.broker.turn(now, &passed);
        self.admission.saw(&done);
        effects.extend(done);
        effects
    }
}
