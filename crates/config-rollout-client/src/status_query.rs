//! Client for the status of a running broker over CSDS, for the command line and for tests.

use crate::wire::TYPE_URL;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_client as csds_client;
use envoy_types::pb::envoy::service::status::v3::{ClientStatusRequest, ClientStatusResponse};
use envoy_types::pb::google::protobuf::{Timestamp, value::Kind};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tonic::transport::Endpoint;

/// Status reported by a broker.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerStatus {
    /// The name of the broker, which is its xDS node id.
    pub name: String,
    /// The installation to which the broker belongs.
    pub installation: String,
    /// The number of the running version; 0 is the broker's own file.
    pub number: u64,
    /// The digest of the running version, as 64 hexadecimal digits.
    pub digest: String,
    /// The time since which the running contents are in use, as Unix time in seconds.
    pub since: f64,
    /// The state of the rollout, for example `confirmed`, from the metadata field `standing`.
    /// `docs/operate-control.md` lists the values.
    pub rollout_state: String,
    /// The number of the version that was confirmed last.
    pub confirmed: u64,
    /// The reason why the probation of the running version ended without a verdict, or `None` if it did not.
    pub unproven: Option<String>,
    /// The most recent rejection or withdrawal, or `None` if there has been none.
    pub last_rejection: Option<RejectionStatus>,
}

/// The most recent rejection or withdrawal of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectionStatus {
    /// The number of the version as text, or empty if it could not be read.
    pub number: String,
    /// The reason for the rejection or withdrawal.
    pub reason: String,
    /// The time of the rejection or withdrawal, as Unix time in seconds.
    pub at: f64,
}

/// The reason why a status could not be fetched.
#[derive(Debug, Error)]
pub enum StatusQueryError {
    /// The address does not form a valid endpoint.
    #[error("invalid address of the status service: {0}")]
    Address(#[source] tonic::transport::Error),
    /// The connection could not be established.
    #[error("failed to connect to the status service: {0}")]
    Connect(#[source] tonic::transport::Error),
    /// The broker returned an error status.
    #[error("the status service returned an error: {0}")]
    Status(#[source] Box<tonic::Status>),
    /// The response does not contain a version.
    #[error("the response of the status service contains no configuration version")]
    NoVersion,
    /// The request did not complete within the timeout.
    #[error("the status service did not respond within the timeout")]
    TimedOut,
}

/// Fetches the status of the broker whose status service listens at this address. `timeout` covers the connection and
/// the response.
///
/// # Errors
/// Returns an error if the request fails or times out, or if the response does not contain a version.
pub async fn fetch_status(address: SocketAddr, timeout: Duration) -> Result<BrokerStatus, StatusQueryError> {
    let exchange = async {
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).map_err(StatusQueryError::Address)?;
        let channel = endpoint.connect().await.map_err(StatusQueryError::Connect)?;
        let mut client = csds_client::ClientStatusDiscoveryServiceClient::new(channel);
        let request = ClientStatusRequest::default();
        let response = client.fetch_client_status(request).await;
        let response = response.map_err(|status| StatusQueryError::Status(Box::new(status)))?;
        read_response(response.into_inner()).ok_or(StatusQueryError::NoVersion)
    };
    tokio::time::timeout(timeout, exchange).await.map_err(|_| StatusQueryError::TimedOut)?
}

fn read_response(response: ClientStatusResponse) -> Option<BrokerStatus> {
    let config = response.config.into_iter().next()?;
    let node = config.node.unwrap_or_default();
    let metadata = node.metadata.unwrap_or_default().fields.into_iter();
    let texts = metadata.filter_map(|(name, value)| match value.kind {
        Some(Kind::StringValue(text)) => Some((name, text)),
        _ => None,
    });
    let fields: BTreeMap<String, String> = texts.collect();
    let version = config.generic_xds_configs.into_iter().find(|config| config.type_url == TYPE_URL)?;
    Some(BrokerStatus {
        name: node.id,
        installation: version.name,
        number: version.version_info.parse().ok()?,
        digest: fields.get("digest").cloned().unwrap_or_default(),
        since: unix_seconds(version.last_updated),
        rollout_state: fields.get("standing").cloned().unwrap_or_default(),
        confirmed: fields.get("confirmed").and_then(|number| number.parse().ok()).unwrap_or(0),
        unproven: fields.get("unproven").cloned(),
        last_rejection: version.error_state.map(|state| RejectionStatus {
            number: state.version_info,
            reason: state.details,
            at: unix_seconds(state.last_update_attempt),
        }),
    })
}

fn unix_seconds(at: Option<Timestamp>) -> f64 {
    at.map_or(0.0, |at| at.seconds as f64 + f64::from(at.nanos) / 1e9)
}
