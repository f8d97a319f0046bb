//! TCP connection that stops reading a peer whose bytes make no progress: [`MeteredStream`].

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::transfer_progress::TransferProgress;
use crate::turn_stream::TurnStream;

/// Maximum number of bytes received since the last complete head or part of a body. It exceeds the
/// largest head that the codec accepts. A codec can consume more bytes than this without yielding
/// anything, such as an endless chunk size.
const MAX_STALLED_BYTES: usize = 256 * 1024;

/// TCP connection whose reads fail once too many bytes have made no progress.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TurnStream,
    stalled_bytes: usize,
    /// Counts the bytes of both directions, if the transfer has a time limit that depends on them.
    progress: Option<TransferProgress>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TurnStream) -> Self {
        Self {
            stream,
            stalled_bytes: 0,
            progress: None,
        }
    }

    /// Counts the bytes of both directions from now on.
    pub(crate) fn count(&mut self, progress: TransferProgress) {
        self.progress = Some(progress);
    }

    fn add_progress(&self, bytes: usize) {
        if let Some(progress) = &self.progress {
            progress.add(bytes);
        }
    }

    /// Records that a complete head or a part of a body was decoded.
    pub(crate) fn record_progress(&mut self) {
        self.stalled_bytes = 0;
    }

    /// Waits until bytes have arrived or the connection has ended.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection can't be observed.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Reads bytes that have already arrived.
    ///
    /// # Errors
    ///
    /// [`io::Error`], of kind [`io::ErrorKind::WouldBlock`] if none have arrived.
    pub(crate) fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.try_read(buffer)
    }

    /// Makes the system discard unsent bytes and reset the connection when it is closed.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the option can't be set.
    pub(crate) fn reset_on_close(&self) -> io::Result<()> {
        self.stream.reset_on_close()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stalled_bytes > MAX_STALLED_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.stalled_bytes += read;
        self.add_progress(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.add_progress(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
