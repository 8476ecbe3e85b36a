//! The loop that carries out: streams in, wake-ups, counts; effects out. It waits for the broker's word on
//! each configuration before it answers a service, so that no answer runs ahead of what is applied.

use crate::shelf::{RestoredState, Shelf};
use crate::wire::{self, Kept, MOST_ON_WIRE, Version};
use crate::{csds, keep};
use arc_swap::ArcSwap;
use config_rollout::{
    Effect, Input, LogEvent, Nonce, Offer, PersistedState, Report, RolloutController, RolloutPolicy, Sample,
    ServiceNo, StreamNo, VersionId,
};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use routing::Tenths;
use settings::BrokerSettings;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tracing::{info, warn};

/// What takes configurations: the broker, on its own thread.
pub trait Seat {
    /// Takes queries under it from now on; done when that is so.
    fn prescribe(&mut self, version: VersionId, broker_settings: BrokerSettings) -> impl Future<Output = ()>;
    /// The same contents have another number.
    fn relabel(&mut self, version: VersionId) -> impl Future<Output = ()>;
    /// How what was taken under the running configuration ended, since it was taken over. None: the broker is
    /// gone.
    fn count(&mut self) -> impl Future<Output = Option<Sample>>;
}

/// Where a broker is followed from, and how.
#[derive(Clone, Debug)]
pub struct Post {
    /// The broker's name.
    pub name: String,
    pub installation: String,
    pub services: Vec<SocketAddr>,
    pub patience: RolloutPolicy,
    /// Bytes of a document.
    pub document: usize,
    pub keep: Option<PathBuf>,
    /// How often queries are counted.
    pub count_every: Duration,
    pub seed: u64,
}

/// What a broker shows of itself, from any thread.
#[derive(Debug)]
pub struct Shown {
    pub name: String,
    pub installation: String,
    /// Set in the same step in which the broker takes a configuration over.
    pub runs: ArcSwap<VersionId>,
    /// What the keeper says beside that.
    pub report: ArcSwap<Report>,
}

impl Shown {
    pub fn new(post: &Post, runs: VersionId) -> Arc<Shown> {
        let controller = RolloutController::new(
            post.patience.clone(),
            post.services.len(),
            PersistedState::of(runs),
            post.seed,
            unix_now(),
        );
        Arc::new(Shown {
            name: post.name.clone(),
            installation: post.installation.clone(),
            runs: ArcSwap::from_pointee(runs),
            report: ArcSwap::from_pointee(controller.report()),
        })
    }
}

/// What the streams' tasks tell the loop.
enum Heard {
    Opened { stream: StreamNo, requests: mpsc::Sender<DiscoveryRequest> },
    Came { stream: StreamNo, response: Box<DiscoveryResponse> },
    Ended { stream: StreamNo, why: String },
}

/// Words from streams that wait for the loop, and requests that wait for a stream.
const WAITING: usize = 16;

/// Follows until the broker is gone.
pub async fn follow<S: Seat>(post: Post, restored: RestoredState, seat: S, shown: Arc<Shown>) {
    let (tell, mut heard) = mpsc::channel(WAITING);
    let clock = Clock { started: Instant::now(), unix: unix_now() };
    let controller = RolloutController::new(
        post.patience.clone(),
        post.services.len(),
        restored.memory,
        post.seed,
        clock.now(),
    );
    let shelf = Shelf::new(restored.start, restored.runs);
    let mut follower =
        Follower { post, controller, shelf, seat, shown, clock, tell, line: None, wake_at: None };
    let mut counting = interval(follower.post.count_every);
    counting.set_missed_tick_behavior(MissedTickBehavior::Delay);
    follower.hear(Input::Start).await;
    loop {
        let far = Instant::now() + Duration::from_secs(3600);
        let wake_at = follower.wake_at.unwrap_or(far);
        tokio::select! {
            Some(word) = heard.recv() => follower.hear_stream(word).await,
            () = sleep_until(wake_at) => {
                follower.wake_at = None;
                follower.hear(Input::Due).await;
            }
            _ = counting.tick() => {
                let Some(sample) = follower.seat.count().await else { return };
                follower.hear(Input::Counted(sample)).await;
            }
        }
    }
}

struct Clock {
    started: Instant,
    unix: Tenths,
}

impl Clock {
    fn now(&self) -> Tenths {
        self.unix + Tenths((self.started.elapsed().as_micros() / 100) as i64)
    }

    fn instant(&self, at: Tenths) -> Instant {
        let micros = u64::try_from((at - self.unix).0).unwrap_or(0).saturating_mul(100);
        self.started + Duration::from_micros(micros)
    }
}

fn unix_now() -> Tenths {
    Tenths((SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() / 100) as i64)
}

/// The stream that is out, or up.
struct Out {
    stream: StreamNo,
    task: JoinHandle<()>,
    requests: Option<mpsc::Sender<DiscoveryRequest>>,
}

impl Drop for Out {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Follower<S> {
    post: Post,
    controller: RolloutController,
    shelf: Shelf,
    seat: S,
    shown: Arc<Shown>,
    clock: Clock,
    tell: mpsc::Sender<Heard>,
    line: Option<Out>,
    wake_at: Option<Instant>,
}

impl<S: Seat> Follower<S> {
    async fn hear_stream(&mut self, word: Heard) {
        match word {
            Heard::Opened { stream, requests } => {
                if let Some(line) = self.line.as_mut().filter(|line| line.stream == stream) {
                    line.requests = Some(requests);
                }
                self.hear(Input::Opened(stream)).await;
            }
            Heard::Ended { stream, why } => self.hear(Input::Ended { stream, why }).await,
            Heard::Came { stream, response } => {
                let offer = self.read(&response);
                self.hear(Input::Came { stream, nonce: Nonce(response.nonce), offer }).await;
            }
        }
    }

    /// Opens a response, and checks its contents where they would be applied.
    fn read(&mut self, response: &DiscoveryResponse) -> Offer {
        let (version, document) = match wire::read(response, &self.post.installation, self.post.document) {
            Ok(read) => read,
            Err(offer) => return offer,
        };
        if self.controller.would_apply(version)
            && let Err(why) = self.shelf.check(version, &document)
        {
            return Offer::Broken { number: Some(version.number), why };
        }
        Offer::Sound(version)
    }

    async fn hear(&mut self, input: Input) {
        for effect in self.controller.hear(self.clock.now(), input) {
            self.carry_out(effect).await;
        }
        self.shown.report.store(Arc::new(self.controller.report()));
    }

    async fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Call { service, stream } => self.call(service, stream),
            Effect::HangUp { .. } => self.line = None,
            Effect::Subscribe { stream, runs } => {
                let mut request = wire::request(&self.post.installation, runs, "", None);
                request.node = Some(self.node());
                self.send(stream, request);
            }
            Effect::Answer { stream, nonce, runs, refusal } => {
                self.send(stream, wire::request(&self.post.installation, runs, &nonce.0, refusal));
            }
            Effect::TellWithdrawn { stream, nonce, runs, why } => {
                self.send(stream, wire::request(&self.post.installation, runs, &nonce.0, Some(why)));
            }
            Effect::Apply(version) => {
                if let Some(applied) = self.shelf.apply(version) {
                    let broker_settings = applied.broker_settings.clone();
                    self.seat.prescribe(version, broker_settings).await;
                }
            }
            Effect::Relabel(version) => {
                self.shelf.relabel(version);
                self.seat.relabel(version).await;
            }
            Effect::PutBack(version) => {
                let broker_settings = self.shelf.put_back().broker_settings.clone();
                self.seat.prescribe(version, broker_settings).await;
            }
            Effect::Keep(version) => {
                self.shelf.confirm();
                if self.write_down().await {
                    info!(number = version.number, digest = %version.digest, "version kept");
                }
            }
            Effect::Remember => _ = self.write_down().await,
            Effect::WakeAt(at) => self.wake_at = Some(self.clock.instant(at)),
            Effect::Say(word) => self.say(&word),
        }
    }

    fn node(&self) -> Node {
        Node {
            id: self.post.name.clone(),
            cluster: self.post.installation.clone(),
            user_agent_name: "barleydrum".to_owned(),
            ..Node::default()
        }
    }

    fn call(&mut self, service: ServiceNo, stream: StreamNo) {
        let Some(address) = self.post.services.get(service.0).copied() else { return };
        let (tell, within) = (self.tell.clone(), self.post.patience.call_within);
        let within = Duration::from_micros(within.0.max(1) as u64 * 100);
        let task = tokio::spawn(async move {
            let why = converse(address, stream, within, &tell).await;
            // The loop is gone only when the broker is.
            let _ = tell.send(Heard::Ended { stream, why }).await;
        });
        self.line = Some(Out { stream, task, requests: None });
    }

    /// Guards against a service that takes nothing: what does not fit ends the stream.
    fn send(&mut self, stream: StreamNo, request: DiscoveryRequest) {
        let Some(line) = self.line.as_mut().filter(|line| line.stream == stream) else { return };
        let sent = line.requests.as_ref().is_some_and(|requests| requests.try_send(request).is_ok());
        if !sent {
            // The conversation's task sees its end, and tells of it.
            line.requests = None;
        }
    }

    /// Writes on a thread for that: a slow disk holds up neither the broker nor its status. Whether it was
    /// written.
    async fn write_down(&self) -> bool {
        let Some(path) = self.post.keep.clone() else { return false };
        let confirmed = &self.shelf.confirmed;
        let version = (confirmed.version.number > 0).then(|| Version {
            number: confirmed.version.number,
            digest: confirmed.version.digest.0.to_vec(),
            document: confirmed.document.canonical(),
            installation: self.post.installation.clone(),
            note: String::new(),
        });
        let kept = Kept::of(&self.controller.memory(), version);
        let written =
            tokio::task::spawn_blocking(move || keep::write(&path, &kept).map_err(|e| e.to_string()));
        let written = written.await.map_err(|e| e.to_string()).and_then(|written| written);
        if let Err(why) = &written {
            warn!(reason = why, "nothing kept: a restart would go back to what was kept last");
        }
        written.is_ok()
    }

    fn say(&self, word: &LogEvent) {
        let address = |service: &ServiceNo| {
            self.post.services.get(service.0).map_or(String::new(), SocketAddr::to_string)
        };
        match word {
            LogEvent::Applied(v) => info!(number = v.number, digest = %v.digest, "version applied, on trial"),
            LogEvent::Relabelled(v) => {
                info!(number = v.number, digest = %v.digest, "version has a new number")
            }
            LogEvent::Confirmed(v) => info!(number = v.number, digest = %v.digest, "version confirmed"),
            LogEvent::Unproven(v, why) => {
                warn!(number = v.number, digest = %v.digest, reason = why, "version stays, not proven");
            }
            LogEvent::TurnedDown { number, why } => warn!(number, reason = why, "version turned down"),
            LogEvent::Withdrawn { version, runs, why } => warn!(
                number = version.number, digest = %version.digest, runs = runs.number, reason = why,
                "version withdrawn"
            ),
            LogEvent::Clouded(v, why) => {
                warn!(number = v.number, digest = %v.digest, reason = why, "trial makes a pause");
            }
            LogEvent::Reached(service) => info!(service = address(service), "control service reached"),
            LogEvent::Gone { service, why } => {
                warn!(service = address(service), reason = why, "control service gone, what runs is kept");
            }
        }
    }
}

/// One stream from its call to its end; why it ended.
async fn converse(
    address: SocketAddr,
    stream: StreamNo,
    within: Duration,
    tell: &mpsc::Sender<Heard>,
) -> String {
    let endpoint = match Endpoint::from_shared(format!("http://{address}")) {
        Ok(endpoint) => endpoint,
        Err(e) => return e.to_string(),
    };
    // A connection that fell silent is noticed by its pings.
    let endpoint = endpoint
        .connect_timeout(within)
        .http2_keep_alive_interval(within)
        .keep_alive_timeout(within)
        .keep_alive_while_idle(true);
    let channel = match endpoint.connect().await {
        Ok(channel) => channel,
        Err(e) => return format!("no connection: {}", causes(&e)),
    };
    let (requests, queue) = mpsc::channel(WAITING);
    if tell.send(Heard::Opened { stream, requests }).await.is_err() {
        return "the broker is gone".to_owned();
    }
    let mut client = AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(MOST_ON_WIRE);
    let mut responses = match client.stream_aggregated_resources(ReceiverStream::new(queue)).await {
        Ok(responses) => responses.into_inner(),
        Err(status) => return format!("{}: {}", status.code(), status.message()),
    };
    loop {
        match responses.message().await {
            Ok(Some(response)) => {
                if tell.send(Heard::Came { stream, response: Box::new(response) }).await.is_err() {
                    return "the broker is gone".to_owned();
                }
            }
            Ok(None) => return "the service ended the stream".to_owned(),
            Err(status) => return format!("{}: {}", status.code(), status.message()),
        }
    }
}

fn causes(error: &dyn std::error::Error) -> String {
    let mut words = error.to_string();
    let mut cause = error.source();
    while let Some(deeper) = cause {
        words = format!("{words}: {deeper}");
        cause = deeper.source();
    }
    words
}

/// Serves what the broker shows of itself, for as long as the listener lives.
pub async fn show(shown: Arc<Shown>, listener: tokio::net::TcpListener) {
    csds::serve(shown, listener).await;
}
