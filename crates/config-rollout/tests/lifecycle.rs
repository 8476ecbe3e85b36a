//! The lifecycle of versions, as the controller decides it: single cases, then random sequences.

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

/// A controller, and what the program around it would have done.
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

    /// A broker that was restarted with this stored state.
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

    /// A broker whose first stream is open.
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
        assert_eq!(self.controller.report().running, self.applied, "the report is not what is applied");
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
                    "a response on what is not applied"
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
                assert_eq!(version, self.stored_contents, "only stored contents can be rolled back to");
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
        assert_ne!(self.applied, version, "applied twice");
        let attempt = self.stored.as_ref().and_then(|state| state.probation_attempt);
        assert_eq!(attempt.map(|attempt| attempt.version), Some(version), "not stored before");
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

    /// `seconds` of 20 queries each, of which `failed` fail.
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

/// A service that lost its state or forked offers an older number, or other contents under a known one. If brokers
/// followed it, they would run different configurations under one number. Each such offer is rejected with its
/// reason, and what runs stays.
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

/// The stream is dropped after a version was applied and before it was acknowledged. The service sends the same
/// version again: it is acknowledged, and not applied a second time.
#[rstest]
fn applies_once_although_the_acknowledgement_was_lost() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(7, "a");
    simulation.drop_stream();
    simulation.offer_version(7, "a");
    assert_eq!((simulation.applications.len(), simulation.rejections.len()), (1, 0));
}

/// A response that is repeated under one nonce has one answer; on another stream the nonce is another.
#[rstest]
fn answers_each_nonce_once() {
    let mut simulation = Simulation::connected(1);
    let again = Input::ResponseReceived {
        stream: simulation.stream,
        nonce: Nonce("n".to_owned()),
        offer: Offer::Valid(version(1, "a")),
    };
    simulation.handle(again.clone());
    simulation.handle(again.clone());
    assert!(simulation.answers.values().all(|answers| *answers == 1));
    simulation.drop_stream();
    // What still comes on the old stream is not answered at all.
    let before = simulation.answers.len();
    simulation.handle(again);
    assert_eq!(simulation.answers.len(), before);
}

/// A rejection that crosses the next version on the wire: each has its own answer, and the newer is taken.
#[rstest]
fn a_rejection_may_cross_the_next_version() {
    let mut simulation = Simulation::connected(1);
    simulation.offer(Offer::Invalid { number: Some(1), reason: "least above whole".to_owned() });
    simulation.offer_version(2, "b");
    assert_eq!((simulation.answers.len(), simulation.last_rejection()), (2, "least above whole"));
    assert_eq!(simulation.applied, version(2, "b"));
    // The number of the broken one was never accepted, so it is no fork to mend it; it is older.
    simulation.offer_version(1, "mended");
    assert!(simulation.last_rejection().starts_with("version 1 is older"));
}

/// Seconds after it was applied queries fail: the last confirmed version is rolled back to, and these
/// contents are not applied again under any number, so that the broker does not alternate.
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
    // Going back is a higher number with older contents.
    simulation.offer_version(4, "good");
    assert_eq!(
        (simulation.applied, simulation.controller.report().state),
        (version(4, "good"), RolloutState::Settled)
    );
    simulation.offer_version(5, "better");
    simulation.serve_queries(61, 0);
    assert_eq!(simulation.stored_contents, version(5, "better"));
}

/// Two versions come one right after the other, and queries fail under the second. The first was never confirmed,
/// so the broker rolls back past it, to the last confirmed version.
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

/// The service is unreachable for an hour and comes back with a lower number, or another history. The running
/// version stays all the while, one log event says so, and a higher number is applied again.
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
    assert_eq!(logged, 1, "logged once");
    simulation.open();
    simulation.offer_version(number, contents);
    assert_eq!((simulation.applied, simulation.rejections.len()), (version(3, "c"), 1));
    simulation.offer_version(4, "d");
    assert_eq!(simulation.applied, version(4, "d"));
}

/// Two services disagree on the contents of a version. The broker rejects the offer of the one with the other
/// history, and connects to the other service.
#[rstest]
fn leaves_a_service_that_disagrees() {
    let mut simulation = Simulation::connected(2);
    let first = simulation.controller.report().service;
    simulation.offer_version(1, "a");
    simulation.offer_version(1, "b");
    assert!(!simulation.is_open);
    simulation.open();
    assert_ne!(simulation.controller.report().service, first);
    assert_eq!(simulation.applied, version(1, "a"));
}

/// A broker is restarted after it withdrew a version. Without the stored state it would apply the same contents
/// again, or an older number: both are rejected.
#[rstest]
fn remembers_after_a_restart() {
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

/// A version crashes the process before its probation can judge it, and a supervisor restarts the broker each
/// time. The version is applied three times, and no more; the next one is applied.
#[rstest]
fn does_not_end_the_process_again_and_again() {
    let mut persisted = PersistedState::of(version(0, "own"));
    for _ in 0..3 {
        let mut simulation = Simulation::with(1, persisted);
        simulation.open();
        simulation.offer_version(2, "deadly");
        assert_eq!(simulation.applied, version(2, "deadly"));
        persisted = simulation.stored.unwrap();
    }
    let mut simulation = Simulation::with(1, persisted);
    simulation.open();
    simulation.offer_version(2, "deadly");
    assert_eq!(simulation.applied, version(0, "own"));
    assert!(
        simulation.last_rejection().contains("the broker process ended 3 times while it was on probation")
    );
    simulation.offer_version(3, "mended");
    assert_eq!(simulation.applied, version(3, "mended"));
}

/// A service numbers the responses of each stream from the start. The same nonce on a new stream is another response,
/// and must be answered, or the service would wait for ever.
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

/// A service that lost its state offers an older number. The broker connects to another service, as that one may not
/// have lost it.
#[rstest]
fn leaves_a_service_that_offers_an_older_number() {
    let mut simulation = Simulation::connected(2);
    let first = simulation.controller.report().service;
    simulation.offer_version(5, "five");
    simulation.offer_version(4, "four");
    assert!(!simulation.is_open);
    simulation.open();
    assert_ne!(simulation.controller.report().service, first);
}

/// An operator goes back in the middle of a probation, and queries fail for another reason afterwards. No version is
/// on probation then, so none is withdrawn, and nothing is reported to the service.
#[rstest]
fn going_back_ends_the_probation() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(121, 0);
    simulation.offer_version(2, "doubtful");
    simulation.serve_queries(5, 0);
    simulation.offer_version(3, "good");
    simulation.serve_queries(60, 20);
    assert_eq!(simulation.applied, version(3, "good"));
    assert!(simulation.rejections.is_empty(), "{:?}", simulation.rejections);
}

/// A version is confirmed, and the next one comes at once. The outcomes under the first are what the second is
/// compared with: without them two fifths of failed queries would pass as usual.
#[rstest]
fn a_confirmed_version_is_what_the_next_is_compared_with() {
    let mut simulation = Simulation::connected(1);
    simulation.offer_version(1, "good");
    simulation.serve_queries(61, 0);
    assert_eq!(simulation.stored_contents, version(1, "good"));
    simulation.offer_version(2, "bad");
    simulation.serve_queries(20, 8);
    assert_eq!(simulation.applied, version(1, "good"));
}

/// Queries fail under two versions that come one right after the other. The second is compared with what was before
/// both, not with the first, under which it would pass as usual.
#[rstest]
fn a_version_that_replaces_another_is_compared_with_what_was_before_both() {
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

/// The same sequences in every run, unless PROPTEST_RNG_SEED names others; a failure prints what it failed
/// with.
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

    /// Over random sequences: the highest number never falls, each nonce has at most one response, the
    /// report is what is applied (held at every input), and contents that were withdrawn are never applied
    /// again.
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
