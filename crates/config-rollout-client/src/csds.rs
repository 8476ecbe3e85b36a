//! The client status service (CSDS), served by the broker itself: what it truly runs. And the asking side,
//! for the command line.

use crate::follow::Shown;
use crate::wire::TYPE_URL;
use config_rollout::{Report, Standing, VersionId};
use envoy_types::pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::status::v3::client_config::GenericXdsConfig;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_client::ClientStatusDiscoveryServiceClient;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server::{
    ClientStatusDiscoveryService, ClientStatusDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::status::v3::{
    ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus,
};
use envoy_types::pb::google::protobuf::{Struct, Timestamp, Value, value::Kind};
use futures_util::stream::{BoxStream, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};
use tracing::warn;

struct Service(Arc<Shown>);

#[tonic::async_trait]
impl ClientStatusDiscoveryService for Service {
    type StreamClientStatusStream = BoxStream<'static, Result<ClientStatusResponse, Status>>;

    async fn stream_client_status(
        &self,
        request: Request<Streaming<ClientStatusRequest>>,
    ) -> Result<Response<Self::StreamClientStatusStream>, Status> {
        let shown = self.0.clone();
        let answers = request.into_inner().map(move |asked| asked.map(|_| response(&shown)));
        Ok(Response::new(answers.boxed()))
    }

    async fn fetch_client_status(
        &self,
        _: Request<ClientStatusRequest>,
    ) -> Result<Response<ClientStatusResponse>, Status> {
        Ok(Response::new(response(&self.0)))
    }
}

pub(crate) async fn serve(shown: Arc<Shown>, listener: TcpListener) {
    let service = ClientStatusDiscoveryServiceServer::new(Service(shown));
    let served = Server::builder()
        .timeout(Duration::from_secs(5))
        .concurrency_limit_per_connection(16)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(e) = served.await {
        warn!(reason = %e, "the status service has ended");
    }
}

/// The words of a standing, as the status has them.
fn standing(report: &Report, runs: VersionId) -> &'static str {
    match report.standing {
        // The broker has taken another over than the keeper has reported on yet.
        _ if report.runs != runs => "being applied",
        Standing::OnTrial if report.clouded => "on trial, in a pause",
        Standing::OnTrial => "on trial",
        Standing::Settled if runs.number == 0 => "own file",
        Standing::Settled if report.unproven.is_some() => "not proven",
        Standing::Settled => "confirmed",
    }
}

fn timestamp(tenths: routing::Tenths) -> Timestamp {
    let (seconds, rest) = (tenths.0.div_euclid(10_000), tenths.0.rem_euclid(10_000));
    Timestamp { seconds, nanos: (rest * 100_000) as i32 }
}

/// All that the broker shows. The version that runs is read last, and from where the broker itself sets it.
fn response(shown: &Shown) -> ClientStatusResponse {
    let report = shown.report.load_full();
    let runs = **shown.runs.load();
    let text = |text: String| Value { kind: Some(Kind::StringValue(text)) };
    let mut fields = vec![
        ("standing", standing(&report, runs).to_owned()),
        ("digest", runs.digest.to_string()),
        ("confirmed", report.confirmed.number.to_string()),
    ];
    fields.extend(report.unproven.clone().map(|why| ("unproven", why)));
    let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), text(value))).collect();
    let node = Node {
        id: shown.name.clone(),
        cluster: shown.installation.clone(),
        metadata: Some(Struct { fields }),
        ..Node::default()
    };
    let refused = report.last_refusal.as_ref();
    let settled = match (report.service, refused) {
        // A refusal of what came since is what the service and the broker differ by.
        (_, Some(refusal)) if refusal.at >= report.since => {
            (ConfigStatus::Error, ClientResourceStatus::Nacked)
        }
        (_, _) if runs.number > 0 => (ConfigStatus::Synced, ClientResourceStatus::Acked),
        (Some(_), _) => (ConfigStatus::NotSent, ClientResourceStatus::Requested),
        (None, _) => (ConfigStatus::Unknown, ClientResourceStatus::Requested),
    };
    let error_state = refused.map(|refusal| UpdateFailureState {
        last_update_attempt: Some(timestamp(refusal.at)),
        details: refusal.why.clone(),
        version_info: refusal.number.map(|number| number.to_string()).unwrap_or_default(),
        ..UpdateFailureState::default()
    });
    let version = GenericXdsConfig {
        type_url: TYPE_URL.to_owned(),
        name: shown.installation.clone(),
        version_info: runs.number.to_string(),
        last_updated: Some(timestamp(report.since)),
        config_status: settled.0 as i32,
        client_status: settled.1 as i32,
        error_state,
        ..GenericXdsConfig::default()
    };
    let config =
        ClientConfig { node: Some(node), generic_xds_configs: vec![version], ..ClientConfig::default() };
    ClientStatusResponse { config: vec![config] }
}

/// What a broker answered that was asked for its status.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub name: String,
    pub installation: String,
    pub number: u64,
    pub digest: String,
    /// Unix time, in seconds.
    pub since: f64,
    pub standing: String,
    pub confirmed: u64,
    pub unproven: Option<String>,
    /// Number, reason and Unix time of the last refusal.
    pub last_refusal: Option<(String, String, f64)>,
}

/// Asks a running broker; an error says why it could not be had.
pub async fn ask(address: SocketAddr, within: Duration) -> Result<Told, String> {
    let exchange = async {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| e.to_string())?;
        let channel = endpoint.connect().await.map_err(|e| format!("no connection: {e}"))?;
        let mut client = ClientStatusDiscoveryServiceClient::new(channel);
        let request = ClientStatusRequest::default();
        let response = client.fetch_client_status(request).await.map_err(|status| status.to_string())?;
        read(response.into_inner()).ok_or("an answer that does not tell a version".to_owned())
    };
    tokio::time::timeout(within, exchange).await.map_err(|_| "no answer in time".to_owned())?
}

fn read(response: ClientStatusResponse) -> Option<Told> {
    let config = response.config.into_iter().next()?;
    let node = config.node.unwrap_or_default();
    let fields: BTreeMap<String, String> = node
        .metadata
        .unwrap_or_default()
        .fields
        .into_iter()
        .filter_map(|(name, value)| match value.kind {
            Some(Kind::StringValue(text)) => Some((name, text)),
            _ => None,
        })
        .collect();
    let version = config.generic_xds_configs.into_iter().find(|config| config.type_url == TYPE_URL)?;
    let seconds = |at: Option<Timestamp>| at.map_or(0.0, |at| at.seconds as f64 + f64::from(at.nanos) / 1e9);
    Some(Told {
        name: node.id,
        installation: version.name,
        number: version.version_info.parse().ok()?,
        digest: fields.get("digest").cloned().unwrap_or_default(),
        since: seconds(version.last_updated),
        standing: fields.get("standing").cloned().unwrap_or_default(),
        confirmed: fields.get("confirmed").and_then(|number| number.parse().ok()).unwrap_or(0),
        unproven: fields.get("unproven").cloned(),
        last_refusal: version
            .error_state
            .map(|state| (state.version_info, state.details, seconds(state.last_update_attempt))),
    })
}
