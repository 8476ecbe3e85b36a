//! Hosting of several brokers: passes the inputs of a batch to each broker and collects the effects.

use crate::wire::{Batch, BatchEvent, Reply};
use routing::{
    Broker, Endpoint, EndpointList, EndpointListKind, Input, LoadMetric, NodeId, ProbeResult, TimeSpan,
    Timestamp, WallClockTime,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Error in a batch that is inconsistent with the preceding ones.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// An event names a broker that has not been started or has been stopped.
    #[error("event for broker {0}, which is not running")]
    UnknownBroker(u16),
    /// The kind code of an endpoint list is not part of the protocol.
    #[error("unknown endpoint list kind {0}, expected 0 to 3")]
    UnknownListKind(u8),
    /// An event names an endpoint list whose contents have not been received.
    #[error("event refers to endpoint list {0}, whose contents have not been received")]
    MissingList(u16),
}

/// Running broker, or the reason why it could not start.
enum HostedBroker {
    Running {
        broker: Box<Broker>,
        /// Metrics of a load report, in the order of its values.
        load_metrics: Vec<LoadMetric>,
    },
    Failed {
        reason: String,
    },
}

/// Inputs of a batch by broker number. A broker that started in this batch has an entry even without inputs.
type BrokerInputs = BTreeMap<u16, Vec<Input>>;

/// Brokers of this process by number, and the endpoint lists that events may refer to.
#[derive(Default)]
pub struct BrokerHost {
    brokers: BTreeMap<u16, HostedBroker>,
    endpoint_lists: BTreeMap<u16, Arc<[Endpoint]>>,
}

impl BrokerHost {
    /// Handles one batch, which gives one turn to each broker that it names.
    pub fn handle(&mut self, batch: Batch) -> Result<Reply, BatchError> {
        let mut inputs = BrokerInputs::new();
        for event in batch.events {
            self.handle_event(batch.now, event, &mut inputs)?;
        }
        Ok(self.run_turns(batch.now, &inputs))
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: BatchEvent,
        inputs: &mut BrokerInputs,
    ) -> Result<(), BatchError> {
        match event {
            BatchEvent::Start { broker, seed, settings } => {
                self.brokers.insert(broker, HostedBroker::start(&settings, seed, now));
                inputs.insert(broker, Vec::new());
            }
            BatchEvent::Stop { broker } => {
                self.brokers.remove(&broker).ok_or(BatchError::UnknownBroker(broker))?;
                inputs.remove(&broker);
            }
            BatchEvent::ListContents { number, endpoints } => {
                self.endpoint_lists.insert(number, endpoints.into());
            }
            BatchEvent::ListArrived { broker, number, kind_code } => {
                let input = self.list_input(now, number, kind_code)?;
                self.add_input(inputs, broker, input)?;
            }
            BatchEvent::ProbeEnded { broker, node, is_healthy, load_values } => {
                let input = self.probe_input(broker, node, is_healthy, load_values);
                self.add_input(inputs, broker, input)?;
            }
            BatchEvent::Input { broker, input } => self.add_input(inputs, broker, input)?,
        }
        Ok(())
    }

    fn run_turns(&mut self, now: Timestamp, inputs: &BrokerInputs) -> Reply {
        let mut reply = Reply::default();
        for (number, inputs) in inputs {
            match self.brokers.get_mut(number) {
                Some(HostedBroker::Running { broker, .. }) => {
                    for effect in broker.turn(now, inputs) {
                        reply.add_effect(*number, &effect);
                    }
                }
                Some(HostedBroker::Failed { reason }) => reply.add_failure(*number, reason),
                None => {}
            }
        }
        reply
    }

    fn add_input(&self, inputs: &mut BrokerInputs, broker: u16, input: Input) -> Result<(), BatchError> {
        if !self.brokers.contains_key(&broker) {
            return Err(BatchError::UnknownBroker(broker));
        }
        inputs.entry(broker).or_default().push(input);
        Ok(())
    }

    fn list_input(&self, now: Timestamp, number: u16, kind_code: u8) -> Result<Input, BatchError> {
        let kind = match kind_code {
            0 => EndpointListKind::Delta,
            1 => EndpointListKind::Snapshot,
            2 => EndpointListKind::Cached,
            // The simulator does not tell for how long the request was pending.
            3 => return Ok(Input::EndpointListFailed { pending: TimeSpan::ZERO }),
            other => return Err(BatchError::UnknownListKind(other)),
        };
        let entries = self.endpoint_lists.get(&number).ok_or(BatchError::MissingList(number))?.clone();
        Ok(Input::EndpointList(EndpointList { kind, wall_clock: WallClockTime(now.0), entries }))
    }

    fn probe_input(&self, broker: u16, node: NodeId, is_healthy: bool, load_values: Vec<f32>) -> Input {
        let load_metrics = match self.brokers.get(&broker) {
            Some(HostedBroker::Running { load_metrics, .. }) => &load_metrics[..],
            Some(HostedBroker::Failed { .. }) | None => &[],
        };
        let values = load_values.into_iter().map(f64::from);
        let report = load_metrics.iter().copied().zip(values).collect();
        Input::ProbeEnded(ProbeResult { node, is_valid: is_healthy, report })
    }
}

impl HostedBroker {
    fn start(settings: &[u8], seed: u64, now: Timestamp) -> HostedBroker {
        match settings::read(settings) {
            Ok(settings) => HostedBroker::Running {
                broker: Box::new(Broker::start(settings.broker_config, seed, now)),
                load_metrics: settings.load_report,
            },
            Err(error) => HostedBroker::Failed { reason: error.to_string() },
        }
    }
}
