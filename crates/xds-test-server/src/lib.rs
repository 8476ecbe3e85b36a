//! A control service on loopback for tests and rehearsals: it serves numbered versions by xDS's transport,
//! and has the troubles of real ones, drawn by seed: it drops streams, is late, repeats itself, sends an
//! older version first, sends broken ones, vanishes, and comes back with another history.
//!
//! It runs on a thread of its own, so that a broker under test on another can't hold it up, nor it the
//! broker.

use config_rollout_client::wire::{TYPE_URL, Version};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::google::protobuf::Any;
use futures_util::stream::{BoxStream, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

/// How the service misbehaves, as shares of its responses.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    pub seed: u64,
    /// The stream is dropped in place of a response, or right behind it.
    pub drop: f64,
    /// A response is sent once more under its nonce.
    pub repeat: f64,
    /// An older version goes ahead of the newest.
    pub reorder: f64,
    /// What is sent can't be read.
    pub garble: f64,
    /// The longest that a response is held back, drawn.
    pub delay: Duration,
}

/// What a broker said on its stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    pub node: String,
    /// What it runs, as it says; empty for its own file.
    pub version: String,
    pub nonce: String,
    /// Why it turned a response down.
    pub refusal: Option<String>,
}

#[derive(Default)]
struct History {
    versions: BTreeMap<u64, Version>,
    said: Vec<Said>,
    streams: u64,
    nonces: u64,
}

struct Shared {
    troubles: Troubles,
    history: Mutex<History>,
    /// Rung at each new version, and to drop all streams.
    newest: watch::Sender<u64>,
    dropped: watch::Sender<u64>,
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running stand-in; it ends when this is dropped.
pub struct StandIn {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    up: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// What is said is kept as far back as this.
const KEPT: usize = 100_000;

impl StandIn {
    /// Listens at this address; port 0 for any.
    pub fn start(address: SocketAddr, troubles: Troubles) -> std::io::Result<StandIn> {
        let shared = Arc::new(Shared {
            troubles,
            history: Mutex::default(),
            newest: watch::channel(0).0,
            dropped: watch::channel(0).0,
        });
        let mut stand_in = StandIn { address, shared, up: None, thread: None };
        stand_in.come_back()?;
        Ok(stand_in)
    }

    /// Serves this document under this number from now on, whatever was before: a lower number, or another
    /// document under a known one, is a history that was lost or forked.
    pub fn publish(&self, number: u64, installation: &str, document: &[u8]) {
        let version = Version::of(number, installation, document).unwrap_or(Version {
            number,
            document: document.to_vec(),
            installation: installation.to_owned(),
            digest: vec![0; 32],
            ..Version::default()
        });
        self.shared.history().versions.insert(number, version);
        self.shared.newest.send_replace(number);
    }

    /// Drops every stream once.
    pub fn drop_streams(&self) {
        self.shared.dropped.send_modify(|times| *times += 1);
    }

    /// Takes nothing more, and drops what there is.
    pub fn vanish(&mut self) {
        self.drop_streams();
        self.up.take();
        self.thread.take().map(std::thread::JoinHandle::join);
    }

    /// Is back at its address, with the versions that it had.
    pub fn come_back(&mut self) -> std::io::Result<()> {
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.address = listener.local_addr()?;
        let (up, down) = oneshot::channel::<()>();
        let service = Ads(self.shared.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || {
            runtime.block_on(async {
                let Ok(listener) = TcpListener::from_std(listener) else { return };
                let served = Server::builder()
                    .add_service(AggregatedDiscoveryServiceServer::new(service))
                    .serve_with_incoming(TcpListenerStream::new(listener));
                tokio::select! {
                    _ = served => {}
                    _ = down => {}
                }
            });
        });
        (self.up, self.thread) = (Some(up), Some(thread));
        Ok(())
    }

    /// Forgets every version: its state is lost.
    pub fn forget(&self) {
        self.shared.history().versions.clear();
    }

    /// All that brokers said, in order.
    pub fn said(&self) -> Vec<Said> {
        self.shared.history().said.clone()
    }

    /// How many streams there have been.
    pub fn streams(&self) -> u64 {
        self.shared.history().streams
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.vanish();
    }
}

struct Ads(Arc<Shared>);

#[tonic::async_trait]
impl AggregatedDiscoveryService for Ads {
    type StreamAggregatedResourcesStream = BoxStream<'static, Result<DiscoveryResponse, Status>>;
    type DeltaAggregatedResourcesStream = BoxStream<'static, Result<DeltaDiscoveryResponse, Status>>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let (tell, told) = mpsc::channel(8);
        let shared = self.0.clone();
        let no = {
            let mut history = shared.history();
            history.streams += 1;
            history.streams
        };
        tokio::spawn(
            Stream { rng: fastrand::Rng::with_seed(shared.troubles.seed ^ no), shared, tell }.live(request),
        );
        Ok(Response::new(ReceiverStream::new(told).boxed()))
    }

    async fn delta_aggregated_resources(
        &self,
        _: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        Err(Status::unimplemented("state of the world only"))
    }
}

/// One broker's stream.
struct Stream {
    shared: Arc<Shared>,
    rng: fastrand::Rng,
    tell: mpsc::Sender<Result<DiscoveryResponse, Status>>,
}

impl Stream {
    async fn live(mut self, request: Request<Streaming<DiscoveryRequest>>) {
        let mut requests = request.into_inner();
        let (mut newest, mut dropped) = (self.shared.newest.subscribe(), self.shared.dropped.subscribe());
        let (mut node, mut sent, mut asked) = (String::new(), None, false);
        loop {
            tokio::select! {
                request = requests.message() => {
                    let Ok(Some(request)) = request else { return };
                    if let Some(told) = &request.node {
                        node = told.id.clone();
                    }
                    self.note(&node, &request);
                    if !asked {
                        asked = true;
                        // What it runs already is not sent again.
                        sent = request.version_info.parse().ok();
                        let number = *newest.borrow_and_update();
                        if !self.offer(number, &mut sent).await { return }
                    }
                }
                Ok(()) = newest.changed() => {
                    let number = *newest.borrow_and_update();
                    if asked && !self.offer(number, &mut sent).await { return }
                }
                Ok(()) = dropped.changed() => return,
            }
        }
    }

    fn note(&self, node: &str, request: &DiscoveryRequest) {
        let mut history = self.shared.history();
        let said = Said {
            node: node.to_owned(),
            version: request.version_info.clone(),
            nonce: request.response_nonce.clone(),
            refusal: request.error_detail.as_ref().map(|status| status.message.clone()),
        };
        history.said.push(said);
        if history.said.len() > KEPT {
            history.said.remove(0);
        }
    }

    /// Sends what is newest, with the troubles that are drawn; false: the stream is dropped.
    async fn offer(&mut self, number: u64, sent: &mut Option<u64>) -> bool {
        if *sent == Some(number) || number == 0 {
            return true;
        }
        let Troubles { drop, repeat, reorder, garble, delay, .. } = self.shared.troubles.clone();
        if !delay.is_zero() {
            sleep(delay.mul_f64(self.rng.f64())).await;
        }
        if self.rng.f64() < drop / 2.0 {
            return false;
        }
        let (older, version) = {
            let history = self.shared.history();
            let older = history.versions.range(..number).next_back().map(|(_, version)| version.clone());
            (older, history.versions.get(&number).cloned())
        };
        if self.rng.f64() < reorder
            && let Some(older) = older
            && !self.send(&older, false, 1).await
        {
            return false;
        }
        if self.rng.f64() < garble
            && let Some(version) = &version
            && !self.send(version, true, 1).await
        {
            return false;
        }
        let times = if self.rng.f64() < repeat { 2 } else { 1 };
        *sent = Some(number);
        let went = match version {
            Some(version) => self.send(&version, false, times).await,
            None => true,
        };
        went && self.rng.f64() >= drop / 2.0
    }

    async fn send(&self, version: &Version, garbled: bool, times: usize) -> bool {
        let nonce = {
            let mut history = self.shared.history();
            history.nonces += 1;
            history.nonces.to_string()
        };
        let mut resource = version.resource();
        if garbled {
            resource = Any { value: resource.value[..resource.value.len() / 2].to_vec(), ..resource };
        }
        let response = DiscoveryResponse {
            version_info: version.number.to_string(),
            resources: vec![resource],
            type_url: TYPE_URL.to_owned(),
            nonce,
            ..DiscoveryResponse::default()
        };
        for _ in 0..times {
            if self.tell.send(Ok(response.clone())).await.is_err() {
                return false;
            }
        }
        true
    }
}
