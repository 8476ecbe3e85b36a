//! Tests of the lifecycle of versions as decided by the controller: single cases and random sequences.

use config_rollout::{
    Digest, Effect, Input, LogEvent, Nonce, Offer, PersistedState, RolloutController, RolloutPolicy,
    RolloutState, Sample, StreamId, VersionId,
};
use proptest::prelude::*;
use routing::Timestamp;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

fn version(number: u64, contents: &str) -> VersionId {
    VersionId { number, digest: Digest::of(contents.as_bytes()) }
}

/// A controller together with the state of a program that carries out its effects.
struct Simulation {
    controller: RolloutController,
    now: i64,
    stream: StreamId,
    is_connecting: bool,
    is_open: bool,
    nonce: u64,
    /// The version under which queries are accepted.
    applied: VersionId,
    applications: Vec<VersionId>,
    answers: BTreeMap<(StreamId, Nonce), usize>,
    rejections: Vec<String>,
    stored_contents: VersionId,
    stored: Option<PersistedState>,
    counts: Sample,
    log: Vec<LogEvent>,
}

impl Simulation {
    fn new(services: usize) -> Simulation {
        Simulation::with(services, PersistedState::of(version(0, "own")))
    }

    /// Creates a broker that was restarted with this persisted state.
    fn with(services: usize, persisted: PersistedState) -> Simulation {
        let own = persisted.confirmed;
        let mut simulation = Simulation {
            controller: RolloutController::new(
                RolloutPolicy::default(),
                services,
                persisted,
                1,
                Timestamp(0),
            ),
            now: 0,
            stream: StreamId(0),
            is_connecting: false,
            is_open: false,
            nonce: 0,
            applied: own,
            applications: Vec::new(),
            answers: BTreeMap::new(),
            rejections: Vec::new(),
            stored_contents: own,
            stored: None,
            counts: Sample { ready_nodes: 10, ..Sample::default() },
            log: Vec::new(),
        };
        simulation.handle(Input::Start);
        simulation
    }

    /// Creates a broker whose first stream is open.
    fn connected(services: usize) -> Simulation {
        let mut simulation = Simulation::new(services);
        simulation.open();
        simulation
    }

    fn open(&mut self) {
        while !self.is_connecting {
            self.now += 10_000;
            self.handle(Input::TimerExpired);
        }
        self.handle(Input::StreamOpened(self.stream));
    }

    fn end_stream(&mut self, reason: &str) {
        (self.is_connecting, self.is_open) = (false, false);
        self.handle(Input::StreamEnded { stream: self.stream, reason: reason.to_owned() });
    }

    fn handle(&mut self, input: Input) {
        for effect in self.controller.handle(Timestamp(self.now), input) {
            self.carry_out(effect);
        }
        assert_eq!(
            self.controller.report().running,
            self.applied,
            "the report differs from the applied version"
        );
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { stream, .. } => {
                (self.stream, self.is_connecting, self.is_open) = (stream, true, false);
            }
            Effect::Disconnect { .. } => (self.is_connecting, self.is_open) = (false, false),
            Effect::Subscribe { stream, running } => {
                assert_eq!((stream, running), (self.stream, self.applied));
                (self.is_connecting, self.is_open) = (false, true);
            }
            Effect::Respond { stream, nonce, running, rejection } => {
                assert_eq!(
                    (stream, running),
                    (self.stream, self.applied),
                    "the response names a version that is not applied"
                );
                *self.answers.entry((stream, nonce)).or_default() += 1;
                self.rejections.extend(rejection.map(|reason| reason.to_string()));
            }
            Effect::ReportWithdrawal { running, reason, .. } => {
                assert_eq!(running, self.applied);
                self.rejections.push(reason.to_string());
            }
            Effect::Apply(version) => self.apply(version),
            Effect::Renumber(version) => {
                assert_eq!(self.applied.digest, version.digest);
                self.applied = version;
            }
            Effect::RollBack(version) => {
                assert_eq!(version, self.stored_contents, "rollback to contents that are not stored");
                self.run(version);
            }
            Effect::StoreContents(version) => {
                assert_eq!(version, self.applied);
                self.stored_contents = version;
            }
            Effect::StoreState => self.stored = Some(self.controller.persisted_state()),
            Effect::WakeAt(at) => assert!(at.0 >= self.now),
            Effect::Log(event) => self.log.push(event),
        }
    }

    fn apply(&mut self, version: VersionId) {
        assert_ne!(self.applied, version, "the running version was applied again");
        let attempt = self.stored.as_ref().and_then(|state| state.probation_attempt);
        assert_eq!(
            attempt.map(|attempt| attempt.version),
            Some(version),
            "the attempt was not stored before the version was applied"
        );
        self.run(version);
        self.applications.push(version);
    }

    fn run(&mut self, version: VersionId) {
        self.applied = version;
        (self.counts.ended, self.counts.failed) = (0, 0);
    }

    fn offer(&mut self, offer: Offer) {
        self.nonce += 1;
        let nonce = Nonce(self.nonce.to_string());
        self.handle(Input::ResponseReceived { stream: self.stream, nonce, offer });
    }

    fn offer_version(&mut self, number: u64, contents: &str) {
        self.offer(Offer::Valid(version(number, contents)));
    }

    fn drop_stream(&mut self) {
        self.end_stream("dropped");
        self.open();
    }

    /// Serves 20 queries per second for `seconds` seconds, of which `failed` per second fail.
    fn serve_queries(&mut self, seconds: i64, failed: u64) {
        for _ in 0..seconds {
            self.now += 10_000;
            (self.counts.ended, self.counts.failed) = (self.counts.ended + 20, self.counts.failed + failed);
            self.handle(Input::OutcomesCounted(self.counts));
        }
    }

    fn last_rejection(&self) -> &str {
        self.rejections.last().map_or("", |rejection| rejection)
    }
}

#[rstest]
fn applies_and_acknowledges_a_newer_version() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "a");
    assert_eq!(
        (simulation.applied, simulation.controller.report().state),
        (version(1, "a"), RolloutState::OnProbation)
    );
    simulation.serve_queries(61, 0);
    assert_eq!(
        (simulation.stored_contents, simulation.controller.report().state),
        (version(1, "a"), RolloutState::Settled)
    );
    assert!(simulation.rejections.is_empty());
}

/// A service that lost its state or forked offers an older number, or other contents under a known number. Brokers
/// that followed it would run different configurations under one number. Each such offer must be rejected with its
/// reason, and the running version must not change.
#[rstest]
#[case(3, "older", "version 3 is older than version 5, accepted before")]
#[case(4, "known", "version 4 is older than version 5, accepted before")]
#[case(4, "fork", "a fork: version 4 is")]
#[case(5, "fork", "a fork: version 5 is")]
fn rejects_versions_out_of_order(#[case] number: u64, #[case] contents: &str, #[case] expected: &str) {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(4, "known");
    simulation.offer_version(5, "five");
    simulation.offer_version(number, contents);
    assert!(simulation.last_rejection().starts_with(expected), "{}", simulation.last_rejection());
    assert_eq!((simulation.applied, simulation.applications.len()), (version(5, "five"), 2));
}

/// The stream is dropped after a version was applied and before the service received the acknowledgement. The service
/// sends the version again, which must be acknowledged but not applied a second time.
#[rstest]
fn applies_once_although_the_acknowledgement_was_lost() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(7, "a");
    simulation.drop_stream();
    simulation.offer_version(7, "a");
    assert_eq!((simulation.applications.len(), simulation.rejections.len()), (1, 0));
}

/// A response that is repeated under one nonce must be answered once.
#[rstest]
fn answers_each_nonce_once() {
    let mut simulation = Simulation::connected(1);
    let response = Input::ResponseReceived {
        stream: simulation.stream,
        nonce: Nonce("n".to_owned()),
        offer: Offer::Valid(version(1, "a")),
    };
    simulation.handle(response.clone());
    simulation.handle(response.clone());
    assert!(simulation.answers.values().all(|answers| *answers == 1));
    simulation.drop_stream();
    // A response that arrives on the old stream is not answered.
    let before = simulation.answers.len();
    simulation.handle(response);
    assert_eq!(simulation.answers.len(), before);
}

/// The rejection of a version and the offer of the next version cross on the wire. Each response must have its own
/// answer, and the newer version must be applied.
#[rstest]
fn a_rejection_may_cross_the_next_offer() {
    let mut simulation = Simulation::connected(1);
    simulation.offer(Offer::Invalid { number: Some(1), reason: "minimum exceeds total".to_owned() });
    simulation.offer_version(2, "b");
    assert_eq!((simulation.answers.len(), simulation.last_rejection()), (2, "minimum exceeds total"));
    assert_eq!(simulation.applied, version(2, "b"));
    // The number of the invalid version was never accepted. Corrected contents under it are therefore not a fork, but
    // older.
    simulation.offer_version(1, "fixed");
    assert!(simulation.last_rejection().starts_with("version 1 is older"));
}

/// Queries fail within seconds after a version was applied. The broker must return to the last confirmed version, and
/// must not apply the failed contents again under any number, so that it does not alternate.
#[rstest]
fn withdraws_a_failed_version_and_does_not_apply_it_again() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(121, 0);
    simulation.offer_version(2, "bad");
    simulation.serve_queries(3, 20);
    assert_eq!((simulation.applied, simulation.stored_contents), (version(1, "good"), version(1, "good")));
    assert!(simulation.last_rejection().contains(" queries failed in "), "{}", simulation.last_rejection());
    for (number, expected) in [(2, "these contents were withdrawn as version 2"), (3, "these contents were")]
    {
        simulation.offer_version(number, "bad");
        assert!(simulation.last_rejection().starts_with(expected), "{}", simulation.last_rejection());
    }
    // An operator returns to earlier contents by publishing them under a higher number.
    simulation.offer_version(4, "good");
    assert_eq!(
        (simulation.applied, simulation.controller.report().state),
        (version(4, "good"), RolloutState::Settled)
    );
    simulation.offer_version(5, "better");
    simulation.serve_queries(61, 0);
    assert_eq!(simulation.stored_contents, version(5, "better"));
}

/// Two versions are offered in quick succession, and queries fail under the second. The first was never confirmed, so
/// the broker must return to the version confirmed before both.
#[rstest]
fn rolls_back_past_a_version_never_confirmed() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "confirmed");
    simulation.serve_queries(121, 0);
    simulation.offer_version(2, "on probation");
    simulation.serve_queries(5, 0);
    simulation.offer_version(3, "bad");
    simulation.serve_queries(5, 20);
    assert_eq!(simulation.applied, version(1, "confirmed"));
}

/// The service is unreachable for an hour and then returns with a lower number or another history. The running
/// version must not change, the outage must be logged once, and a higher number must be applied again.
#[rstest]
#[case(2, "b")]
#[case(3, "other")]
fn keeps_its_version_while_the_service_is_unreachable(#[case] number: u64, #[case] contents: &str) {
    let mut simulation = Simulation::connected(1);
    for (number, contents) in [(2, "b"), (3, "c")] {
        simulation.offer_version(number, contents);
    }
    simulation.serve_queries(61, 0);
    simulation.end_stream("unreachable");
    for _ in 0..3600 {
        simulation.now += 10_000;
        simulation.handle(Input::TimerExpired);
        if simulation.is_connecting {
            simulation.end_stream("refused");
        }
    }
    assert_eq!(simulation.applied, version(3, "c"));
    let logged =
        simulation.log.iter().filter(|event| matches!(event, LogEvent::ServiceUnreachable { .. })).count();
    assert_eq!(logged, 1, "the outage must be logged once");
    simulation.open();
    simulation.offer_version(number, contents);
    assert_eq!((simulation.applied, simulation.rejections.len()), (version(3, "c"), 1));
    simulation.offer_version(4, "d");
    assert_eq!(simulation.applied, version(4, "d"));
}

/// Two services disagree on the contents of a version. The broker must reject the conflicting offer and connect to
/// the other service.
#[rstest]
fn changes_service_on_a_fork() {
    let mut simulation = Simulation::connected(2);
    let first = simulation.controller.report().service;
    simulation.offer_version(1, "a");
    simulation.offer_version(1, "b");
    assert!(!simulation.is_open);
    simulation.open();
    assert_ne!(simulation.controller.report().service, first);
    assert_eq!(simulation.applied, version(1, "a"));
}

/// A broker is restarted after it withdrew a version. Without the persisted state it would apply the same contents or
/// an older number; both must be rejected.
#[rstest]
fn persists_withdrawals_and_the_highest_number() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(121, 0);
    simulation.offer_version(5, "bad");
    simulation.serve_queries(3, 20);
    let mut simulation = Simulation::with(1, simulation.stored.unwrap());
    simulation.open();
    assert_eq!(simulation.applied, version(1, "good"));
    simulation.offer_version(6, "bad");
    assert!(simulation.last_rejection().starts_with("these contents were withdrawn as version 5"));
    simulation.offer_version(4, "older");
    assert!(simulation.last_rejection().starts_with("version 4 is older than version 5"));
}

/// A version crashes the process before its probation reaches a verdict, and a supervisor restarts the broker each
/// time. The version must be applied three times at most, and the next version must be applied.
#[rstest]
fn stops_applying_a_version_that_crashes_the_process() {
    let mut persisted = PersistedState::of(version(0, "own"));
    for _ in 0..3 {
        let mut simulation = Simulation::with(1, persisted);
        simulation.open();
        simulation.offer_version(2, "crashes");
        assert_eq!(simulation.applied, version(2, "crashes"));
        persisted = simulation.stored.unwrap();
    }
    let mut simulation = Simulation::with(1, persisted);
    simulation.open();
    simulation.offer_version(2, "crashes");
    assert_eq!(simulation.applied, version(0, "own"));
    assert!(
        simulation.last_rejection().contains("the broker process ended 3 times while it was on probation")
    );
    simulation.offer_version(3, "fixed");
    assert_eq!(simulation.applied, version(3, "fixed"));
}

/// A service may start its nonces anew on each stream. A nonce repeated on a new stream belongs to another response
/// and must be answered, or the service would wait indefinitely.
#[rstest]
fn answers_a_nonce_again_on_another_stream() {
    let mut simulation = Simulation::connected(1);
    for number in [1, 2] {
        let (stream, nonce) = (simulation.stream, Nonce("1".to_owned()));
        let offer = Offer::Valid(version(number, "contents of each"));
        simulation.handle(Input::ResponseReceived { stream, nonce, offer });
        assert_eq!(simulation.answers.len() as u64, number);
        simulation.drop_stream();
    }
}

/// A service that lost its state offers an older number. The broker must connect to another service, which may still
/// have its state.
#[rstest]
fn changes_service_on_an_older_number() {
    let mut simulation = Simulation::connected(2);
    let first = simulation.controller.report().service;
    simulation.offer_version(5, "five");
    simulation.offer_version(4, "four");
    assert!(!simulation.is_open);
    simulation.open();
    assert_ne!(simulation.controller.report().service, first);
}

/// An operator returns to the confirmed contents during a probation, and queries fail afterwards for another reason.
/// No version is on probation at that time, so none must be withdrawn and nothing reported to the service.
#[rstest]
fn a_revert_ends_the_probation() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(121, 0);
    simulation.offer_version(2, "on probation");
    simulation.serve_queries(5, 0);
    simulation.offer_version(3, "good");
    simulation.serve_queries(60, 20);
    assert_eq!(simulation.applied, version(3, "good"));
    assert!(simulation.rejections.is_empty(), "{:?}", simulation.rejections);
}

/// The first version is confirmed, and the second follows at once. The baseline of the second must be the outcomes
/// under the first; without a baseline, the failure ratio of the second, two fifths, would pass.
#[rstest]
fn a_confirmed_version_is_the_baseline_of_the_next() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(61, 0);
    assert_eq!(simulation.stored_contents, version(1, "good"));
    simulation.offer_version(2, "bad");
    simulation.serve_queries(20, 8);
    assert_eq!(simulation.applied, version(1, "good"));
}

/// Queries fail under two versions in quick succession. The baseline of the second must be the outcomes before both;
/// compared with the first version, it would pass.
#[rstest]
fn a_replaced_probation_does_not_change_the_baseline() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(121, 0);
    simulation.offer_version(2, "bad");
    simulation.serve_queries(1, 20);
    assert_eq!(simulation.applied, version(2, "bad"));
    simulation.offer_version(3, "as bad");
    simulation.serve_queries(5, 20);
    assert_eq!(simulation.applied, version(1, "good"));
}

#[derive(Clone, Debug)]
enum Step {
    Offer { number: u64, contents: u8, late: bool, repeat: bool },
    OfferInvalid,
    DropStream,
    Serve { seconds: i64, failed: u64 },
    Wait,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..12_u64, 0..6_u8, any::<bool>(), any::<bool>())
            .prop_map(|(number, contents, late, repeat)| Step::Offer { number, contents, late, repeat }),
        1 => Just(Step::OfferInvalid),
        2 => Just(Step::DropStream),
        3 => (1..70_i64, prop_oneof![Just(0_u64), Just(20)])
            .prop_map(|(seconds, failed)| Step::Serve { seconds, failed }),
        1 => Just(Step::Wait),
    ];
    proptest::collection::vec(step, 1..60)
}

/// Returns a fixed seed, or the one in `PROPTEST_RNG_SEED`. A failure prints the inputs that caused it.
fn seed() -> proptest::test_runner::RngSeed {
    let configured = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok());
    proptest::test_runner::RngSeed::Fixed(configured.unwrap_or(1))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: seed(),
        ..ProptestConfig::default()
    })]

    /// Checks over random sequences that the highest number never decreases, that each nonce has at most one answer,
    /// that the report always matches the applied version, and that withdrawn contents are never applied again.
    #[test]
    fn invariants_hold_over_random_sequences(steps in steps(), services in 1..3_usize) {
        let mut simulation = Simulation::connected(services);
        let (mut highest, mut withdrawn) = (0, BTreeSet::new());
        for step in steps {
            let before = simulation.applications.len();
            match step {
                Step::Offer { number, contents, late, repeat } => {
                    let offer = Offer::Valid(version(number, &contents.to_string()));
                    let stream = StreamId(simulation.stream.0.saturating_sub(u64::from(late)));
                    simulation.nonce += u64::from(!repeat);
                    let nonce = Nonce(simulation.nonce.to_string());
                    simulation.handle(Input::ResponseReceived { stream, nonce, offer });
                }
                Step::OfferInvalid => {
                    simulation.offer(Offer::Invalid { number: None, reason: "broken".to_owned() });
                }
                Step::DropStream => simulation.drop_stream(),
                Step::Serve { seconds, failed } => simulation.serve_queries(seconds, failed),
                Step::Wait => simulation.now += 600_000,
            }
            if !simulation.is_open {
                simulation.open();
            }
            prop_assert!(simulation.controller.highest_accepted() >= highest);
            highest = simulation.controller.highest_accepted();
            prop_assert!(simulation.answers.values().all(|answers| *answers == 1));
            for event in &simulation.log {
                if let LogEvent::Withdrawn { version, .. } = event {
                    withdrawn.insert(version.digest);
                }
            }
            let applications = &simulation.applications[before..];
            let again = applications.iter().filter(|new| withdrawn.contains(&new.digest)).count();
            prop_assert_eq!(again, 0);
        }
    }
}
