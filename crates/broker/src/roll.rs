//! Discovery: asks for the roll of nodes and follows its changes.

use crate::desk::Desk;
use crate::limits::Limits;
use awc::Client;
use barleydrum::{RollKind, Standing};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// A list of nodes, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    pub locality: String,
    pub cell: u32,
    pub phase: Phase,
    #[serde(default)]
    pub up_since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

impl From<Phase> for Standing {
    fn from(phase: Phase) -> Standing {
        match phase {
            Phase::Ready => Standing::Ready,
            Phase::Draining => Standing::Draining,
            Phase::Gone => Standing::Gone,
        }
    }
}

/// Each time that the desk asks for it, follows the roll until a call fails, and says so.
pub async fn follow(desk: Rc<Desk>, limits: Rc<Limits>, discovery: SocketAddr) {
    // Its own time-out is shorter than a watch; each call below has one that fits it.
    let client = Client::builder().disable_timeout().disable_redirects().finish();
    loop {
        desk.roll_wanted.notified().await;
        let Err(why) = watch(&desk, &limits, &client, discovery).await;
        warn!("the roll is not followed, the old one holds: {why}");
        desk.roll_failed();
    }
}

async fn watch(
    desk: &Desk,
    limits: &Limits,
    client: &Client,
    discovery: SocketAddr,
) -> Result<std::convert::Infallible, String> {
    let list = format!("http://{discovery}/catalog/members");
    let mut members = call(limits, client, &list, limits.watch_slack).await?;
    if !members.complete {
        return Err("asked for all nodes, discovery sent changes".to_owned());
    }
    loop {
        let revision = members.revision;
        let kind = if members.complete { RollKind::Full } else { RollKind::Changes };
        desk.hear_roll(kind, members);
        let url = format!("{list}?after={revision}&wait_ms={}", limits.watch.as_millis());
        members = call(limits, client, &url, limits.watch + limits.watch_slack).await?;
    }
}

async fn call(limits: &Limits, client: &Client, url: &str, within: Duration) -> Result<Members, String> {
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
