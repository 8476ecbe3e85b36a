//! The `control status` command, which prints the configuration version of a running broker.

use config_rollout_client::status_query::{BrokerStatus, RejectionStatus, StatusQueryError, fetch_status};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code if the broker does not answer.
const EXIT_NO_ANSWER: u8 = 3;

/// Fetches the status from a broker's status service, prints it as lines or as one JSON object, and returns the exit
/// code.
pub fn status(address: SocketAddr, timeout: Duration, as_json: bool) -> ExitCode {
    match fetch(address, timeout) {
        Ok(status) if as_json => print_json(&status),
        Ok(status) => print_lines(&status),
        Err(FetchError::Query(error)) => {
            eprintln!("shard-broker: no status from {address}: {error}");
            return ExitCode::from(EXIT_NO_ANSWER);
        }
        Err(FetchError::Runtime(error)) => {
            eprintln!("shard-broker: failed to create the runtime of the status request: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// An error while fetching the status.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The Tokio runtime could not be created.
    #[error(transparent)]
    Runtime(#[from] io::Error),
    /// The broker did not answer with a valid status.
    #[error(transparent)]
    Query(#[from] StatusQueryError),
}

fn fetch(address: SocketAddr, timeout: Duration) -> Result<BrokerStatus, FetchError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(fetch_status(address, timeout))?)
}

/// Prints the status as one JSON object. Scripts read its keys, so they must not change.
fn print_json(status: &BrokerStatus) {
    let rejection = status.last_rejection.as_ref().map(|RejectionStatus { number, reason, at }| {
        json!({"number": number.parse::<u64>().ok(), "reason": reason, "at": at})
    });
    let line = json!({"name": status.name, "installation": status.installation, "number": status.number,
        "digest": status.digest, "since": status.since, "standing": status.rollout_state,
        "confirmed": status.confirmed, "unproven": status.unproven, "last_refusal": rejection});
    println!("{line}");
}

/// Prints the status with one line for each field.
fn print_lines(status: &BrokerStatus) {
    println!("broker         {} of {}", status.name, status.installation);
    println!("runs           version {}, {}", status.number, status.rollout_state);
    println!("digest         {}", status.digest);
    println!("since          {:.3} (Unix time)", status.since);
    println!("confirmed      version {}", status.confirmed);
    if let Some(reason) = &status.unproven {
        println!("not proven     {reason}");
    }
    match &status.last_rejection {
        Some(RejectionStatus { number, reason, at }) if number.is_empty() => {
            println!("last refusal   at {at:.3}: {reason}");
        }
        Some(RejectionStatus { number, reason, at }) => {
            println!("last refusal   version {number} at {at:.3}: {reason}");
        }
        None => println!("last refusal   none"),
    }
}
