//! Connection of a server, with its state: [`ServedStream`].

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection_state::ConnectionState;
use crate::turn_stream::TurnStream;

/// TCP connection of a server, which carries its state to the requests that it receives.
#[derive(Debug)]
pub(crate) struct ServedStream {
    stream: TurnStream,
    state: ConnectionState,
}

impl ServedStream {
    pub(crate) fn new(stream: TurnStream, state: ConnectionState) -> Self {
        Self { stream, state }
    }

    pub(crate) fn state(&self) -> &ConnectionState {
        &self.state
    }
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
