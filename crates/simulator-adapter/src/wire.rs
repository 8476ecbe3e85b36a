//! Frames of the simulator's wire, decoded and encoded.

use bytes::{Buf, BufMut};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, Effect, Endpoint, EndpointState, GroupId, Input,
    NewQuery, NewShardRequest, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId, Tenths,
    ZoneId,
};

/// Why a frame could not be read, and at which of its bytes.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{what} at byte {at} of the frame")]
pub struct BadFrame {
    pub what: String,
    pub at: usize,
}

/// One record of a batch.
#[derive(Debug)]
pub enum Event {
    Start { broker: u16, seed: u64, settings: Vec<u8> },
    Stop { broker: u16 },
    List { number: u16, entries: Vec<Endpoint> },
    EndpointList { broker: u16, number: u16, form: u8 },
    Probed { broker: u16, node: NodeId, sound: bool, report: Vec<f32> },
    Heard { broker: u16, input: Input },
}

/// The bytes of a batch after its length field, and the clock that it came with.
pub struct Batch {
    pub now: Tenths,
    pub events: Vec<Event>,
}

/// A reader over one frame; `offset` is what came before `rest` in the frame.
struct Reader<'a> {
    rest: &'a [u8],
    whole: usize,
    offset: usize,
}

macro_rules! numbers {
    ($($name:ident $get:ident $kind:ty;)*) => {$(
        fn $name(&mut self) -> Result<$kind, BadFrame> {
            let at = self.at();
            self.rest.$get().map_err(|e| BadFrame { what: format!("field cut short ({e})"), at })
        }
    )*};
}

impl<'a> Reader<'a> {
    fn at(&self) -> usize {
        self.offset + self.whole - self.rest.len()
    }

    numbers! {
        u8 try_get_u8 u8;
        u16 try_get_u16_le u16;
        u32 try_get_u32_le u32;
        u64 try_get_u64_le u64;
        f32 try_get_f32_le f32;
        f64 try_get_f64_le f64;
    }

    fn span(&mut self) -> Result<Tenths, BadFrame> {
        self.f64().map(Tenths::from_ms)
    }

    fn node(&mut self) -> Result<NodeId, BadFrame> {
        let (address, port) = (self.u32()?, self.u16()?);
        Ok(NodeId(u64::from(address) | u64::from(port) << 32))
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], BadFrame> {
        let at = self.at();
        let Some((head, tail)) = self.rest.split_at_checked(count) else {
            return Err(BadFrame { what: format!("count of {count} overruns the frame"), at });
        };
        self.rest = tail;
        Ok(head)
    }

    fn report(&mut self) -> Result<Vec<f32>, BadFrame> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn entry(&mut self) -> Result<Endpoint, BadFrame> {
        let (node, zone) = (self.node()?, ZoneId(self.u16()?));
        let _kind = self.u16()?;
        let placement_group = PlacementGroupId(self.u16()?.into());
        let at = self.at();
        let state = match self.u8()? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(BadFrame { what: format!("standing {other} is unknown"), at }),
        };
        let _size = self.f32()?;
        let started_at = self.f64()?;
        let started_at = (started_at > 0.0).then(|| Tenths::from_ms(started_at));
        Ok(Endpoint { node, zone, placement_group, state, started_at })
    }

    fn event(&mut self) -> Result<Event, BadFrame> {
        let at = self.at();
        let code = self.u8()?;
        if code == 26 {
            let (number, count) = (self.u16()?, self.u32()?);
            let entries = (0..count).map(|_| self.entry()).collect::<Result<_, _>>()?;
            return Ok(Event::List { number, entries });
        }
        if !(16..=25).contains(&code) {
            return Err(BadFrame { what: format!("event code {code} is unknown"), at });
        }
        let broker = self.u16()?;
        let input = match code {
            16 => {
                let (seed, count) = (self.u64()?, self.u32()?);
                let settings = self.bytes(count as usize)?.to_vec();
                return Ok(Event::Start { broker, seed, settings });
            }
            17 => {
                let (number, form) = (self.u16()?, self.u8()?);
                let _version = self.u32()?;
                return Ok(Event::EndpointList { broker, number, form });
            }
            18 => self.knock()?,
            19 => {
                let shard_request = ShardRequestId(self.u64()?);
                let _node = self.node()?;
                let (_push, _took) = (self.u16()?, self.span()?);
                Input::ResponseStarted(shard_request)
            }
            20 => self.finished()?,
            21 => Input::ClientLeft(QueryId(self.u64()?)),
            22 => {
                self.u64()?;
                Input::Woken
            }
            23 => {
                let (node, sound, _took) = (self.node()?, self.u16()? == 1, self.span()?);
                return Ok(Event::Probed { broker, node, sound, report: self.report()? });
            }
            24 => {
                let _sender = self.u32()?;
                let count = usize::from(self.u16()?);
                self.bytes(count)?;
                Input::Ignored
            }
            _ => return Ok(Event::Stop { broker }),
        };
        Ok(Event::Heard { broker, input })
    }

    fn knock(&mut self) -> Result<Input, BadFrame> {
        let (id, class, tenant) = (self.u64()?, ClassId(self.u16()?), TenantId(self.u32()?));
        let _key = self.u64()?;
        let time_left = self.span()?;
        let hint = self.span()?;
        let group = GroupId(self.f32()?.to_bits());
        let (slice, heft) = (self.f32()?, self.f32()?);
        let work = if self.u8()? & 1 == 1 { hint } else { Tenths::ZERO };
        if slice < 0.0 {
            return Ok(Input::Query(NewQuery {
                id: QueryId(id),
                group,
                class,
                tenant,
                time_left,
                work,
                client_attempt: 0,
                min_coverage_only: false,
            }));
        }
        let shard = ShardId(slice as u32);
        Ok(Input::ShardRequest(NewShardRequest { id: ShardRequestId(id), group, shard, weight: heft.into() }))
    }

    fn finished(&mut self) -> Result<Input, BadFrame> {
        let (shard_request, attempt, node) =
            (ShardRequestId(self.u64()?), AttemptNumber(self.u16()?), self.node()?);
        let at = self.at();
        let end = match self.u16()? {
            0 => AttemptOutcome::Errored,
            1 => AttemptOutcome::Succeeded,
            2 => AttemptOutcome::Overloaded,
            3 => AttemptOutcome::TimedOut,
            4 => AttemptOutcome::ConnectFailed,
            5 => AttemptOutcome::ConnectionLost,
            6 => AttemptOutcome::Cancelled,
            7 => AttemptOutcome::NotSent,
            other => return Err(BadFrame { what: format!("outcome {other} is unknown"), at }),
        };
        let took = self.span()?;
        let _closed = self.u8()?;
        self.report()?;
        Ok(Input::AttemptEnded(AttemptResult { shard_request, attempt, node, outcome: end, duration: took }))
    }
}

/// Bytes of a batch's header up to and with the length field.
pub const HEADER: usize = 12;

/// Reads a header: the clock, and how many bytes follow.
pub fn read_header(header: &[u8; HEADER]) -> (Tenths, usize) {
    let mut rest = &header[..];
    (Tenths::from_ms(rest.get_f64_le()), rest.get_u32_le() as usize)
}

/// Reads what follows a header.
pub fn read_body(now: Tenths, body: &[u8]) -> Result<Batch, BadFrame> {
    let mut reader = Reader { rest: body, whole: body.len(), offset: HEADER };
    let count = reader.u32()?;
    let events = (0..count).map(|_| reader.event()).collect::<Result<_, _>>()?;
    if !reader.rest.is_empty() {
        let what = format!("{} bytes are left over", reader.rest.len());
        return Err(BadFrame { what, at: reader.at() });
    }
    Ok(Batch { now, events })
}

/// A reply as it grows.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Says that a broker cannot go on.
    pub fn crash(&mut self, broker: u16, why: &str) {
        self.record(89, broker);
        self.text(why);
    }

    pub fn effect(&mut self, broker: u16, effect: &Effect) {
        match effect {
            Effect::Send { shard_request, node, timeout } => {
                self.record(80, broker);
                self.records.put_u64_le(shard_request.0);
                self.node(node);
                self.records.put_f64_le(timeout.as_ms());
            }
            Effect::Cancel { shard_request, attempt } => {
                self.record(83, broker);
                self.records.put_u64_le(shard_request.0);
                self.records.put_u16_le(attempt.0);
            }
            Effect::Respond { query, complete: whole } => {
                self.record(92, broker);
                self.records.put_u64_le(query.0);
                self.records.put_u8((*whole).into());
            }
            Effect::Reject { query, retry_after } => {
                self.record(81, broker);
                self.records.put_u64_le(query.0);
                self.records.put_f64_le(retry_after.as_ms());
            }
            Effect::Fail { query } => {
                self.record(82, broker);
                self.records.put_u64_le(query.0);
            }
            Effect::CloseIdle { node } => {
                self.record(86, broker);
                self.node(node);
            }
            Effect::Probe { node } => {
                self.record(85, broker);
                self.node(node);
            }
            Effect::Wake { after } => {
                self.record(84, broker);
                self.records.put_u64_le(0);
                self.records.put_f64_le(after.as_ms());
            }
            Effect::WatchEndpoints => {
                self.record(90, broker);
                self.records.put_u8(1);
            }
            Effect::Say(line) => {
                self.record(88, broker);
                self.text(line);
            }
        }
    }

    fn record(&mut self, code: u8, broker: u16) {
        self.count += 1;
        self.records.put_u8(code);
        self.records.put_u16_le(broker);
    }

    fn node(&mut self, node: &NodeId) {
        self.records.put_u32_le(node.0 as u32);
        self.records.put_u16_le((node.0 >> 32) as u16);
    }

    fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.records.put_u16_le(bytes.len() as u16);
        self.records.put_slice(bytes);
    }

    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.records.len());
        frame.put_u32_le(4 + self.records.len() as u32);
        frame.put_u32_le(self.count);
        frame.put_slice(&self.records);
        frame
    }
}
