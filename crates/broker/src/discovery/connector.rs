//! The connector of the HTTP client for discovery.

use crate::interrupt_safe::InterruptSafe;
use futures_util::future::BoxFuture;
use http::Uri;
use hyper_util::rt::TokioIo;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// A connector for URLs whose authority is a socket address. Reads and writes that a signal interrupts are retried.
#[derive(Clone, Copy, Debug)]
pub(super) struct DiscoveryConnector;

impl Service<Uri> for DiscoveryConnector {
    type Response = TokioIo<InterruptSafe<TcpStream>>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(async move {
            let authority = uri.authority().map(http::uri::Authority::as_str).unwrap_or_default();
            let address: SocketAddr = authority.parse().map_err(|_| ErrorKind::InvalidInput)?;
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(InterruptSafe(stream)))
        })
    }
}
