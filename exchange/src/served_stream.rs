//! Connection of a server, with its state: [`ServedStream`].

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection_state::ConnectionState;
use crate::holder::HolderStage;
use crate::turn_stream::{TurnStream, end_turn};

/// Bytes handed to the server library before it decodes them, of what may be tiny chunks. The
/// library queues each chunk by itself, with 32 bytes: 16 KiB may contain 2,700 of them.
const DECODE_BYTES: usize = 4 * 1024;
/// Bytes after a request that are read before its answer is complete. Reading on shows whether the
/// caller has closed the connection.
const MAX_EARLY_BYTES: usize = 32 * 1024;

/// TCP connection of a server, which carries its state to the requests that it receives, and limits
/// what the server library holds.
#[derive(Debug)]
pub(crate) struct ServedStream {
    stream: TurnStream,
    state: ConnectionState,
    /// Maximum number of bytes of an incomplete head.
    max_head_bytes: usize,
    /// Whether the bytes that have been read must be decoded before more are read.
    must_decode: bool,
}

impl ServedStream {
    pub(crate) fn new(stream: TurnStream, state: ConnectionState, max_head_bytes: usize) -> Self {
        Self {
            stream,
            state,
            max_head_bytes,
            must_decode: false,
        }
    }

    pub(crate) fn state(&self) -> &ConnectionState {
        &self.state
    }

    /// Reads at most [`DECODE_BYTES`], and no more until these have been decoded.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.must_decode) {
            end_turn(cx);
            return Poll::Pending;
        }
        // Without bytes to read, the part need not be initialized.
        ready!(self.stream.poll_read_ready(cx))?;
        let size = buf.remaining().min(DECODE_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        self.must_decode = read == size;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (stage, input) = {
            let holder = self.state.holder();
            (holder.stage(), holder.input())
        };
        let before = buf.filled().len();
        let read = match stage {
            HolderStage::Idle if input > self.max_head_bytes => {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            HolderStage::Busy if input > MAX_EARLY_BYTES => {
                self.state.holder().pause_reader(cx.waker());
                return Poll::Pending;
            }
            HolderStage::Receiving { chunked: false } => {
                Pin::new(&mut self.stream).poll_read(cx, buf)
            }
            _ => self.poll_read_part(cx, buf),
        };
        ready!(read)?;
        self.state.holder().record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        let count = match &written {
            Poll::Ready(Ok(count)) => *count,
            Poll::Ready(Err(_)) => buf.len(),
            Poll::Pending => 0,
        };
        self.state.holder().record_write(count, buf.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
