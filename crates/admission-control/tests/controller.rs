//! The admission controller's decisions, each case a failure it is there for.

use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker, Mode};
use routing::*;
use rstest::rstest;

/// One broker, two nodes, quotas as given, tenants may be told when to come back.
fn broker_config(quotas: &[f64]) -> BrokerConfig {
    let mut p = BrokerConfig { brokers: 1, period: Tenths(50), ..BrokerConfig::default() };
    p.layout = ShardLayout { placement_groups: 2, replica_groups: 1, shards: 2, max_batch_size: 1 };
    p.limits = RequestLimits {
        max_open: 1000,
        max_attempts: 3,
        retry_after: true,
        max_retry_after: Tenths(20_000),
        ..RequestLimits::default()
    };
    let class = RequestClass {
        latency_objective: Tenths(10_000),
        deadline: Tenths(20_000),
        priority_weight: 1.0,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        ..RequestClass::default()
    };
    p.classes.insert(ClassId(1), RequestClass { min_coverage: 0.4, ..class.clone() });
    p.classes.insert(ClassId(0), class);
    for (no, quota) in quotas.iter().enumerate() {
        p.tenants.insert(TenantId(no as u32), Tenant { quota_per_s: *quota });
    }
    p
}

/// Hands out ids, and what a turn brings.
#[derive(Default)]
struct Asking {
    next: u64,
}

impl Asking {
    /// A query of a tenant with so many shard requests, asked for the `client_attempt`th time.
    fn ask(&mut self, tenant: u32, shard_requests: u32, client_attempt: u32) -> Vec<Input> {
        self.ask_of(ClassId(0), tenant, shard_requests, client_attempt)
    }

    /// The same, of a class.
    fn ask_of(
        &mut self,
        class: ClassId,
        tenant: u32,
        shard_requests: u32,
        client_attempt: u32,
    ) -> Vec<Input> {
        self.next += 1;
        let (id, group) = (QueryId(self.next), GroupId(self.next as u32));
        let time_left = Tenths(20_000);
        let new = NewQuery {
            id,
            group,
            class,
            tenant: TenantId(tenant),
            time_left,
            work: Tenths::ZERO,
            client_attempt,
            min_coverage_only: false,
        };
        let mut heard = vec![Input::Query(new)];
        for no in 0..shard_requests {
            let shard_request = NewShardRequest {
                id: ShardRequestId(self.next * 100 + u64::from(no)),
                group,
                shard: ShardId(0),
                weight: 1.0,
            };
            heard.push(Input::ShardRequest(shard_request));
        }
        heard
    }
}

fn ended(end: AttemptOutcome, count: usize) -> Vec<Input> {
    let outcome = |no: usize| AttemptResult {
        shard_request: ShardRequestId(900_000 + no as u64),
        attempt: AttemptNumber(0),
        node: NodeId(1),
        outcome: end,
        duration: Tenths(100),
    };
    (0..count).map(|no| Input::AttemptEnded(outcome(no))).collect()
}

/// The module attempts each shard request that the admission controller passed; of one at its minimum coverage, the first.
fn pushed(passed: &[Input]) -> Vec<Effect> {
    let (mut least, mut first) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    let mut attempt = |input: &Input| match input {
        Input::Query(new) if new.min_coverage_only => {
            least.insert(new.group);
            None
        }
        Input::ShardRequest(shard_request)
            if !least.contains(&shard_request.group) || first.insert(shard_request.group) =>
        {
            Some(Effect::Send { shard_request: shard_request.id, node: NodeId(1), timeout: Tenths(10_000) })
        }
        _ => None,
    };
    passed.iter().filter_map(&mut attempt).collect()
}

fn declines(effects: &[Effect]) -> Vec<(QueryId, Tenths)> {
    let declined = |effect: &Effect| match effect {
        Effect::Reject { query, retry_after } => Some((*query, *retry_after)),
        _ => None,
    };
    effects.iter().filter_map(declined).collect()
}

fn queries(passed: &[Input]) -> Vec<QueryId> {
    by_caller(passed).into_iter().map(|(id, _)| id).collect()
}

fn by_caller(passed: &[Input]) -> Vec<(QueryId, u32)> {
    let taken = |input: &Input| match input {
        Input::Query(new) => Some((new.id, new.tenant.0)),
        _ => None,
    };
    passed.iter().filter_map(taken).collect()
}

/// Hosts that finish so many shard requests a step, of those passed the step before, and refuse the rest as full.
struct Hosts {
    each_step: usize,
    out: Vec<Effect>,
}

impl Hosts {
    /// A step of half a second: what ended comes in with what is asked, the admission controller passes, the module attempts.
    fn step(
        &mut self,
        admission: &mut AdmissionController,
        now: Tenths,
        mut heard: Vec<Input>,
    ) -> (Vec<Input>, Vec<Effect>) {
        let done = std::mem::take(&mut self.out).len();
        heard.extend(ended(AttemptOutcome::Succeeded, done.min(self.each_step)));
        heard.extend(ended(AttemptOutcome::Overloaded, done.saturating_sub(self.each_step)));
        let (passed, effects) = admission.pass(now, &heard);
        self.out = pushed(&passed);
        admission.saw(&self.out);
        (passed, effects)
    }
}

/// An admission controller that its hosts' refusals have crowded: the tenants ask twice what the hosts do, for ten seconds.
fn crowded(
    admission: &mut AdmissionController,
    hosts: &mut Hosts,
    asking: &mut Asking,
    tenants: &[u32],
) -> Tenths {
    for at in 0..20 {
        let shard_requests = (hosts.each_step * 2 / tenants.len()) as u32;
        let heard: Vec<Input> =
            tenants.iter().flat_map(|tenant| asking.ask(*tenant, shard_requests, 0)).collect();
        hosts.step(admission, Tenths(at * 5000), heard);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    Tenths(100_000)
}

/// On a calm day the admission controller changes nothing: the module behind it does what it does alone, to the effect.
#[rstest]
fn a_calm_door_changes_nothing() {
    let p = broker_config(&[]);
    let roll = EndpointList {
        kind: EndpointListKind::Snapshot,
        entries: (0..2)
            .map(|node| Endpoint {
                node: NodeId(node),
                zone: ZoneId(0),
                placement_group: PlacementGroupId(node as u32),
                state: EndpointState::Ready,
                started_at: None,
            })
            .collect(),
    };
    let admission = AdmissionController::new(AdmissionConfig::default(), &p).unwrap();
    let mut admitted = AdmittedBroker::new(admission, Broker::start(p.clone(), 3, Tenths(0)));
    let mut alone = Broker::start(p, 3, Tenths(0));
    let mut asking = Asking::default();
    let mut heard = vec![Input::EndpointList(roll)];
    for at in 1..200 {
        heard.extend(asking.ask(at % 3, 2, at % 2));
        let (now, both) = (Tenths(i64::from(at) * 100), std::mem::take(&mut heard));
        let effects = admitted.turn(now, &both);
        assert_eq!(effects, alone.turn(now, &both), "at {now:?}");
        // What was pushed is finished by the next turn.
        for effect in effects {
            if let Effect::Send { shard_request, node, .. } = effect {
                let end = AttemptOutcome::Succeeded;
                heard.push(Input::AttemptEnded(AttemptResult {
                    shard_request,
                    attempt: AttemptNumber(0),
                    node,
                    outcome: end,
                    duration: Tenths(90),
                }));
            }
        }
    }
    assert_eq!(admitted.admission.mode(), Mode::Normal);
}

/// Harm past the level crowds the admission controller; a rate of shard requests is let in, and it says so.
#[rstest]
fn harm_crowds_the_door() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), &broker_config(&[])).unwrap();
    let mut asking = Asking::default();
    let mut said = Vec::new();
    for at in 0..20 {
        let mut heard = asking.ask(0, 2, 0);
        heard.extend(ended(if at < 10 { AttemptOutcome::Succeeded } else { AttemptOutcome::Overloaded }, 4));
        said.extend(admission.pass(Tenths(at * 5000), &heard).1);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert!(admission.rate() > 0.0);
    assert!(said.iter().any(|effect| matches!(effect, Effect::Say(word) if word.contains("crowded"))));
}

/// While crowded, retries past a share of first tries and a few are rejected at once, told when to come
/// back, and never reach the module; first tries still pass.
#[rstest]
fn retries_past_their_budget_are_declined_at_once() {
    let mut admission = AdmissionController::new(
        AdmissionConfig { retry_floor: 2.0, ..AdmissionConfig::default() },
        &broker_config(&[]),
    )
    .unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let now = crowded(&mut admission, &mut hosts, &mut asking, &[0]);
    let heard: Vec<Input> = (0..40).flat_map(|_| asking.ask(0, 1, 1)).collect();
    let (passed, effects) = hosts.step(&mut admission, now, heard);
    let declined = declines(&effects);
    assert!(!declined.is_empty(), "{effects:?}");
    assert!(declined.iter().all(|(_, wait)| *wait > Tenths::ZERO && *wait <= Tenths(20_000)));
    let passed_ids: Vec<QueryId> = queries(&passed);
    assert!(declined.iter().all(|(id, _)| !passed_ids.contains(id)));
    let shard_requests = passed.iter().filter(|input| matches!(input, Input::ShardRequest(_))).count();
    assert_eq!(shard_requests, passed_ids.len(), "the declined ones' parts stay away from the module too");
    let (passed, effects) = admission.pass(now, &asking.ask(0, 1, 0));
    assert!(declines(&effects).is_empty() && queries(&passed).len() == 1);
}

/// Hosts that do 40 shard requests a second; one tenant asks for 80, another for 8. The second passes, all of it;
/// the first is rejected for what is beyond its share, at once.
#[rstest]
fn who_asks_most_is_held_to_its_share() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), &broker_config(&[])).unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let mut now = crowded(&mut admission, &mut hosts, &mut asking, &[0, 1]);
    let (mut storm, mut quiet) = ((0, 0), (0, 0));
    for step in 0..40 {
        now += Tenths(5000);
        let mut heard: Vec<Input> = (0..10).flat_map(|_| asking.ask(0, 4, 0)).collect();
        heard.extend(asking.ask(1, 4, 0));
        let (passed, effects) = hosts.step(&mut admission, now, heard);
        if step < 20 {
            // What each asked before is still in the window.
            continue;
        }
        let passed = by_caller(&passed);
        storm.0 += declines(&effects).len();
        storm.1 += passed.iter().filter(|(_, tenant)| *tenant == 0).count();
        quiet.0 += passed.iter().filter(|(_, tenant)| *tenant == 1).count();
        quiet.1 += 1;
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert_eq!(quiet.0, quiet.1, "the quiet caller passes, within its share");
    assert_eq!(quiet.1, 20);
    assert!(storm.0 > 60 && storm.1 > 20, "declined and passed of the first: {storm:?}");
}

/// Where a class takes partial answers, what is beyond a share is served at its minimum coverage, not
/// rejected: the heaviest shard requests earn most of its priority weight for a few attempts.
#[rstest]
fn beyond_a_share_a_partial_one_has_its_least_share() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), &broker_config(&[])).unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let mut now = crowded(&mut admission, &mut hosts, &mut asking, &[0, 1]);
    let (mut declined, mut least) = (0, 0);
    for step in 0..40 {
        now += Tenths(5000);
        let mut heard: Vec<Input> = (0..10).flat_map(|_| asking.ask_of(ClassId(1), 0, 4, 0)).collect();
        heard.extend(asking.ask(1, 4, 0));
        let (passed, effects) = hosts.step(&mut admission, now, heard);
        if step >= 20 {
            declined += declines(&effects).len();
            least +=
                passed.iter().filter(|i| matches!(i, Input::Query(new) if new.min_coverage_only)).count();
        }
    }
    assert!(declined == 0 && least > 20, "declined {declined}, at the least share {least}");
}

/// A tenant alone is never rejected for its share: its excess is the module's to cut.
#[rstest]
fn a_lone_caller_is_not_declined_for_its_share() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), &broker_config(&[])).unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let mut now = crowded(&mut admission, &mut hosts, &mut asking, &[0]);
    for _ in 0..20 {
        now += Tenths(5000);
        let heard: Vec<Input> = (0..10).flat_map(|_| asking.ask(0, 4, 0)).collect();
        let (passed, effects) = hosts.step(&mut admission, now, heard);
        assert!(declines(&effects).is_empty(), "{effects:?}");
        assert_eq!(queries(&passed).len(), 10);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Once less is asked than the hosts do, the rate comes up, and the admission controller opens.
#[rstest]
fn calm_opens_the_door_again() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), &broker_config(&[])).unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let mut now = crowded(&mut admission, &mut hosts, &mut asking, &[0, 1]);
    let mut said = Vec::new();
    for _ in 0..200 {
        now += Tenths(5000);
        said.extend(hosts.step(&mut admission, now, asking.ask(0, 8, 0)).1);
        if admission.mode() == Mode::Normal {
            break;
        }
    }
    assert_eq!(admission.mode(), Mode::Normal, "{:.1}", admission.rate());
    assert!(said.iter().any(|effect| matches!(effect, Effect::Say(word) if word.contains("open"))));
}

/// Where the configuration does not let tenants be told when to come back, a rejection says nothing of it.
#[rstest]
fn no_time_to_come_back_where_none_may_be_told() {
    let mut p = broker_config(&[]);
    p.limits.retry_after = false;
    let mut admission = AdmissionController::new(
        AdmissionConfig { retry_floor: 0.0, retry_share: 0.0, ..AdmissionConfig::default() },
        &p,
    )
    .unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let now = crowded(&mut admission, &mut hosts, &mut asking, &[0]);
    let (_, effects) = admission.pass(now, &asking.ask(0, 1, 3));
    assert_eq!(declines(&effects).first().map(|(_, wait)| *wait), Some(Tenths::ZERO));
}

/// Stated quotas weigh: of two tenants that both ask for more than there is, the one with four times the
/// quota gets about four times the shard requests.
#[rstest]
fn quotas_weigh_the_shares() {
    let mut admission =
        AdmissionController::new(AdmissionConfig::default(), &broker_config(&[4.0, 1.0])).unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let mut now = crowded(&mut admission, &mut hosts, &mut asking, &[0, 1]);
    let mut passed = [0_usize; 2];
    for _ in 0..40 {
        now += Tenths(5000);
        let heard: Vec<Input> =
            (0..10).flat_map(|_| [asking.ask(0, 2, 0), asking.ask(1, 2, 0)]).flatten().collect();
        for (_, tenant) in by_caller(&hosts.step(&mut admission, now, heard).0) {
            passed[tenant as usize] += 1;
        }
    }
    let ratio = passed[0] as f64 / passed[1].max(1) as f64;
    assert!((2.5..6.0).contains(&ratio), "{passed:?}");
}

/// Memory is bounded: past the most tenants, the rest share one.
#[rstest]
fn callers_past_the_most_share_one() {
    let mut admission = AdmissionController::new(
        AdmissionConfig { most_callers: 3, ..AdmissionConfig::default() },
        &broker_config(&[]),
    )
    .unwrap();
    let (mut asking, mut hosts) = (Asking::default(), Hosts { each_step: 20, out: Vec::new() });
    let now = crowded(&mut admission, &mut hosts, &mut asking, &[0]);
    let heard: Vec<Input> = (0..50).flat_map(|tenant| asking.ask(tenant, 1, 0)).collect();
    let (passed, effects) = admission.pass(now, &heard);
    assert_eq!(queries(&passed).len() + declines(&effects).len(), 50);
}

/// Every figure that can't be used is named at once.
#[rstest]
fn an_allowance_that_cant_be_used_is_named_whole() {
    let wrong = AdmissionConfig { level: 1.5, decrease: 0.0, most_callers: 0, ..AdmissionConfig::default() };
    let keys: Vec<&str> = wrong.check().unwrap_err().iter().map(|wrong| wrong.key).collect();
    assert_eq!(keys, ["level", "decrease", "most_callers"]);
    assert!(AdmissionController::new(wrong, &BrokerConfig::default()).is_err());
}
