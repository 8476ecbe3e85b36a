//! When the mode changes, and at which rate.

use crate::fixture::*;
use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker, FilteredTurn, Mode};
use routing::*;
use rstest::rstest;

/// In normal mode the controller changes nothing: the broker behind it does what it does alone, to the
/// effect.
#[rstest]
fn normal_mode_changes_nothing() {
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
    let mut alone = Broker::start(config, 3, Timestamp(0));
    let mut queries = QueryMaker::default();
    let mut inputs = vec![Input::EndpointList(endpoint_list)];
    for at in 1..200 {
        inputs.extend(queries.query(at % 3, 2, at % 2));
        let (now, turn_inputs) = (Timestamp(i64::from(at) * 100), std::mem::take(&mut inputs));
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
                    duration: TimeSpan(90),
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

/// Once less is requested than the nodes serve, the rate is raised, and the mode is normal again.
#[rstest]
fn mode_is_normal_again_once_load_falls() {
    let mut admission = controller(AdmissionConfig::default());
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
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
        admission.filter_inputs(Timestamp(turn * 50), &inputs);
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
    assert!(rates.len() <= 5, "four steps, {} rates", rates.len());
}

/// A broker starts in the middle of an overload. What its first turn brings is not judged before a step has
/// passed: a rate that started at what the nodes served until then would be next to nothing.
#[rstest]
fn the_first_turn_takes_no_step() {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(Timestamp(900_000), &attempts_ended(AttemptOutcome::Overloaded, 50));
    assert_eq!(admission.mode(), Mode::Normal);
    admission.filter_inputs(Timestamp(905_000), &[Input::Woken]);
    assert_eq!(admission.mode(), Mode::Overloaded);
}

/// Nodes that serve 40 shard requests a second, for two seconds, and are then overloaded: the rate when the
/// limit starts, and the time at which it does.
fn initial_rate(first_turn: Timestamp) -> f64 {
    let mut admission = controller(AdmissionConfig::default());
    admission.filter_inputs(first_turn, &[Input::Woken]);
    let (mut queries, mut nodes) = (QueryMaker::default(), Nodes::new(20));
    for step in 0..20 {
        let shard_requests = if step < 4 { 20 } else { 60 };
        nodes.step(&mut admission, Timestamp(step * 5000), queries.query(0, shard_requests, 0));
        if admission.mode() == Mode::Overloaded {
            return admission.rate();
        }
    }
    panic!("never overloaded");
}

/// The limit starts at what the nodes have served a second, counted over the time since the broker started.
#[rstest]
fn the_limit_starts_at_the_served_rate() {
    let rate = initial_rate(Timestamp(0));
    assert!((30.0..50.0).contains(&rate), "{rate}");
}

/// The clock is set back while the broker runs. If the observed time went on from the old one, rates would be
/// counts divided by the shortest time, many times too high: the observation starts anew.
#[rstest]
fn a_clock_that_is_set_back_starts_the_observation_anew() {
    assert_eq!(initial_rate(Timestamp(36_000_000)), initial_rate(Timestamp(0)));
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
        now += TimeSpan(5000);
        let mut inputs = queries.query(0, 500, 0);
        inputs.extend(queries.query(1, 10, 0));
        has_owed |= is_admitted(&nodes.step(&mut admission, now, inputs));
    }
    assert!(has_owed && admission.mode() == Mode::Overloaded);
    while admission.mode() == Mode::Overloaded {
        now += TimeSpan(5000);
        let mut inputs = queries.query(0, 1, 0);
        inputs.extend(queries.query(1, 1, 0));
        nodes.step(&mut admission, now, inputs);
        assert!(now < Timestamp(600_000), "back to normal while it still owes");
    }
    loop {
        now += TimeSpan(5000);
        let mut inputs: Vec<Input> = (0..10).flat_map(|_| queries.query(0, 8, 0)).collect();
        inputs.extend(queries.query(1, 10, 0));
        let turn = nodes.step(&mut admission, now, inputs);
        if admission.mode() == Mode::Overloaded {
            assert!(is_admitted(&turn), "its bucket is full");
            return;
        }
    }
}
