//! Test server, and the thread on which it runs.

use crate::discovery_service::DiscoveryService;
use crate::fault_plan::FaultPlan;
use crate::history::{RecordedRequest, SharedState};
use config_rollout_client::wire::Version;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server as ads_server;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

/// A running test server, which is stopped when this value is dropped.
pub struct XdsTestServer {
    /// The address on which the server listens, with the actual port.
    pub address: SocketAddr,
    shared: Arc<SharedState>,
    /// Sender whose drop ends the thread.
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl XdsTestServer {
    /// Starts a server that listens on this address. With port 0, the system selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the runtime cannot be created.
    pub fn start(address: SocketAddr, faults: FaultPlan) -> std::io::Result<XdsTestServer> {
        let shared = Arc::new(SharedState::new(faults));
        let mut server = XdsTestServer { address, shared, shutdown: None, thread: None };
        server.restart()?;
        Ok(server)
    }

    /// Publishes a document under this number, independently of earlier versions. A lower number, or another document
    /// under a known number, simulates a service that lost its state or forked.
    pub fn publish(&self, number: u64, installation: &str, document: &[u8]) {
        let invalid = || Version {
            number,
            document: document.to_vec(),
            installation: installation.to_owned(),
            digest: vec![0; 32],
            ..Version::default()
        };
        let version = Version::from_document(number, installation, document).unwrap_or_else(invalid);
        self.shared.history().versions.insert(number, version);
        self.shared.newest.send_replace(number);
    }

    /// Drops all open streams.
    pub fn drop_streams(&self) {
        self.shared.drops.send_modify(|times| *times += 1);
    }

    /// Stops listening and drops all streams.
    pub fn stop(&mut self) {
        self.drop_streams();
        self.shutdown.take();
        self.thread.take().map(JoinHandle::join);
    }

    /// Listens on the same address again, with the versions published before.
    ///
    /// # Errors
    /// Returns an error under the same conditions as [`XdsTestServer::start`].
    pub fn restart(&mut self) -> std::io::Result<()> {
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.address = listener.local_addr()?;
        let (shutdown, shutdown_signal) = oneshot::channel::<()>();
        let service = DiscoveryService::new(self.shared.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::spawn(move || runtime.block_on(serve(listener, service, shutdown_signal)));
        (self.shutdown, self.thread) = (Some(shutdown), Some(thread));
        Ok(())
    }

    /// Removes all versions, which simulates a service that lost its state.
    pub fn clear_versions(&self) {
        self.shared.history().versions.clear();
    }

    /// Returns the recorded requests of the brokers in the order of their arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.shared.history().requests.clone()
    }

    /// Returns the number of streams opened so far.
    pub fn stream_count(&self) -> u64 {
        self.shared.history().streams
    }
}

impl Drop for XdsTestServer {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(
    listener: std::net::TcpListener,
    service: DiscoveryService,
    shutdown_signal: oneshot::Receiver<()>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let served = Server::builder()
        .add_service(ads_server::AggregatedDiscoveryServiceServer::new(service))
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::select! {
        _ = served => {}
        _ = shutdown_signal => {}
    }
}
