//! The log lines of a rollout; `docs/operate-control.md` explains each to operators.

use config_rollout::{LogEvent, ServiceIndex};
use std::fmt::Display;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Writes one event; `services` are the addresses that a [`ServiceIndex`] points to.
pub(crate) fn log_event(event: &LogEvent, services: &[SocketAddr]) {
    let address =
        |service: &ServiceIndex| services.get(service.0).map_or(String::new(), SocketAddr::to_string);
    let text = |reason: &dyn Display| reason.to_string();
    match event {
        LogEvent::Applied(version) => {
            info!(number = version.number, digest = %version.digest, "version applied, on trial");
        }
        LogEvent::Renumbered(version) => {
            info!(number = version.number, digest = %version.digest, "version has a new number");
        }
        LogEvent::Confirmed(version) => {
            info!(number = version.number, digest = %version.digest, "version confirmed");
        }
        LogEvent::Unproven { version, reason } => {
            warn!(number = version.number, digest = %version.digest, reason = text(reason),
                "version stays, not proven");
        }
        LogEvent::Rejected { number, reason } => {
            warn!(number, reason = text(reason), "version turned down");
        }
        LogEvent::Withdrawn { version, running, reason } => {
            warn!(number = version.number, digest = %version.digest, runs = running.number,
                reason = text(reason), "version withdrawn");
        }
        LogEvent::ProbationPaused { version, reason } => {
            warn!(number = version.number, digest = %version.digest, reason = text(reason),
                "trial makes a pause");
        }
        LogEvent::ServiceReached(service) => info!(service = address(service), "control service reached"),
        LogEvent::ServiceUnreachable { service, reason } => {
            warn!(service = address(service), reason, "control service gone, what runs is kept");
        }
    }
}
