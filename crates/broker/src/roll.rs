//! Discovery: asks for the roll of nodes and follows its changes.

use crate::desk::Desk;
use crate::limits::Limits;
use crate::listing::Listing;
use awc::Client;
use barleydrum::RollKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::warn;

/// Each time that the desk asks for it, follows the roll until a call fails, and says so. Where discovery has
/// moved, the old watch is dropped and the new place is asked for all nodes at once.
pub async fn follow(desk: Rc<Desk>, limits: Rc<Limits>, mut discovery: watch::Receiver<SocketAddr>) {
    // Its own time-out is shorter than a watch; each call below has one that fits it.
    let client = Client::builder().disable_timeout().disable_redirects().finish();
    loop {
        tokio::select! {
            () = desk.roll_wanted.notified() => {}
            Ok(()) = discovery.changed() => {}
        }
        loop {
            let place = *discovery.borrow_and_update();
            tokio::select! {
                Err(why) = watch(&desk, &limits, &client, place) => {
                    warn!("the roll is not followed, the old one holds: {why}");
                    break desk.roll_failed();
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
) -> Result<std::convert::Infallible, String> {
    let list = format!("http://{discovery}/catalog/members");
    let mut listing = call(limits, client, &list, limits.watch_slack).await?;
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
