//! All sizes, counts and times of the broker on sockets, filled at start and handed down.

use routing::Tenths;
use settings::BrokerSettings;
use std::time::Duration;

/// What the machine gives the broker.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub memory_mb: usize,
    pub sockets: usize,
}

#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients served at once; those beyond, as far as `surplus` goes, are rejected.
    pub client_lines: usize,
    pub surplus_lines: usize,
    /// Of these, so many may be kept idle after an answer.
    pub kept_lines: usize,
    /// Connections to nodes.
    pub node_lines: usize,
    /// Bytes of questions and values held at once.
    pub held: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of one body, of one as it comes in chunks, and of one frame.
    pub body: usize,
    pub body_on_wire: usize,
    pub frame: usize,
    /// Bytes of a query's id.
    pub id: usize,
    /// How far the weights of a query may be from 1 in sum.
    pub weight_slack: f64,
    /// Parts in one call, and on one connection to a node.
    pub call_parts: usize,
    pub line_parts: usize,
    pub connect: Duration,
    /// A frame that was begun must be whole by twice that.
    pub half_frame: Duration,
    /// A connection on which nothing came for so long after a call was written gets no more.
    pub unheard: Duration,
    /// Parts given up on one connection of which a late answer is told from a wrong one.
    pub late_answers: usize,
    /// An attempt that was not written whole by then is taken back, or its connection cut.
    pub unsent: Tenths,
    /// A connection to a node is closed when it stood idle for so long.
    pub node_idle: Duration,
    /// A node that takes nothing for so long is let go.
    pub slow: Duration,
    /// A client has so long for its first request, for the whole of one, and to take its answer.
    pub slow_client: Duration,
    /// It keeps a new connection so long, though it says nothing and others wait for the place.
    pub first_moment: Duration,
    /// What still comes after the last answer is taken in for so long, and so many bytes of it.
    pub linger: Duration,
    pub linger_bytes: usize,
    /// Wrong requests in a row after which a connection is closed.
    pub wrong: usize,
    /// How long a client's connection may stand idle.
    pub keep_alive: Duration,
    /// How often peers are looked over.
    pub sweep: Duration,
    /// The longest that a client may say it waits.
    pub longest_wait: Duration,
    /// What discovery has to tell counts as told after this, heard or not.
    pub untold: Tenths,
    /// A call for all nodes is given up after this.
    pub list_within: Duration,
    /// Where the settings call the endpoint list automatic, discovery is an agent on the broker's own machine.
    pub agent: bool,
    /// The wait that discovery is asked for, and what its answer may take beyond that.
    pub watch: Duration,
    pub watch_slack: Duration,
    /// A silent agent is called anew after this, the earlier calls still waiting, but only so many of them.
    pub watch_anew: Duration,
    /// New connections keep coming for so long after the word to leave.
    pub last_moment: Duration,
    /// All that was taken has its answer so long after the word to leave.
    pub leave_within: Duration,
    /// Those that had to be given up then are written within this.
    pub last_answers: Duration,
    /// The close of a client that hides behind bytes it sent ahead is looked for so often.
    pub look: Duration,
    /// Least time between two turns.
    pub period: Tenths,
}

/// Files, pipes, the listener, discovery: what needs a descriptor beside peers.
const OWN: usize = 32;
/// The protocol's clock: what a watch that fell silent misses counts as told so long after it fell silent, or so long
/// after the wait that it was called for, if that is later.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Each of the protocol's time limits is so much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);
/// The kill comes no sooner than the longest deadline, of which no more than this counts, and the time beyond it.
const LONGEST_COUNTED: Tenths = Tenths(30_000);
const KILL_BEYOND: Duration = Duration::from_millis(700);
/// A client that left while its request waited: nothing of it goes out later than this.
const LEFT_WITHIN: Duration = Duration::from_millis(300);
const KIB: usize = 1024;
/// What the buffers of one connection may come to: a head, what the HTTP server sets aside, an answer.
const BUFFERS: usize = 48 * KIB;

impl Limits {
    /// An error says what the machine has too little of.
    pub fn new(machine: Machine, broker_settings: &BrokerSettings) -> Result<Limits, String> {
        let Machine { memory_mb, sockets } = machine;
        let for_peers = sockets.saturating_sub(OWN);
        if for_peers < OWN {
            return Err(format!("limits: {sockets} sockets are too few, {} are needed", 2 * OWN));
        }
        if memory_mb < OWN {
            return Err(format!("limits: {memory_mb} MB of memory are too little, {OWN} are needed"));
        }
        // Three quarters of the memory: what is held, and the buffers of clients and of nodes.
        let quarter = memory_mb * KIB * KIB / 4;
        // Clients come and go by hundreds, nodes are few: two thirds of the descriptors, and one.
        let lines = (for_peers * 2 / 3).min(quarter / BUFFERS);
        let surplus_lines = lines / 8;
        let p = &broker_settings.broker_config;
        let line_parts = broker_settings.connections.max_shard_requests.unwrap_or(1).max(1) as usize;
        let connect = broker_settings.connections.connect_timeout.unwrap_or(Tenths::from_ms(1000.0));
        // No longer than that both clocks count from the call: what it costs grows with the calls.
        let longest_watch = TOLD_AFTER_SILENCE - TOLD_AFTER_WAIT;
        let watch = (span(p.rules.endpoint_list_max_age) / 10).clamp(Duration::from_secs(1), longest_watch);
        // Half is for noticing that it fell silent, half for the call that takes its place.
        let watch_slack = TOLD_AFTER_WAIT / 2;
        // In a third of the grace it is called, in one it answers, in the last the shard requests that wait are taken back.
        let watch_anew = (span(p.rules.drain_grace) + SOCKETS) / 3;
        // They share the few descriptors that are set aside.
        let watch_calls = OWN as u32 / 3;
        let agent = !p.watch_on_request;
        let longest = p.classes.values().map(|class| class.deadline).max().unwrap_or_default();
        let idle = broker_settings.connections.idle_timeout.map_or(Duration::from_secs(10), span);
        Ok(Limits {
            client_lines: lines - surplus_lines,
            surplus_lines,
            // Tenants hold a third of the descriptors at the most; idle ones must leave them some of it.
            kept_lines: (sockets / 5).min(lines / 2),
            node_lines: (for_peers / 3).min(quarter / BUFFERS),
            held: quarter,
            head: 16 * KIB,
            body: 64 * KIB,
            body_on_wire: 256 * KIB,
            frame: 64 * KIB,
            id: 128,
            weight_slack: 0.01,
            call_parts: (p.layout.max_batch_size.max(1) as usize).min(line_parts),
            line_parts,
            connect: span(connect),
            half_frame: span(connect) / 4,
            unheard: span(connect),
            late_answers: 8 * line_parts,
            unsent: connect + p.period,
            node_idle: idle.mul_f64(0.8),
            slow: Duration::from_secs(5),
            slow_client: Duration::from_secs(2),
            first_moment: Duration::from_millis(100),
            linger: Duration::from_secs(1),
            linger_bytes: 256 * KIB,
            wrong: 16,
            keep_alive: Duration::from_secs(60),
            sweep: Duration::from_millis(250),
            longest_wait: Duration::from_secs(600),
            untold: Tenths(TOLD_AFTER_SILENCE.as_millis() as i64 * 10),
            list_within: if agent {
                watch_slack.min(watch_anew * watch_calls)
            } else {
                TOLD_AFTER_SILENCE / 2
            },
            agent,
            watch,
            watch_slack,
            watch_anew,
            last_moment: Duration::from_millis(500),
            leave_within: span(longest.min(LONGEST_COUNTED)) + KILL_BEYOND - 2 * SOCKETS,
            last_answers: SOCKETS,
            look: LEFT_WITHIN / 3,
            period: p.period,
        })
    }
}

/// A span of the library as one of the clock.
pub fn span(tenths: Tenths) -> Duration {
    Duration::from_micros(u64::try_from(tenths.0).unwrap_or(0).saturating_mul(100))
}
