use super::{ScenarioRun, SocketRun};
use crate::run_results::RunResults;
use crate::scenario_summary::{MeanWithInterval, ScenarioSummary, recovery_seconds};
use crate::simulation::{RoutingPolicy, Simulation};
use crate::socket_comparison::MAX_SERVICE_DIFFERENCE;
use cluster_trace::plan::{PlanEvent, PlannedNodeEvent};
use fault_scenarios::{LIBRARY, Scenario, find_in_library};
use rayon::prelude::*;
use rstest::rstest;

fn library_scenario(name: &str) -> Scenario {
    Scenario::parse(name, find_in_library(name).unwrap().text).unwrap()
}

/// A day among 6 nodes and 3 brokers.
fn small_day(scenario: &Scenario, seed: u64, policy: RoutingPolicy) -> ScenarioRun<'_> {
    ScenarioRun { scenario, nodes: 6, brokers: 3, zones: 3, seed, policy }
}

/// A day among 12 nodes and 6 brokers.
fn medium_day(scenario: &Scenario, seed: u64, policy: RoutingPolicy) -> ScenarioRun<'_> {
    ScenarioRun { scenario, nodes: 12, brokers: 6, zones: 3, seed, policy }
}

/// The same scenario and seed, the same digest; another seed or another policy, another.
#[rstest]
fn the_same_day_each_time() {
    let scenario = library_scenario("zone-outage-at-peak-load");
    let digest = |seed, policy| small_day(&scenario, seed, policy).simulate().digest;
    let first = digest(1, RoutingPolicy::Product);
    assert_eq!(digest(1, RoutingPolicy::Product), first);
    assert_ne!(digest(2, RoutingPolicy::Product), first);
    assert_ne!(digest(1, RoutingPolicy::Design), first);
}

/// A scenario's name has no part in its day: under a former name the figures are the same, to the digest.
#[rstest]
fn a_former_name_gives_the_same_day() {
    let by_name = |name| {
        let scenario = library_scenario(name);
        let results = small_day(&scenario, 1, RoutingPolicy::Product).simulate();
        (results.digest.clone(), results.json())
    };
    assert_eq!(by_name("hall-lost-at-the-rush"), by_name("zone-outage-at-peak-load"));
}

/// Every scenario is played to its end: each query has one end, none is lost, and the rules are kept.
#[rstest]
fn keeps_the_rules_in_the_library() {
    LIBRARY.par_iter().for_each(|scenario| {
        let name = scenario.name;
        let results = small_day(&library_scenario(name), 1, RoutingPolicy::Product).simulate();
        assert!(results.violations.is_empty(), "{name}: {}", results.json());
        assert!(results.queries > 500, "{name}");
    });
}

/// Against a table of Student's factors: 12.706 at one degree of freedom, 4.303 at two.
#[rstest]
#[case(&[1.0], None)]
#[case(&[0.0, 2.0], Some(12.706))]
#[case(&[0.0, 1.0, 2.0], Some(4.303 / 3.0_f64.sqrt()))]
fn intervals_widen_with_few_figures(#[case] figures: &[f64], #[case] expected: Option<f64>) {
    let MeanWithInterval { mean, half_interval } = MeanWithInterval::of(figures);
    assert!((mean - 1.0).abs() < 1e-9 && half_interval.is_some() == expected.is_some());
    let is_close = |(half, expected): (f64, f64)| (half - expected).abs() < 0.001;
    assert!(half_interval.zip(expected).is_none_or(is_close), "{half_interval:?}");
}

/// A metastable overload: a short surge at a high load, then retries, impatient clients and cancelled work
/// that nodes finish all the same keep the overload going. It shows as low service long after the surge, with
/// nodes idle, if brokers remember the pressure of the surge for too long. Service must have recovered within
/// 8 s of the surge's end on every seed.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_metastable_overload_ends_soon(#[case] seed: u64) {
    let scenario = library_scenario("metastable-overload");
    let day = small_day(&scenario, seed, RoutingPolicy::Product);
    let results = day.simulate();
    let recovery = recovery_seconds(&results, day.faults_end());
    assert!(recovery.is_some_and(|seconds| seconds <= 8), "{recovery:?}: {}", results.json());
}

/// A noisy neighbor: one of four tenants sends six times as many queries for twenty seconds. Without admission
/// control all tenants share the pressure, and responses of the quiet ones are cut, too. Behind admission
/// control the quiet tenants must be served as if there were no surge.
#[rstest]
fn a_noisy_neighbor_leaves_the_other_tenants_complete() {
    let scenario = library_scenario("noisy-neighbor");
    let quiet_tenants = |policy| {
        let days: Vec<RunResults> =
            (1..=3).map(|seed| medium_day(&scenario, seed, policy).simulate()).collect();
        assert!(days.iter().all(|day| day.violations.is_empty()), "{policy:?}");
        ScenarioSummary::of(&days, 35).by_tenant[1..].to_vec()
    };
    let admitted = quiet_tenants(RoutingPolicy::AdmissionController);
    let alone = quiet_tenants(RoutingPolicy::Product);
    assert!(admitted.iter().all(|share| *share >= 0.975), "behind admission control: {admitted:?}");
    assert!(alone.iter().all(|share| *share < 0.975), "without admission control: {alone:?}");
}

/// The same metastable overload behind admission control, whose retry budget bounds the retries that keep it
/// going: recovery must be faster than without.
#[rstest]
fn a_retry_budget_ends_a_metastable_overload_sooner() {
    let scenario = library_scenario("metastable-overload");
    let recovery = |policy| -> usize {
        let days = (1..=3).map(|seed| medium_day(&scenario, seed, policy));
        days.map(|day| recovery_seconds(&day.simulate(), day.faults_end()).unwrap_or(60)).sum()
    };
    let (admitted, alone) = (recovery(RoutingPolicy::AdmissionController), recovery(RoutingPolicy::Product));
    assert!(
        admitted < alone,
        "seconds to recovery, over three seeds: {admitted} behind admission control, {alone} without"
    );
}

/// Gray failure: nodes work at a twentieth of their speed while the endpoint list has them as ready and they
/// answer what they can. No health check sees it; it shows as long latencies of some replicas. Routing by
/// response times must avoid them; random choice, for comparison, loses more than a tenth of the service.
#[rstest]
#[case("gray-failure-third-of-nodes")]
#[case("gray-failure-distant-zone")]
fn response_times_reveal_a_gray_failure(#[case] name: &str) {
    let scenario = library_scenario(name);
    let service = |policy| medium_day(&scenario, 1, policy).simulate().service.share();
    let (product, random) = (service(RoutingPolicy::Product), service(RoutingPolicy::Random));
    assert!(product >= 0.99 && random < 0.9, "product {product}, at random {random}");
}

/// A zone is lost at peak load and restarts without warm state, once in virtual time and once on loopback
/// sockets with real brokers, from one plan. If the two disagreed, figures of virtual time would say nothing
/// about the product. No rule is broken on either (no warming node collapses, no removed node gets attempts
/// past the grace period, as seen by the nodes), and the services differ by no more than the margin. The day
/// is shorter than the library's, for CI.
#[rstest]
fn a_zone_outage_is_the_same_on_sockets() {
    let text = "[scenario]\nseconds = 24\nload = 0.55\n[peak]\nwhat = storm\nat = 4\nfor = 14\nsize = 1.6\n\
        [north]\nwhat = lose\nat = 8\nfor = 6\nhall = 0\n";
    let scenario = Scenario::parse("short-zone-outage", text).unwrap();
    let day = small_day(&scenario, 1, RoutingPolicy::Product);
    let SocketRun { plan, replay, config } = day.to_socket_run().unwrap();
    assert!(
        plan.entries
            .iter()
            .any(|entry| matches!(entry.event, PlanEvent::Node { event: PlannedNodeEvent::Stop, .. }))
    );
    let virtual_day = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
    let sockets = crate::loopback::run(plan, &replay, config, |_, _| true).unwrap();
    for results in [&virtual_day, &sockets] {
        assert!(results.violations.is_empty(), "{}", results.json());
        assert!(results.queries > 500);
    }
    let difference = (sockets.service.share() - virtual_day.service.share()).abs();
    assert!(
        difference <= MAX_SERVICE_DIFFERENCE,
        "difference {difference}: {} and {}",
        virtual_day.json(),
        sockets.json()
    );
}

/// A scenario that sockets can't play is reported with its name and the fault.
#[rstest]
fn faults_that_sockets_cant_play_are_named() {
    let scenario = library_scenario("stale-endpoint-list");
    let day = small_day(&scenario, 1, RoutingPolicy::Product);
    let error = day.to_socket_run().err().unwrap().to_string();
    assert!(error.contains("stale-endpoint-list") && error.contains("EndpointListDelay"), "{error}");
}
