//! A stream wrapper that retries reads and writes interrupted by a signal.

use crate::io_errors::poll_retrying_interrupted;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that retries reads and writes of the inner stream that were interrupted by a signal, because an
/// interruption does not indicate a failure of the connection.
pub struct InterruptSafe<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for InterruptSafe<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        into: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        poll_retrying_interrupted(|| Pin::new(&mut self.0).poll_read(context, into))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InterruptSafe<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        poll_retrying_interrupted(|| Pin::new(&mut self.0).poll_write(context, from))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        poll_retrying_interrupted(|| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        poll_retrying_interrupted(|| Pin::new(&mut self.0).poll_shutdown(context))
    }
}

impl<S> Connection for InterruptSafe<S> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
