//! The server and the thread that it runs on.

use crate::discovery_service::DiscoveryService;
use crate::fault_plan::FaultPlan;
use crate::history::{RecordedRequest, Shared};
use config_rollout_client::wire::Version;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server as ads_server;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// A running test server; it stops when this is dropped.
pub struct XdsTestServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Dropping it ends the thread.
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl XdsTestServer {
    /// Listens at this address; port 0 for any free one.
    ///
    /// # Errors
    /// The address can't be listened on, or there is no runtime.
    pub fn start(address: SocketAddr, faults: FaultPlan) -> std::io::Result<XdsTestServer> {
        let shared = Arc::new(Shared::new(faults));
        let mut server = XdsTestServer { address, shared, shutdown: None, thread: None };
        server.restart()?;
        Ok(server)
    }

    /// Serves this document under this number from now on, whatever was published before. A lower number, or
    /// another document under a known one, plays a service that has lost its state or forked.
    pub fn publish(&self, number: u64, installation: &str, document: &[u8]) {
        let unreadable = || Version {
            number,
            document: document.to_vec(),
            installation: installation.to_owned(),
            digest: vec![0; 32],
            ..Version::default()
        };
        let version = Version::from_document(number, installation, document).unwrap_or_else(unreadable);
        self.shared.history().versions.insert(number, version);
        self.shared.newest.send_replace(number);
    }

    /// Drops every stream once.
    pub fn drop_streams(&self) {
        self.shared.drops.send_modify(|times| *times += 1);
    }

    /// Stops listening, and drops every stream.
    pub fn stop(&mut self) {
        self.drop_streams();
        self.shutdown.take();
        self.thread.take().map(JoinHandle::join);
    }

    /// Listens at its address again, with the versions that it had.
    ///
    /// # Errors
    /// As [`XdsTestServer::start`].
    pub fn restart(&mut self) -> std::io::Result<()> {
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.address = listener.local_addr()?;
        let (shutdown, stopped) = oneshot::channel::<()>();
        let service = DiscoveryService::new(self.shared.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || runtime.block_on(serve(listener, service, stopped)));
        (self.shutdown, self.thread) = (Some(shutdown), Some(thread));
        Ok(())
    }

    /// Forgets every version, as a service that has lost its state.
    pub fn clear_versions(&self) {
        self.shared.history().versions.clear();
    }

    /// All requests of brokers, in order.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.shared.history().requests.clone()
    }

    /// How many streams there have been.
    pub fn stream_count(&self) -> u64 {
        self.shared.history().streams
    }
}

impl Drop for XdsTestServer {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(listener: std::net::TcpListener, service: DiscoveryService, stopped: oneshot::Receiver<()>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let served = Server::builder()
        .add_service(ads_server::AggregatedDiscoveryServiceServer::new(service))
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::select! {
        _ = served => {}
        _ = stopped => {}
    }
}
