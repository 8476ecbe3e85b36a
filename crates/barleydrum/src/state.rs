//! What a broker remembers, grouped by how long it lives: for one push, for one retrieval (with
//! its parts), for one node, for the instance.

use crate::effects::Effect;
use crate::ids::{
    CallNo, CallerNo, CategoryNo, CellNo, GroupNo, NodeId, PartId, PushNo, RetrievalId, ShardNo, ZoneNo,
};
use crate::inputs::Standing;
use crate::time::Tenths;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is known of a push's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
    /// It will not be heard of as far as the books go; the budget does not count it.
    Void,
}

/// One push of a part.
#[derive(Clone, Debug)]
pub struct Push {
    pub node: NodeId,
    pub sent: Tenths,
    pub fate: Fate,
    /// Called off by this broker, its end not yet heard.
    pub withdrawn: bool,
}

/// What a push leaves on the books until its end is heard, also past its retrieval's end.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub node: NodeId,
    pub call: CallNo,
    pub within_share: bool,
    /// The goal time of its category.
    pub goal: Tenths,
    /// Parts out after the turn in which it was sent.
    pub out: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStage {
    Unsent,
    /// To be sent, or waiting for a node that may have it.
    Wanted,
    Out,
    In,
    Lost,
}

#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: ShardNo,
    pub weight: f64,
    pub stage: PartStage,
    /// Its answer has begun to flow: bound to one push.
    pub flowing: bool,
    pub pushes: Vec<Push>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Handed over, nothing sent.
    Taken,
    /// Parts are out or waiting.
    Asking,
    /// Past its goal time, nothing more is sent.
    Overdue,
    /// An answer has been given.
    Answered,
    /// Waits for the parts of its second step.
    Between,
    Over,
}

#[derive(Clone, Debug)]
pub struct Retrieval {
    pub id: RetrievalId,
    pub group: GroupNo,
    pub category: CategoryNo,
    pub within_share: bool,
    pub stage: Stage,
    pub goal_at: Tenths,
    pub cut_off_at: Tenths,
    /// The second step's first answer, whole or not; none in the first step.
    pub first_whole: Option<bool>,
    pub parts: Vec<Part>,
}

/// A call that is out at a node.
#[derive(Clone, Debug)]
pub struct Call {
    pub sent: Tenths,
    pub parts_out: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub zone: ZoneNo,
    pub cell: CellNo,
    pub standing: Standing,
    pub started: Option<Tenths>,
    pub latency: Option<Tenths>,
    pub sampled_at: Tenths,
    pub heard_at: Tenths,
    /// Failures in a row.
    pub failures: u32,
    pub failed_at: Tenths,
    pub calls: BTreeMap<CallNo, Call>,
    /// The call of this turn, and how many parts it carries.
    pub riding: Option<(CallNo, u32)>,
    /// When pushes went to it while it was cold.
    pub cold_pushes: VecDeque<Tenths>,
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    pub count: f64,
    pub at: Tenths,
}

impl Fading {
    pub fn read(&self, now: Tenths, span: Tenths) -> f64 {
        self.count * (-(now - self.at).over(span)).exp()
    }

    pub fn add(&mut self, now: Tenths, span: Tenths, more: f64) {
        self.count = self.read(now, span) + more;
        self.at = now;
    }
}

/// The share of parts that came to harm, of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauge {
    pub harmed: Fading,
    pub all: Fading,
}

/// What comes due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Goal(RetrievalId),
    CutOff(RetrievalId),
    /// A push's patience is up.
    Look(PartId, PushNo),
    /// A waiting part tries again.
    Again(PartId),
    FollowRoll,
    /// No word of the roll has come since it was asked for.
    RollSilent,
}

/// What lives as long as the broker.
#[derive(Debug, Default)]
pub struct Instance {
    pub now: Tenths,
    pub effects: Vec<Effect>,
    pub nodes: BTreeMap<NodeId, Node>,
    pub holders: BTreeMap<CellNo, BTreeSet<NodeId>>,
    pub retrievals: BTreeMap<RetrievalId, Retrieval>,
    pub groups: BTreeMap<GroupNo, RetrievalId>,
    pub parts: BTreeMap<PartId, (RetrievalId, usize)>,
    pub tickets: BTreeMap<(PartId, PushNo), Ticket>,
    pub agenda: BTreeSet<(Tenths, Due)>,
    pub woken_at: Option<Tenths>,
    /// Retrievals that got parts in this turn.
    pub fresh: BTreeSet<RetrievalId>,
    /// Parts to be sent this turn, in order.
    pub wanted: Vec<PartId>,
    pub next_call: CallNo,
    /// Smoothed latency over the nodes heard of.
    pub average: Option<Tenths>,
    /// The lowest it has been.
    pub briskest: Option<Tenths>,
    /// Over all parts, and over those of callers within their share.
    pub pressure: [Gauge; 2],
    pub cutting: bool,
    /// How many parts this broker may have out.
    pub room: f64,
    pub out_at_turn: f64,
    pub callers: BTreeMap<CallerNo, Fading>,
    pub taken: VecDeque<Tenths>,
    pub further: VecDeque<(Tenths, PartId, PushNo)>,
    pub roll_awaited: bool,
    pub roll_failures: u32,
}
