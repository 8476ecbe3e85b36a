//! The aggregated discovery service (ADS), one task for each stream of a broker.

use crate::fault_plan::FaultPlan;
use crate::history::Shared;
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

/// How many responses may wait for a stream.
const RESPONSE_QUEUE_CAPACITY: usize = 8;

/// The service, as each connection sees it.
pub(crate) struct DiscoveryService {
    shared: Arc<Shared>,
}

impl DiscoveryService {
    pub(crate) fn new(shared: Arc<Shared>) -> DiscoveryService {
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

/// The stream is dropped by a drawn fault, or its broker has ended it.
struct StreamDropped;

/// One broker's stream.
struct BrokerStream {
    shared: Arc<Shared>,
    rng: fastrand::Rng,
    responses: mpsc::Sender<Result<DiscoveryResponse, Status>>,
    /// The number sent last, or that the broker runs already.
    last_sent: Option<u64>,
}

impl BrokerStream {
    fn new(shared: Arc<Shared>, responses: mpsc::Sender<Result<DiscoveryResponse, Status>>) -> BrokerStream {
        let stream_number = shared.history().add_stream();
        let rng = fastrand::Rng::with_seed(shared.faults.seed ^ stream_number);
        BrokerStream { shared, rng, responses, last_sent: None }
    }

    /// Runs until the stream is dropped, by either side.
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
                    // The version that the broker runs is not sent to it.
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

    /// Sends the newest version, with the faults that are drawn.
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
        // Half of the drops come before the response, half behind it.
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
            self.send(garbled(response(version, self.next_nonce())), 1).await?;
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

    /// The version before this number, and the one with it.
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

/// The response with its resource cut in half.
fn garbled(mut response: DiscoveryResponse) -> DiscoveryResponse {
    for resource in &mut response.resources {
        resource.value.truncate(resource.value.len() / 2);
    }
    response
}
