//! Connections that can be counted, limited, delayed, dropped and made unresponsive.
//!
//! The injected faults concern TCP connections rather than HTTP messages, so the stand-ins accept
//! connections themselves and pass each to `actix-http` as a [`GatedStream`].

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Size of the buffer for bytes that are read from a silent connection and dropped.
const DISCARD_BYTES: usize = 4096;

/// Counts the connections of a listener and injects faults into them.
#[derive(Debug)]
pub struct ConnectionGate {
    limit: u32,
    connect_delay: Duration,
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    next_id: u64,
    open: Vec<OpenConnection>,
    peak: u32,
    refused: u64,
    crash_token: CancellationToken,
    down_until: Option<Instant>,
    silenced_at: Option<Instant>,
    retire_max: Duration,
}

#[derive(Debug)]
struct OpenConnection {
    id: u64,
    silent: Arc<AtomicBool>,
}

impl GateState {
    fn count_silent(&self) -> u32 {
        let silent = self
            .open
            .iter()
            .filter(|entry| entry.silent.load(Ordering::Relaxed));
        silent.count() as u32
    }
}

/// Connection counters of a [`ConnectionGate`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateCounts {
    /// Number of open connections.
    pub open: u32,
    /// Highest number of connections that were open or requested at once, refused ones included.
    pub peak: u32,
    /// Number of connections that were closed immediately because the limit was reached.
    pub refused: u64,
    /// Number of connections that were made silent and that the peer has not closed.
    pub silent: u32,
    /// Longest time that the peer kept a silent connection open before it closed it, in
    /// milliseconds since connections were last made silent.
    pub retire_max_ms: u64,
}

impl ConnectionGate {
    /// Creates a gate that admits up to `limit` connections; the first request of a connection is
    /// served `connect_delay` after the connection was accepted.
    pub fn new(limit: u32, connect_delay: Duration) -> Self {
        Self {
            limit,
            connect_delay,
            state: Mutex::new(GateState {
                next_id: 0,
                open: Vec::new(),
                peak: 0,
                refused: 0,
                crash_token: CancellationToken::new(),
                down_until: None,
                silenced_at: None,
                retire_max: Duration::ZERO,
            }),
        }
    }

    /// Returns the current counters.
    pub fn counts(&self) -> GateCounts {
        let state = self.lock();
        GateCounts {
            open: state.open.len() as u32,
            peak: state.peak,
            refused: state.refused,
            silent: state.count_silent(),
            retire_max_ms: state.retire_max.as_millis() as u64,
        }
    }

    /// Makes every open connection silent: it accepts bytes and never answers. Later connections
    /// work.
    ///
    /// Returns the number of connections that were made silent.
    pub fn silence_open(&self) -> usize {
        let mut state = self.lock();
        state.silenced_at = Some(Instant::now());
        for connection in &state.open {
            connection.silent.store(true, Ordering::Relaxed);
        }
        state.open.len()
    }

    /// Drops every connection and refuses new ones for `down`, as a killed process does.
    pub fn crash(&self, down: Duration) {
        let mut state = self.lock();
        state.down_until = Some(Instant::now() + down);
        std::mem::take(&mut state.crash_token).cancel();
    }

    pub(crate) fn down_until(&self) -> Option<Instant> {
        let state = self.lock();
        state.down_until.filter(|until| *until > Instant::now())
    }

    pub(crate) fn connect_delay(&self) -> Duration {
        self.connect_delay
    }

    /// Returns the token that the next [`ConnectionGate::crash`] cancels.
    pub(crate) fn crash_token(&self) -> CancellationToken {
        self.lock().crash_token.clone()
    }

    /// Admits a connection, or returns `None` if the limit is reached.
    pub(crate) fn admit(self: &Arc<Self>, stream: TcpStream) -> Option<GatedStream> {
        let mut state = self.lock();
        let requested = state.open.len() as u32 + 1;
        state.peak = state.peak.max(requested);
        if requested > self.limit {
            state.refused += 1;
            return None;
        }
        state.next_id += 1;
        let id = state.next_id;
        let silent = Arc::new(AtomicBool::new(false));
        state.open.push(OpenConnection {
            id,
            silent: Arc::clone(&silent),
        });
        drop(state);
        Some(GatedStream {
            id,
            silent,
            gate: Arc::clone(self),
            stream,
        })
    }

    fn release(&self, id: u64) {
        let mut state = self.lock();
        if let Ok(index) = state.open.binary_search_by_key(&id, |entry| entry.id) {
            let closed = state.open.remove(index);
            if closed.silent.load(Ordering::Relaxed)
                && let Some(silenced_at) = state.silenced_at
            {
                state.retire_max = state.retire_max.max(silenced_at.elapsed());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted connection; dropping it releases its slot in the gate.
#[derive(Debug)]
pub struct GatedStream {
    id: u64,
    silent: Arc<AtomicBool>,
    gate: Arc<ConnectionGate>,
    stream: TcpStream,
}

impl GatedStream {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Reads and drops received bytes until the connection ends, so that the peer's writes succeed.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) => {}
                other => return other,
            }
        }
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.gate.release(self.id);
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return self.poll_discard(cx);
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
