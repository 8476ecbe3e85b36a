//! Statements that pass inputs to the broker.

use crate::runner::ScenarioRunner;
use crate::words::{Words, id, span, value};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, Endpoint, EndpointList, EndpointListKind,
    EndpointState, GroupId, Input, LoadMetric, NewQuery, NewShardRequest, NodeId, PlacementGroupId,
    ProbeResult, QueryId, ShardId, ShardRequestId, TenantId, WallClockTime, ZoneId,
};

/// A class id that no scenario configures.
const UNKNOWN_CLASS: ClassId = ClassId(99);

impl ScenarioRunner {
    /// Adds the inputs of a statement to those of the next turn.
    pub fn receive(&mut self, words: &Words) {
        self.effects.clear();
        match words[0] {
            "endpoints" if words[1] == "failed" => {
                self.inputs.push(Input::EndpointListFailed { pending: routing::TimeSpan::ZERO });
            }
            "endpoints" => self.receive_endpoints(words),
            "query" => self.receive_query(words),
            "second-phase" => self.receive_shard_requests(QueryId(id(words[1])), words),
            "client-left" => {
                let query = QueryId(id(words[1]));
                self.open.remove(&query);
                self.inputs.push(Input::ClientLeft(query));
            }
            "load" => self.receive_load(words),
            "response-started" => {
                self.inputs.push(Input::ResponseStarted(ShardRequestId(id(words[1]))));
            }
            "end" => self.end_attempts(words[1], words[2]),
            other => panic!("unknown statement `{other}`"),
        }
    }

    fn receive_endpoints(&mut self, words: &Words) {
        let kind = match words[1] {
            "snapshot" => EndpointListKind::Snapshot,
            "cached" => EndpointListKind::Cached,
            _ => EndpointListKind::Delta,
        };
        let endpoints: Vec<Endpoint> = words[2..].iter().map(|word| endpoint(word)).collect();
        for endpoint in &endpoints {
            match endpoint.state {
                EndpointState::Ready => self.ineligible.remove(&endpoint.node),
                _ => self.ineligible.insert(endpoint.node),
            };
        }
        let list = EndpointList { kind, wall_clock: WallClockTime(self.now.0), entries: endpoints.into() };
        self.inputs.push(Input::EndpointList(list));
    }

    fn receive_query(&mut self, words: &Words) {
        let query_id = QueryId(id(words[1]));
        let class = self.class(words[2]).unwrap_or(UNKNOWN_CLASS);
        self.open.insert(query_id);
        if self.config.classes.get(&class).is_some_and(|class| class.second_phase_shard_requests > 0) {
            self.awaiting_second_phase.insert(query_id);
        }
        self.inputs.push(Input::Query(NewQuery {
            id: query_id,
            group: group_of(query_id),
            class,
            tenant: TenantId(value(words, "tenant", 0)),
            time_left: span(words, "time-left", 3000.0),
            work: span(words, "work", 0.0),
            client_attempt: value(words, "client-attempt", 0),
            min_coverage_only: words.contains(&"min-coverage-only"),
        }));
        self.receive_shard_requests(query_id, words);
    }

    /// Adds the shard requests of a statement, written as `name:shard:weight`.
    fn receive_shard_requests(&mut self, query_id: QueryId, words: &Words) {
        for word in words.iter().filter(|word| word.contains(':')) {
            let fields: Words = word.split(':').collect();
            let shard_request = ShardRequestId(id(fields[0]));
            self.shard_requests.insert(shard_request, query_id);
            self.inputs.push(Input::ShardRequest(NewShardRequest {
                id: shard_request,
                group: group_of(query_id),
                shard: ShardId(fields[1].parse().unwrap()),
                weight: fields[2].parse().unwrap(),
            }));
        }
    }

    fn receive_load(&mut self, words: &Words) {
        let queue = words[2].parse().map(|queue| (LoadMetric::QueueLength, queue)).into_iter();
        let rate = words.get(3).map(|rate| (LoadMetric::ServiceRate, rate.parse().unwrap()));
        self.inputs.push(Input::ProbeEnded(ProbeResult {
            node: NodeId(id(words[1])),
            is_valid: words[2] != "none",
            report: queue.chain(rate).collect(),
        }));
    }

    /// Ends the newest attempt in flight of a shard request, all attempts in flight at `@node`, or `all`.
    fn end_attempts(&mut self, selector: &str, outcome: &str) {
        let outcome = attempt_outcome(outcome);
        let before = self.inputs.len();
        for (shard_request, attempts) in &mut self.attempts {
            let is_named = id(selector) == shard_request.0;
            for (number, attempt) in attempts.iter_mut().enumerate().rev() {
                let is_selected = selector == "all"
                    || is_named
                    || selector.strip_prefix('@').map(id) == Some(attempt.node.0);
                if !attempt.is_in_flight || !is_selected {
                    continue;
                }
                attempt.is_in_flight = false;
                self.inputs.push(Input::AttemptEnded(AttemptResult {
                    shard_request: *shard_request,
                    attempt: AttemptNumber(number as u16),
                    node: attempt.node,
                    outcome,
                    duration: self.now - attempt.sent_at,
                }));
                if is_named {
                    break;
                }
            }
        }
        assert!(self.inputs.len() > before || selector == "all", "no attempt of `{selector}` is in flight");
    }
}

/// Parses an endpoint, written as `node:group[:state[:started-at[:zone]]]`.
fn endpoint(word: &str) -> Endpoint {
    let mut fields = word.split(':');
    Endpoint {
        node: NodeId(id(fields.next().unwrap())),
        placement_group: PlacementGroupId(fields.next().unwrap().parse().unwrap()),
        state: match fields.next() {
            Some("draining") => EndpointState::Draining,
            Some("removed") => EndpointState::Removed,
            _ => EndpointState::Ready,
        },
        started_at: fields.next().and_then(|ms| ms.parse().ok()).map(WallClockTime::from_ms),
        zone: ZoneId(fields.next().map_or(0, |zone| zone.parse().unwrap())),
    }
}

fn group_of(query: QueryId) -> GroupId {
    GroupId(query.0 as u32)
}

fn attempt_outcome(word: &str) -> AttemptOutcome {
    match word {
        "succeeded" => AttemptOutcome::Succeeded,
        "errored" => AttemptOutcome::Errored,
        "overloaded" => AttemptOutcome::Overloaded,
        "timed-out" => AttemptOutcome::TimedOut,
        "connect-failed" => AttemptOutcome::ConnectFailed,
        "connection-lost" => AttemptOutcome::ConnectionLost,
        "cancelled" => AttemptOutcome::Cancelled,
        "not-sent" => AttemptOutcome::NotSent,
        "local-shortage" => AttemptOutcome::LocalResourceExhausted,
        other => panic!("unknown attempt outcome `{other}`"),
    }
}
