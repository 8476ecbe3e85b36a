//! The project's own resource in xDS, and how a response is read: the edge at which the wire's names become the
//! code's terms. A version's number is in the response's `version_info` too, so that operators of other
//! proxies see it where they look for it.
//!
//! | wire | code |
//! | --- | --- |
//! | `Version.number`, `DiscoveryResponse.version_info` | [`VersionId::number`] |
//! | `Version.digest` | [`VersionId::digest`] |
//! | resource name | the installation |
//! | `response_nonce` | [`Nonce`](config_rollout::Nonce) |
//! | `error_detail` | [`RejectionReason`](config_rollout::RejectionReason) |

use config_rollout::{Digest, Offer, VersionId};
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use envoy_types::pb::google::rpc::Status;
use prost::Message;
use settings::{Document, DocumentError};
use thiserror::Error;

/// The resource type: `barleydrum.control.v1.Version`.
pub const TYPE_URL: &str = "type.googleapis.com/barleydrum.control.v1.Version";

/// The largest response in bytes that is read at all; above it the stream ends. It is far above the bound of
/// a document, so that one that is too long can be rejected with a reason.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// `google.rpc.Code.INVALID_ARGUMENT`.
const INVALID_ARGUMENT: i32 = 3;

/// One version, as `docs/control.proto` describes it.
#[derive(Clone, PartialEq, Message)]
pub struct Version {
    /// Its number, at least 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// BLAKE3 of the document's canonical bytes (RFC 8785).
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub document: Vec<u8>,
    /// The installation that it is for.
    #[prost(string, tag = "4")]
    pub installation: String,
    /// Who made it, and why: for people.
    #[prost(string, tag = "5")]
    pub note: String,
}

/// A version whose digest is that of its document.
#[derive(Clone, Debug)]
pub struct VerifiedVersion {
    /// Its number and digest.
    pub version: VersionId,
    /// Its contents.
    pub document: Document,
}

/// Why a version can't be used.
#[derive(Debug, Error)]
pub enum InvalidVersion {
    /// Number 0 is a broker's own file.
    #[error("version numbers begin at 1")]
    NumberZero,
    /// It is for another installation.
    #[error("it is for installation `{offered}`, this is `{own}`")]
    OtherInstallation {
        /// The installation that it is for.
        offered: String,
        /// The broker's.
        own: String,
    },
    /// Its document is too long, or no JSON.
    #[error("document: {0}")]
    Document(#[source] DocumentError),
    /// Its digest has another length than BLAKE3's.
    #[error("its digest does not have 32 bytes")]
    DigestLength,
    /// Its digest is not that of its document.
    #[error("its digest is given as {}, that of its contents is {}", claimed.short(), actual.short())]
    DigestMismatch {
        /// The digest that it states.
        claimed: Digest,
        /// The digest of its document.
        actual: Digest,
    },
}

/// Why a response can't be used.
#[derive(Debug, Error)]
enum InvalidResponse {
    #[error("a resource type that was not requested: `{0}`")]
    UnrequestedType(String),
    #[error("{0} versions in one response, one is allowed")]
    SeveralVersions(usize),
    #[error("a resource of type `{0}`")]
    ResourceType(String),
    #[error("can't be decoded: {0}")]
    Unreadable(#[from] prost::DecodeError),
    #[error("version_info is `{version_info}`, the version's number {number}")]
    NumberMismatch { version_info: String, number: u64 },
    #[error(transparent)]
    Version(#[from] InvalidVersion),
}

impl Version {
    /// The version of a document; `None` where the document can't be parsed.
    pub fn from_document(number: u64, installation: &str, document: &[u8]) -> Option<Version> {
        let digest = Digest::of(&Document::parse(document, MAX_RESPONSE_BYTES).ok()?.canonical());
        Some(Version {
            number,
            digest: digest.0.to_vec(),
            document: document.to_vec(),
            installation: installation.to_owned(),
            note: String::new(),
        })
    }

    /// The resource of a response.
    pub fn to_resource(&self) -> Any {
        Any { type_url: TYPE_URL.to_owned(), value: self.encode_to_vec() }
    }

    /// Verifies that it is for this installation, and that its digest is that of its document, which may have
    /// `max_document_bytes`.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn verify(
        &self,
        installation: &str,
        max_document_bytes: usize,
    ) -> Result<VerifiedVersion, InvalidVersion> {
        if self.number == 0 {
            return Err(InvalidVersion::NumberZero);
        }
        if self.installation != installation {
            let (offered, own) = (self.installation.clone(), installation.to_owned());
            return Err(InvalidVersion::OtherInstallation { offered, own });
        }
        let document =
            Document::parse(&self.document, max_document_bytes).map_err(InvalidVersion::Document)?;
        let claimed = <[u8; 32]>::try_from(&self.digest[..]).map_err(|_| InvalidVersion::DigestLength)?;
        let (claimed, actual) = (Digest(claimed), Digest::of(&document.canonical()));
        if claimed != actual {
            return Err(InvalidVersion::DigestMismatch { claimed, actual });
        }
        Ok(VerifiedVersion { version: VersionId { number: self.number, digest: actual }, document })
    }
}

/// Reads a response's version, and verifies it; see [`Version::verify`].
///
/// # Errors
/// The offer to give to the controller where there is no verified version: an empty or an invalid one.
pub fn read_response(
    response: &DiscoveryResponse,
    installation: &str,
    max_document_bytes: usize,
) -> Result<VerifiedVersion, Offer> {
    let invalid =
        |number: Option<u64>, why: InvalidResponse| Offer::Invalid { number, reason: why.to_string() };
    if response.type_url != TYPE_URL {
        return Err(invalid(None, InvalidResponse::UnrequestedType(response.type_url.clone())));
    }
    let stated: Option<u64> = response.version_info.parse().ok();
    let resource = match &response.resources[..] {
        [] => return Err(Offer::Empty),
        [resource] => resource,
        several => return Err(invalid(stated, InvalidResponse::SeveralVersions(several.len()))),
    };
    if resource.type_url != TYPE_URL {
        return Err(invalid(stated, InvalidResponse::ResourceType(resource.type_url.clone())));
    }
    let version = Version::decode(&resource.value[..]).map_err(|error| invalid(stated, error.into()))?;
    let number = version.number;
    if stated != Some(number) {
        let version_info = response.version_info.clone();
        return Err(invalid(Some(number), InvalidResponse::NumberMismatch { version_info, number }));
    }
    version.verify(installation, max_document_bytes).map_err(|error| invalid(Some(number), error.into()))
}

/// A request on the stream: the first, an acknowledgement (ACK), or a rejection (NACK) with its reason.
pub fn discovery_request(
    installation: &str,
    running: VersionId,
    nonce: &str,
    rejection: Option<String>,
) -> DiscoveryRequest {
    let to_status = |message| Status { code: INVALID_ARGUMENT, message, ..Status::default() };
    DiscoveryRequest {
        // A broker on its own file has accepted no version.
        version_info: if running.number > 0 { running.number.to_string() } else { String::new() },
        resource_names: vec![installation.to_owned()],
        type_url: TYPE_URL.to_owned(),
        response_nonce: nonce.to_owned(),
        error_detail: rejection.map(to_status),
        ..DiscoveryRequest::default()
    }
}
