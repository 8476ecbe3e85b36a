//! The door and the module together, turned as the module alone is.

use crate::door::Door;
use routing::{Broker, Effect, Input, Tenths};

/// A broker's module behind its door.
pub struct Gated {
    pub door: Door,
    pub broker: Broker,
}

impl Gated {
    pub fn new(door: Door, broker: Broker) -> Gated {
        Gated { door, broker }
    }

    /// As `Broker::turn`: the door's rejects come first, then what the module did with the rest.
    pub fn turn(&mut self, now: Tenths, heard: &[Input]) -> Vec<Effect> {
        let (passed, mut effects) = self.door.pass(now, heard);
        let done = self.broker.turn(now, &passed);
        self.door.saw(&done);
        effects.extend(done);
        effects
    }
}
