//! Hosts the brokers of one process: hands each what it heard, collects what it does.

use crate::wire::{Batch, Event, Reply};
use routing::{Broker, Endpoint, EndpointList, EndpointListKind, Input, LoadMetric, ProbeResult, Tenths};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A broker, or the reason why it could not start.
enum Seat {
    Sound(Box<Broker>),
    Broken(String),
}

#[derive(Default)]
pub struct Host {
    seats: BTreeMap<u16, Seat>,
    /// What the values of a load report are, for each broker.
    reports: BTreeMap<u16, Vec<LoadMetric>>,
    lists: BTreeMap<u16, Arc<[Endpoint]>>,
}

impl Host {
    /// Plays one batch. An error names what in it made no sense.
    pub fn play(&mut self, batch: Batch) -> Result<Reply, String> {
        let mut heard: BTreeMap<u16, Vec<Input>> = BTreeMap::new();
        for event in batch.events {
            match event {
                Event::Start { broker, seed, settings } => {
                    let (seat, report) = start(&settings, seed, batch.now);
                    self.seats.insert(broker, seat);
                    self.reports.insert(broker, report);
                    heard.insert(broker, Vec::new());
                }
                Event::Stop { broker } => {
                    self.seats.remove(&broker).ok_or_else(|| unknown(broker))?;
                    heard.remove(&broker);
                }
                Event::List { number, entries } => _ = self.lists.insert(number, entries.into()),
                Event::EndpointList { broker, number, form } => {
                    let input = self.roll(number, form)?;
                    self.hear(&mut heard, broker, input)?;
                }
                Event::Probed { broker, node, sound, report } => {
                    let fields = self.reports.get(&broker).into_iter().flatten().copied();
                    let report = fields.zip(report.into_iter().map(f64::from)).collect();
                    self.hear(&mut heard, broker, Input::ProbeEnded(ProbeResult { node, sound, report }))?;
                }
                Event::Heard { broker, input } => self.hear(&mut heard, broker, input)?,
            }
        }
        let mut reply = Reply::default();
        for (broker, inputs) in heard {
            match self.seats.get_mut(&broker) {
                Some(Seat::Sound(seat)) => {
                    for effect in seat.turn(batch.now, &inputs) {
                        reply.effect(broker, &effect);
                    }
                }
                Some(Seat::Broken(why)) => reply.crash(broker, why),
                None => {}
            }
        }
        Ok(reply)
    }

    fn hear(&self, heard: &mut BTreeMap<u16, Vec<Input>>, broker: u16, input: Input) -> Result<(), String> {
        if !self.seats.contains_key(&broker) {
            return Err(unknown(broker));
        }
        heard.entry(broker).or_default().push(input);
        Ok(())
    }

    fn roll(&self, number: u16, form: u8) -> Result<Input, String> {
        let kind = match form {
            0 => EndpointListKind::Delta,
            1 => EndpointListKind::Snapshot,
            2 => EndpointListKind::Cached,
            3 => return Ok(Input::EndpointListFailed),
            other => return Err(format!("list form {other} is unknown")),
        };
        let entries = self.lists.get(&number).ok_or_else(|| format!("list {number} never came"))?.clone();
        Ok(Input::EndpointList(EndpointList { kind, entries }))
    }
}

fn start(text: &[u8], seed: u64, now: Tenths) -> (Seat, Vec<LoadMetric>) {
    match settings::read(text) {
        Ok(broker_settings) => (
            Seat::Sound(Box::new(Broker::start(broker_settings.broker_config, seed, now))),
            broker_settings.load_report,
        ),
        Err(error) => (Seat::Broken(error.to_string()), Vec::new()),
    }
}

fn unknown(broker: u16) -> String {
    format!("an event for broker {broker}, which is not running")
}
