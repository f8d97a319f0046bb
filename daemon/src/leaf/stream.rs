//! The TCP stream of one connection, with a record of its reads and writes.
//!
//! When a call fails, `awc` does not say how much of the request was written: it even reports a
//! connection that the target closed after the request as a connect error. The stream therefore
//! keeps its own record. That makes "no byte was sent" certain, and places the last check of the
//! deadline directly before the write.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// A slot of the connection share; it is freed once the connection and its stream are dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    open_count: Rc<Cell<u32>>,
    slot_freed: Rc<Notify>,
}

impl ConnectionSlot {
    /// Takes a slot; the caller has checked that one is free.
    pub(super) fn take(open_count: &Rc<Cell<u32>>, slot_freed: &Rc<Notify>) -> Rc<Self> {
        open_count.set(open_count.get() + 1);
        Rc::new(Self {
            open_count: Rc::clone(open_count),
            slot_freed: Rc::clone(slot_freed),
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
        self.slot_freed.notify_one();
    }
}

/// Record of the reads and writes of one connection.
#[derive(Debug)]
pub(super) struct StreamRecord {
    is_connected: Cell<bool>,
    last_read: Cell<Instant>,
    write_deadline: Cell<Option<Instant>>,
    has_written: Cell<bool>,
    is_expired: Cell<bool>,
}

impl StreamRecord {
    pub(super) fn new(now: Instant) -> Rc<Self> {
        Rc::new(Self {
            is_connected: Cell::new(false),
            last_read: Cell::new(now),
            write_deadline: Cell::new(None),
            has_written: Cell::new(false),
            is_expired: Cell::new(false),
        })
    }

    /// Resets the record for a request whose first byte must be written before `write_deadline`.
    pub(super) fn start_request(&self, write_deadline: Option<Instant>) {
        self.write_deadline.set(write_deadline);
        self.has_written.set(false);
        self.is_expired.set(false);
    }

    /// Returns whether any byte of the request was handed to the operating system.
    pub(super) fn has_written(&self) -> bool {
        self.has_written.get()
    }

    /// Returns whether the request was withheld because its deadline had passed.
    pub(super) fn expired_before_write(&self) -> bool {
        self.is_expired.get() && !self.has_written.get()
    }

    /// Returns whether the connection has ever been open.
    pub(super) fn was_connected(&self) -> bool {
        self.is_connected.get()
    }

    /// Returns when bytes were last read, or when the connection was opened.
    pub(super) fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Checks the deadline before the first byte of a request is written.
    fn check_write(&self) -> io::Result<()> {
        if self.has_written.get() {
            return Ok(());
        }
        let is_in_time = self
            .write_deadline
            .get()
            .is_none_or(|write_deadline| Instant::now() < write_deadline);
        if is_in_time {
            return Ok(());
        }
        self.is_expired.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }
}

/// A TCP stream that records its reads and writes and holds a slot of the connection share.
#[derive(Debug)]
pub(super) struct RecordedStream {
    stream: TcpStream,
    record: Rc<StreamRecord>,
    _slot: Rc<ConnectionSlot>,
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            this.record.last_read.set(Instant::now());
        }
        result
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.record.check_write()?;
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        if matches!(result, Poll::Ready(Ok(written)) if written > 0) {
            this.record.has_written.set(true);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl ActixStream for RecordedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Opens the single TCP stream of a connection.
///
/// An `awc` client would open another stream by itself once the first is closed. This connector
/// fails instead, so that a request is sent over the verified stream or not at all.
#[derive(Clone, Debug)]
pub(super) struct SingleConnector {
    pub(super) address: SocketAddr,
    pub(super) record: Rc<StreamRecord>,
    pub(super) slot: Rc<ConnectionSlot>,
}

impl Service<ConnectInfo<Uri>> for SingleConnector {
    type Response = Connection<Uri, RecordedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _ctx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            if connector.record.is_connected.get() {
                return Err(ConnectError::Io(io::ErrorKind::NotConnected.into()));
            }
            let stream = TcpStream::connect(connector.address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            connector.record.is_connected.set(true);
            connector.record.last_read.set(Instant::now());
            let stream = RecordedStream {
                stream,
                record: connector.record,
                _slot: connector.slot,
            };
            Ok(Connection::new(req.request().clone(), stream))
        })
    }
}
