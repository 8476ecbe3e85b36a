//! Log events of a rollout. Each has a stable message, with its variables as fields. `docs/operate-control.md`
//! describes them for operators.

use config_rollout::{LogEvent, ServiceIndex, VersionId};
use std::fmt::Display;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Logs one event. `services` holds the address for each [`ServiceIndex`].
pub(crate) fn log_event(event: &LogEvent, services: &[SocketAddr]) {
    let address =
        |service: &ServiceIndex| services.get(service.0).map_or(String::new(), SocketAddr::to_string);
    let text = |reason: &dyn Display| reason.to_string();
    match event {
        LogEvent::Applied(version) => {
            info!(number = version.number, digest = %version.digest, "version applied, on probation");
        }
        LogEvent::Renumbered(version) => {
            info!(number = version.number, digest = %version.digest, "version in use has a new number, contents unchanged");
        }
        LogEvent::Confirmed(version) => {
            info!(number = version.number, digest = %version.digest, "version confirmed");
        }
        LogEvent::Unproven { version, reason } => {
            warn!(number = version.number, digest = %version.digest, reason = text(reason),
                "probation ended without a verdict, version stays");
        }
        LogEvent::Rejected { number, reason } => {
            warn!(number, reason = text(reason), "version rejected");
        }
        LogEvent::Withdrawn { version, running, reason } => {
            warn!(number = version.number, digest = %version.digest, runs = running.number,
                reason = text(reason), "version withdrawn, rolled back");
        }
        LogEvent::ProbationPaused { version, reason } => {
            warn!(number = version.number, digest = %version.digest, reason = text(reason),
                "probation paused");
        }
        LogEvent::ServiceReached(service) => {
            info!(service = address(service), "configuration service reached");
        }
        LogEvent::ServiceUnreachable { service, reason } => {
            warn!(service = address(service), reason, "configuration service unreachable");
        }
    }
}

/// Logs that the confirmed version was stored in the state file, from which a restart continues.
pub(crate) fn log_persisted(version: VersionId) {
    info!(number = version.number, digest = %version.digest, "version persisted");
}

/// Logs that the state file could not be written. A restart would continue from the state stored before.
pub(crate) fn log_not_persisted(error: &dyn Display) {
    warn!(reason = %error, "state not persisted");
}

#[cfg(test)]
mod tests;
