//! Asks a running broker for its status over CSDS, for the command line and for tests.

use crate::wire::TYPE_URL;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_client as csds_client;
use envoy_types::pb::envoy::service::status::v3::{ClientStatusRequest, ClientStatusResponse};
use envoy_types::pb::google::protobuf::{Timestamp, value::Kind};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tonic::transport::Endpoint;

/// What a broker answered.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerStatus {
    /// The broker's name.
    pub name: String,
    /// Its installation.
    pub installation: String,
    /// The number of the running version.
    pub number: u64,
    /// Its digest, 64 hex digits.
    pub digest: String,
    /// Since when it runs: Unix time, in seconds.
    pub since: f64,
    /// Whether it is on probation, confirmed, ...; `docs/operate-control.md` lists the values.
    pub rollout_state: String,
    /// The number of the version that was confirmed last.
    pub confirmed: u64,
    /// Why its probation ended without a verdict, if it did.
    pub unproven: Option<String>,
    /// The last version that was rejected or withdrawn.
    pub last_rejection: Option<RejectionStatus>,
}

/// The last version that was rejected or withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectionStatus {
    /// Its number as text; empty where it could not be read.
    pub number: String,
    /// Why.
    pub reason: String,
    /// When: Unix time, in seconds.
    pub at: f64,
}

/// Why a status could not be fetched.
#[derive(Debug, Error)]
pub enum StatusQueryError {
    /// The address makes no endpoint.
    #[error("{0}")]
    Address(#[source] tonic::transport::Error),
    /// No connection could be made.
    #[error("no connection: {0}")]
    Connect(#[source] tonic::transport::Error),
    /// The broker answered with an error.
    #[error("{0}")]
    Status(#[source] Box<tonic::Status>),
    /// The answer has no version.
    #[error("the answer has no version")]
    NoVersion,
    /// The time for the answer was over.
    #[error("no answer in time")]
    TimedOut,
}

/// Asks the broker whose status service is at this address; `timeout` bounds the whole exchange.
///
/// # Errors
/// There is no answer in time, or none that has a version.
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
