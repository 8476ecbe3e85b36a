//! Event loop that passes stream events, timers and query counts to the controller and carries out its effects.
//!
//! Effects are carried out one after another. The loop waits until the broker has applied a configuration before it
//! carries out the next effect, so that a version is never acknowledged before it is applied.

use crate::client_config::ClientConfig;
use crate::clock::{Clock, duration_of};
use crate::config_receiver::ConfigReceiver;
use crate::log::{log_event, log_not_persisted, log_persisted};
use crate::published_status::PublishedStatus;
use crate::resource_cache::ResourceCache;
use crate::restore::RestoredState;
use crate::state_file;
use crate::wire::{self, VerifiedVersion};
use crate::xds_stream::{QUEUE_CAPACITY, StreamEvent, XdsStream};
use config_rollout::{
    Effect, Input, Nonce, Offer, RejectionReason, RolloutController, ServiceIndex, StreamId, VersionId,
};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// User agent name that is sent to the configuration service.
const USER_AGENT: &str = "barleydrum";
/// Delay before a failed write of the state is retried, since a full disk or a failing sync may persist.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum sleep of the loop if no timer is set.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Follows the configuration services until the receiver reports that the broker has stopped.
pub async fn run<R: ConfigReceiver>(
    config: ClientConfig,
    restored: RestoredState,
    receiver: R,
    status: Arc<PublishedStatus>,
) {
    let (events, mut stream_events) = mpsc::channel(QUEUE_CAPACITY);
    let mut count_timer = interval(config.count_interval);
    count_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut client = RolloutClient::new(config, restored, receiver, status, events);
    client.handle(Input::Start).await;
    loop {
        let wake_at = client.wake_at.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
        let retry_at = client.store_retry_at.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
        tokio::select! {
            Some(event) = stream_events.recv() => client.handle_stream_event(event).await,
            () = sleep_until(wake_at) => {
                client.wake_at = None;
                client.handle(Input::TimerExpired).await;
            }
            () = sleep_until(retry_at) => {
                client.store_retry_at = None;
                client.store_state().await;
            }
            _ = count_timer.tick() => {
                let Some(sample) = client.receiver.count_outcomes().await else { return };
                client.handle(Input::OutcomesCounted(sample)).await;
            }
        }
    }
}

struct RolloutClient<R> {
    config: ClientConfig,
    controller: RolloutController,
    cache: ResourceCache,
    receiver: R,
    status: Arc<PublishedStatus>,
    clock: Clock,
    events: mpsc::Sender<StreamEvent>,
    stream: Option<XdsStream>,
    wake_at: Option<Instant>,
    /// The time at which to retry storing the state, or `None` if the last write succeeded.
    store_retry_at: Option<Instant>,
}

impl<R: ConfigReceiver> RolloutClient<R> {
    fn new(
        config: ClientConfig,
        restored: RestoredState,
        receiver: R,
        status: Arc<PublishedStatus>,
        events: mpsc::Sender<StreamEvent>,
    ) -> RolloutClient<R> {
        let clock = Clock::start();
        let controller = RolloutController::new(
            config.policy.clone(),
            config.services.len(),
            restored.persisted,
            config.seed,
            clock.now(),
        );
        let cache = ResourceCache::new(restored.own_document, restored.running);
        RolloutClient {
            config,
            controller,
            cache,
            receiver,
            status,
            clock,
            events,
            stream: None,
            wake_at: None,
            store_retry_at: None,
        }
    }

    async fn handle_stream_event(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Opened { stream, requests } => {
                if let Some(open) = self.stream.as_mut().filter(|current| current.stream == stream) {
                    open.set_open(requests);
                }
                self.handle(Input::StreamOpened(stream)).await;
            }
            StreamEvent::Ended { stream, error } => {
                self.handle(Input::StreamEnded { stream, reason: error.to_string() }).await;
            }
            StreamEvent::ResponseReceived { stream, response } => {
                let offer = self.read_offer(&response);
                self.handle(Input::ResponseReceived { stream, nonce: Nonce(response.nonce), offer }).await;
            }
        }
    }

    /// Reads a response, and validates the document if the offered version would be applied.
    fn read_offer(&mut self, response: &DiscoveryResponse) -> Offer {
        let ClientConfig { installation, max_document_bytes, .. } = &self.config;
        let VerifiedVersion { version, document } =
            match wire::read_response(response, installation, *max_document_bytes) {
                Ok(verified) => verified,
                Err(offer) => return offer,
            };
        if self.controller.would_apply(version)
            && let Err(error) = self.cache.check(version, &document)
        {
            return Offer::Invalid { number: Some(version.number), reason: error.to_string() };
        }
        Offer::Valid(version)
    }

    async fn handle(&mut self, input: Input) {
        for effect in self.controller.handle(self.clock.now(), input) {
            self.carry_out(effect).await;
        }
        self.status.report.store(Arc::new(self.controller.report()));
    }

    async fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { service, stream } => self.connect(service, stream),
            Effect::Disconnect { .. } => self.stream = None,
            Effect::Subscribe { stream, running } => self.subscribe(stream, running),
            Effect::Respond { stream, nonce, running, rejection } => {
                self.respond(stream, running, &nonce, rejection);
            }
            Effect::ReportWithdrawal { stream, nonce, running, reason } => {
                self.respond(stream, running, &nonce, Some(reason.into()));
            }
            Effect::Apply(version) => {
                if let Some(applied) = self.cache.apply(version) {
                    let broker_settings = applied.broker_settings.clone();
                    self.receiver.apply(version, broker_settings).await;
                }
            }
            Effect::Renumber(version) => {
                self.cache.renumber(version);
                self.receiver.renumber(version).await;
            }
            Effect::RollBack(version) => {
                let broker_settings = self.cache.roll_back().broker_settings.clone();
                self.receiver.apply(version, broker_settings).await;
            }
            Effect::StoreContents(version) => {
                self.cache.confirm();
                if self.store_state().await {
                    log_persisted(version);
                }
            }
            Effect::StoreState => _ = self.store_state().await,
            Effect::WakeAt(at) => self.wake_at = Some(self.clock.instant(at)),
            Effect::Log(event) => log_event(&event, &self.config.services),
        }
    }

    fn connect(&mut self, service: ServiceIndex, stream: StreamId) {
        let Some(address) = self.config.services.get(service.0).copied() else { return };
        let timeout = duration_of(self.config.policy.connect_timeout);
        self.stream = Some(XdsStream::connect(address, stream, timeout, self.events.clone()));
    }

    fn subscribe(&mut self, stream: StreamId, running: VersionId) {
        let mut request = wire::discovery_request(&self.config.installation, running, "", None);
        request.node = Some(Node {
            id: self.config.name.clone(),
            cluster: self.config.installation.clone(),
            user_agent_name: USER_AGENT.to_owned(),
            ..Node::default()
        });
        self.send(stream, request);
    }

    fn respond(
        &mut self,
        stream: StreamId,
        running: VersionId,
        nonce: &Nonce,
        rejection: Option<RejectionReason>,
    ) {
        let rejection = rejection.map(|reason| reason.to_string());
        self.send(stream, wire::discovery_request(&self.config.installation, running, &nonce.0, rejection));
    }

    fn send(&mut self, stream: StreamId, request: DiscoveryRequest) {
        if let Some(current) = self.stream.as_mut().filter(|current| current.stream == stream) {
            current.send(request);
        }
    }

    /// Stores the state if a state file is configured, and returns whether it was stored. A failed write is retried
    /// after [`STORE_RETRY_DELAY`]. The file is written on a thread for blocking calls, so that a slow disk delays
    /// neither the broker nor its status.
    async fn store_state(&mut self) -> bool {
        let Some(path) = self.config.state_file.clone() else { return false };
        let confirmed = self.cache.confirmed.to_wire(&self.config.installation);
        let state = state_file::StoredState::new(&self.controller.persisted_state(), confirmed);
        let written = tokio::task::spawn_blocking(move || state_file::write(&path, &state)).await;
        // A panic during the write is treated as a failed write.
        let result = written.map_err(io::Error::from).flatten();
        if let Err(error) = &result {
            log_not_persisted(error);
        }
        self.store_retry_at = result.is_err().then(|| Instant::now() + STORE_RETRY_DELAY);
        result.is_ok()
    }
}
