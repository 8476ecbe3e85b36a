//! Versions from a control service, brought to the engine. The streams, the checks and the file live on a
//! thread beside the broker's; here, on the broker's own, a version is taken over in one step between two
//! turns.

use crate::StartupConfig;
use crate::config_epoch::{ConfigEpoch, EpochCounts};
use crate::engine::Engine;
use config_rollout::{Sample, VersionId};
use config_rollout_client::{Post, RestoredState, Seat, Shown, csds, follow, restore, show};
use operator_config::RolloutConfig;
use routing::BrokerConfig;
use serde_json::json;
use settings::{BrokerSettings, Document, check};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

/// A broker's versions, prepared before it serves.
pub struct Follower {
    post: Post,
    restored: RestoredState,
    start: BrokerConfig,
    status: Option<TcpListener>,
}

/// Takes over what the broker kept, if it did, so that it serves under that from its first query on.
pub fn prepare(order: &mut StartupConfig, control: RolloutConfig) -> io::Result<Follower> {
    let wrong = |why: String| io::Error::new(io::ErrorKind::InvalidInput, why);
    let own = Document::parse(order.settings.as_bytes(), control.max_document_bytes);
    let own = own.map_err(|why| wrong(format!("settings: {why}")))?;
    if let Some(mistake) = check(&own).first() {
        return Err(wrong(format!("settings: {mistake}")));
    }
    let RolloutConfig { installation, max_document_bytes, state_file, .. } = &control;
    let restored =
        restore(own, &order.broker_settings, state_file.as_deref(), installation, *max_document_bytes);
    if let Some(why) = &restored.passed_over {
        warn!(reason = why, "the kept version is passed over, the broker begins with its own file");
    }
    let version = restored.runs.version;
    if version.number > 0 {
        info!(number = version.number, digest = %version.digest, "version taken up again, as it was kept");
        let own = std::mem::replace(&mut order.broker_settings, restored.runs.broker_settings.clone());
        let (kept, own) = (&mut order.broker_settings.broker_config, own.broker_config);
        keep_waits(kept, &own);
    }
    let status = control.status_address.map(TcpListener::bind).transpose()?;
    let post = Post {
        name: order.name.clone(),
        installation: control.installation,
        services: control.services,
        patience: control.policy,
        document: control.max_document_bytes,
        keep: control.state_file,
        count_every: control.sample_interval,
        seed: order.seed,
    };
    Ok(Follower { post, restored, start: order.broker_settings.broker_config.clone(), status })
}

impl Follower {
    /// Begins to follow, on a thread of its own; where the status is told.
    pub fn begin(self, engine: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        let Follower { post, restored, start, status } = self;
        let told_at = status.as_ref().map(TcpListener::local_addr).transpose()?;
        let shown = Shown::new(&post, restored.runs.version);
        let (words, heard) = mpsc::channel(1);
        actix_rt::spawn(sit(engine, start, heard, shown.clone()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            runtime.block_on(async move {
                if let Some(listener) = status.and_then(listener) {
                    tokio::spawn(show(shown.clone(), listener));
                }
                follow(post, restored, Remote(words), shown).await;
            });
        })?;
        if let Some(address) = told_at {
            info!(address = %address, "status service");
        }
        Ok(told_at)
    }
}

fn listener(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    let ready = listener.set_nonblocking(true).and_then(|()| tokio::net::TcpListener::from_std(listener));
    ready.inspect_err(|e| warn!(reason = %e, "no status service")).ok()
}

/// What the thread beside asks of the broker's.
enum LogEvent {
    Prescribe { version: VersionId, broker_settings: Box<BrokerSettings>, done: oneshot::Sender<()> },
    Relabel { version: VersionId, done: oneshot::Sender<()> },
    Count { tell: oneshot::Sender<Sample> },
}

struct Remote(mpsc::Sender<LogEvent>);

impl Remote {
    async fn say<T>(&self, word: impl FnOnce(oneshot::Sender<T>) -> LogEvent) -> Option<T> {
        let (tell, told) = oneshot::channel();
        self.0.send(word(tell)).await.ok()?;
        told.await.ok()
    }
}

impl Seat for Remote {
    async fn prescribe(&mut self, version: VersionId, broker_settings: BrokerSettings) {
        self.say(|done| LogEvent::Prescribe { version, broker_settings: Box::new(broker_settings), done })
            .await;
    }

    async fn relabel(&mut self, version: VersionId) {
        self.say(|done| LogEvent::Relabel { version, done }).await;
    }

    async fn count(&mut self) -> Option<Sample> {
        self.say(|tell| LogEvent::Count { tell }).await
    }
}

/// What the start worked out for sockets holds in every version: a document has the settings' own figures.
fn keep_waits(to: &mut BrokerConfig, start: &BrokerConfig) {
    (to.send_lag, to.watch_on_request) = (start.send_lag, start.watch_on_request);
    to.rules.endpoint_list_max_age = start.rules.endpoint_list_max_age;
}

/// Does at the engine what is asked. What is shown changes in the same step as what is taken under: nobody can
/// see one without the other.
async fn sit(
    engine: Rc<Engine>,
    start: BrokerConfig,
    mut heard: mpsc::Receiver<LogEvent>,
    shown: Arc<Shown>,
) {
    while let Some(word) = heard.recv().await {
        match word {
            LogEvent::Prescribe { version, mut broker_settings, done } => {
                let p = &mut broker_settings.broker_config;
                keep_waits(p, &start);
                // Zones have the numbers of the start here, whatever order a version lists them in.
                p.zone = start.zone;
                engine.apply_config(ConfigEpoch::new(&broker_settings), broker_settings.broker_config);
                shown.runs.store(Arc::new(version));
                let _ = done.send(());
            }
            LogEvent::Relabel { version, done } => {
                shown.runs.store(Arc::new(version));
                let _ = done.send(());
            }
            LogEvent::Count { tell } => {
                let EpochCounts { ended, late, rejected, failed, not_accepted, with_lost_node } =
                    engine.epoch().counts.get();
                let bad = late + rejected + failed + not_accepted;
                let _ = tell.send(Sample {
                    ended,
                    bad,
                    by_nodes: with_lost_node,
                    ready: engine.ready_nodes() as u64,
                });
            }
        }
    }
}

/// Asks a running broker what it runs, and prints it.
pub fn status(address: SocketAddr, within: Duration, as_json: bool) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("shard-broker: {e}");
            return ExitCode::FAILURE;
        }
    };
    let told = match runtime.block_on(csds::ask(address, within)) {
        Ok(told) => told,
        Err(why) => {
            eprintln!("shard-broker: no status from {address}: {why}");
            return ExitCode::from(3);
        }
    };
    if as_json {
        let refusal = told
            .last_refusal
            .as_ref()
            .map(|(number, why, at)| json!({"number": number.parse::<u64>().ok(), "reason": why, "at": at}));
        let line = json!({"name": told.name, "installation": told.installation, "number": told.number,
            "digest": told.digest, "since": told.since, "standing": told.standing,
            "confirmed": told.confirmed, "unproven": told.unproven, "last_refusal": refusal});
        println!("{line}");
    } else {
        println!("broker         {} of {}", told.name, told.installation);
        println!("runs           version {}, {}", told.number, told.standing);
        println!("digest         {}", told.digest);
        println!("since          {:.3} (Unix time)", told.since);
        println!("confirmed      version {}", told.confirmed);
        if let Some(why) = &told.unproven {
            println!("not proven     {why}");
        }
        match &told.last_refusal {
            Some((number, why, at)) if number.is_empty() => println!("last refusal   at {at:.3}: {why}"),
            Some((number, why, at)) => println!("last refusal   version {number} at {at:.3}: {why}"),
            None => println!("last refusal   none"),
        }
    }
    ExitCode::SUCCESS
}

#[cfg(test)]
mod tests;
