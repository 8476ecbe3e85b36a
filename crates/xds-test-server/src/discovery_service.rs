//! Aggregated discovery service (ADS), which runs one task for each stream of a broker.

use crate::fault_plan::FaultPlan;
use crate::history::SharedState;
use config_rollout_client::wire::{TYPE_URL, Version};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server as ads_server;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use futures_util::stream::{BoxStream, StreamExt};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

/// Maximum number of responses queued for a stream.
const RESPONSE_QUEUE_CAPACITY: usize = 8;

/// Implementation of the gRPC service, which accepts the streams of brokers.
pub(crate) struct DiscoveryService {
    shared: Arc<SharedState>,
}

impl DiscoveryService {
    pub(crate) fn new(shared: Arc<SharedState>) -> DiscoveryService {
        DiscoveryService { shared }
    }
}

#[tonic::async_trait]
impl ads_server::AggregatedDiscoveryService for DiscoveryService {
    type StreamAggregatedResourcesStream = BoxStream<'static, Result<DiscoveryResponse, Status>>;
    type DeltaAggregatedResourcesStream = BoxStream<'static, Result<DeltaDiscoveryResponse, Status>>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let (responses, queue) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
        let stream = BrokerStream::new(self.shared.clone(), responses);
        tokio::spawn(stream.run(request.into_inner()));
        Ok(Response::new(ReceiverStream::new(queue).boxed()))
    }

    async fn delta_aggregated_resources(
        &self,
        _: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        Err(Status::unimplemented("state of the world only"))
    }
}

/// Error that ends a stream because a random fault dropped it or the broker closed it.
struct StreamDropped;

/// The stream of one broker.
struct BrokerStream {
    shared: Arc<SharedState>,
    rng: fastrand::Rng,
    responses: mpsc::Sender<Result<DiscoveryResponse, Status>>,
    /// The number of the version sent last, or of the version that the broker already runs.
    last_sent: Option<u64>,
}

impl BrokerStream {
    fn new(
        shared: Arc<SharedState>,
        responses: mpsc::Sender<Result<DiscoveryResponse, Status>>,
    ) -> BrokerStream {
        let stream_number = shared.history().add_stream();
        let rng = fastrand::Rng::with_seed(shared.faults.seed ^ stream_number);
        BrokerStream { shared, rng, responses, last_sent: None }
    }

    /// Handles requests and sends new versions until either side ends the stream.
    async fn run(mut self, mut requests: Streaming<DiscoveryRequest>) {
        let (mut newest, mut drops) = (self.shared.newest.subscribe(), self.shared.drops.subscribe());
        let (mut node, mut is_subscribed) = (String::new(), false);
        loop {
            let result = tokio::select! {
                request = requests.message() => {
                    let Ok(Some(request)) = request else { return };
                    if let Some(sender) = &request.node {
                        node = sender.id.clone();
                    }
                    self.shared.history().record(&node, &request);
                    if std::mem::replace(&mut is_subscribed, true) {
                        continue;
                    }
                    // A broker is not sent the version that it already runs.
                    self.last_sent = request.version_info.parse().ok();
                    self.send_newest(&mut newest).await
                }
                Ok(()) = newest.changed(), if is_subscribed => self.send_newest(&mut newest).await,
                Ok(()) = drops.changed() => return,
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Sends the newest version, with the faults that are drawn for it.
    async fn send_newest(&mut self, newest: &mut watch::Receiver<u64>) -> Result<(), StreamDropped> {
        let number = *newest.borrow_and_update();
        if self.last_sent == Some(number) || number == 0 {
            return Ok(());
        }
        let FaultPlan { drop_ratio, duplicate_ratio, reorder_ratio, corrupt_ratio, max_delay, .. } =
            self.shared.faults;
        if !max_delay.is_zero() {
            sleep(max_delay.mul_f64(self.rng.f64())).await;
        }
        // Half of the drops occur before the response, and half after it.
        self.draw_drop(drop_ratio / 2.0)?;
        let (older, version) = self.versions_up_to(number);
        if self.rng.f64() < reorder_ratio
            && let Some(older) = older
        {
            self.send(response(&older, self.next_nonce()), 1).await?;
        }
        if self.rng.f64() < corrupt_ratio
            && let Some(version) = &version
        {
            self.send(truncate_resource(response(version, self.next_nonce())), 1).await?;
        }
        let times = if self.rng.f64() < duplicate_ratio { 2 } else { 1 };
        self.last_sent = Some(number);
        if let Some(version) = version {
            self.send(response(&version, self.next_nonce()), times).await?;
        }
        self.draw_drop(drop_ratio / 2.0)
    }

    fn draw_drop(&mut self, ratio: f64) -> Result<(), StreamDropped> {
        if self.rng.f64() < ratio { Err(StreamDropped) } else { Ok(()) }
    }

    /// Returns the version with the next lower number, and the version with this number.
    fn versions_up_to(&self, number: u64) -> (Option<Version>, Option<Version>) {
        let history = self.shared.history();
        let older = history.versions.range(..number).next_back().map(|(_, version)| version.clone());
        (older, history.versions.get(&number).cloned())
    }

    fn next_nonce(&self) -> String {
        self.shared.history().next_nonce()
    }

    async fn send(&self, response: DiscoveryResponse, times: usize) -> Result<(), StreamDropped> {
        for _ in 0..times {
            self.responses.send(Ok(response.clone())).await.map_err(|_| StreamDropped)?;
        }
        Ok(())
    }
}

fn response(version: &Version, nonce: String) -> DiscoveryResponse {
    DiscoveryResponse {
        version_info: version.number.to_string(),
        resources: vec![version.to_resource()],
        type_url: TYPE_URL.to_owned(),
        nonce,
        ..DiscoveryResponse::default()
    }
}

/// Truncates the resource of a response to half of its length, so that it cannot be decoded.
fn truncate_resource(mut response: DiscoveryResponse) -> DiscoveryResponse {
    for resource in &mut response.resources {
        resource.value.truncate(resource.value.len() / 2);
    }
    response
}
