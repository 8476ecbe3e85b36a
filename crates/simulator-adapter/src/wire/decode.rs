//! Decoding of batches.

use crate::wire::codes::event;
use bytes::{Buf, TryGetError};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, Endpoint, EndpointState, GroupId, Input, NewQuery,
    NewShardRequest, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId, TimeSpan,
    Timestamp, WallClockTime, ZoneId,
};

/// Length of a batch header in bytes: the clock (8) and the length of the body (4).
pub const HEADER_BYTES: usize = 12;

/// Flag of a query record that contains an estimate of the query's work.
const HAS_WORK_ESTIMATE: u8 = 1;

/// Decoding error and its position in the frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} at byte {at} of the frame")]
pub struct DecodeError {
    /// Kind of the error.
    pub kind: DecodeErrorKind,
    /// Offset of the invalid byte from the start of the header.
    pub at: usize,
}

/// Kind of a decoding error.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeErrorKind {
    /// The frame ends within a field.
    #[error("truncated field ({0})")]
    TruncatedField(TryGetError),
    /// The length of a field is larger than the rest of the frame.
    #[error("length of {0} bytes exceeds the rest of the frame")]
    LengthExceedsFrame(usize),
    /// The code of a record is not part of the protocol.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The state of an endpoint is not part of the protocol.
    #[error("unknown endpoint state {0}, expected 0 to 2")]
    UnknownEndpointState(u8),
    /// The outcome of an attempt is not part of the protocol.
    #[error("unknown outcome {0}, expected 0 to 7")]
    UnknownOutcome(u16),
    /// Bytes follow the last record.
    #[error("{0} trailing bytes after the last record")]
    TrailingBytes(usize),
}

/// Batch of events, with the time at which they happened.
pub struct Batch {
    /// Time on the simulator's clock.
    pub now: Timestamp,
    /// Events in the order of their records.
    pub events: Vec<BatchEvent>,
}

/// Event of a batch. Brokers are identified by number.
#[derive(Debug)]
pub enum BatchEvent {
    /// A broker starts, with a seed and the text of its settings.
    Start { broker: u16, seed: u64, settings: Vec<u8> },
    /// A broker stops.
    Stop { broker: u16 },
    /// The contents of an endpoint list.
    ListContents { number: u16, endpoints: Vec<Endpoint> },
    /// An endpoint list has reached a broker.
    ListArrived { broker: u16, number: u16, kind_code: u8 },
    /// A probe for load has ended. The values are in the order of the metrics in the settings.
    ProbeEnded { broker: u16, node: NodeId, is_healthy: bool, load_values: Vec<f32> },
    /// Any other input of a broker.
    Input { broker: u16, input: Input },
}

/// Decodes a header into the time and the length of the body in bytes.
pub fn decode_header(header: &[u8; HEADER_BYTES]) -> (Timestamp, usize) {
    let mut rest = &header[..];
    (Timestamp::from_ms(rest.get_f64_le()), rest.get_u32_le() as usize)
}

/// Decodes the body of a batch. `now` is the time in the header.
pub fn decode_body(now: Timestamp, body: &[u8]) -> Result<Batch, DecodeError> {
    let mut reader = Reader { rest: body, body_length: body.len() };
    let count = reader.u32()?;
    let events = (0..count).map(|_| reader.event()).collect::<Result<_, _>>()?;
    if !reader.rest.is_empty() {
        return Err(reader.error_here(DecodeErrorKind::TrailingBytes(reader.rest.len())));
    }
    Ok(Batch { now, events })
}

/// Reader of the body of a batch.
struct Reader<'a> {
    rest: &'a [u8],
    body_length: usize,
}

macro_rules! numbers {
    ($($name:ident $get:ident $kind:ty;)*) => {$(
        fn $name(&mut self) -> Result<$kind, DecodeError> {
            let at = self.position();
            self.rest.$get().map_err(|error| DecodeError { kind: DecodeErrorKind::TruncatedField(error), at })
        }
    )*};
}

/// Methods that read one field.
impl<'a> Reader<'a> {
    numbers! {
        u8 try_get_u8 u8;
        u16 try_get_u16_le u16;
        u32 try_get_u32_le u32;
        u64 try_get_u64_le u64;
        f32 try_get_f32_le f32;
        f64 try_get_f64_le f64;
    }

    /// Returns the offset of the next byte from the start of the header.
    fn position(&self) -> usize {
        HEADER_BYTES + self.body_length - self.rest.len()
    }

    fn error_here(&self, kind: DecodeErrorKind) -> DecodeError {
        DecodeError { kind, at: self.position() }
    }

    fn duration(&mut self) -> Result<TimeSpan, DecodeError> {
        self.f64().map(TimeSpan::from_ms)
    }

    /// Reads an address (4 bytes) and a port (2 bytes).
    fn node(&mut self) -> Result<NodeId, DecodeError> {
        let (address, port) = (self.u32()?, self.u16()?);
        Ok(NodeId(u64::from(address) | u64::from(port) << 32))
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let Some((head, tail)) = self.rest.split_at_checked(count) else {
            return Err(self.error_here(DecodeErrorKind::LengthExceedsFrame(count)));
        };
        self.rest = tail;
        Ok(head)
    }

    fn load_values(&mut self) -> Result<Vec<f32>, DecodeError> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn endpoint(&mut self) -> Result<Endpoint, DecodeError> {
        let (node, zone) = (self.node()?, ZoneId(self.u16()?));
        let _kind = self.u16()?;
        let placement_group = PlacementGroupId(self.u16()?.into());
        let state = self.endpoint_state()?;
        let _size = self.f32()?;
        let started_at_ms = self.f64()?;
        let started_at = (started_at_ms > 0.0).then(|| WallClockTime::from_ms(started_at_ms));
        Ok(Endpoint { node, zone, placement_group, state, started_at })
    }

    fn endpoint_state(&mut self) -> Result<EndpointState, DecodeError> {
        let at = self.position();
        match self.u8()? {
            0 => Ok(EndpointState::Removed),
            1 => Ok(EndpointState::Ready),
            2 => Ok(EndpointState::Draining),
            other => Err(DecodeError { kind: DecodeErrorKind::UnknownEndpointState(other), at }),
        }
    }

    fn outcome(&mut self) -> Result<AttemptOutcome, DecodeError> {
        let at = self.position();
        match self.u16()? {
            0 => Ok(AttemptOutcome::Errored),
            1 => Ok(AttemptOutcome::Succeeded),
            2 => Ok(AttemptOutcome::Overloaded),
            3 => Ok(AttemptOutcome::TimedOut),
            4 => Ok(AttemptOutcome::ConnectFailed),
            5 => Ok(AttemptOutcome::ConnectionLost),
            6 => Ok(AttemptOutcome::Cancelled),
            7 => Ok(AttemptOutcome::NotSent),
            other => Err(DecodeError { kind: DecodeErrorKind::UnknownOutcome(other), at }),
        }
    }
}

/// Methods that read one record.
impl Reader<'_> {
    fn event(&mut self) -> Result<BatchEvent, DecodeError> {
        let at = self.position();
        let code = self.u8()?;
        let unknown_event = DecodeError { kind: DecodeErrorKind::UnknownEvent(code), at };
        match code {
            event::LIST_CONTENTS => self.list_contents(),
            event::START..=event::STOP => {
                let broker = self.u16()?;
                self.broker_event(code, broker).unwrap_or(Err(unknown_event))
            }
            _ => Err(unknown_event),
        }
    }

    /// Reads an event of one broker. Returns `None` if `code` is not the code of such an event.
    fn broker_event(&mut self, code: u8, broker: u16) -> Option<Result<BatchEvent, DecodeError>> {
        let input = match code {
            event::START => return Some(self.start(broker)),
            event::LIST_ARRIVED => return Some(self.list_arrived(broker)),
            event::PROBE_ENDED => return Some(self.probe_ended(broker)),
            event::STOP => return Some(Ok(BatchEvent::Stop { broker })),
            event::QUERY => self.query_or_shard_request(),
            event::RESPONSE_STARTED => self.response_started(),
            event::ATTEMPT_ENDED => self.attempt_ended(),
            event::CLIENT_LEFT => self.client_left(),
            event::WOKEN => self.woken(),
            event::PEER_MESSAGE => self.peer_message(),
            _ => return None,
        };
        Some(input.map(|input| BatchEvent::Input { broker, input }))
    }

    fn client_left(&mut self) -> Result<Input, DecodeError> {
        Ok(Input::ClientLeft(QueryId(self.u64()?)))
    }

    fn list_contents(&mut self) -> Result<BatchEvent, DecodeError> {
        let (number, count) = (self.u16()?, self.u32()?);
        let endpoints = (0..count).map(|_| self.endpoint()).collect::<Result<_, _>>()?;
        Ok(BatchEvent::ListContents { number, endpoints })
    }

    fn start(&mut self, broker: u16) -> Result<BatchEvent, DecodeError> {
        let (seed, length) = (self.u64()?, self.u32()?);
        let settings = self.bytes(length as usize)?.to_vec();
        Ok(BatchEvent::Start { broker, seed, settings })
    }

    fn list_arrived(&mut self, broker: u16) -> Result<BatchEvent, DecodeError> {
        let (number, kind_code) = (self.u16()?, self.u8()?);
        let _version = self.u32()?;
        Ok(BatchEvent::ListArrived { broker, number, kind_code })
    }

    fn probe_ended(&mut self, broker: u16) -> Result<BatchEvent, DecodeError> {
        let (node, is_healthy) = (self.node()?, self.u16()? == 1);
        let _duration = self.duration()?;
        let load_values = self.load_values()?;
        Ok(BatchEvent::ProbeEnded { broker, node, is_healthy, load_values })
    }

    fn response_started(&mut self) -> Result<Input, DecodeError> {
        let shard_request = ShardRequestId(self.u64()?);
        let _node = self.node()?;
        let _attempt = self.u16()?;
        let _duration = self.duration()?;
        Ok(Input::ResponseStarted(shard_request))
    }

    fn woken(&mut self) -> Result<Input, DecodeError> {
        let _wake_id = self.u64()?;
        Ok(Input::Woken)
    }

    fn peer_message(&mut self) -> Result<Input, DecodeError> {
        let _sender = self.u32()?;
        let length = usize::from(self.u16()?);
        self.bytes(length)?;
        Ok(Input::Ignored)
    }

    /// Reads a query or a shard request, which share a record type. A negative shard number marks the record as a
    /// query; otherwise it is a shard request. The shard requests of a query follow it, and the group number of each
    /// is that of its query.
    fn query_or_shard_request(&mut self) -> Result<Input, DecodeError> {
        let (id, class, tenant) = (self.u64()?, ClassId(self.u16()?), TenantId(self.u32()?));
        let _key = self.u64()?;
        let (time_left, work_estimate) = (self.duration()?, self.duration()?);
        let group = GroupId(self.f32()?.to_bits());
        let (shard, weight) = (self.f32()?, self.f32()?);
        let has_work_estimate = self.u8()? & HAS_WORK_ESTIMATE == HAS_WORK_ESTIMATE;
        if shard < 0.0 {
            return Ok(Input::Query(NewQuery {
                id: QueryId(id),
                group,
                class,
                tenant,
                time_left,
                work: if has_work_estimate { work_estimate } else { TimeSpan::ZERO },
                client_attempt: 0,
                min_coverage_only: false,
            }));
        }
        let (id, shard) = (ShardRequestId(id), ShardId(shard as u32));
        Ok(Input::ShardRequest(NewShardRequest { id, group, shard, weight: weight.into() }))
    }

    fn attempt_ended(&mut self) -> Result<Input, DecodeError> {
        let shard_request = ShardRequestId(self.u64()?);
        let attempt = AttemptNumber(self.u16()?);
        let node = self.node()?;
        let outcome = self.outcome()?;
        let duration = self.duration()?;
        let _is_connection_closed = self.u8()?;
        let _load_values = self.load_values()?;
        Ok(Input::AttemptEnded(AttemptResult { shard_request, attempt, node, outcome, duration }))
    }
}
