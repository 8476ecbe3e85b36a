//! The project's xDS resource type, and the reading of responses. This module converts between the names on the wire
//! and the types of the code. The number of a version is also sent as the `version_info` of the response, where
//! operators of other xDS clients expect it.
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

/// Type URL of the resource `barleydrum.control.v1.Version`.
pub const TYPE_URL: &str = "type.googleapis.com/barleydrum.control.v1.Version";

/// Maximum size of a response in bytes; a larger one ends the stream. The limit is far above that of a document, so
/// that a document that is too long can be rejected with a reason.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Value of `google.rpc.Code.INVALID_ARGUMENT`.
const INVALID_ARGUMENT: i32 = 3;

/// One version of the configuration, as defined in `docs/control.proto`.
#[derive(Clone, PartialEq, Message)]
pub struct Version {
    /// The number of the version, at least 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The BLAKE3 digest of the document's canonical bytes (RFC 8785).
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The document in JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub document: Vec<u8>,
    /// The installation to which the version applies.
    #[prost(string, tag = "4")]
    pub installation: String,
    /// A note on the author and the purpose of the version, for operators.
    #[prost(string, tag = "5")]
    pub note: String,
}

/// A version whose digest was verified against its document.
#[derive(Clone, Debug)]
pub struct VerifiedVersion {
    /// The number and digest of the version.
    pub version: VersionId,
    /// The parsed document.
    pub document: Document,
}

/// The reason error a version cannot be used.
#[derive(Debug, Error)]
pub enum InvalidVersion {
    /// The number is 0, which is reserved for a broker's own file.
    #[error("version numbers begin at 1")]
    NumberZero,
    /// The version is for another installation.
    #[error("it is for installation `{offered}`, this is `{own}`")]
    OtherInstallation {
        /// The installation of the offered version.
        offered: String,
        /// The installation of the broker.
        own: String,
    },
    /// The document is too long or is not valid JSON.
    #[error("document: {0}")]
    Document(#[source] DocumentError),
    /// The digest does not have the length of a BLAKE3 digest.
    #[error("its digest does not have 32 bytes")]
    DigestLength,
    /// The digest does not match the document.
    #[error("its digest is given as {}, that of its contents is {}", claimed.short(), actual.short())]
    DigestMismatch {
        /// The digest stated by the version.
        claimed: Digest,
        /// The digest of the document.
        actual: Digest,
    },
}

/// The reason error a response cannot be used.
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
    /// Creates the version with this document. Returns `None` if the document cannot be parsed.
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

    /// Encodes the version as the resource of a response.
    pub fn to_resource(&self) -> Any {
        Any { type_url: TYPE_URL.to_owned(), value: self.encode_to_vec() }
    }

    /// Verifies that the version is for this installation, and that its digest is that of its document.
    /// `max_document_bytes` is the maximum size of the document.
    ///
    /// # Errors
    /// Returns the first error found.
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

/// Reads and verifies the version in a response; see [`Version::verify`].
///
/// # Errors
/// Returns the empty or invalid offer to pass to the controller if the response contains no valid version.
pub fn read_response(
    response: &DiscoveryResponse,
    installation: &str,
    max_document_bytes: usize,
) -> Result<VerifiedVersion, Offer> {
    let invalid =
        |number: Option<u64>, error: InvalidResponse| Offer::Invalid { number, reason: error.to_string() };
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

/// Builds a request on the stream: the first request, an acknowledgement (ACK), or a rejection (NACK) with its
/// reason.
pub fn discovery_request(
    installation: &str,
    running: VersionId,
    nonce: &str,
    rejection: Option<String>,
) -> DiscoveryRequest {
    let to_status = |message| Status { code: INVALID_ARGUMENT, message, ..Status::default() };
    DiscoveryRequest {
        // A broker that runs its own file has not accepted a version.
        version_info: if running.number > 0 { running.number.to_string() } else { String::new() },
        resource_names: vec![installation.to_owned()],
        type_url: TYPE_URL.to_owned(),
        response_nonce: nonce.to_owned(),
        error_detail: rejection.map(to_status),
        ..DiscoveryRequest::default()
    }
}
