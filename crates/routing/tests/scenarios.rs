//! Runs the scenarios of `scenarios/*.txt`; `scenarios/README.md` has their notation.

use routing::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

type Words<'a> = Vec<&'a str>;

/// The keys that each statement takes, as `key=value`.
const KEYS: &[(&str, &[&str])] = &[
    (
        "class",
        &[
            "objective",
            "deadline",
            "stretch",
            "priority",
            "min-coverage",
            "complete-coverage",
            "late-share",
            "second-phase",
            "idempotency",
            "dedup-window",
        ],
    ),
    ("tenant", &["id"]),
    ("layout", &["groups", "replica-groups", "shards", "max-batch"]),
    ("limits", &["attempts", "open"]),
    (
        "rules",
        &[
            "initial-capacity",
            "warm-up",
            "overload-factor",
            "overload-window",
            "list-max-age",
            "late-failure",
        ],
    ),
    ("retry-budget", &["floor", "ratio", "window"]),
    ("query", &["tenant", "time-left", "work", "client-attempt"]),
];

/// Guards against a misspelt key, which would leave its default in force.
fn check_keys(words: &Words) {
    let known = KEYS.iter().find(|(statement, _)| *statement == words[0]).map_or(&[][..], |(_, keys)| keys);
    for (key, _) in words[1..].iter().filter_map(|word| word.split_once('=')) {
        assert!(known.contains(&key), "`{}` has no key `{key}`", words[0]);
    }
}

/// The value behind `key=` in a line, or what stands for none.
fn value<T: std::str::FromStr>(words: &Words, key: &str, none: T) -> T {
    let found = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    found.map_or(none, |text| text.parse().unwrap_or_else(|_| panic!("{key}={text}")))
}

fn span(words: &Words, key: &str, none: f64) -> Tenths {
    Tenths::from_ms(value(words, key, none))
}

fn id(name: &str) -> u64 {
    name.bytes().fold(0, |id, byte| id << 8 | u64::from(byte))
}

#[derive(Default)]
struct ScenarioRunner {
    broker_config: BrokerConfig,
    names: Vec<String>,
    broker: Option<Broker>,
    now: Tenths,
    wake_ups: BTreeSet<Tenths>,
    inputs: Vec<Input>,
    /// All effects since the last moment, as the notation puts it.
    effects: Vec<String>,
    attempts: BTreeMap<ShardRequestId, Vec<(NodeId, Tenths, bool)>>,
    shard_requests: BTreeMap<ShardRequestId, QueryId>,
    open: BTreeSet<QueryId>,
    ineligible: BTreeSet<NodeId>,
    /// Queries that have a second step to come.
    awaiting_second_phase: BTreeSet<QueryId>,
}

impl ScenarioRunner {
    fn new() -> ScenarioRunner {
        let mut broker_config = BrokerConfig { brokers: 1, period: Tenths(50), ..BrokerConfig::default() };
        broker_config.layout =
            ShardLayout { placement_groups: 1, replica_groups: 1, shards: 1, max_batch_size: 1 };
        (broker_config.limits.max_open, broker_config.limits.max_attempts) = (1000, 3);
        ScenarioRunner { broker_config, ..ScenarioRunner::default() }
    }

    fn statement(&mut self, words: Words) {
        if words[0] != ">" {
            check_keys(&words);
        }
        let p = &mut self.broker_config;
        match words[0] {
            "send-lag" => p.send_lag = Tenths::from_ms(words[1].parse().unwrap()),
            "brokers" => p.brokers = words[1].parse().unwrap(),
            "class" => {
                let known = self.names.iter().position(|name| name == words[1]);
                let no = known.unwrap_or_else(|| {
                    self.names.push(words[1].to_owned());
                    self.names.len() - 1
                });
                let class = RequestClass {
                    latency_objective: span(&words, "objective", 1000.0),
                    objective_stretch: value(&words, "stretch", 0.0),
                    deadline: span(&words, "deadline", 3000.0),
                    priority_weight: value(&words, "priority", 1.0),
                    late_weight_share: value(&words, "late-share", 0.0),
                    min_coverage: value(&words, "min-coverage", 1.0),
                    complete_coverage: value(&words, "complete-coverage", 1.0),
                    second_phase_shard_requests: value(&words, "second-phase", 0),
                    idempotency: match value(&words, "idempotency", String::new()).as_str() {
                        "key" => Idempotency::IdempotencyKey,
                        "at-most-once" => Idempotency::AtMostOnce,
                        _ => Idempotency::Idempotent,
                    },
                    dedup_window: span(&words, "dedup-window", 0.0),
                };
                p.classes.insert(ClassId(no as u16), class);
            }
            "remove-class" => {
                let no = self.names.iter().position(|name| name == words[1]).unwrap();
                p.classes.remove(&ClassId(no as u16));
            }
            "tenant" => {
                let no = value(&words, "id", p.tenants.len() as u32);
                p.tenants.insert(TenantId(no), Tenant { quota_per_s: words[1].parse().unwrap() });
            }
            "remove-tenant" => _ = p.tenants.remove(&TenantId(words[1].parse().unwrap())),
            // What was said of the configuration since is in force from here on.
            "configure" => {
                self.effects.clear();
                self.inputs.push(Input::Config(Box::new(p.clone())));
            }
            "layout" => {
                p.layout = ShardLayout {
                    placement_groups: value(&words, "groups", 1),
                    replica_groups: value(&words, "replica-groups", 1),
                    shards: value(&words, "shards", 1),
                    max_batch_size: value(&words, "max-batch", 1),
                }
            }
            "limits" => {
                p.limits.max_attempts = value(&words, "attempts", 3);
                p.limits.max_open = value(&words, "open", 1000);
                (p.limits.allow_hedging, p.limits.allow_cancel) =
                    (words.contains(&"hedging"), words.contains(&"cancel"));
            }
            "rules" => {
                p.rules.initial_capacity_share = value(&words, "initial-capacity", 0.2);
                p.rules.warm_up_period = span(&words, "warm-up", 10_000.0);
                p.rules.overload_factor = value(&words, "overload-factor", 3.0);
                p.rules.overload_window = span(&words, "overload-window", 1000.0);
                p.rules.endpoint_list_max_age = span(&words, "list-max-age", 10_000.0);
                p.watch_on_request = words.contains(&"watch-on-request");
                p.load_by_probe = words.contains(&"load-by-probe");
                p.late_failure_cost = value(&words, "late-failure", 0.05);
            }
            "retry-budget" => {
                let (floor, share) = (value(&words, "floor", 0.0), value(&words, "ratio", 0.0));
                p.rules.retry_budget =
                    Some(RetryBudget { floor, share, window: span(&words, "window", 1000.0) });
            }
            "at" => self.go_to(Tenths::from_ms(words[1].trim_end_matches(':').parse().unwrap())),
            ">" => {
                self.turn();
                let wanted: Words = words[1..].to_vec();
                let fits = |effects: &String| {
                    let effects: Words = effects.split(' ').collect();
                    wanted.len() <= effects.len()
                        && wanted.iter().zip(&effects).all(|(a, b)| a.split('|').any(|a| a == *b || a == "*"))
                };
                if wanted[0] == "no" {
                    let wanted = &wanted[1..].join(" ");
                    assert!(
                        !self.effects.iter().any(|effects| effects.starts_with(wanted)),
                        "{wanted} in {:?}",
                        self.effects
                    );
                } else if wanted[0] == "count" {
                    let found = self.effects.iter().filter(|effects| effects.starts_with(wanted[1])).count();
                    assert_eq!(found.to_string(), wanted[2], "{} in {:?}", wanted[1], self.effects);
                } else {
                    assert!(self.effects.iter().any(fits), "{wanted:?} not in {:?}", self.effects);
                }
            }
            _ => self.input(words),
        }
    }

    fn input(&mut self, words: Words) {
        self.effects.clear();
        let input = match words[0] {
            "endpoints" if words[1] == "failed" => Input::EndpointListFailed,
            "endpoints" => {
                let kind = match words[1] {
                    "snapshot" => EndpointListKind::Snapshot,
                    "cached" => EndpointListKind::Cached,
                    _ => EndpointListKind::Delta,
                };
                let entries = words[2..].iter().map(|word| {
                    let mut fields = word.split(':');
                    let node = NodeId(id(fields.next().unwrap()));
                    let placement_group = PlacementGroupId(fields.next().unwrap().parse().unwrap());
                    let state = match fields.next() {
                        Some("draining") => EndpointState::Draining,
                        Some("removed") => EndpointState::Removed,
                        _ => EndpointState::Ready,
                    };
                    match state {
                        EndpointState::Ready => self.ineligible.remove(&node),
                        _ => self.ineligible.insert(node),
                    };
                    let started_at = fields.next().and_then(|ms| ms.parse().ok()).map(Tenths::from_ms);
                    let zone = ZoneId(fields.next().map_or(0, |zone| zone.parse().unwrap()));
                    Endpoint { node, zone, placement_group, state, started_at }
                });
                Input::EndpointList(EndpointList { kind, wall_clock: self.now, entries: entries.collect() })
            }
            "query" => {
                let (query_id, group) = (QueryId(id(words[1])), GroupId(id(words[1]) as u32));
                let class = self.names.iter().position(|name| name == words[2]).unwrap_or(99);
                let (class, tenant) = (ClassId(class as u16), TenantId(value(&words, "tenant", 0)));
                let (time_left, work) = (span(&words, "time-left", 3000.0), span(&words, "work", 0.0));
                self.open.insert(query_id);
                if self.broker_config.classes.get(&class).is_some_and(|c| c.second_phase_shard_requests > 0) {
                    self.awaiting_second_phase.insert(query_id);
                }
                self.inputs.push(Input::Query(NewQuery {
                    id: query_id,
                    group,
                    class,
                    tenant,
                    time_left,
                    work,
                    client_attempt: value(&words, "client-attempt", 0),
                    min_coverage_only: words.contains(&"min-coverage-only"),
                }));
                return self.shard_requests(query_id, &words);
            }
            "second-phase" => return self.shard_requests(QueryId(id(words[1])), &words),
            "client-left" => {
                self.open.remove(&QueryId(id(words[1])));
                Input::ClientLeft(QueryId(id(words[1])))
            }
            "load" => {
                let queue = words[2].parse().map(|queue| (LoadMetric::QueueLength, queue)).into_iter();
                let rate = words.get(3).map(|rate| (LoadMetric::ServiceRate, rate.parse().unwrap()));
                let (node, report) = (NodeId(id(words[1])), queue.chain(rate).collect());
                Input::ProbeEnded(ProbeResult { node, is_valid: words[2] != "none", report })
            }
            "response-started" => Input::ResponseStarted(ShardRequestId(id(words[1]))),
            "end" => return self.end(words[1], words[2]),
            other => panic!("`{other}` is not a word of the notation"),
        };
        self.inputs.push(input);
    }

    /// Parts, as `name:shard:weight`.
    fn shard_requests(&mut self, query_id: QueryId, words: &Words) {
        for word in words.iter().filter(|word| word.contains(':')) {
            let fields: Words = word.split(':').collect();
            let (shard_request, group) = (ShardRequestId(id(fields[0])), GroupId(query_id.0 as u32));
            let (shard, weight) = (ShardId(fields[1].parse().unwrap()), fields[2].parse().unwrap());
            self.shard_requests.insert(shard_request, query_id);
            self.inputs.push(Input::ShardRequest(NewShardRequest {
                id: shard_request,
                group,
                shard,
                weight,
            }));
        }
    }

    /// Ends the newest attempt that is out of a shard request, of all shard requests, or all that are out at
    /// `@node`.
    fn end(&mut self, which: &str, how: &str) {
        let end = match how {
            "succeeded" => AttemptOutcome::Succeeded,
            "errored" => AttemptOutcome::Errored,
            "overloaded" => AttemptOutcome::Overloaded,
            "timed-out" => AttemptOutcome::TimedOut,
            "connect-failed" => AttemptOutcome::ConnectFailed,
            "connection-lost" => AttemptOutcome::ConnectionLost,
            "cancelled" => AttemptOutcome::Cancelled,
            "not-sent" => AttemptOutcome::NotSent,
            "local-shortage" => AttemptOutcome::LocalShortage,
            other => panic!("`{other}` is no end"),
        };
        let before = self.inputs.len();
        for (shard_request, attempts) in &mut self.attempts {
            for (no, (node, sent, out)) in attempts.iter_mut().enumerate().rev() {
                let meant = which == "all"
                    || id(which) == shard_request.0
                    || which.strip_prefix('@').map(id) == Some(node.0);
                if *out && meant {
                    *out = false;
                    let (shard_request, attempt, took) =
                        (*shard_request, AttemptNumber(no as u16), self.now - *sent);
                    self.inputs.push(Input::AttemptEnded(AttemptResult {
                        shard_request,
                        attempt,
                        node: *node,
                        outcome: end,
                        duration: took,
                    }));
                    if id(which) == shard_request.0 {
                        break;
                    }
                }
            }
        }
        assert!(self.inputs.len() > before || which == "all", "{which} has nothing out");
    }

    /// Plays the wake-ups up to a moment, then stands at it.
    fn go_to(&mut self, at: Tenths) {
        self.turn();
        self.effects.clear();
        while let Some(wake) = self.wake_ups.first().copied().filter(|wake| *wake < at) {
            self.wake_ups.remove(&wake);
            self.now = self.now.max(wake);
            self.inputs.push(Input::Woken);
            self.turn();
        }
        self.now = at;
        if self.wake_ups.remove(&at) {
            self.inputs.push(Input::Woken);
        }
    }

    fn turn(&mut self) {
        let (broker_config, now) = (&self.broker_config, self.now);
        let new = self.broker.is_none();
        let broker = self.broker.get_or_insert_with(|| Broker::start(broker_config.clone(), 1, now));
        if self.inputs.is_empty() && !new {
            return;
        }
        let inputs = std::mem::take(&mut self.inputs);
        for effect in broker.turn(now, &inputs) {
            self.note(effect);
        }
    }

    /// Puts an effect into the notation, and holds it against the rules that every scenario keeps.
    fn note(&mut self, effect: Effect) {
        let name = |id: u64| {
            let bytes: Vec<u8> = id.to_be_bytes().into_iter().filter(|byte| *byte != 0).collect();
            String::from_utf8(bytes).unwrap()
        };
        let ended = match &effect {
            Effect::Respond { query, .. } if self.awaiting_second_phase.remove(query) => None,
            Effect::Respond { query, .. } | Effect::Reject { query, .. } | Effect::Fail { query } => {
                Some(*query)
            }
            _ => None,
        };
        if let Some(query) = ended {
            assert!(self.open.remove(&query), "a second final answer for {}", name(query.0));
        }
        self.effects.push(match effect {
            Effect::Send { shard_request, node, timeout } => {
                assert!(
                    self.open.contains(&self.shard_requests[&shard_request]),
                    "{} sent after the end",
                    name(shard_request.0)
                );
                assert!(
                    !self.ineligible.contains(&node),
                    "{} sent to {}",
                    name(shard_request.0),
                    name(node.0)
                );
                self.attempts.entry(shard_request).or_default().push((node, self.now, true));
                format!("send {} {} {}", name(shard_request.0), name(node.0), timeout.as_ms())
            }
            Effect::Cancel { shard_request, attempt } => {
                format!("cancel {} {}", name(shard_request.0), attempt.0)
            }
            Effect::Respond { query, complete: whole } => {
                format!("respond {} {}", name(query.0), if whole { "complete" } else { "partial" })
            }
            Effect::Reject { query, .. } => format!("reject {}", name(query.0)),
            Effect::Fail { query } => format!("fail {}", name(query.0)),
            Effect::Wake { after } => {
                self.wake_ups.insert(self.now + after);
                "wake".to_owned()
            }
            Effect::Probe { node } => format!("probe {}", name(node.0)),
            Effect::CloseIdle { node } => format!("close {}", name(node.0)),
            Effect::WatchEndpoints => "watch".to_owned(),
            Effect::Log(event) => format!("log {event}"),
        });
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let mut runner = ScenarioRunner::new();
    for statement in text.lines().flat_map(|line| line.split('#').next().unwrap_or("").split(';')) {
        let words: Words = statement.split_whitespace().collect();
        if !words.is_empty() {
            runner.statement(words);
        }
    }
    // Whatever happens next, nothing that is open may stay so.
    runner.go_to(runner.now + Tenths(100_000));
    assert!(runner.open.is_empty(), "left open: {:?}", runner.open);
}
