//! Tests of changes of mode, and of the admitted rate.

use crate::fixture::*;
use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker, FilteredTurn, Mode};
use routing::*;
use rstest::rstest;

/// In normal mode the effects are exactly those of a broker without admission control.
#[rstest]
fn normal_mode_has_no_effects_of_its_own() {
    let config = broker_config(&[]);
    let endpoint_list = EndpointList {
        kind: EndpointListKind::Snapshot,
        wall_clock: WallClockTime(0),
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
    let mut admitted = AdmittedBroker::new(admission, Broker::start(config.clone(), 3, Timestamp(0)));
    let mut unprotected = Broker::start(config, 3, Timestamp(0));
    let mut queries = QueryBuilder::default();
    let mut inputs = vec![Input::EndpointList(endpoint_list)];
    for at in 1..200 {
        inputs.extend(queries.query(at % 3, 2, at % 2));
        let (now, turn_inputs) = (Timestamp(i64::from(at) * 100), std::mem::take(&mut inputs));
        let effects = admitted.turn(now, &turn_inputs);
        assert_eq!(effects, unprotected.turn(now, &turn_inputs), "at {now:?}");
        // All sent attempts have succeeded by the next turn.
        for effect in effects {
            if let Effect::Send { shard_request, node, .. } = effect {
                inputs.push(Input::AttemptEnded(AttemptResult {
                    shard_request,
                    attempt: AttemptNumber(0),
                    node,
                    outcome: AttemptOutcome::Succeeded,
                    duration: TimeSpan(90),
                }));
            }
        }
    }
    assert_eq!(admitted.admission.mode(), Mode::Normal);
}

/// Losses above the threshold start overloaded mode: the rate of admitted shard requests is limited, and the change
/// is logged.
#[rstest]
fn losses_above_the_threshold_limit_the_rate() {
    let mut admission = controller(AdmissionConfig::default());
    let mut queries = QueryBuilder::default();
    let mut effects = Vec::new();
    for step in 0..20 {
        let outcome = if step < 10 { AttemptOutcome::Succeeded } else { AttemptOutcome::Overloaded };
        let mut inputs = queries.query(0, 2, 0);
        inputs.extend(attempts_ended(outcome, 4));
        effects.extend(admission.filter_inputs(Timestamp(step * 5000), &inputs).effects);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    assert!(admission.rate() > 0.0);
    assert!(effects.iter().any(|effect| {
        matches!(effect, Effect::Log(event @ LogEvent::AdmissionOverloaded { .. })
            if event.to_string().starts_with("admission overloaded: ")
                && event.to_string().ends_with(" shard requests a second admitted"))
    }));
}

/// Once the demand is below the capacity of the nodes, the rate increases until the mode is normal again.
#[rstest]
fn the_mode_returns_to_normal_once_load_falls() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let mut effects = Vec::new();
    for _ in 0..200 {
        now += TimeSpan(5000);
        effects.extend(nodes.step(&mut admission, now, queries.query(0, 8, 0)).effects);
        if admission.mode() == Mode::Normal {
            break;
        }
    }
    assert_eq!(admission.mode(), Mode::Normal, "{:.1}", admission.rate());
    assert!(effects.contains(&Effect::Log(LogEvent::AdmissionNormal)));
    assert_eq!(LogEvent::AdmissionNormal.to_string(), "admission normal: all admitted again");
}

/// Turns are a few milliseconds apart, as those of a broker are. The mode is evaluated once per step and not once per
/// turn, and turns must not postpone the next step.
#[rstest]
fn steps_are_executed_despite_short_turns() {
    let mut admission = controller(AdmissionConfig::default());
    let mut queries = QueryBuilder::default();
    let mut overloaded_at = None;
    for turn in 0..400 {
        let mut inputs = queries.query(0, 1, 0);
        inputs.extend(attempts_ended(AttemptOutcome::Overloaded, 2));
        admission.filter_inputs(Timestamp(turn * 50), &inputs);
        if admission.mode() == Mode::Overloaded {
            overloaded_at = overloaded_at.or(Some(turn * 50));
        }
    }
    assert_eq!(overloaded_at, Some(5000), "the mode changes in the first step");
}

/// A rate that increased in each turn would cause overload again within milliseconds, so the rate changes only once
/// per step, regardless of the number of turns in the step.
#[rstest]
fn the_rate_changes_once_per_step() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0]);
    // Waits until the losses have left the fifth of the window over which they are counted.
    for _ in 0..10 {
        now += TimeSpan(5000);
        nodes.step(&mut admission, now, queries.query(0, 20, 0));
    }
    let mut rates = vec![admission.rate()];
    for _ in 0..400 {
        now += TimeSpan(50);
        admission.filter_inputs(now, &queries.query(0, 1, 0));
        rates.push(admission.rate());
    }
    rates.dedup();
    assert!(
        rates.len() <= 5,
        "expected at most one rate per step in four steps, found {} rates",
        rates.len()
    );
}

/// A broker may start during an overload. Losses in its first turn are not evaluated until a step has passed, as the
/// rate would otherwise start at the number of shard requests served so far, which is close to zero.
#[rstest]
fn the_first_turn_does_not_execute_a_step() {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(Timestamp(900_000), &attempts_ended(AttemptOutcome::Overloaded, 50));
    assert_eq!(admission.mode(), Mode::Normal);
    admission.filter_inputs(Timestamp(905_000), &[Input::Woken]);
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Overloads nodes that serve 40 shard requests per second, after two seconds within their capacity. Returns the rate
/// at which the limit starts.
fn initial_rate(first_turn: Timestamp) -> f64 {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(first_turn, &[Input::Woken]);
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    for step in 0..20 {
        let shard_requests = if step < 4 { 20 } else { 60 };
        nodes.step(&mut admission, Timestamp(step * 5000), queries.query(0, shard_requests, 0));
        if admission.mode() == Mode::Overloaded {
            return admission.rate();
        }
    }
    panic!("the controller did not become overloaded");
}

/// The limit starts at the rate that the nodes have served, measured over the time since the broker started.
#[rstest]
fn the_limit_starts_at_the_served_rate() {
    let rate = initial_rate(Timestamp(0));
    assert!((30.0..50.0).contains(&rate), "{rate}");
}

/// If the clock is set back while the broker runs, the observation must restart. Otherwise counts would be divided by
/// the minimum observed time, and rates would be many times too high.
#[rstest]
fn a_clock_that_is_set_back_restarts_the_observation() {
    assert_eq!(initial_rate(Timestamp(36_000_000)), initial_rate(Timestamp(0)));
}

/// An overload is followed by another one a few seconds later. In the first, a tenant was admitted with a query far
/// larger than its bucket, so that its number of tokens is negative. Like all tenants, it must start the second
/// overload with a full bucket.
#[rstest]
fn buckets_are_full_when_the_limit_starts() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryBuilder::default(), Nodes::new(20));
    let mut now = overload(&mut admission, &mut nodes, &mut queries, &[0, 1]);
    let is_admitted = |turn: &FilteredTurn| ids_and_tenants(&turn.inputs).iter().any(|(_, id)| *id == 0);
    // The query of tenant 0 is admitted once its bucket is full, and the number of tokens is negative afterwards.
    let mut was_admitted = false;
    for _ in 0..20 {
        now += TimeSpan(5000);
        let mut inputs = queries.query(0, 500, 0);
        inputs.extend(queries.query(1, 10, 0));
        was_admitted |= is_admitted(&nodes.step(&mut admission, now, inputs));
    }
    assert!(was_admitted && admission.mode() == Mode::Overloaded);
    while admission.mode() == Mode::Overloaded {
        now += TimeSpan(5000);
        let mut inputs = queries.query(0, 1, 0);
        inputs.extend(queries.query(1, 1, 0));
        nodes.step(&mut admission, now, inputs);
        assert!(now < Timestamp(600_000), "the mode did not return to normal while the tokens are negative");
    }
    loop {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 8, 0)).collect();
        inputs.extend(queries.query(1, 10, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if admission.mode() == Mode::Overloaded {
            assert!(is_admitted(&turn), "the bucket of tenant 0 is not full");
            return;
        }
    }
}
