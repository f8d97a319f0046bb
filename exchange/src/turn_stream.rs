//! TCP connection that yields to other tasks of its thread: [`TurnStream`].

use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of received bytes after which other tasks of the thread get a turn. A peer may send tiny
/// parts, each of which takes time to decode.
const TURN_BYTES: usize = 16 * 1024;

/// Lets the task continue once the other tasks have had a turn and the thread has looked for events of
/// all connections. A task that woke itself would run up to 61 times in between.
pub(crate) fn end_turn(cx: &mut Context<'_>) {
    let _continues_later = pin!(tokio::task::yield_now()).poll(cx);
}

/// TCP connection whose reads pause after each turn, also if more bytes have arrived.
#[derive(Debug)]
pub(crate) struct TurnStream {
    stream: TcpStream,
    /// Bytes received in the present turn.
    turn_bytes: usize,
}

impl TurnStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            turn_bytes: 0,
        }
    }

    /// Waits until bytes have arrived or the connection has ended.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection can't be observed.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Returns whether bytes may have arrived or the connection may have ended; wakes the task when
    /// that is so.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection can't be observed.
    pub(crate) fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.poll_read_ready(cx)
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
        self.stream.set_zero_linger()
    }
}

impl AsyncRead for TurnStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            end_turn(cx);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        self.turn_bytes += buf.filled().len() - before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TurnStream {
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
