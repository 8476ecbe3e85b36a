//! The project's own resource in xDS's transport, and how a response is read. A version's number stands in
//! the response's `version_info` too, so that operators of other proxies see it where they look for it.

use config_rollout::{Digest, Offer, PersistedState, VersionId};
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use envoy_types::pb::google::rpc::Status;
use prost::Message;
use settings::Document;

/// The resource type: `barleydrum.control.v1.Version`.
pub const TYPE_URL: &str = "type.googleapis.com/barleydrum.control.v1.Version";

/// The largest response that is read off the wire at all; above it the stream ends. It is far above the bound
/// of a document, so that one that is too long can be turned down with a reason.
pub const MOST_ON_WIRE: usize = 16 << 20;

/// One version, as `docs/control.proto` describes it.
#[derive(Clone, PartialEq, Message)]
pub struct Version {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// BLAKE3 of the document's canonical bytes (RFC 8785).
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub document: Vec<u8>,
    #[prost(string, tag = "4")]
    pub installation: String,
    /// Who made it, and why: for people.
    #[prost(string, tag = "5")]
    pub note: String,
}

impl Version {
    /// Of a document that can be parsed; none of one that can't.
    pub fn of(number: u64, installation: &str, document: &[u8]) -> Option<Version> {
        let digest = Digest::of(&Document::parse(document, MOST_ON_WIRE).ok()?.canonical());
        Some(Version {
            number,
            digest: digest.0.to_vec(),
            document: document.to_vec(),
            installation: installation.to_owned(),
            note: String::new(),
        })
    }

    pub fn resource(&self) -> Any {
        Any { type_url: TYPE_URL.to_owned(), value: self.encode_to_vec() }
    }

    /// What it is, if it is whole: its digest is that of its document, which is no longer than `most`.
    pub fn open(&self, installation: &str, most: usize) -> Result<(VersionId, Document), String> {
        if self.number == 0 {
            return Err("numbers of versions begin at 1".to_owned());
        }
        if self.installation != installation {
            return Err(format!("it is for installation `{}`, this is `{installation}`", self.installation));
        }
        let document = Document::parse(&self.document, most).map_err(|why| format!("document: {why}"))?;
        let told = <[u8; 32]>::try_from(&self.digest[..]).map_err(|_| "a digest that has not 32 bytes")?;
        let digest = Digest::of(&document.canonical());
        if digest != Digest(told) {
            return Err(format!(
                "its digest is told as {}, its contents have {}",
                Digest(told).short(),
                digest.short()
            ));
        }
        Ok((VersionId { number: self.number, digest }, document))
    }
}

/// What a broker keeps on its disk.
#[derive(Clone, PartialEq, Message)]
pub struct Kept {
    /// The last confirmed version; none: its own file.
    #[prost(message, optional, tag = "1")]
    pub version: Option<Version>,
    #[prost(uint64, tag = "2")]
    pub highest: u64,
    #[prost(message, repeated, tag = "3")]
    pub withdrawn: Vec<Withdrawn>,
    /// The version on trial, and how often it was applied without its trial's end.
    #[prost(message, optional, tag = "4")]
    pub trying: Option<Withdrawn>,
    #[prost(uint32, tag = "5")]
    pub strikes: u32,
}

/// A version without its contents, and a word on it.
#[derive(Clone, PartialEq, Message)]
pub struct Withdrawn {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    #[prost(string, tag = "3")]
    pub why: String,
}

/// Withdrawn versions that are kept, the newest, and the bytes of each one's reason.
const KEPT_WITHDRAWN: usize = 32;
const KEPT_WHY: usize = 500;

impl Withdrawn {
    fn of(version: VersionId, why: &str) -> Withdrawn {
        let why: String = why.chars().take(KEPT_WHY).collect();
        Withdrawn { number: version.number, digest: version.digest.0.to_vec(), why }
    }

    fn id(&self) -> Option<VersionId> {
        let digest = Digest(<[u8; 32]>::try_from(&self.digest[..]).ok()?);
        Some(VersionId { number: self.number, digest })
    }
}

impl Kept {
    pub fn of(memory: &PersistedState, version: Option<Version>) -> Kept {
        let mut withdrawn: Vec<_> = memory.withdrawn.iter().collect();
        withdrawn.sort_by_key(|(version, _)| std::cmp::Reverse(version.number));
        withdrawn.truncate(KEPT_WITHDRAWN);
        Kept {
            version,
            highest: memory.highest,
            withdrawn: withdrawn.into_iter().map(|(version, why)| Withdrawn::of(*version, why)).collect(),
            trying: memory.trying.map(|(version, _)| Withdrawn::of(version, "")),
            strikes: memory.trying.map_or(0, |(_, strikes)| strikes),
        }
    }

    /// The memory, with what the broker goes on with.
    pub fn memory(&self, confirmed: VersionId) -> PersistedState {
        PersistedState {
            confirmed,
            highest: self.highest,
            withdrawn: self.withdrawn.iter().filter_map(|w| Some((w.id()?, w.why.clone()))).collect(),
            trying: self.trying.as_ref().and_then(|tried| Some((tried.id()?, self.strikes))),
        }
    }
}

/// What a response brought: a version and its document, or the offer that stands for why there is none.
pub fn read(
    response: &DiscoveryResponse,
    installation: &str,
    most: usize,
) -> Result<(VersionId, Document), Offer> {
    let told: Option<u64> = response.version_info.parse().ok();
    let broken = |number: Option<u64>, why: String| Offer::Broken { number, why };
    if response.type_url != TYPE_URL {
        return Err(broken(None, format!("a resource type that was not asked for: `{}`", response.type_url)));
    }
    let resource = match &response.resources[..] {
        [] => return Err(Offer::Nothing),
        [resource] => resource,
        more => return Err(broken(told, format!("{} versions in one response, one is allowed", more.len()))),
    };
    if resource.type_url != TYPE_URL {
        return Err(broken(told, format!("a resource of type `{}`", resource.type_url)));
    }
    let version =
        Version::decode(&resource.value[..]).map_err(|e| broken(told, format!("unreadable: {e}")))?;
    if told != Some(version.number) {
        let why =
            format!("version_info is `{}`, the version's number {}", response.version_info, version.number);
        return Err(broken(Some(version.number), why));
    }
    version.open(installation, most).map_err(|why| broken(Some(version.number), why))
}

/// A request on the stream: the first, an ACK, or a NACK with its reason.
pub fn request(
    installation: &str,
    runs: VersionId,
    nonce: &str,
    refusal: Option<String>,
) -> DiscoveryRequest {
    /// `google.rpc.Code.INVALID_ARGUMENT`.
    const INVALID: i32 = 3;
    DiscoveryRequest {
        // A broker on its own file has accepted none.
        version_info: if runs.number > 0 { runs.number.to_string() } else { String::new() },
        resource_names: vec![installation.to_owned()],
        type_url: TYPE_URL.to_owned(),
        response_nonce: nonce.to_owned(),
        error_detail: refusal.map(|message| Status { code: INVALID, message, ..Status::default() }),
        ..DiscoveryRequest::default()
    }
}
