//! Simulator side of the protocol: writes batches and reads replies. It is independent of the adapter's codec, so
//! that the test detects errors in that codec.

/// Batch under construction.
#[derive(Default)]
pub struct Batch {
    count: u32,
    records: Vec<u8>,
}

/// Address of a node in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address {
    pub host: u32,
    pub port: u16,
}

/// Record of a query or of a shard request. `shard` is negative for a query.
pub struct QueryRecord {
    pub id: u64,
    pub class: u16,
    pub tenant: u32,
    pub time_left_ms: f64,
    pub work_estimate_ms: Option<f64>,
    pub group: f32,
    pub shard: f32,
    pub weight: f32,
}

/// Node of an endpoint list.
pub struct EndpointRecord {
    pub address: Address,
    pub zone: u16,
    pub placement_group: u16,
    /// State code: 0 is removed, 1 is ready, and 2 is draining.
    pub state: u8,
    pub started_at_ms: f64,
}

impl Batch {
    fn record(&mut self, code: u8) -> &mut Batch {
        self.count += 1;
        self.bytes(&[code])
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Batch {
        self.records.extend_from_slice(bytes);
        self
    }

    fn address(&mut self, address: Address) -> &mut Batch {
        self.bytes(&address.host.to_le_bytes()).bytes(&address.port.to_le_bytes())
    }

    pub fn start(&mut self, broker: u16, seed: u64, settings: &str) {
        let length = settings.len() as u32;
        self.record(16).bytes(&broker.to_le_bytes()).bytes(&seed.to_le_bytes());
        self.bytes(&length.to_le_bytes()).bytes(settings.as_bytes());
    }

    pub fn list_contents(&mut self, number: u16, endpoints: &[EndpointRecord]) {
        self.record(26).bytes(&number.to_le_bytes()).bytes(&(endpoints.len() as u32).to_le_bytes());
        for endpoint in endpoints {
            self.address(endpoint.address).bytes(&endpoint.zone.to_le_bytes()).bytes(&0_u16.to_le_bytes());
            self.bytes(&endpoint.placement_group.to_le_bytes()).bytes(&[endpoint.state]);
            self.bytes(&1.0_f32.to_le_bytes()).bytes(&endpoint.started_at_ms.to_le_bytes());
        }
    }

    /// Adds the arrival of an endpoint list. `kind_code` is 0 for a delta, 1 for a snapshot, 2 for a cached list, and
    /// 3 for a failed request.
    pub fn list_arrived(&mut self, broker: u16, number: u16, kind_code: u8) {
        self.record(17).bytes(&broker.to_le_bytes()).bytes(&number.to_le_bytes());
        self.bytes(&[kind_code]).bytes(&0_u32.to_le_bytes());
    }

    pub fn query(&mut self, broker: u16, query: &QueryRecord) {
        self.record(18).bytes(&broker.to_le_bytes()).bytes(&query.id.to_le_bytes());
        self.bytes(&query.class.to_le_bytes()).bytes(&query.tenant.to_le_bytes()).bytes(&[0; 8]);
        self.bytes(&query.time_left_ms.to_le_bytes());
        self.bytes(&query.work_estimate_ms.unwrap_or(0.0).to_le_bytes());
        self.bytes(&query.group.to_le_bytes()).bytes(&query.shard.to_le_bytes());
        self.bytes(&query.weight.to_le_bytes()).bytes(&[u8::from(query.work_estimate_ms.is_some())]);
    }

    pub fn response_started(&mut self, broker: u16, shard_request: u64, node: Address, attempt: u16) {
        self.record(19).bytes(&broker.to_le_bytes()).bytes(&shard_request.to_le_bytes()).address(node);
        self.bytes(&attempt.to_le_bytes()).bytes(&1.0_f64.to_le_bytes());
    }

    pub fn attempt_ended(&mut self, broker: u16, ended: &EndedAttempt) {
        self.record(20).bytes(&broker.to_le_bytes()).bytes(&ended.shard_request.to_le_bytes());
        self.bytes(&ended.number.to_le_bytes()).address(ended.node);
        self.bytes(&(ended.outcome as u16).to_le_bytes()).bytes(&ended.duration_ms.to_le_bytes());
        // The flag for a closed connection, and the number of load values.
        self.bytes(&[0, 0]);
    }

    pub fn client_left(&mut self, broker: u16, query: u64) {
        self.record(21).bytes(&broker.to_le_bytes()).bytes(&query.to_le_bytes());
    }

    pub fn woken(&mut self, broker: u16) {
        self.record(22).bytes(&broker.to_le_bytes()).bytes(&0_u64.to_le_bytes());
    }

    pub fn probe_ended(&mut self, broker: u16, node: Address, is_healthy: bool, load_values: &[f32]) {
        self.record(23).bytes(&broker.to_le_bytes()).address(node);
        self.bytes(&u16::from(is_healthy).to_le_bytes()).bytes(&1.0_f64.to_le_bytes());
        self.bytes(&[load_values.len() as u8]);
        for value in load_values {
            self.bytes(&value.to_le_bytes());
        }
    }

    pub fn frame(self, clock_ms: f64) -> Vec<u8> {
        let length = (self.records.len() + size_of::<u32>()) as u32;
        let header = [&clock_ms.to_le_bytes()[..], &length.to_le_bytes(), &self.count.to_le_bytes()].concat();
        [header, self.records].concat()
    }
}

/// Outcome of an attempt. The discriminants are the codes of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Errored = 0,
    Succeeded = 1,
    Overloaded = 2,
    TimedOut = 3,
    ConnectFailed = 4,
    ConnectionLost = 5,
    Cancelled = 6,
}

pub struct EndedAttempt {
    pub shard_request: u64,
    pub number: u16,
    pub node: Address,
    pub outcome: Outcome,
    pub duration_ms: f64,
}

/// Effect in a record of a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Send { shard_request: u64, node: Address, timeout_ms: f64 },
    Reject { query: u64 },
    Fail { query: u64 },
    Cancel { shard_request: u64, attempt: u16 },
    Wake { after_ms: f64 },
    Probe { node: Address },
    CloseIdle { node: Address },
    Log,
    WatchEndpoints,
    Respond { query: u64 },
}

/// Reads the records of a reply. `body` excludes the length field.
pub fn read_reply(body: &[u8]) -> Vec<Effect> {
    let mut reader = Reader { rest: body };
    let count = u32::from_le_bytes(reader.take());
    let effects = (0..count).map(|_| reader.effect()).collect();
    assert!(reader.rest.is_empty(), "a reply has bytes after its last record");
    effects
}

struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn take<const COUNT: usize>(&mut self) -> [u8; COUNT] {
        let (head, tail) = self.rest.split_first_chunk().expect("a reply is truncated");
        self.rest = tail;
        *head
    }

    fn id(&mut self) -> u64 {
        u64::from_le_bytes(self.take())
    }

    fn ms(&mut self) -> f64 {
        f64::from_le_bytes(self.take())
    }

    fn address(&mut self) -> Address {
        Address { host: u32::from_le_bytes(self.take()), port: u16::from_le_bytes(self.take()) }
    }

    fn effect(&mut self) -> Effect {
        let [code] = self.take();
        let _broker: [u8; 2] = self.take();
        match code {
            80 => Effect::Send { shard_request: self.id(), node: self.address(), timeout_ms: self.ms() },
            81 => {
                let (query, _retry_after_ms) = (self.id(), self.ms());
                Effect::Reject { query }
            }
            82 => Effect::Fail { query: self.id() },
            83 => Effect::Cancel { shard_request: self.id(), attempt: u16::from_le_bytes(self.take()) },
            84 => {
                let (_wake_id, after_ms) = (self.id(), self.ms());
                Effect::Wake { after_ms }
            }
            85 => Effect::Probe { node: self.address() },
            86 => Effect::CloseIdle { node: self.address() },
            88 => {
                let length = usize::from(u16::from_le_bytes(self.take()));
                self.rest = &self.rest[length..];
                Effect::Log
            }
            90 => {
                let [_enabled] = self.take();
                Effect::WatchEndpoints
            }
            92 => {
                let (query, [_complete]) = (self.id(), self.take());
                Effect::Respond { query }
            }
            other => panic!("unknown effect code {other}"),
        }
    }
}
