//! Discovery: asks for the endpoint list and follows its changes.

use crate::engine::Engine;
use crate::limits::Limits;
use crate::listing::NodeList;
use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use routing::EndpointListKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use tracing::warn;

/// Keeps its connections; reads an answer without a length up to its end, and takes no reset for one.
type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// Each time that the engine asks for it, follows the endpoint list until a call fails, and says so. Where discovery has
/// moved, the old watch is dropped and the new place is asked for all nodes at once. An agent on this machine is
/// called until it answers: guards against drains that it has, and that count as told, while the broker waits longer
/// after each failure, as it must where discovery is shared.
pub async fn follow(engine: Rc<Engine>, limits: Rc<Limits>, mut discovery: watch::Receiver<SocketAddr>) {
    let client: Client = legacy::Client::builder(TokioExecutor::new()).build_http();
    loop {
        tokio::select! {
            () = engine.watch_requested.notified() => {}
            Ok(()) = discovery.changed() => {}
        }
        loop {
            let place = *discovery.borrow_and_update();
            // Guards against an agent that lists and breaks off at once, again and again.
            let anew = tokio::time::Instant::now() + limits.agent_retry_interval;
            tokio::select! {
                Err(why) = watch(&engine, &limits, &client, place) => {
                    warn!("the roll is not followed, the old one holds: {why}");
                    // What was wanted before this failure was this call; now the module says when.
                    let _ = engine.watch_requested.notified().now_or_never();
                    engine.endpoint_list_failed();
                    if !limits.has_discovery_agent {
                        break;
                    }
                    sleep_until(anew).await;
                }
                Ok(()) = discovery.changed() => {}
            }
        }
    }
}

async fn watch(
    engine: &Engine,
    limits: &Limits,
    client: &Client,
    discovery: SocketAddr,
) -> Result<std::convert::Infallible, String> {
    let list = format!("http://{discovery}/catalog/members");
    let mut listing = match limits.has_discovery_agent {
        true => call_until_answered(limits, client, &list).await,
        false => call(limits, client, &list, limits.list_timeout).await?,
    };
    if !listing.all {
        return Err("asked for all nodes, discovery sent changes".to_owned());
    }
    loop {
        let revision = listing.revision;
        let kind = if listing.all { EndpointListKind::Snapshot } else { EndpointListKind::Delta };
        engine.update_endpoints(kind, listing);
        let url = format!("{list}?after={revision}&wait_ms={}", limits.watch_wait.as_millis());
        listing = call(limits, client, &url, limits.watch_wait + limits.watch_slack).await?;
    }
}

/// Calls every so often, the first time at once, until one of the calls that are still waiting is answered.
async fn call_until_answered(limits: &Limits, client: &Client, url: &str) -> NodeList {
    let mut waiting = FuturesUnordered::new();
    let mut beat = interval(limits.agent_retry_interval);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent = false;
    loop {
        tokio::select! {
            _ = beat.tick() => waiting.push(call(limits, client, url, limits.list_timeout)),
            Some(answer) = waiting.next() => match answer {
                Ok(listing) => return listing,
                // One line for all of its silence.
                Err(why) if !silent => {
                    silent = true;
                    warn!("the agent does not list the nodes, it is called on: {why}");
                }
                Err(_) => {}
            },
        }
    }
}

async fn call(limits: &Limits, client: &Client, url: &str, within: Duration) -> Result<NodeList, String> {
    let exchange = async {
        let url = url.parse().map_err(|e| format!("{url}: {e}"))?;
        let response = client.get(url).await.map_err(|e| told(&e))?;
        if !response.status().is_success() {
            return Err(format!("discovery answers {}", response.status()));
        }
        let body = Limited::new(response.into_body(), limits.max_body_bytes).collect().await;
        let body = body.map_err(|e| told(&*e))?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| format!("a roll that can't be read: {e}"))
    };
    tokio::time::timeout(within, exchange).await.map_err(|_| "discovery is silent".to_owned())?
}

/// An error with what it came from.
fn told(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}
