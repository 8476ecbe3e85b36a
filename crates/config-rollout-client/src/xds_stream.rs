//! One xDS stream, from its connection to its end, in a task of its own.

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

/// How many events of streams may wait for the client, and how many requests for a stream.
pub(crate) const QUEUE_CAPACITY: usize = 16;

/// What a stream's task reports to the client.
pub(crate) enum StreamEvent {
    Opened { stream: StreamId, requests: mpsc::Sender<DiscoveryRequest> },
    ResponseReceived { stream: StreamId, response: Box<DiscoveryResponse> },
    Ended { stream: StreamId, error: StreamError },
}

/// Why a stream ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamError {
    #[error("{0}")]
    Address(#[source] tonic::transport::Error),
    #[error("no connection: {}", error_chain(.0))]
    Connect(#[source] tonic::transport::Error),
    #[error("{}: {}", .0.code(), .0.message())]
    Status(#[source] Box<tonic::Status>),
    #[error("the service ended the stream")]
    EndedByService,
    #[error("the broker has ended")]
    BrokerGone,
}

impl From<tonic::Status> for StreamError {
    fn from(status: tonic::Status) -> StreamError {
        StreamError::Status(Box::new(status))
    }
}

/// A stream that is connecting or open; dropping it ends the stream.
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
    /// Connects to this address; `timeout` bounds the connection attempt and the silence of the connection.
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
            // The client is gone only when the broker is.
            let _ = events.send(StreamEvent::Ended { stream, error }).await;
        });
        XdsStream { stream, task, requests: None }
    }

    /// From now on requests can be sent.
    pub(crate) fn set_open(&mut self, requests: mpsc::Sender<DiscoveryRequest>) {
        self.requests = Some(requests);
    }

    /// Queues a request. A request that does not fit into the queue ends the stream: a service that reads
    /// nothing would otherwise hold an unbounded queue, or the loop of the client. It shows as a stream that
    /// ended, and the client connects again after its backoff. A broker has one answer for each response, so
    /// a service that reads never comes near the bound.
    pub(crate) fn send(&mut self, request: DiscoveryRequest) {
        let is_sent = self.requests.as_ref().is_some_and(|requests| requests.try_send(request).is_ok());
        if !is_sent {
            // The stream's task sees the end of its requests, and reports the end of the stream.
            self.requests = None;
        }
    }
}

/// Runs one stream until the service ends it.
async fn exchange(
    address: SocketAddr,
    stream: StreamId,
    timeout: Duration,
    events: &mpsc::Sender<StreamEvent>,
) -> Result<(), StreamError> {
    let channel = open_channel(address, timeout).await?;
    let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
    events.send(StreamEvent::Opened { stream, requests }).await.map_err(|_| StreamError::BrokerGone)?;
    let mut client = ads_client::AggregatedDiscoveryServiceClient::new(channel)
        .max_decoding_message_size(MAX_RESPONSE_BYTES);
    let mut responses = client.stream_aggregated_resources(ReceiverStream::new(queue)).await?.into_inner();
    while let Some(response) = responses.message().await? {
        let event = StreamEvent::ResponseReceived { stream, response: Box::new(response) };
        events.send(event).await.map_err(|_| StreamError::BrokerGone)?;
    }
    Ok(())
}

async fn open_channel(address: SocketAddr, timeout: Duration) -> Result<Channel, StreamError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(StreamError::Address)?;
    // A connection that is silently dead is noticed by its pings.
    let endpoint = endpoint
        .connect_timeout(timeout)
        .http2_keep_alive_interval(timeout)
        .keep_alive_timeout(timeout)
        .keep_alive_while_idle(true);
    endpoint.connect().await.map_err(StreamError::Connect)
}

/// An error with all its sources.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
