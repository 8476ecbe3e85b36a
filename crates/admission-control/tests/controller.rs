//! The admission controller's decisions, each case a failure it is there for.

use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker, FilteredTurn, Mode};
use routing::*;
use rstest::rstest;
use std::collections::BTreeSet;

/// One broker, two nodes, quotas as given; clients may be sent a time to retry after.
fn broker_config(quotas: &[f64]) -> BrokerConfig {
    let mut config = BrokerConfig { brokers: 1, period: Tenths(50), ..BrokerConfig::default() };
    config.layout = ShardLayout { placement_groups: 2, replica_groups: 1, shards: 2, max_batch_size: 1 };
    config.limits = RequestLimits {
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
    config.classes.insert(ClassId(1), RequestClass { min_coverage: 0.4, ..class.clone() });
    config.classes.insert(ClassId(0), class);
    for (tenant, quota) in quotas.iter().enumerate() {
        config.tenants.insert(TenantId(tenant as u32), Tenant { quota_per_s: *quota });
    }
    config
}

/// Makes queries with ids of their own, as inputs of a turn.
#[derive(Default)]
struct QueryMaker {
    last_id: u64,
}

impl QueryMaker {
    /// A query of a tenant, sent by its client `client_attempt` times before.
    fn query(&mut self, tenant: u32, shard_requests: u32, client_attempt: u32) -> Vec<Input> {
        self.query_of_class(ClassId(0), tenant, shard_requests, client_attempt)
    }

    /// The same, of a class.
    fn query_of_class(
        &mut self,
        class: ClassId,
        tenant: u32,
        shard_requests: u32,
        client_attempt: u32,
    ) -> Vec<Input> {
        self.last_id += 1;
        let (id, group) = (QueryId(self.last_id), GroupId(self.last_id as u32));
        let time_left = Tenths(20_000);
        let query = NewQuery {
            id,
            group,
            class,
            tenant: TenantId(tenant),
            time_left,
            work: Tenths::ZERO,
            client_attempt,
            min_coverage_only: false,
        };
        let mut inputs = vec![Input::Query(query)];
        for index in 0..shard_requests {
            let shard_request = NewShardRequest {
                id: ShardRequestId(self.last_id * 100 + u64::from(index)),
                group,
                shard: ShardId(0),
                weight: 1.0,
            };
            inputs.push(Input::ShardRequest(shard_request));
        }
        inputs
    }
}

fn attempts_ended(outcome: AttemptOutcome, count: usize) -> Vec<Input> {
    let result = |index: usize| AttemptResult {
        shard_request: ShardRequestId(900_000 + index as u64),
        attempt: AttemptNumber(0),
        node: NodeId(1),
        outcome,
        duration: Tenths(100),
    };
    (0..count).map(|index| Input::AttemptEnded(result(index))).collect()
}

/// What a broker would send for admitted inputs: each shard request; of a query at its minimum coverage, the
/// first.
fn sends(admitted: &[Input]) -> Vec<Effect> {
    let (mut at_min_coverage, mut already_sent) = (BTreeSet::new(), BTreeSet::new());
    let mut send = |input: &Input| match input {
        Input::Query(query) if query.min_coverage_only => {
            at_min_coverage.insert(query.group);
            None
        }
        Input::ShardRequest(shard_request)
            if !at_min_coverage.contains(&shard_request.group)
                || already_sent.insert(shard_request.group) =>
        {
            Some(Effect::Send { shard_request: shard_request.id, node: NodeId(1), timeout: Tenths(10_000) })
        }
        _ => None,
    };
    admitted.iter().filter_map(&mut send).collect()
}

fn rejections(effects: &[Effect]) -> Vec<(QueryId, Tenths)> {
    let rejection = |effect: &Effect| match effect {
        Effect::Reject { query, retry_after } => Some((*query, *retry_after)),
        _ => None,
    };
    effects.iter().filter_map(rejection).collect()
}

fn query_ids(inputs: &[Input]) -> Vec<QueryId> {
    ids_and_tenants(inputs).into_iter().map(|(id, _)| id).collect()
}

fn ids_and_tenants(inputs: &[Input]) -> Vec<(QueryId, u32)> {
    let id_and_tenant = |input: &Input| match input {
        Input::Query(query) => Some((query.id, query.tenant.0)),
        _ => None,
    };
    inputs.iter().filter_map(id_and_tenant).collect()
}

/// Nodes that finish a number of shard requests a step, of those admitted the step before, and refuse the rest as
/// overloaded.
struct Nodes {
    served_per_step: usize,
    in_flight: Vec<Effect>,
}

impl Nodes {
    fn new(served_per_step: usize) -> Nodes {
        Nodes { served_per_step, in_flight: Vec::new() }
    }

    /// A step of half a second: the controller gets new inputs with what ended, and what it admits is sent.
    fn step(
        &mut self,
        admission: &mut AdmissionController,
        now: Tenths,
        mut inputs: Vec<Input>,
    ) -> FilteredTurn {
        let in_flight = std::mem::take(&mut self.in_flight).len();
        let succeeded = in_flight.min(self.served_per_step);
        let overloaded = in_flight.saturating_sub(self.served_per_step);
        inputs.extend(attempts_ended(AttemptOutcome::Succeeded, succeeded));
        inputs.extend(attempts_ended(AttemptOutcome::Overloaded, overloaded));
        let filtered = admission.filter_inputs(now, &inputs);
        self.in_flight = sends(&filtered.inputs);
        admission.record_effects(&self.in_flight);
        filtered
    }
}

/// Overloads the controller by refusals: the tenants request twice what the nodes serve, for ten seconds.
fn overload(
    admission: &mut AdmissionController,
    nodes: &mut Nodes,
    queries: &mut QueryMaker,
    tenants: &[u32],
) -> Tenths {
    for step in 0..20 {
        let shard_requests = (nodes.served_per_step * 2 / tenants.len()) as u32;
        let inputs: Vec<Input> =
            tenants.iter().flat_map(|tenant| queries.query(*tenant, shard_requests, 0)).collect();
        nodes.step(admission, Tenths(step * 5000), inputs);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    Tenths(100_000)
}

fn controller(config: AdmissionConfig) -> AdmissionController {
    AdmissionController::new(config, &broker_config(&[])).unwrap()
}

/// In normal mode the controller changes nothing: the broker behind it does what it does alone, to the
/// effect.
#[rstest]
fn normal_mode_changes_nothing() {
    let config = broker_config(&[]);
    let endpoint_list = EndpointList {
        kind: EndpointListKind::Snapshot,
        wall_clock: Tenths(0),
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
    let admission = AdmissionController::new(AdmissionConfig::default(), &config).unwrap();
    let mut admitted = AdmittedBroker::new(admission, Broker::start(config.clone(), 3, Tenths(0)));
    let mut alone = Broker::start(config, 3, Tenths(0));
    let mut queries = QueryMaker::default();
    let mut inputs = vec![Input::EndpointList(endpoint_list)];
    for at in 1..200 {
        inputs.extend(queries.query(at % 3, 2, at % 2));
        let (now, turn_inputs) = (Tenths(i64::from(at) * 100), std::mem::take(&mut inputs));
        let effects = admitted.turn(now, &turn_inputs);
        assert_eq!(effects, alone.turn(now, &turn_inputs), "at {now:?}");
        // What was sent has succeeded by the next turn.
        for effect in effects {
            if let Effect::Send { shard_request, node, .. } = effect {
                inputs.push(Input::AttemptEnded(AttemptResult {
                    shard_request,
                    attempt: AttemptNumber(0),
                    node,
                    outcome: AttemptOutcome::Succeeded,
                    duration: Tenths(90),
                }));
            }
        }
    }
    assert_eq!(admitted.admission.mode(), Mode::Normal);
}

/// Losses above the level make the mode overloaded; a rate of shard requests is admitted, and a log line says
/// so.
#[rstest]
fn losses_above_the_level_limit_the_rate() {
    let mut admission = controller(AdmissionConfig::default());
    let mut queries = QueryMaker::default();
    let mut effects = Vec::new();
    for step in 0..20 {
        let outcome = if step < 10 { AttemptOutcome::Succeeded } else { AttemptOutcome::Overloaded };
        let mut inputs = queries.query(0, 2, 0);
        inputs.extend(attempts_ended(outcome, 4));
        effects.extend(admission.filter_inputs(Tenths(step * 5000), &inputs).effects);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert!(admission.rate() > 0.0);
    assert!(effects.iter().any(|effect| {
        matches!(effect, Effect::Log(event @ LogEvent::AdmissionOverloaded { .. })
            if event.to_string().starts_with("admission overloaded: ")
                && event.to_string().ends_with(" shard requests a second admitted"))
    }));
}

/// While overloaded, retries past a share of first attempts and a few are rejected at once, with a time to
/// retry after, and never reach the broker; first attempts are still admitted.
#[rstest]
fn retries_past_their_budget_are_rejected_at_once() {
    let mut admission = controller(AdmissionConfig { min_retries: 2.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let inputs: Vec<Input> = (0..40).flat_map(|_| queries.query(0, 1, 1)).collect();
    let turn = nodes.step(&mut admission, now, inputs);
    let rejected = rejections(&turn.effects);
    assert!(!rejected.is_empty(), "{:?}", turn.effects);
    assert!(
        rejected
            .iter()
            .all(|(_, retry_after)| { *retry_after > Tenths::ZERO && *retry_after <= Tenths(20_000) })
    );
    let admitted_ids: Vec<QueryId> = query_ids(&turn.inputs);
    assert!(rejected.iter().all(|(id, _)| !admitted_ids.contains(id)));
    let shard_requests = turn.inputs.iter().filter(|input| matches!(input, Input::ShardRequest(_))).count();
    assert_eq!(shard_requests, admitted_ids.len(), "a rejected query's shard requests are rejected too");
    let turn = admission.filter_inputs(now, &queries.query(0, 1, 0));
    assert!(rejections(&turn.effects).is_empty() && query_ids(&turn.inputs).len() == 1);
}

/// Nodes that serve 40 shard requests a second; one tenant requests 80, another 8. The second is admitted
/// whole; the first is rejected for what is beyond its share, at once.
#[rstest]
fn the_largest_tenant_is_held_to_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let (mut large_rejected, mut large_admitted) = (0, 0);
    let (mut small_admitted, mut small_offered) = (0, 0);
    for step in 0..40 {
        now += Tenths(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if step < 20 {
            // What each requested before is still in the window.
            continue;
        }
        let admitted = ids_and_tenants(&turn.inputs);
        large_rejected += rejections(&turn.effects).len();
        large_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 0).count();
        small_admitted += admitted.iter().filter(|(_, tenant)| *tenant == 1).count();
        small_offered += 1;
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert_eq!(small_admitted, small_offered, "the small tenant is admitted, within its share");
    assert_eq!(small_offered, 20);
    assert!(
        large_rejected > 60 && large_admitted > 20,
        "of the large tenant: rejected {large_rejected}, admitted {large_admitted}"
    );
}

/// Where a class takes partial answers, what is beyond a share is served at its minimum coverage, not
/// rejected: the heaviest shard requests earn most of its priority weight for a few attempts.
#[rstest]
fn beyond_its_share_a_partial_query_is_admitted_at_min_coverage() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let (mut rejected, mut at_min_coverage) = (0, 0);
    for step in 0..40 {
        now += Tenths(5000);
        let mut inputs: Vec<Input> =
            (0..10).flat_map(|_| queries.query_of_class(ClassId(1), 0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if step >= 20 {
            let is_at_min_coverage =
                |input: &&Input| matches!(input, Input::Query(query) if query.min_coverage_only);
            rejected += rejections(&turn.effects).len();
            at_min_coverage += turn.inputs.iter().filter(is_at_min_coverage).count();
        }
    }
    assert!(
        rejected == 0 && at_min_coverage > 20,
        "rejected {rejected}, at the minimum coverage {at_min_coverage}"
    );
}

/// A tenant alone is never rejected for its share: its excess is the broker's to cut.
#[rstest]
fn a_lone_tenant_is_not_rejected_for_its_share() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    for _ in 0..20 {
        now += Tenths(5000);
        let inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        let turn = nodes.step(&mut admission, now, inputs);
        assert!(rejections(&turn.effects).is_empty(), "{:?}", turn.effects);
        assert_eq!(query_ids(&turn.inputs).len(), 10);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Once less is requested than the nodes serve, the rate is raised, and the mode is normal again.
#[rstest]
fn mode_is_normal_again_once_load_falls() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let mut effects = Vec::new();
    for _ in 0..200 {
        now += Tenths(5000);
        effects.extend(nodes.step(&mut admission, now, queries.query(0, 8, 0)).effects);
        if admission.mode() == Mode::Normal {
            break;
        }
    }
    assert_eq!(admission.mode(), Mode::Normal, "{:.1}", admission.rate());
    assert!(effects.contains(&Effect::Log(LogEvent::AdmissionNormal)));
    assert_eq!(LogEvent::AdmissionNormal.to_string(), "admission normal: all admitted again");
}

/// Where the configuration does not let clients be sent a time to retry after, a rejection has none.
#[rstest]
fn no_retry_after_where_the_configuration_forbids_it() {
    let mut config = broker_config(&[]);
    config.limits.retry_after = false;
    let mut admission = AdmissionController::new(
        AdmissionConfig { min_retries: 0.0, retry_ratio: 0.0, ..AdmissionConfig::default() },
        &config,
    )
    .unwrap();
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let effects = admission.filter_inputs(now, &queries.query(0, 1, 3)).effects;
    assert_eq!(rejections(&effects).first().map(|(_, retry_after)| *retry_after), Some(Tenths::ZERO));
}

/// Configured quotas weigh: of two tenants that both request more than their share, the one with four times the
/// quota gets about four times the shard requests.
#[rstest]
fn quotas_weigh_the_shares() {
    let mut admission =
        AdmissionController::new(AdmissionConfig::default(), &broker_config(&[4.0, 1.0])).unwrap();
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let mut admitted = [0_usize; 2];
    for _ in 0..40 {
        now += Tenths(5000);
        let inputs: Vec<Input> =
            (0..10).flat_map(|_| [queries.query(0, 2, 0), queries.query(1, 2, 0)]).flatten().collect();
        for (_, tenant) in ids_and_tenants(&nodes.step(&mut admission, now, inputs).inputs) {
            admitted[tenant as usize] += 1;
        }
    }
    let ratio = admitted[0] as f64 / admitted[1].max(1) as f64;
    assert!((2.5..6.0).contains(&ratio), "{admitted:?}");
}

/// Memory is bounded: past the most tenants, the rest share one.
#[rstest]
fn tenants_past_the_most_share_one() {
    let mut admission = controller(AdmissionConfig { max_tenants: 3, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let inputs: Vec<Input> = (0..50).flat_map(|tenant| queries.query(tenant, 1, 0)).collect();
    let turn = admission.filter_inputs(now, &inputs);
    assert_eq!(query_ids(&turn.inputs).len() + rejections(&turn.effects).len(), 50);
}

/// All values that can't be used are named at once.
#[rstest]
fn invalid_values_are_named_all_at_once() {
    let invalid = AdmissionConfig {
        overload_level: 1.5,
        decrease_factor: 0.0,
        max_tenants: 0,
        ..AdmissionConfig::default()
    };
    let keys: Vec<&str> = invalid.check().unwrap_err().iter().map(|value| value.key).collect();
    assert_eq!(keys, ["level", "decrease", "most_callers"]);
    assert!(AdmissionController::new(invalid, &BrokerConfig::default()).is_err());
}

/// An operator has quotas not enforced: a tenant that storms among others is not held to its share. Retries
/// still have their budget.
#[rstest]
fn without_enforced_quotas_only_retries_are_rejected() {
    let config = AdmissionConfig { enforce_quotas: false, ..AdmissionConfig::default() };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    for _ in 0..10 {
        now += Tenths(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 4, 0)).collect();
        inputs.extend(queries.query(1, 4, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        assert!(rejections(&turn.effects).is_empty(), "{:?}", turn.effects);
    }
    let inputs: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 1)).collect();
    assert!(!rejections(&nodes.step(&mut admission, now, inputs).effects).is_empty());
}

/// A tenant beyond its share sends a burst in one turn: what its bucket holds is admitted, and each admitted query
/// takes its tokens, so that the rest, and one more at the same time, is rejected.
#[rstest]
fn an_admitted_query_takes_its_tokens() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let inputs: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 0)).collect();
    let turn = nodes.step(&mut admission, now, inputs);
    let admitted = query_ids(&turn.inputs).len();
    assert!((1..40).contains(&admitted), "{admitted} of 100, where the nodes serve 40 a second");
    assert_eq!(rejections(&turn.effects).len(), 100 - admitted);
    let again = admission.filter_inputs(now, &queries.query(0, 1, 0));
    assert_eq!(rejections(&again.effects).len(), 1);
}

/// What was decided is counted by decision, for the broker's figures.
#[rstest]
fn decisions_are_counted() {
    let mut admission = controller(AdmissionConfig { min_retries: 0.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let before = admission.decision_counts();
    // The budget has a fifth of 20 first attempts a tenant.
    let retries: Vec<Input> = (0..40).flat_map(|_| queries.query(1, 0, 1)).collect();
    let retries_rejected = rejections(&nodes.step(&mut admission, now, retries).effects).len() as u64;
    let storm: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 1, 0)).collect();
    let storm_rejected = rejections(&nodes.step(&mut admission, now, storm).effects).len() as u64;
    let partial: Vec<Input> = (0..7).flat_map(|_| queries.query_of_class(ClassId(1), 0, 1, 0)).collect();
    assert!(rejections(&nodes.step(&mut admission, now, partial).effects).is_empty());
    let after = admission.decision_counts();
    assert!(retries_rejected > 0 && storm_rejected > 0);
    assert_eq!(after.rejected_by_retry_budget - before.rejected_by_retry_budget, retries_rejected);
    assert_eq!(after.rejected_by_quota - before.rejected_by_quota, storm_rejected);
    assert_eq!(after.admitted_at_min_coverage - before.admitted_at_min_coverage, 7);
    assert_eq!(after.admitted - before.admitted, 140 - retries_rejected - storm_rejected);
}

/// Rejected queries have cost the nodes nothing, and are not first attempts to retry after: if they counted,
/// a client that is rejected over and over would earn itself a budget.
#[rstest]
fn rejected_queries_earn_no_budget_for_retries() {
    let mut admission = controller(AdmissionConfig { min_retries: 0.0, ..AdmissionConfig::default() });
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let storm: Vec<Input> = (0..1000).flat_map(|_| queries.query(0, 1, 0)).collect();
    nodes.step(&mut admission, now, storm);
    let retries: Vec<Input> = (0..100).flat_map(|_| queries.query(0, 0, 1)).collect();
    let admitted = query_ids(&nodes.step(&mut admission, now, retries).inputs).len();
    assert!(admitted < 20, "{admitted} of 100 retries, for some 30 admitted first attempts");
}

/// A new configuration comes while overloaded: it holds from its own turn on.
#[rstest]
fn a_new_configuration_holds_at_once() {
    let mut config = broker_config(&[]);
    let admission_config =
        AdmissionConfig { min_retries: 0.0, retry_ratio: 0.0, ..AdmissionConfig::default() };
    let mut admission = AdmissionController::new(admission_config, &config).unwrap();
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let effects = admission.filter_inputs(now, &queries.query(0, 1, 3)).effects;
    assert_eq!(rejections(&effects)[0].1, Tenths(20_000), "half a window, up to the configured maximum");
    config.limits.retry_after = false;
    let mut inputs = vec![Input::Config(config.into())];
    inputs.extend(queries.query(0, 1, 3));
    let effects = admission.filter_inputs(now, &inputs).effects;
    assert_eq!(rejections(&effects)[0].1, Tenths::ZERO);
}

/// Losses in turns of a few milliseconds, as a broker's are: the mode is judged once a step, not once a turn,
/// and no turn may put the next step off.
#[rstest]
fn steps_are_taken_between_short_turns() {
    let mut admission = controller(AdmissionConfig::default());
    let mut queries = QueryMaker::default();
    let mut overloaded_at = None;
    for turn in 0..400 {
        let mut inputs = queries.query(0, 1, 0);
        inputs.extend(attempts_ended(AttemptOutcome::Overloaded, 2));
        admission.filter_inputs(Tenths(turn * 50), &inputs);
        if admission.mode() == Mode::Overloaded {
            overloaded_at = overloaded_at.or(Some(turn * 50));
        }
    }
    assert_eq!(overloaded_at, Some(5000), "at the first step");
}

/// A rate that grew with each turn would be back at the overload within milliseconds: it changes once a step,
/// however many turns there are in it.
#[rstest]
fn the_rate_changes_once_a_step() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    // What was lost leaves the fifth of the window in which losses are judged.
    for _ in 0..10 {
        now += Tenths(5000);
        nodes.step(&mut admission, now, queries.query(0, 20, 0));
    }
    let mut rates = vec![admission.rate()];
    for _ in 0..400 {
        now += Tenths(50);
        admission.filter_inputs(now, &queries.query(0, 1, 0));
        rates.push(admission.rate());
    }
    rates.dedup();
    assert!(rates.len() <= 5, "four steps, {} rates", rates.len());
}

/// A broker starts in the middle of an overload. What its first turn brings is not judged before a step has
/// passed: a rate that started at what the nodes served until then would be next to nothing.
#[rstest]
fn the_first_turn_takes_no_step() {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(Tenths(900_000), &attempts_ended(AttemptOutcome::Overloaded, 50));
    assert_eq!(admission.mode(), Mode::Normal);
    admission.filter_inputs(Tenths(905_000), &[Input::Woken]);
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Nodes that serve 40 shard requests a second, for two seconds, and are then overloaded: the rate when the
/// limit starts, and the time at which it does.
fn initial_rate(first_turn: Tenths) -> f64 {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(first_turn, &[Input::Woken]);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    for step in 0..20 {
        let shard_requests = if step < 4 { 20 } else { 60 };
        nodes.step(&mut admission, Tenths(step * 5000), queries.query(0, shard_requests, 0));
        if admission.mode() == Mode::Overloaded {
            return admission.rate();
        }
    }
    panic!("never overloaded");
}

/// The limit starts at what the nodes have served a second, counted over the time since the broker started.
#[rstest]
fn the_limit_starts_at_the_served_rate() {
    let rate = initial_rate(Tenths(0));
    assert!((30.0..50.0).contains(&rate), "{rate}");
}

/// The clock is set back while the broker runs. If the observed time went on from the old one, rates would be
/// counts divided by the shortest time, many times too high: the observation starts anew.
#[rstest]
fn a_clock_that_is_set_back_starts_the_observation_anew() {
    assert_eq!(initial_rate(Tenths(36_000_000)), initial_rate(Tenths(0)));
}

/// Overload, back to normal, and overload again a few seconds later. In the first one a tenant was let through
/// with a query far larger than its bucket, and owes tokens: it starts the second with a full bucket, as all do.
#[rstest]
fn buckets_are_full_when_a_limit_starts() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let is_admitted = |turn: &FilteredTurn| ids_and_tenants(&turn.inputs).iter().any(|(_, id)| *id == 0);
    // Its bucket fills up meanwhile; then it is admitted, and owes.
    let mut has_owed = false;
    for _ in 0..20 {
        now += Tenths(5000);
        let mut inputs = queries.query(0, 500, 0);
        inputs.extend(queries.query(1, 10, 0));
        has_owed |= is_admitted(&nodes.step(&mut admission, now, inputs));
    }
    assert!(has_owed && admission.mode() == Mode::Overloaded);
    while admission.mode() == Mode::Overloaded {
        now += Tenths(5000);
        let mut inputs = queries.query(0, 1, 0);
        inputs.extend(queries.query(1, 1, 0));
        nodes.step(&mut admission, now, inputs);
        assert!(now < Tenths(600_000), "back to normal while it still owes");
    }
    loop {
        now += Tenths(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 8, 0)).collect();
        inputs.extend(queries.query(1, 10, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if admission.mode() == Mode::Overloaded {
            assert!(is_admitted(&turn), "its bucket is full");
            return;
        }
    }
}

/// Retries of two tenants that the table has no room for: they share one budget.
#[rstest]
#[case(1, false)]
#[case(3, true)]
fn tenants_past_the_most_share_a_retry_budget(#[case] max_tenants: u32, #[case] is_admitted: bool) {
    let config = AdmissionConfig { max_tenants, min_retries: 2.0, retry_ratio: 0.0, ..Default::default() };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    let spent: Vec<Input> = (0..3).flat_map(|_| queries.query(5, 0, 1)).collect();
    assert_eq!(rejections(&admission.filter_inputs(now, &spent).effects).len(), 1);
    let turn = admission.filter_inputs(now, &queries.query(6, 0, 1));
    assert_eq!(rejections(&turn.effects).is_empty(), is_admitted);
}

/// Tenants that requested nothing for a window make room in the table: those that come after them have
/// a budget of their own each.
#[rstest]
fn idle_tenants_make_room_for_others() {
    let config = AdmissionConfig {
        max_tenants: 2,
        min_retries: 2.0,
        retry_ratio: 0.0,
        enforce_quotas: false,
        ..AdmissionConfig::default()
    };
    let mut admission = controller(config);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    for _ in 0..12 {
        now += Tenths(5000);
        let mut inputs = queries.query(5, 30, 0);
        inputs.extend(queries.query(6, 30, 0));
        nodes.step(&mut admission, now, inputs);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    let spent: Vec<Input> = (0..3).flat_map(|_| queries.query(5, 0, 1)).collect();
    assert_eq!(rejections(&admission.filter_inputs(now, &spent).effects).len(), 1);
    let turn = admission.filter_inputs(now, &queries.query(6, 0, 1));
    assert!(rejections(&turn.effects).is_empty(), "it has a budget of its own");
}
