//! Discovery: asks for the roll of nodes and follows its changes.

use crate::desk::Desk;
use crate::limits::Limits;
use crate::listing::Listing;
use awc::Client;
use barleydrum::RollKind;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use tracing::warn;

/// Each time that the desk asks for it, follows the roll until a call fails, and says so. Where discovery has
/// moved, the old watch is dropped and the new place is asked for all nodes at once. An agent on this machine that
/// failed is called until it answers: guards against drains that it has, and that count as told, while the broker
/// waits longer after each failure, as it must where discovery is shared.
pub async fn follow(desk: Rc<Desk>, limits: Rc<Limits>, mut discovery: watch::Receiver<SocketAddr>) {
    // Its own time-out is shorter than a watch; each call below has one that fits it.
    let client = Client::builder().disable_timeout().disable_redirects().finish();
    loop {
        tokio::select! {
            () = desk.roll_wanted.notified() => {}
            Ok(()) = discovery.changed() => {}
        }
        let mut anew = None;
        loop {
            let place = *discovery.borrow_and_update();
            tokio::select! {
                Err(why) = watch(&desk, &limits, &client, place, anew) => {
                    warn!("the roll is not followed, the old one holds: {why}");
                    desk.roll_failed();
                    anew = limits.watch_anew;
                    if anew.is_none() {
                        break;
                    }
                }
                Ok(()) = discovery.changed() => {}
            }
        }
    }
}

async fn watch(
    desk: &Desk,
    limits: &Limits,
    client: &Client,
    discovery: SocketAddr,
    anew: Option<Duration>,
) -> Result<std::convert::Infallible, String> {
    let list = format!("http://{discovery}/catalog/members");
    let mut listing = match anew {
        Some(every) => call_until_answered(limits, client, &list, every).await,
        None => call(limits, client, &list, limits.watch_slack).await?,
    };
    if !listing.all {
        return Err("asked for all nodes, discovery sent changes".to_owned());
    }
    loop {
        let revision = listing.revision;
        let kind = if listing.all { RollKind::Full } else { RollKind::Changes };
        desk.hear_roll(kind, listing);
        let url = format!("{list}?after={revision}&wait_ms={}", limits.watch.as_millis());
        listing = call(limits, client, &url, limits.watch + limits.watch_slack).await?;
    }
}

/// So many calls to a silent agent wait at a time, at the most: they share the few descriptors set aside for discovery.
const WAITING: u32 = 10;

/// Calls every so often, until one of the calls that are still waiting is answered.
async fn call_until_answered(limits: &Limits, client: &Client, url: &str, every: Duration) -> Listing {
    let mut waiting = FuturesUnordered::new();
    let mut beat = tokio::time::interval_at(Instant::now() + every, every);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let within = limits.watch_slack.min(every * WAITING);
    loop {
        tokio::select! {
            _ = beat.tick() => waiting.push(call(limits, client, url, within)),
            Some(Ok(listing)) = waiting.next() => return listing,
        }
    }
}

async fn call(limits: &Limits, client: &Client, url: &str, within: Duration) -> Result<Listing, String> {
    let exchange = async {
        let mut response = client.get(url).send().await.map_err(|e| e.to_string())?.timeout(within);
        if !response.status().is_success() {
            return Err(format!("discovery answers {}", response.status()));
        }
        let body = response.body().limit(limits.body).await.map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map_err(|e| format!("a roll that can't be read: {e}"))
    };
    tokio::time::timeout(within, exchange).await.map_err(|_| "discovery is silent".to_owned())?
}
