//! An xDS stream, run by a task from the connection attempt to the end of the stream.

use crate::wire::MAX_RESPONSE_BYTES;
use config_rollout::StreamId;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client as ads_client;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

/// Maximum number of stream events queued for the client, and of requests queued for a stream.
pub(crate) const QUEUE_CAPACITY: usize = 16;

/// Event that the task of a stream reports to the client.
pub(crate) enum StreamEvent {
    Opened { stream: StreamId, requests: mpsc::Sender<DiscoveryRequest> },
    ResponseReceived { stream: StreamId, response: Box<DiscoveryResponse> },
    Ended { stream: StreamId, error: StreamError },
}

/// The reason why a stream ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("invalid address of the configuration service: {0}")]
    Address(#[source] tonic::transport::Error),
    #[error("connection failed: {}", error_chain(.0))]
    Connect(#[source] tonic::transport::Error),
    #[error("stream failed with status {}: {}", .0.code(), .0.message())]
    Status(#[source] Box<tonic::Status>),
    #[error("stream ended by the service")]
    EndedByService,
    #[error("the broker has stopped")]
    BrokerStopped,
}

impl From<tonic::Status> for StreamError {
    fn from(status: tonic::Status) -> StreamError {
        StreamError::Status(Box::new(status))
    }
}

/// A stream that is connecting or open. Dropping it ends the stream.
pub(crate) struct XdsStream {
    pub(crate) stream: StreamId,
    task: JoinHandle<()>,
    requests: Option<mpsc::Sender<DiscoveryRequest>>,
}

impl Drop for XdsStream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl XdsStream {
    /// Connects to this address. `timeout` limits the connection attempt, and is also the interval and the timeout of
    /// keep-alive pings.
    pub(crate) fn connect(
        address: SocketAddr,
        stream: StreamId,
        timeout: Duration,
        events: mpsc::Sender<StreamEvent>,
    ) -> XdsStream {
        let task = tokio::spawn(async move {
            let error = match exchange(address, stream, timeout, &events).await {
                Ok(()) => StreamError::EndedByService,
                Err(error) => error,
            };
            // The receiver is closed only when the broker has stopped.
            let _ = events.send(StreamEvent::Ended { stream, error }).await;
        });
        XdsStream { stream, task, requests: None }
    }

    /// Marks the stream as open, so that requests can be sent.
    pub(crate) fn set_open(&mut self, requests: mpsc::Sender<DiscoveryRequest>) {
        self.requests = Some(requests);
    }

    /// Queues a request. The stream is ended if the queue is full: a service that does not read would otherwise
    /// require an unbounded queue or block the event loop of the client. The client sees a stream that ended, and
    /// reconnects after its backoff. A broker sends one answer for each response, so that a service that reads never
    /// fills the queue.
    pub(crate) fn send(&mut self, request: DiscoveryRequest) {
        let is_sent = self.requests.as_ref().is_some_and(|requests| requests.try_send(request).is_ok());
        if !is_sent {
            // The task of the stream detects that its request channel is closed, and reports the end of the stream.
            self.requests = None;
        }
    }
}

/// Runs one stream until the service ends it or an error occurs.
async fn exchange(
    address: SocketAddr,
    stream: StreamId,
    timeout: Duration,
    events: &mpsc::Sender<StreamEvent>,
) -> Result<(), StreamError> {
    let channel = open_channel(address, timeout).await?;
    let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
    events.send(StreamEvent::Opened { stream, requests }).await.map_err(|_| StreamError::BrokerStopped)?;
    let mut client = ads_client::AggregatedDiscoveryServiceClient::new(channel)
        .max_decoding_message_size(MAX_RESPONSE_BYTES);
    let mut responses = client.stream_aggregated_resources(ReceiverStream::new(queue)).await?.into_inner();
    while let Some(response) = responses.message().await? {
        let event = StreamEvent::ResponseReceived { stream, response: Box::new(response) };
        events.send(event).await.map_err(|_| StreamError::BrokerStopped)?;
    }
    Ok(())
}

async fn open_channel(address: SocketAddr, timeout: Duration) -> Result<Channel, StreamError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(StreamError::Address)?;
    // Keep-alive pings detect a connection that has failed without being closed.
    let endpoint = endpoint
        .connect_timeout(timeout)
        .http2_keep_alive_interval(timeout)
        .keep_alive_timeout(timeout)
        .keep_alive_while_idle(true);
    endpoint.connect().await.map_err(StreamError::Connect)
}

/// Formats an error together with all its sources.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
