//! Client status discovery service (CSDS), through which a broker reports its running version.

use crate::published_status::PublishedStatus;
use crate::wire::TYPE_URL;
use config_rollout::{Rejection, Report, RolloutState, VersionId};
use envoy_types::pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::status::v3::client_config::GenericXdsConfig;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server::{
    ClientStatusDiscoveryService, ClientStatusDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::status::v3::{
    ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus,
};
use envoy_types::pb::google::protobuf::{Struct, Timestamp, Value, value::Kind};
use futures_util::stream::{BoxStream, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};
use tracing::warn;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent requests on a connection.
const MAX_CONCURRENT_REQUESTS: usize = 16;

struct StatusService {
    status: Arc<PublishedStatus>,
}

#[tonic::async_trait]
impl ClientStatusDiscoveryService for StatusService {
    type StreamClientStatusStream = BoxStream<'static, Result<ClientStatusResponse, Status>>;

    async fn stream_client_status(
        &self,
        request: Request<Streaming<ClientStatusRequest>>,
    ) -> Result<Response<Self::StreamClientStatusStream>, Status> {
        let status = self.status.clone();
        let responses = request.into_inner().map(move |request| request.map(|_| status_response(&status)));
        Ok(Response::new(responses.boxed()))
    }

    async fn fetch_client_status(
        &self,
        _: Request<ClientStatusRequest>,
    ) -> Result<Response<ClientStatusResponse>, Status> {
        Ok(Response::new(status_response(&self.status)))
    }
}

/// Serves the published status of the broker until the listener fails.
pub async fn serve(status: Arc<PublishedStatus>, listener: TcpListener) {
    let service = ClientStatusDiscoveryServiceServer::new(StatusService { status });
    let served = Server::builder()
        .timeout(REQUEST_TIMEOUT)
        .concurrency_limit_per_connection(MAX_CONCURRENT_REQUESTS)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = served.await {
        warn!(reason = %error, "status service ended");
    }
}

/// Returns the value of the metadata field `standing`. Scripts match these texts, so they are stable even where they
/// differ from the terms in the code: "on trial" means on probation.
fn rollout_state_text(report: &Report, running: VersionId) -> &'static str {
    match report.state {
        // The broker has applied a version that the controller has not yet reported.
        _ if report.running != running => "being applied",
        RolloutState::OnProbation if report.is_probation_paused => "on trial, in a pause",
        RolloutState::OnProbation => "on trial",
        RolloutState::Settled if running.number == 0 => "own file",
        RolloutState::Settled if report.unproven.is_some() => "not proven",
        RolloutState::Settled => "confirmed",
    }
}

fn timestamp(at: routing::Timestamp) -> Timestamp {
    let (seconds, tenths_of_ms) = (at.0.div_euclid(10_000), at.0.rem_euclid(10_000));
    Timestamp { seconds, nanos: (tenths_of_ms * 100_000) as i32 }
}

/// Builds the response from the published status. The running version is read after the report, directly from the
/// value that the broker updates when it applies a configuration.
fn status_response(status: &PublishedStatus) -> ClientStatusResponse {
    let report = status.report.load_full();
    let running = **status.running.load();
    let node = Node {
        id: status.name.clone(),
        cluster: status.installation.clone(),
        metadata: Some(metadata(&report, running)),
        ..Node::default()
    };
    let (config_status, client_status) = sync_status(&report, running);
    let version = GenericXdsConfig {
        type_url: TYPE_URL.to_owned(),
        name: status.installation.clone(),
        version_info: running.number.to_string(),
        last_updated: Some(timestamp(report.since)),
        config_status: config_status as i32,
        client_status: client_status as i32,
        error_state: report.last_rejection.as_ref().map(error_state),
        ..GenericXdsConfig::default()
    };
    let config =
        ClientConfig { node: Some(node), generic_xds_configs: vec![version], ..ClientConfig::default() };
    ClientStatusResponse { config: vec![config] }
}

fn metadata(report: &Report, running: VersionId) -> Struct {
    let mut fields = vec![
        ("standing", rollout_state_text(report, running).to_owned()),
        ("digest", running.digest.to_string()),
        ("confirmed", report.confirmed.number.to_string()),
    ];
    fields.extend(report.unproven.map(|reason| ("unproven", reason.to_string())));
    let to_value = |text| Value { kind: Some(Kind::StringValue(text)) };
    Struct { fields: fields.into_iter().map(|(name, text)| (name.to_owned(), to_value(text))).collect() }
}

/// Returns the synchronization state between the service and the broker.
fn sync_status(report: &Report, running: VersionId) -> (ConfigStatus, ClientResourceStatus) {
    // A rejection after the running version was applied means that the service has another version than the broker.
    let is_rejecting = report.last_rejection.as_ref().is_some_and(|last| last.at >= report.since);
    match report.service {
        _ if is_rejecting => (ConfigStatus::Error, ClientResourceStatus::Nacked),
        _ if running.number > 0 => (ConfigStatus::Synced, ClientResourceStatus::Acked),
        Some(_) => (ConfigStatus::NotSent, ClientResourceStatus::Requested),
        None => (ConfigStatus::Unknown, ClientResourceStatus::Requested),
    }
}

fn error_state(rejection: &Rejection) -> UpdateFailureState {
    UpdateFailureState {
        last_update_attempt: Some(timestamp(rejection.at)),
        details: rejection.reason.to_string(),
        version_info: rejection.number.map(|number| number.to_string()).unwrap_or_default(),
        ..UpdateFailureState::default()
    }
}
